//! A reader: the product's fold, with the mutations laid around it by changing what it is given.

use super::{Entry, Mutation};
use adoption::{Checkpoint, Fold, Page, Record, Step};
use entity::{Generation, Offset};

/// One reader of the stream.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    pub fold: Fold,
    /// What a mutation put in force in place of the fold's own result.
    shown: Option<Generation>,
}

impl Reader {
    /// What the states of a reader are compared by: with the log, it determines the rest.
    fn key(&self) -> (Option<Offset>, Offset, usize, Generation, Generation) {
        let fold = &self.fold;
        (
            fold.position(),
            fold.wanted(),
            fold.held(),
            self.folded(),
            self.generation(),
        )
    }

    /// The generation in force here.
    pub fn generation(&self) -> Generation {
        self.shown.unwrap_or_else(|| self.fold.generation())
    }

    /// The result of the fold alone.
    pub fn folded(&self) -> Generation {
        let folded = self.fold.folded();
        folded.map_or(Generation(0), |snapshot| snapshot.generation)
    }

    /// Whether it has read anything.
    pub fn begun(&self) -> bool {
        self.fold.position().is_some() || self.fold.held() > 0
    }

    /// Reads the record at an offset, or an empty page where there is none.
    pub fn read(
        &mut self,
        first: u64,
        next: u64,
        offset: u64,
        entry: Option<&Entry>,
        mutation: Option<Mutation>,
    ) -> Vec<Step> {
        let mut data = entry.map(|entry| entry.data.to_vec());
        if let (Some(mutation), Some(data)) = (mutation, &mut data) {
            self.mutate(mutation, first, next, offset, data);
        }
        let mut page = page(first, next);
        if let Some(data) = &data {
            page.records.push((Offset(offset), data));
        }
        let mut steps = Vec::new();
        self.fold
            .read(&page, &mut steps)
            .expect("every record has the format of this release");
        steps
    }

    fn mutate(
        &mut self,
        mutation: Mutation,
        first: u64,
        next: u64,
        offset: u64,
        data: &mut Vec<u8>,
    ) {
        let record: Record = serde_json::from_slice(data).expect("a record");
        let position = self.fold.position();
        match (mutation, record) {
            (Mutation::StaleBase, Record::Publication(mut publication)) if position.is_some() => {
                publication.base = self.folded();
                *data = Record::Publication(publication).encode();
            }
            (Mutation::GapCheckpoint, Record::Checkpoint(mut checkpoint)) if position.is_none() => {
                let held = self.fold.held() as u64;
                let before = Offset(offset - held - 1);
                checkpoint.read_through = checkpoint.read_through.max(before);
                *data = Record::Checkpoint(checkpoint).encode();
            }
            (Mutation::LateCheckpoint, Record::Checkpoint(mut checkpoint))
                if position.is_some_and(|position| position.0 > first) =>
            {
                checkpoint.read_through = Offset(offset - 1);
                *data = Record::Checkpoint(checkpoint).encode();
                let mut page = page(offset, next);
                page.records.push((Offset(offset), data));
                self.fold = Fold::new();
                let fresh = self.fold.read(&page, &mut Vec::new());
                fresh.expect("a checkpoint of this release");
            }
            _ => {}
        }
    }

    /// Takes a text from a fellow; whether there was no conflict.
    pub fn learn(&mut self, checkpoint: &Checkpoint, mutation: Option<Mutation>) -> bool {
        if mutation == Some(Mutation::LowerLearned) {
            self.shown = Some(checkpoint.generation);
        }
        let mut steps = Vec::new();
        let learned = self.fold.learn(checkpoint, &mut steps);
        learned.expect("a text of this release");
        steps.is_empty()
    }
}

fn page(first: u64, next: u64) -> Page<'static> {
    Page {
        first: Offset(first),
        next: Offset(next),
        records: Vec::new(),
    }
}

impl PartialEq for Reader {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Reader {}

impl std::hash::Hash for Reader {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

//! A reader of the model: the product's fold. Mutations are injected by changing its input.

use super::{Entry, Mutation};
use adoption::{Checkpoint, Fold, Page, Record, Step};
use entity::{Generation, Offset};

/// One reader of the stream.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    pub fold: Fold,
    /// Generation that a mutation put in force in place of the fold's own.
    overridden: Option<Generation>,
}

impl Reader {
    /// Returns the part of the state by which readers are compared. Together with the log it
    /// determines the rest.
    fn key(&self) -> (Option<Offset>, Offset, usize, Generation, Generation) {
        let fold = &self.fold;
        (
            fold.position(),
            fold.next_offset(),
            fold.buffered(),
            self.folded(),
            self.generation(),
        )
    }

    /// Returns the generation in force here.
    pub fn generation(&self) -> Generation {
        self.overridden.unwrap_or_else(|| self.fold.generation())
    }

    /// Returns the generation that the fold alone results in.
    pub fn folded(&self) -> Generation {
        let folded = self.fold.folded();
        folded.map_or(Generation(0), |snapshot| snapshot.generation)
    }

    /// Whether the reader has read any record or an empty stream.
    pub fn has_read(&self) -> bool {
        self.fold.position().is_some() || self.fold.buffered() > 0
    }

    /// Reads the record at an offset, or an empty page if there is none.
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
                let buffered = self.fold.buffered() as u64;
                let before = Offset(offset - buffered - 1);
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

    /// Applies a text from a peer. Returns whether there was no conflict.
    pub fn learn(&mut self, checkpoint: &Checkpoint, mutation: Option<Mutation>) -> bool {
        if mutation == Some(Mutation::LowerLearned) {
            self.overridden = Some(checkpoint.generation);
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

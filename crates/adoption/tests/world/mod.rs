//! A model of the stream, its publishers and its readers. It drives the product's own [`Fold`] and
//! publishers through every fault of the log that the design has to tolerate.

#![allow(
    dead_code,
    reason = "each test file uses a different part of the model"
)]

pub mod reader;
pub mod truth;

use adoption::publisher::{Appending, Outcome, Reading};
use adoption::{Checkpoint, FORMAT, Id, Publication, Record, Step};
use entity::{Generation, Offset};
use reader::Reader;
use std::sync::Arc;
use truth::Truth;

/// Bounds on the size of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    pub publishers: usize,
    pub readers: usize,
    /// Number of copies that each publisher may append.
    pub copies: usize,
    /// Number of publications that each publisher may make, one after the other.
    pub publications: usize,
    pub checkpoints: usize,
    pub expiries: u64,
    pub restarts: usize,
    /// Number of records in the log at the start.
    pub history: usize,
    /// Whether the last publisher's text has findings.
    pub invalid: bool,
}

/// A deliberate fault in the rules, which the invariants have to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// The fold accepts a publication regardless of its base.
    StaleBase,
    /// A fresh reader starts from a checkpoint although records after its prefix have expired.
    GapCheckpoint,
    /// A reader adopts a lower generation from a peer.
    LowerLearned,
    /// A publisher reports the verdict on its confirmed copy instead of the first.
    LaterCopy,
    /// A reader that has a position adopts the state of a late checkpoint.
    LateCheckpoint,
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    pub kind: Kind,
    pub data: Arc<[u8]>,
}

/// The contents of a record, as far as the model needs them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    Publication { id: u128, base: u64, valid: bool },
    Checkpoint { generation: u64, through: u64 },
}

/// The fate of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The append takes effect and the reply arrives.
    Confirmed,
    /// The append takes effect and the reply is lost.
    Lost,
    /// The append takes effect later or never, and there is no reply.
    Late,
}

/// One step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A publisher starts a publication based on the generation that its reader folded.
    Begin(usize),
    /// A publisher appends a copy.
    Append(usize, Fate),
    /// An append in flight takes effect.
    Land(usize),
    /// An append in flight is dropped and never takes effect.
    Drop(usize),
    /// A publisher reads one record.
    Follow(usize),
    /// A reader reads one record.
    Read(usize),
    /// A reader sends a checkpoint, which can take effect late.
    Checkpoint(usize),
    /// The first retained record expires.
    Expire,
    /// The first reader learns the text in force at the second.
    Learn(usize, usize),
    /// A reader is replaced by a fresh one.
    Replace(usize),
}

/// Phase of a publisher.
#[derive(Clone, Debug)]
enum Phase {
    Idle,
    Appending(Appending),
    Reading(Reading, u64),
    Done(Outcome),
}

/// A publisher: an operator's process with a fold of its own.
#[derive(Clone, Debug)]
pub struct Publisher {
    reader: Reader,
    phase: Phase,
    base: u64,
    copies: usize,
    publication: usize,
}

/// Complete state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    limits: Limits,
    mutation: Option<Mutation>,
    log: Vec<Entry>,
    first: u64,
    in_flight: Vec<Entry>,
    publishers: Vec<Publisher>,
    readers: Vec<Reader>,
    checkpoints: usize,
    restarts: usize,
    /// Invariant that was violated, if any.
    pub violation: Option<&'static str>,
}

impl Publisher {
    /// Returns the part of the state by which publishers are compared. The rest of the phase
    /// follows from the other fields.
    fn key(&self) -> (&Reader, u64, u64, usize, usize) {
        let phase = match &self.phase {
            Phase::Idle => 0,
            Phase::Appending(_) => 1,
            Phase::Done(Outcome::Unknown) => 2,
            Phase::Done(Outcome::Rejected(_)) => 3,
            Phase::Done(Outcome::Accepted(generation)) => 1000 + generation.0,
            Phase::Reading(_, confirmed) => 1_000_000 + confirmed,
        };
        (
            &self.reader,
            phase,
            self.base,
            self.copies,
            self.publication,
        )
    }
}

impl PartialEq for Publisher {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Publisher {}

impl std::hash::Hash for Publisher {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

impl World {
    /// Creates a model whose log holds `limits.history` accepted publications.
    pub fn new(limits: Limits, mutation: Option<Mutation>) -> Self {
        let mut world = Self {
            limits,
            mutation,
            log: Vec::new(),
            first: 1,
            in_flight: Vec::new(),
            publishers: Vec::new(),
            readers: vec![Reader::default(); limits.readers],
            checkpoints: 0,
            restarts: 0,
            violation: None,
        };
        for offset in 0..limits.history {
            let id = u128::MAX - offset as u128;
            world.log.push(publication(id, offset as u64, true));
        }
        let idle = Publisher {
            reader: Reader::default(),
            phase: Phase::Idle,
            base: 0,
            copies: 0,
            publication: 0,
        };
        world.publishers = vec![idle; limits.publishers];
        world
    }

    /// Returns every step that is possible now.
    pub fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.violation.is_some() {
            return actions;
        }
        for index in 0..self.publishers.len() {
            self.publisher_actions(index, &mut actions);
        }
        for index in 0..self.in_flight.len() {
            actions.extend([Action::Land(index), Action::Drop(index)]);
        }
        for index in 0..self.readers.len() {
            self.reader_actions(index, &mut actions);
        }
        let retained = self.first < self.next();
        if retained && self.first <= self.limits.expiries {
            actions.push(Action::Expire);
        }
        actions
    }

    fn publisher_actions(&self, index: usize, actions: &mut Vec<Action>) {
        let publisher = &self.publishers[index];
        if self.can_read(&publisher.reader) {
            actions.push(Action::Follow(index));
        }
        let again = publisher.publication < self.limits.publications;
        match &publisher.phase {
            Phase::Idle | Phase::Done(_) if again && publisher.reader.fold.position().is_some() => {
                actions.push(Action::Begin(index));
            }
            Phase::Appending(_) if publisher.copies < self.limits.copies => {
                for fate in [Fate::Confirmed, Fate::Lost, Fate::Late] {
                    actions.push(Action::Append(index, fate));
                }
            }
            _ => {}
        }
    }

    fn reader_actions(&self, index: usize, actions: &mut Vec<Action>) {
        let reader = &self.readers[index];
        if self.can_read(reader) {
            actions.push(Action::Read(index));
        }
        if self.checkpoints < self.limits.checkpoints && reader.fold.position() > Some(Offset(0)) {
            actions.push(Action::Checkpoint(index));
        }
        if self.restarts < self.limits.restarts && reader.has_read() {
            actions.push(Action::Replace(index));
        }
        for other in 0..self.readers.len() {
            let lower = self.mutation == Some(Mutation::LowerLearned);
            let (ours, theirs) = (reader.generation(), self.readers[other].generation());
            if other != index && (theirs > ours || (lower && theirs < ours && theirs.0 > 0)) {
                actions.push(Action::Learn(index, other));
            }
        }
    }

    /// Returns the state after a step.
    pub fn after(&self, action: Action) -> Self {
        let mut world = self.clone();
        match action {
            Action::Begin(index) => world.begin(index),
            Action::Append(index, fate) => world.append(index, fate),
            Action::Land(index) => {
                let entry = world.in_flight.remove(index);
                world.log.push(entry);
            }
            Action::Drop(index) => {
                world.in_flight.remove(index);
            }
            Action::Follow(index) => world.follow(index),
            Action::Read(index) => {
                let mut reader = std::mem::take(&mut world.readers[index]);
                world.read(&mut reader);
                world.readers[index] = reader;
            }
            Action::Checkpoint(index) => world.checkpoint(index),
            Action::Expire => world.first += 1,
            Action::Learn(index, other) => world.learn(index, other),
            Action::Replace(index) => {
                world.readers[index] = Reader::default();
                world.restarts += 1;
            }
        }
        world.check();
        world
    }

    fn next(&self) -> u64 {
        self.log.len() as u64 + 1
    }

    fn can_read(&self, reader: &Reader) -> bool {
        let next_offset = reader.fold.next_offset().0;
        let start = self.first == 1 && !reader.has_read();
        let gap = next_offset < self.first && reader.has_read();
        next_offset.max(self.first) < self.next() || start || gap
    }

    fn begin(&mut self, index: usize) {
        let publisher = &mut self.publishers[index];
        let base = publisher.reader.folded();
        publisher.publication += 1;
        publisher.copies = 0;
        publisher.base = base.0;
        let valid = !(self.limits.invalid && index + 1 == self.limits.publishers);
        let id = (index * 1000 + publisher.publication) as u128;
        let publication = text(id, base.0, valid);
        publisher.phase = match Appending::new(publication, &publisher.reader.fold) {
            Ok(appending) => Phase::Appending(appending),
            Err(_) => {
                self.violation = Some("a publisher could not begin");
                Phase::Idle
            }
        };
    }

    fn append(&mut self, index: usize, fate: Fate) {
        let publisher = &mut self.publishers[index];
        publisher.copies += 1;
        let Phase::Appending(appending) = &publisher.phase else {
            return;
        };
        let entry = entry(&appending.record());
        if fate == Fate::Late {
            self.in_flight.push(entry);
            return;
        }
        self.log.push(entry);
        let offset = self.log.len() as u64;
        if fate == Fate::Confirmed {
            publisher.phase = Phase::Reading(appending.clone().confirmed(), offset);
        }
    }

    fn follow(&mut self, index: usize) {
        let mut publisher = self.publishers[index].clone();
        let steps = self.read(&mut publisher.reader);
        let outcome = match &publisher.phase {
            Phase::Reading(reading, confirmed) if self.mutation == Some(Mutation::LaterCopy) => {
                reading.observe(&steps_at(&steps, *confirmed))
            }
            Phase::Appending(_) if self.mutation == Some(Mutation::LaterCopy) => None,
            Phase::Reading(reading, _) => reading.observe(&steps),
            Phase::Appending(appending) => appending.observe(&steps),
            Phase::Idle | Phase::Done(_) => None,
        };
        if let Some(outcome) = outcome {
            publisher.phase = Phase::Done(outcome);
        }
        self.publishers[index] = publisher;
    }

    /// Lets a reader read one record, and checks the invariants of every reader.
    fn read(&mut self, reader: &mut Reader) -> Vec<Step> {
        let before = reader.generation();
        let offset = reader.fold.next_offset().0.max(self.first);
        let entry = self.log.get(offset as usize - 1);
        let steps = reader.read(self.first, self.next(), offset, entry, self.mutation);
        if reader.generation() < before {
            self.violation = Some("a generation went down");
        }
        if steps
            .iter()
            .any(|step| matches!(step, Step::Conflict { .. }))
        {
            self.violation = Some("a reader met a conflict");
        }
        steps
    }

    fn checkpoint(&mut self, index: usize) {
        self.checkpoints += 1;
        if let Some(checkpoint) = self.readers[index].fold.checkpoint() {
            self.in_flight.push(entry(&Record::Checkpoint(checkpoint)));
        }
    }

    fn learn(&mut self, index: usize, other: usize) {
        let Some(snapshot) = self.readers[other].fold.in_force().cloned() else {
            return;
        };
        let checkpoint = Checkpoint {
            format: FORMAT,
            generation: snapshot.generation,
            read_through: Offset(snapshot.generation.0),
            author: snapshot.author.clone(),
            text: snapshot.text.clone(),
        };
        let reader = &mut self.readers[index];
        let before = reader.generation();
        if !reader.learn(&checkpoint, self.mutation) {
            self.violation = Some("a reader met a conflict");
        }
        if reader.generation() < before {
            self.violation = Some("a generation went down");
        }
    }

    fn check(&mut self) {
        let truth = Truth::new(&self.log);
        let publishers = self.publishers.iter().map(|publisher| &publisher.reader);
        for reader in self.readers.iter().chain(publishers) {
            if let Some(position) = reader.fold.position()
                && truth.after(position.0) != reader.folded().0
            {
                self.violation = Some("a reader disagrees about a prefix");
            }
            if !truth.was_in_force(reader.generation().0) {
                self.violation = Some("something is in force that was never accepted");
            }
        }
        for (index, publisher) in self.publishers.iter().enumerate() {
            let id = (index * 1000 + publisher.publication) as u128;
            let right = match &publisher.phase {
                Phase::Done(Outcome::Accepted(Generation(generation))) => {
                    truth.accepted(id) == Some(*generation)
                }
                Phase::Done(Outcome::Rejected(_)) => truth.accepted(id).is_none(),
                _ => true,
            };
            if !right {
                self.violation = Some("a publisher reported a wrong verdict");
            }
        }
    }

    /// Counts the publishers with an accepted, a rejected and an unknown outcome.
    pub fn outcomes(&self) -> [usize; 3] {
        let mut counts = [0; 3];
        for publisher in &self.publishers {
            match &publisher.phase {
                Phase::Done(Outcome::Accepted(_)) => counts[0] += 1,
                Phase::Done(Outcome::Rejected(_)) => counts[1] += 1,
                Phase::Done(Outcome::Unknown) => counts[2] += 1,
                _ => {}
            }
        }
        counts
    }

    /// Whether a publisher waits for a verdict although it has read the stream to its end.
    pub fn is_stuck(&self) -> bool {
        self.publishers.iter().any(|publisher| {
            matches!(publisher.phase, Phase::Reading(..))
                && publisher.reader.fold.position().is_some()
                && !self.can_read(&publisher.reader)
        })
    }
}

fn steps_at(steps: &[Step], offset: u64) -> Vec<Step> {
    let mut found = Vec::new();
    for step in steps {
        let at = match step {
            Step::Accepted { snapshot, .. } => snapshot.generation.0,
            Step::Rejected { offset, .. } => offset.0,
            _ => continue,
        };
        if at == offset {
            found.push(step.clone());
        }
    }
    found
}

fn text(id: u128, base: u64, valid: bool) -> Publication {
    let text = if valid { format!("; {id}") } else { "x".into() };
    Publication {
        format: FORMAT,
        id: Id(id),
        base: Generation(base),
        author: "operator".into(),
        text: text.into(),
    }
}

fn publication(id: u128, base: u64, valid: bool) -> Entry {
    entry(&Record::Publication(text(id, base, valid)))
}

fn entry(record: &Record) -> Entry {
    let kind = match record {
        Record::Publication(publication) => Kind::Publication {
            id: publication.id.0,
            base: publication.base.0,
            valid: publication.text.starts_with(';'),
        },
        Record::Checkpoint(checkpoint) => Kind::Checkpoint {
            generation: checkpoint.generation.0,
            through: checkpoint.read_through.0,
        },
    };
    Entry {
        kind,
        data: record.encode().into(),
    }
}

//! The fold of the configuration stream.

use crate::record::{Checkpoint, Decoded, FORMAT, Id, Publication, Record};
use crate::snapshot::Snapshot;
use entity::{Findings, Generation, Offset};
use std::sync::Arc;

/// Most findings that a rejection keeps, so that a damaged text takes no memory at all instances.
const KEPT_FINDINGS: usize = 100;

/// A reply to a read: consecutive records, beginning at the wanted offset or, if that has expired,
/// at the first retained one.
#[derive(Clone, Debug)]
pub struct Page<'a> {
    /// The first retained record of the stream.
    pub first: Offset,
    /// The offset that the next append will get.
    pub next: Offset,
    /// Offsets and bytes of the records, in order.
    pub records: Vec<(Offset, &'a [u8])>,
}

/// What the fold did with one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The publication is in force from here on.
    Accepted {
        /// The publication.
        id: Id,
        /// What is in force; its generation is the offset of this record.
        snapshot: Arc<Snapshot>,
    },
    /// The publication changes nothing.
    Rejected {
        /// Where this copy of it is.
        offset: Offset,
        /// The publication.
        id: Id,
        /// Who published it.
        author: Box<str>,
        /// Why.
        reason: Reason,
    },
    /// A checkpoint, which changes nothing.
    Checkpoint {
        /// Where it is.
        offset: Offset,
    },
    /// The record is none of any release, and changes nothing.
    Malformed {
        /// Where it is.
        offset: Offset,
    },
    /// A fresh reader has taken the state of a checkpoint, and folds what follows its prefix.
    Started {
        /// The last record of the prefix.
        read_through: Offset,
        /// What was in force after the prefix.
        snapshot: Option<Arc<Snapshot>>,
    },
    /// Records expired before this reader saw them: it is fresh again, and keeps in force what it
    /// had.
    Restarted {
        /// The first retained record.
        first: Offset,
    },
    /// Two sources disagree about a generation, which shows a fault in one of them. The fold stays
    /// with its own result.
    Conflict {
        /// The generation that the other source names.
        generation: Generation,
    },
}

/// Why a publication was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It was edited from another generation than the one in force.
    Base {
        /// The generation that it was edited from.
        base: Generation,
        /// The generation that was in force.
        in_force: Generation,
        /// Who published the one in force.
        author: Box<str>,
    },
    /// Its text has findings; the first of them.
    Text(Findings),
}

/// Why the fold can't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A record has a format of another release.
    #[error("the record at offset {offset} has format {format}; this release reads {FORMAT}")]
    Format {
        /// Where it is.
        offset: Offset,
        /// Its format.
        format: u32,
    },
    /// The log left out a record, although its offsets have no gaps.
    #[error("the log gave offset {offset} where {wanted} was wanted")]
    Gap {
        /// The offset that was wanted.
        wanted: Offset,
        /// The offset that was given.
        offset: Offset,
    },
    /// The log ends before records that this reader has folded.
    #[error(
        "the log ends before offset {next}, and offset {wanted} was wanted: it has lost records"
    )]
    Rewound {
        /// The offset that was wanted.
        wanted: Offset,
        /// The offset that the next append will get.
        next: Offset,
    },
    /// A fellow's text has a format of another release.
    #[error("generation {generation} has format {format}; this release reads {FORMAT}")]
    Learned {
        /// The generation.
        generation: Generation,
        /// Its format.
        format: u32,
    },
}

/// Where the fold is in the stream.
#[derive(Clone, Debug)]
enum State {
    /// It does not know what was in force before the records that it holds.
    Fresh {
        /// Consecutive records, until a checkpoint tells what was in force before one of them.
        records: Vec<(Offset, Decoded)>,
    },
    /// It has folded everything through `position`.
    Folding {
        position: Offset,
        folded: Option<Arc<Snapshot>>,
    },
}

/// The fold of one reader, together with what it has learned from others.
///
/// Three facts carry the safety argument. The result after a prefix is a function of the prefix. The
/// generation that it gives never falls as the prefix grows, since it is the offset of a record in
/// the prefix. And what is in force here is the higher of the fold's result and of what was learned,
/// each of which never falls.
#[derive(Clone, Debug)]
pub struct Fold {
    state: State,
    in_force: Option<Arc<Snapshot>>,
}

impl Default for Fold {
    fn default() -> Self {
        Self::new()
    }
}

impl Fold {
    /// A fresh reader.
    pub fn new() -> Self {
        Self {
            state: State::Fresh {
                records: Vec::new(),
            },
            in_force: None,
        }
    }

    /// The offset to read from.
    pub fn wanted(&self) -> Offset {
        match &self.state {
            State::Fresh { records } => records
                .last()
                .map_or(Offset(1), |(offset, _)| offset.next()),
            State::Folding { position, .. } => position.next(),
        }
    }

    /// The last record folded; nothing while the reader is fresh.
    pub fn position(&self) -> Option<Offset> {
        match &self.state {
            State::Fresh { .. } => None,
            State::Folding { position, .. } => Some(*position),
        }
    }

    /// What is in force here: the latest of the fold's result and of what was learned.
    pub fn in_force(&self) -> Option<&Arc<Snapshot>> {
        self.in_force.as_ref()
    }

    /// The generation in force here, 0 where none is.
    pub fn generation(&self) -> Generation {
        generation(self.in_force.as_ref())
    }

    /// The result of the fold at [`position`](Self::position), without what was learned.
    pub fn folded(&self) -> Option<&Arc<Snapshot>> {
        match &self.state {
            State::Fresh { .. } => None,
            State::Folding { folded, .. } => folded.as_ref(),
        }
    }

    /// How many records a fresh reader holds until it finds a checkpoint.
    pub fn held(&self) -> usize {
        match &self.state {
            State::Fresh { records } => records.len(),
            State::Folding { .. } => 0,
        }
    }

    /// The checkpoint that this reader could write now; nothing while it is fresh.
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let read_through = self.position()?;
        let folded = self.folded();
        Some(Checkpoint {
            format: FORMAT,
            generation: generation(folded),
            read_through,
            author: folded.map_or_else(Box::default, |snapshot| snapshot.author.clone()),
            text: folded.map_or_else(Box::default, |snapshot| snapshot.text.clone()),
        })
    }

    /// Folds a page of the stream and adds what it did to `steps`.
    ///
    /// Records before [`wanted`](Self::wanted) are skipped, so that a page can be given again.
    ///
    /// # Errors
    ///
    /// [`Error::Format`] at a record of another release, before which the fold stays: its verdict is
    /// unknown here, and with it everything after. [`Error::Gap`] if the page is not consecutive.
    /// [`Error::Rewound`] if the log has lost records: whatever it gives in their place is not folded,
    /// since generations would go back.
    pub fn read(&mut self, page: &Page<'_>, steps: &mut Vec<Step>) -> Result<(), Error> {
        if page.next < self.wanted() {
            return Err(Error::Rewound {
                wanted: self.wanted(),
                next: page.next,
            });
        }
        self.check_gap(page.first, steps);
        self.begin(page.first);
        for (offset, data) in &page.records {
            if *offset < self.wanted() {
                continue;
            }
            self.record(*offset, Record::decode(data), steps)?;
        }
        Ok(())
    }

    /// Takes a text from a fellow. A higher generation is in force at once; a lower one changes
    /// nothing. Whether it is in force now because of this call.
    ///
    /// The fellow folded the same stream, so that the own fold will come to the same result; where
    /// the two disagree, a [`Step::Conflict`] is added.
    ///
    /// # Errors
    ///
    /// [`Error::Learned`] if the text has a format of another release.
    pub fn learn(&mut self, checkpoint: &Checkpoint, steps: &mut Vec<Step>) -> Result<bool, Error> {
        let generation = checkpoint.generation;
        if checkpoint.format != FORMAT {
            return Err(Error::Learned {
                generation,
                format: checkpoint.format,
            });
        }
        let agrees = |snapshot: &Snapshot| {
            snapshot.generation != generation || snapshot.text == checkpoint.text
        };
        let passed = self.position() >= Some(Offset(generation.0));
        if !self.in_force().is_none_or(|snapshot| agrees(snapshot))
            || (passed && generation > self.generation())
        {
            steps.push(Step::Conflict { generation });
            return Ok(false);
        }
        if generation <= self.generation() {
            return Ok(false);
        }
        let Ok(snapshot) = Snapshot::parse(generation, &checkpoint.author, &checkpoint.text) else {
            steps.push(Step::Conflict { generation });
            return Ok(false);
        };
        self.in_force = Some(Arc::new(snapshot));
        Ok(true)
    }

    /// Becomes fresh if records have expired that this reader has not seen.
    fn check_gap(&mut self, first: Offset, steps: &mut Vec<Step>) {
        if first <= self.wanted() {
            return;
        }
        let begun = self.position().is_some() || self.held() > 0;
        self.state = State::Fresh {
            records: Vec::new(),
        };
        if begun {
            steps.push(Step::Restarted { first });
        }
    }

    /// Needs no checkpoint where the whole stream is retained, since it begins with nothing in force.
    fn begin(&mut self, first: Offset) {
        if first == Offset(1) && self.position().is_none() && self.held() == 0 {
            self.state = State::Folding {
                position: Offset(0),
                folded: None,
            };
        }
    }

    fn record(
        &mut self,
        offset: Offset,
        decoded: Decoded,
        steps: &mut Vec<Step>,
    ) -> Result<(), Error> {
        let wanted = self.wanted();
        let State::Fresh { records } = &mut self.state else {
            return self.fold(offset, decoded, steps);
        };
        if !records.is_empty() && offset != wanted {
            return Err(Error::Gap { wanted, offset });
        }
        let start = match &decoded {
            Decoded::Record(Record::Checkpoint(checkpoint)) => Some(checkpoint.clone()),
            _ => None,
        };
        records.push((offset, decoded));
        match start {
            Some(checkpoint) => self.start(&checkpoint, steps),
            None => Ok(()),
        }
    }

    /// Starts from a checkpoint if everything after its prefix is here.
    fn start(&mut self, checkpoint: &Checkpoint, steps: &mut Vec<Step>) -> Result<(), Error> {
        let State::Fresh { records } = &mut self.state else {
            return Ok(());
        };
        let Some((first, _)) = records.first() else {
            return Ok(());
        };
        let position = checkpoint.read_through;
        if position.next() < *first {
            return Ok(());
        }
        let possible = checkpoint.generation.0 <= position.0;
        let Some(folded) = parse(checkpoint).ok().filter(|_| possible) else {
            steps.push(Step::Conflict {
                generation: checkpoint.generation,
            });
            return Ok(());
        };
        let records = std::mem::take(records);
        steps.push(Step::Started {
            read_through: position,
            snapshot: folded.clone(),
        });
        self.state = State::Folding {
            position,
            folded: folded.clone(),
        };
        self.adopt(folded.as_ref(), steps);
        self.check_learned(Offset(0), steps);
        for (offset, decoded) in records {
            if offset <= position {
                continue;
            }
            self.fold(offset, decoded, steps)?;
        }
        Ok(())
    }

    /// Folds the record after the position.
    fn fold(
        &mut self,
        offset: Offset,
        decoded: Decoded,
        steps: &mut Vec<Step>,
    ) -> Result<(), Error> {
        let wanted = self.wanted();
        if offset != wanted {
            return Err(Error::Gap { wanted, offset });
        }
        match decoded {
            Decoded::Foreign(format) => return Err(Error::Format { offset, format }),
            Decoded::Malformed => steps.push(Step::Malformed { offset }),
            Decoded::Record(Record::Publication(publication)) => {
                let step = self.judge(offset, publication);
                if let Step::Accepted { snapshot, .. } = &step {
                    self.accept(snapshot, steps);
                }
                steps.push(step);
            }
            Decoded::Record(Record::Checkpoint(checkpoint)) => {
                if !self.confirms(&checkpoint) {
                    steps.push(Step::Conflict {
                        generation: checkpoint.generation,
                    });
                }
                steps.push(Step::Checkpoint { offset });
            }
        }
        let State::Folding { position, .. } = &mut self.state else {
            unreachable!("a fresh reader holds records and folds none");
        };
        let before = std::mem::replace(position, offset);
        self.check_learned(before, steps);
        Ok(())
    }

    /// The rule: valid, and edited from what is in force.
    fn judge(&self, offset: Offset, publication: Publication) -> Step {
        let in_force = generation(self.folded());
        let reason = if publication.base == in_force {
            match Snapshot::parse(offset.into(), &publication.author, &publication.text) {
                Ok(snapshot) => {
                    return Step::Accepted {
                        id: publication.id,
                        snapshot: Arc::new(snapshot),
                    };
                }
                Err(mut findings) => {
                    findings.0.truncate(KEPT_FINDINGS);
                    Reason::Text(findings)
                }
            }
        } else {
            Reason::Base {
                base: publication.base,
                in_force,
                author: self
                    .folded()
                    .map_or_else(Box::default, |folded| folded.author.clone()),
            }
        };
        Step::Rejected {
            offset,
            id: publication.id,
            author: publication.author,
            reason,
        }
    }

    fn accept(&mut self, snapshot: &Arc<Snapshot>, steps: &mut Vec<Step>) {
        if let State::Folding { folded, .. } = &mut self.state {
            assert!(generation(folded.as_ref()) < snapshot.generation);
            *folded = Some(Arc::clone(snapshot));
        }
        self.adopt(Some(snapshot), steps);
    }

    /// Puts a result of the fold in force unless something later has been learned already.
    fn adopt(&mut self, folded: Option<&Arc<Snapshot>>, steps: &mut Vec<Step>) {
        let Some(folded) = folded else {
            return;
        };
        let before = self.generation();
        if folded.generation > before {
            self.in_force = Some(Arc::clone(folded));
        }
        let learned = self.in_force().is_some_and(|learned| {
            learned.generation == folded.generation && learned.text != folded.text
        });
        if learned {
            steps.push(Step::Conflict {
                generation: folded.generation,
            });
        }
        assert!(self.generation() >= before);
    }

    /// Whether a checkpoint agrees with this fold, as far as it can tell: if nothing was accepted
    /// after the checkpoint's prefix, the result is still that of the prefix.
    fn confirms(&self, checkpoint: &Checkpoint) -> bool {
        let folded = self.folded();
        let now = generation(folded);
        if now.0 > checkpoint.read_through.0 {
            return checkpoint.generation < now;
        }
        checkpoint.generation == now && *checkpoint.text == *folded.map_or("", |f| &f.text)
    }

    /// Reports a generation in force that the fold has passed, since `before`, without accepting it.
    fn check_learned(&self, before: Offset, steps: &mut Vec<Step>) {
        let generation = self.generation();
        let offset = Offset(generation.0);
        let passed = before < offset && self.position() >= Some(offset);
        if passed && self::generation(self.folded()) != generation {
            steps.push(Step::Conflict { generation });
        }
    }
}

fn generation(snapshot: Option<&Arc<Snapshot>>) -> Generation {
    snapshot.map_or(Generation(0), |snapshot| snapshot.generation)
}

fn parse(checkpoint: &Checkpoint) -> Result<Option<Arc<Snapshot>>, Findings> {
    if checkpoint.generation == Generation(0) {
        return Ok(None);
    }
    let snapshot = Snapshot::parse(checkpoint.generation, &checkpoint.author, &checkpoint.text)?;
    Ok(Some(Arc::new(snapshot)))
}

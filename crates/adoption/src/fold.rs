//! The fold of the configuration stream.

use crate::record::{Checkpoint, Decoded, FORMAT, Id, Publication, Record};
use crate::snapshot::Snapshot;
use entity::{Findings, Generation, Offset};
use std::sync::Arc;

/// Maximum number of findings that a rejection keeps, which bounds the memory that a corrupt text
/// takes on every instance.
const MAX_REJECTION_FINDINGS: usize = 100;

/// Reply of the log to a read: consecutive records from the requested offset on or, if that has
/// expired, from the first retained one on.
#[derive(Clone, Debug)]
pub struct Page<'a> {
    /// Offset of the first retained record of the stream.
    pub first: Offset,
    /// Offset of the next append.
    pub next: Offset,
    /// Offsets and bytes of the records, in order.
    pub records: Vec<(Offset, &'a [u8])>,
}

/// Effect of a record or of a page on the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The publication was accepted and is the result of the fold from here on.
    Accepted {
        /// Id of the publication.
        id: Id,
        /// The accepted configuration. Its generation is the offset of this record.
        snapshot: Arc<Snapshot>,
    },
    /// The publication was rejected and changes nothing.
    Rejected {
        /// Offset of this copy of the publication.
        offset: Offset,
        /// Id of the publication.
        id: Id,
        /// Operator who published it.
        author: Box<str>,
        /// Reason of the rejection.
        reason: Reason,
    },
    /// A checkpoint was read, which changes nothing.
    Checkpoint {
        /// Offset of the record.
        offset: Offset,
    },
    /// The bytes are no record of any release, and change nothing.
    Malformed {
        /// Offset of the record.
        offset: Offset,
    },
    /// A fresh reader started from a checkpoint and folds the records after its prefix.
    Started {
        /// Offset of the last record of the prefix.
        read_through: Offset,
        /// Configuration in force after the prefix.
        snapshot: Option<Arc<Snapshot>>,
    },
    /// Records expired before this reader read them. It is fresh again, and its generation stays in
    /// force.
    Restarted {
        /// Offset of the first retained record.
        first: Offset,
    },
    /// Two sources disagree about a generation, which shows a fault in one of them. The fold keeps
    /// its own result.
    Conflict {
        /// Generation that the other source states.
        generation: Generation,
    },
}

/// Reasons why a publication is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The publication was edited from another generation than the one in force.
    Base {
        /// Generation that the publication was edited from.
        base: Generation,
        /// Generation that was in force.
        in_force: Generation,
        /// Operator who published the generation in force.
        author: Box<str>,
    },
    /// The text has findings; only the first ones are kept.
    Text(Findings),
}

/// Reasons why the fold can't continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A record has the format of another release.
    #[error("the record at offset {offset} has format {format}; this release reads {FORMAT}")]
    Format {
        /// Offset of the record.
        offset: Offset,
        /// Format of the record.
        format: u32,
    },
    /// The log omitted a record, although its offsets have no gaps.
    #[error("the log returned offset {offset}, but {expected} was expected")]
    Gap {
        /// Offset of the next record to fold.
        expected: Offset,
        /// Offset that the log returned.
        offset: Offset,
    },
    /// The log ends before records that this reader has folded.
    #[error(
        "the log ends before offset {next}, but offset {expected} was expected: it has lost records"
    )]
    Rewound {
        /// Offset of the next record to fold.
        expected: Offset,
        /// Offset of the next append.
        next: Offset,
    },
    /// A peer's text has the format of another release.
    #[error("generation {generation} has format {format}; this release reads {FORMAT}")]
    Learned {
        /// Generation of the text.
        generation: Generation,
        /// Format of the text.
        format: u32,
    },
}

/// State of the fold.
#[derive(Clone, Debug)]
enum State {
    /// The result before the buffered records is unknown.
    Fresh {
        /// Consecutive records, buffered until a checkpoint gives the result before one of them.
        records: Vec<(Offset, Decoded)>,
    },
    /// All records through `position` are folded.
    Folding {
        position: Offset,
        folded: Option<Arc<Snapshot>>,
    },
}

/// The fold of one reader, together with the text that it learned from peers.
///
/// Safety rests on three invariants. The result after a prefix is a function of the prefix. The
/// resulting generation never decreases as the prefix grows, since it is the offset of a record in
/// the prefix. The generation in force here is the higher of the fold's result and of the learned
/// one, and neither ever decreases.
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
    /// Creates a fresh reader.
    pub fn new() -> Self {
        Self {
            state: State::Fresh {
                records: Vec::new(),
            },
            in_force: None,
        }
    }

    /// Returns the offset to read from.
    pub fn next_offset(&self) -> Offset {
        match &self.state {
            State::Fresh { records } => records
                .last()
                .map_or(Offset(1), |(offset, _)| offset.next()),
            State::Folding { position, .. } => position.next(),
        }
    }

    /// Returns the offset of the last folded record, or `None` while the reader is fresh.
    pub fn position(&self) -> Option<Offset> {
        match &self.state {
            State::Fresh { .. } => None,
            State::Folding { position, .. } => Some(*position),
        }
    }

    /// Returns the configuration in force here: the later one of the fold's result and the learned
    /// text.
    pub fn in_force(&self) -> Option<&Arc<Snapshot>> {
        self.in_force.as_ref()
    }

    /// Returns the generation in force here, or 0 if there is none.
    pub fn generation(&self) -> Generation {
        generation(self.in_force.as_ref())
    }

    /// Returns the result of the fold at [`position`](Self::position), regardless of learned texts.
    pub fn folded(&self) -> Option<&Arc<Snapshot>> {
        match &self.state {
            State::Fresh { .. } => None,
            State::Folding { folded, .. } => folded.as_ref(),
        }
    }

    /// Returns the number of records that a fresh reader buffers until it finds a checkpoint.
    pub fn buffered(&self) -> usize {
        match &self.state {
            State::Fresh { records } => records.len(),
            State::Folding { .. } => 0,
        }
    }

    /// Returns the checkpoint of the current position, or `None` while the reader is fresh.
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

    /// Folds a page of the stream and appends its effects to `steps`.
    ///
    /// Records before [`next_offset`](Self::next_offset) are skipped, so a page can be passed
    /// again.
    ///
    /// # Errors
    ///
    /// [`Error::Format`] at a record of another release. The fold stops before it, since its
    /// verdict and the result of everything after it are unknown here. [`Error::Gap`] if the page
    /// is not consecutive. [`Error::Rewound`] if the log has lost records: the records in their
    /// place are not folded, since generations would decrease.
    pub fn read(&mut self, page: &Page<'_>, steps: &mut Vec<Step>) -> Result<(), Error> {
        if page.next < self.next_offset() {
            return Err(Error::Rewound {
                expected: self.next_offset(),
                next: page.next,
            });
        }
        self.check_gap(page.first, steps);
        self.begin(page.first);
        for (offset, data) in &page.records {
            if *offset < self.next_offset() {
                continue;
            }
            self.record(*offset, Record::decode(data), steps)?;
        }
        Ok(())
    }

    /// Applies a text that a peer sent. A higher generation is in force at once; a lower one
    /// changes nothing. Returns whether this call put the text in force.
    ///
    /// The peer folded the same stream, so the local fold will reach the same result. If the two
    /// disagree, a [`Step::Conflict`] is appended to `steps`.
    ///
    /// # Errors
    ///
    /// [`Error::Learned`] if the text has the format of another release.
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

    /// Resets the reader to fresh if records expired that it has not read.
    fn check_gap(&mut self, first: Offset, steps: &mut Vec<Step>) {
        if first <= self.next_offset() {
            return;
        }
        let had_started = self.position().is_some() || self.buffered() > 0;
        self.state = State::Fresh {
            records: Vec::new(),
        };
        if had_started {
            steps.push(Step::Restarted { first });
        }
    }

    /// Starts without a checkpoint if the whole stream is retained, since nothing is in force at
    /// its beginning.
    fn begin(&mut self, first: Offset) {
        if first == Offset(1) && self.position().is_none() && self.buffered() == 0 {
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
        let expected = self.next_offset();
        let State::Fresh { records } = &mut self.state else {
            return self.fold(offset, decoded, steps);
        };
        if !records.is_empty() && offset != expected {
            return Err(Error::Gap { expected, offset });
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

    /// Starts from a checkpoint if every record after its prefix is buffered.
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

    /// Folds the record that follows the position.
    fn fold(
        &mut self,
        offset: Offset,
        decoded: Decoded,
        steps: &mut Vec<Step>,
    ) -> Result<(), Error> {
        let expected = self.next_offset();
        if offset != expected {
            return Err(Error::Gap { expected, offset });
        }
        match decoded {
            Decoded::Foreign(format) => return Err(Error::Format { offset, format }),
            Decoded::Malformed => steps.push(Step::Malformed { offset }),
            Decoded::Record(Record::Publication(publication)) => {
                let step = self.evaluate(offset, publication);
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
            unreachable!("a fresh reader buffers records and folds none");
        };
        let before = std::mem::replace(position, offset);
        self.check_learned(before, steps);
        Ok(())
    }

    /// Applies the acceptance rule: the text is valid, and its base is the generation in force.
    fn evaluate(&self, offset: Offset, publication: Publication) -> Step {
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
                    findings.0.truncate(MAX_REJECTION_FINDINGS);
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

    /// Puts a result of the fold in force unless a later text has been learned.
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

    /// Whether a checkpoint is consistent with this fold. If no publication was accepted after the
    /// checkpoint's prefix, the result is still that of the prefix and has to be equal.
    fn confirms(&self, checkpoint: &Checkpoint) -> bool {
        let folded = self.folded();
        let now = generation(folded);
        if now.0 > checkpoint.read_through.0 {
            return checkpoint.generation < now;
        }
        checkpoint.generation == now && *checkpoint.text == *folded.map_or("", |f| &f.text)
    }

    /// Reports a conflict if the fold has passed the generation in force, since `before`, without
    /// accepting it.
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

//! How a publisher learns the one true verdict on its publication.
//!
//! An append whose reply was lost may or may not have taken effect, and can still take effect late.
//! So the publisher appends copies with one id until a copy is confirmed, or seen in the stream, and
//! then answers with the verdict on the first copy in the log. That verdict is final, whatever copies
//! come later:
//!
//! - If the first copy was accepted, what is in force is later than its base from there on, and every
//!   further copy has that same base.
//! - If it was rejected because its base was not in force: the publisher had seen the base in force
//!   before it appended, so that something later was in force; generations never fall, so that the
//!   base is never in force again.
//! - If its text has findings, every further copy has them too.
//!
//! A copy that is not the first would answer wrongly: after an accepted first copy it is rejected.

use crate::fold::{Fold, Reason, Step};
use crate::record::{Id, Publication, Record};
use entity::{Generation, Offset};

/// The answer to a publisher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It went into force as this generation.
    Accepted(Generation),
    /// It never went into force and never will.
    Rejected(Reason),
    /// Its copies expired before they were read.
    Unknown,
}

/// A publisher none of whose appends has been confirmed.
#[derive(Clone, Debug)]
pub struct Appending {
    publication: Publication,
    since: Offset,
}

/// A publisher one of whose appends has been confirmed.
#[derive(Clone, Debug)]
pub struct Reading {
    id: Id,
    since: Offset,
}

/// Why a publication can't be published from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The stream could not be folded up to its end.
    #[error("it is not known what is in force: the log holds no checkpoint to start from")]
    Fresh,
    /// The base is a generation that this reader has not reached.
    #[error("base {base} is later than generation {in_force}, which is in force")]
    Base {
        /// The base.
        base: Generation,
        /// The generation in force.
        in_force: Generation,
    },
}

impl Appending {
    /// A publisher whose fold has the base, or something later, in force.
    ///
    /// # Errors
    ///
    /// Those of [`Error`]; without them the verdict on the first copy would not be final.
    pub fn new(publication: Publication, fold: &Fold) -> Result<Self, Error> {
        let since = fold.position().ok_or(Error::Fresh)?;
        let in_force = fold
            .folded()
            .map_or(Generation(0), |folded| folded.generation);
        if publication.base > in_force {
            return Err(Error::Base {
                base: publication.base,
                in_force,
            });
        }
        Ok(Self { publication, since })
    }

    /// The record to append, and to append again whenever a reply is lost.
    pub fn record(&self) -> Record {
        Record::Publication(self.publication.clone())
    }

    /// An append was confirmed, or certainly took effect.
    pub fn confirmed(self) -> Reading {
        Reading {
            id: self.publication.id,
            since: self.since,
        }
    }

    /// Looks for a copy among what the fold did; seeing one confirms an append.
    pub fn observe(&self, steps: &[Step]) -> Option<Outcome> {
        observe(self.publication.id, self.since, steps)
    }
}

impl Reading {
    /// Looks for the first copy among what the fold did since the publisher began, in order.
    pub fn observe(&self, steps: &[Step]) -> Option<Outcome> {
        observe(self.id, self.since, steps)
    }
}

fn observe(id: Id, since: Offset, steps: &[Step]) -> Option<Outcome> {
    for step in steps {
        match step {
            Step::Accepted {
                id: other,
                snapshot,
            } if *other == id => {
                return Some(Outcome::Accepted(snapshot.generation));
            }
            Step::Rejected {
                id: other, reason, ..
            } if *other == id => return Some(Outcome::Rejected(reason.clone())),
            // The prefix of the checkpoint can hold the first copy.
            Step::Started { read_through, .. } if *read_through > since => {
                return Some(Outcome::Unknown);
            }
            _ => {}
        }
    }
    None
}

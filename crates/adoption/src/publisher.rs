//! The publisher's side of the protocol, which determines the verdict on a publication.
//!
//! An append whose reply was lost may or may not have taken effect, and can still take effect
//! later. The publisher therefore appends copies with one id until a copy is confirmed, or read
//! from the stream, and then reports the verdict on the first copy in the log. Later copies can't
//! change that verdict:
//!
//! - If the first copy was accepted, the generation in force is later than its base from there on,
//!   and every further copy has that same base.
//! - If it was rejected because its base was not in force: the publisher had read the base as in
//!   force before it appended, so a later generation was in force. Generations never decrease, so
//!   the base is never in force again.
//! - If its text has findings, every further copy has them too.
//!
//! The verdict on a later copy would be wrong: after an accepted first copy it is rejected.

use crate::fold::{Fold, Reason, Step};
use crate::record::{Id, Publication, Record};
use entity::{Generation, Offset};

/// Outcome of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The publication went into force as this generation.
    Accepted(Generation),
    /// The publication did not go into force and never will.
    Rejected(Reason),
    /// All copies expired before they were read, so the verdict is unknown.
    Unknown,
}

/// A publisher without a confirmed append.
#[derive(Clone, Debug)]
pub struct Appending {
    publication: Publication,
    since: Offset,
}

/// A publisher with a confirmed append, which reads the stream for the verdict.
#[derive(Clone, Debug)]
pub struct Reading {
    id: Id,
    since: Offset,
}

/// Reasons why a publication can't start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The stream could not be folded to its end.
    #[error("it is not known what is in force: the log holds no checkpoint to start from")]
    Fresh,
    /// The base is a generation that this reader has not reached.
    #[error("base {base} is later than generation {in_force}, which is in force")]
    Base {
        /// Base of the publication.
        base: Generation,
        /// Generation in force.
        in_force: Generation,
    },
}

impl Appending {
    /// Creates a publisher. Its fold must have the base, or a later generation, in force.
    ///
    /// # Errors
    ///
    /// Fails with [`Error`] if the fold has not reached the base: the verdict on the first copy
    /// would not be final.
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

    /// Returns the record to append, and to append again whenever a reply is lost.
    pub fn record(&self) -> Record {
        Record::Publication(self.publication.clone())
    }

    /// Continues after an append was confirmed, or is certain to have taken effect.
    pub fn confirmed(self) -> Reading {
        Reading {
            id: self.publication.id,
            since: self.since,
        }
    }

    /// Searches the steps of the fold for a copy. Finding one confirms an append.
    pub fn observe(&self, steps: &[Step]) -> Option<Outcome> {
        observe(self.publication.id, self.since, steps)
    }
}

impl Reading {
    /// Searches the steps of the fold for the first copy. The steps since the publisher was created
    /// have to be passed in order.
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
            // The prefix of the checkpoint may contain the first copy.
            Step::Started { read_through, .. } if *read_through > since => {
                return Some(Outcome::Unknown);
            }
            _ => {}
        }
    }
    None
}

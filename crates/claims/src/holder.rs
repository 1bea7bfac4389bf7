//! The states of one attempt as types: `Pending` → `Won` → `Dispatched` → `Settled`.
//!
//! No state can be cloned and each transition consumes the previous state. An attempt can therefore
//! be dispatched neither twice, nor before its own claim was read, nor after it was released.
//!
//! A second dispatch does not compile:
//!
//! ```compile_fail,E0382
//! fn twice(won: claims::holder::Won) {
//!     let first = won.dispatch();
//!     let second = won.dispatch();
//! }
//! ```
//!
//! A dispatch before the claim was read does not compile either:
//!
//! ```compile_fail,E0599
//! fn unread(pending: claims::holder::Pending) {
//!     let dispatched = pending.dispatch();
//! }
//! ```

use crate::fold::{Decision, Fold, Position, Status};
use crate::key::{AttemptNumber, Created};
use crate::record::{Answer, Claim, Outcome, Record, Release};
use crate::window::{Phase, Window};
use entity::request::Ran;

/// The claim is being appended to the log, or was appended and not yet read.
#[derive(Debug)]
pub struct Pending {
    claim: Claim,
    created: Created,
    window: Window,
}

/// Result of reading the log for an attempt's own claim.
#[derive(Debug)]
pub enum Reading {
    /// The claim was not read yet.
    Unread(Pending),
    /// The claim is the first one of its key.
    Won(Won),
    /// The claim can't win.
    Lost(Lost),
    /// The claim is the first among those retained, but too late to exclude that an earlier one
    /// expired, or the creation time of its key lies in the future.
    Expired(Released),
}

/// The attempt holds the key and has not been dispatched.
#[derive(Debug)]
pub struct Won(Pending);

/// The attempt was sent to an upstream.
#[derive(Debug)]
pub struct Dispatched(Pending);

/// The attempt was answered.
#[derive(Debug)]
pub struct Settled {
    outcome: Outcome,
}

/// The attempt can't win.
#[derive(Debug)]
pub struct Lost {
    pending: Pending,
    decision: Decision,
}

/// The attempt was released and will never be dispatched.
#[derive(Debug)]
pub struct Released(Pending);

/// Evidence that a dispatched request did not run: the upstream itself stated so, or no byte of the
/// request was sent.
#[derive(Debug)]
pub struct NotRun;

impl Pending {
    /// Creates an attempt that is about to append `claim` for a key created at `created`.
    pub fn open(claim: Claim, created: Created, window: Window) -> Self {
        Self {
            claim,
            created,
            window,
        }
    }

    /// Returns the record to append, and to append again whenever a reply is lost.
    pub fn record(&self) -> Record {
        Record::Claim(self.claim.clone())
    }

    /// Looks up the log's decision on the claim in the records read so far.
    pub fn read(self, fold: &Fold) -> Reading {
        let Some((decision, at)) = fold.decision(self.claim.key, self.claim.attempt) else {
            return Reading::Unread(self);
        };
        if decision != Decision::Won {
            let pending = self;
            return Reading::Lost(Lost { pending, decision });
        }
        if !self.is_retained(fold, at) {
            return Reading::Expired(Released(self));
        }
        debug_assert_eq!(
            fold.status(self.claim.key),
            Status::Held(self.claim.attempt)
        );
        Reading::Won(Won(self))
    }

    /// Whether all earlier records of the key are certain to be retained and read, given a record
    /// of the key at `at`.
    fn is_retained(&self, fold: &Fold, at: Position) -> bool {
        let open = self.window.phase(self.created, at.time_ms) == Phase::Open;
        open && at.offset >= fold.live_from()
    }

    /// Returns whether an attempt up to this number may have run, if the claim is released before
    /// it was read.
    pub fn ran_if_unread(&self) -> Ran {
        self.ran_by_number()
    }

    /// Releases the attempt before its claim was read.
    pub fn release(self) -> Released {
        Released(self)
    }

    /// Returns [`Ran::No`] if the records read prove that no attempt up to this number ran or will
    /// run.
    fn excluded(&self, fold: &Fold) -> Ran {
        let claim = &self.claim;
        if !fold.excludes(claim.key, claim.attempt_number) {
            return Ran::Maybe;
        }
        let decision = fold.decision(claim.key, claim.attempt);
        if decision.is_some_and(|(_, at)| self.is_retained(fold, at)) {
            return Ran::No;
        }
        self.ran_by_number()
    }

    /// Returns [`Ran::No`] if the caller's attempt number alone proves, without the log, that no
    /// earlier attempt ran: it is the first one.
    fn ran_by_number(&self) -> Ran {
        if self.claim.attempt_number == AttemptNumber::FIRST {
            return Ran::No;
        }
        Ran::Maybe
    }
}

impl Won {
    /// Permits the single dispatch.
    pub fn dispatch(self) -> Dispatched {
        Dispatched(self.0)
    }

    /// Releases the key without a dispatch.
    pub fn release(self) -> Released {
        Released(self.0)
    }
}

impl Dispatched {
    /// Completes the attempt with the response of the upstream.
    pub fn settle(self, answer: Answer) -> Settled {
        let claim = self.0.claim;
        let outcome = Outcome {
            key: claim.key,
            attempt: claim.attempt,
            fingerprint: claim.fingerprint,
            answer,
        };
        Settled { outcome }
    }

    /// Reverts the dispatch after the request certainly did not run.
    pub fn retract(self, _: NotRun) -> Won {
        Won(self.0)
    }
}

impl Settled {
    /// Returns the record to append, and to append again whenever a reply is lost.
    pub fn record(&self) -> Record {
        Record::Outcome(self.outcome.clone())
    }
}

impl Lost {
    /// Returns the log's decision, which states why the attempt can't win.
    pub fn decision(&self) -> Decision {
        self.decision
    }

    /// Returns the stored response of the key, if it is among the records read.
    pub fn answer<'a>(&self, fold: &'a Fold) -> Option<&'a Answer> {
        match fold.status(self.pending.claim.key) {
            Status::Settled(answer) => Some(answer),
            Status::Free | Status::Held(_) | Status::Foreign => None,
        }
    }

    /// Returns whether an attempt up to this number may have run.
    pub fn ran(&self, fold: &Fold) -> Ran {
        if self.decision != Decision::Excluded {
            return Ran::Maybe;
        }
        self.pending.excluded(fold)
    }
}

impl Released {
    /// Returns the record to append, and to append again whenever a reply is lost.
    pub fn record(&self) -> Record {
        Record::Release(Release {
            key: self.0.claim.key,
            attempt: self.0.claim.attempt,
            attempt_number: self.0.claim.attempt_number,
        })
    }

    /// Returns whether an attempt up to this number may have run, before the release was read.
    pub fn ran_if_unread(&self) -> Ran {
        self.0.ran_by_number()
    }

    /// Returns whether an attempt up to this number may have run, or `None` until the release was
    /// read.
    pub fn read(&self, fold: &Fold) -> Option<Ran> {
        let claim = &self.0.claim;
        let (decision, _) = fold.decision(claim.key, claim.attempt)?;
        if decision != Decision::Released {
            return None;
        }
        Some(self.0.excluded(fold))
    }
}

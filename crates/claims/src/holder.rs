//! The life cycle of one attempt, by typestate: `Pending` → `Won` → `Dispatched` → `Settled`.
//!
//! No state can be cloned and each step consumes the state before it, so an attempt can neither be
//! dispatched twice nor before its own claim was read, nor after it was released.
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
//! Nor does one before the claim was read:
//!
//! ```compile_fail,E0599
//! fn unread(pending: claims::holder::Pending) {
//!     let dispatched = pending.dispatch();
//! }
//! ```

use crate::fold::{Fold, Position, Standing, Status};
use crate::key::{Created, Sending};
use crate::record::{Answer, Claim, Outcome, Record, Release};
use crate::window::{Phase, Window};
use entity::request::Ran;

/// The claim is on its way to the log, or was appended and not yet read.
#[derive(Debug)]
pub struct Pending {
    claim: Claim,
    created: Created,
    window: Window,
}

/// What a holder reads about its own claim.
#[derive(Debug)]
pub enum Reading {
    /// The claim was not read yet.
    Unread(Pending),
    /// The claim is the first.
    Won(Won),
    /// The claim can't win.
    Lost(Lost),
    /// The claim came first among those that are still retained, but too late to be sure that no
    /// earlier one was forgotten, or its key lies in the future.
    Expired(Released),
}

/// The attempt holds the key and has not dispatched.
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
    standing: Standing,
}

/// The attempt will never dispatch.
#[derive(Debug)]
pub struct Released(Pending);

/// The upstream itself said that it did not run the request, or no byte of it was sent.
#[derive(Debug)]
pub struct NotRun;

impl Pending {
    /// An attempt that is about to append `claim` for a key made at `created`.
    pub fn open(claim: Claim, created: Created, window: Window) -> Self {
        Self {
            claim,
            created,
            window,
        }
    }

    /// The record to append, as often as the reply is lost.
    pub fn record(&self) -> Record {
        Record::Claim(self.claim.clone())
    }

    /// Compares the claim with what has been read.
    pub fn read(self, fold: &Fold) -> Reading {
        let Some((standing, at)) = fold.standing(self.claim.key, self.claim.attempt) else {
            return Reading::Unread(self);
        };
        if standing != Standing::Won {
            let pending = self;
            return Reading::Lost(Lost { pending, standing });
        }
        if !self.remembered(fold, at) {
            return Reading::Expired(Released(self));
        }
        debug_assert_eq!(
            fold.status(self.claim.key),
            Status::Held(self.claim.attempt)
        );
        Reading::Won(Won(self))
    }

    /// Whether a record at `at` is certain to be read together with all earlier ones of its key.
    fn remembered(&self, fold: &Fold, at: Position) -> bool {
        let open = self.window.phase(self.created, at.time_ms) == Phase::Open;
        open && at.offset >= fold.complete()
    }

    /// What may be said of sendings up to this one if it is given up now.
    pub fn unread(&self) -> Ran {
        self.first_sending()
    }

    /// Gives up before the claim was read.
    pub fn release(self) -> Released {
        Released(self)
    }

    /// Whether the records read prove that no sending up to this one ran or will run.
    fn excluded(&self, fold: &Fold) -> Ran {
        let claim = &self.claim;
        if !fold.excludes(claim.key, claim.sending) {
            return Ran::Maybe;
        }
        let standing = fold.standing(claim.key, claim.attempt);
        if standing.is_some_and(|(_, at)| self.remembered(fold, at)) {
            return Ran::No;
        }
        self.first_sending()
    }

    /// What the caller's own statement proves, where the log says nothing.
    fn first_sending(&self) -> Ran {
        if self.claim.sending == Sending::FIRST {
            return Ran::No;
        }
        Ran::Maybe
    }
}

impl Won {
    /// Permits the one dispatch.
    pub fn dispatch(self) -> Dispatched {
        Dispatched(self.0)
    }

    /// Gives up without a dispatch.
    pub fn release(self) -> Released {
        Released(self.0)
    }
}

impl Dispatched {
    /// Records the answer.
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

    /// Takes the dispatch back after the upstream certainly did not run it.
    pub fn retract(self, _: NotRun) -> Won {
        Won(self.0)
    }
}

impl Settled {
    /// The record to append, as often as the reply is lost.
    pub fn record(&self) -> Record {
        Record::Outcome(self.outcome.clone())
    }
}

impl Lost {
    /// Why the attempt can't win.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// The answer of the key, if the records read hold it.
    pub fn answer<'a>(&self, fold: &'a Fold) -> Option<&'a Answer> {
        match fold.status(self.pending.claim.key) {
            Status::Settled(answer) => Some(answer),
            Status::Free | Status::Held(_) | Status::Foreign => None,
        }
    }

    /// Whether a sending up to this one may have run.
    pub fn ran(&self, fold: &Fold) -> Ran {
        if self.standing != Standing::Excluded {
            return Ran::Maybe;
        }
        self.pending.excluded(fold)
    }
}

impl Released {
    /// The record to append, as often as the reply is lost.
    pub fn record(&self) -> Record {
        Record::Release(Release {
            key: self.0.claim.key,
            attempt: self.0.claim.attempt,
            sending: self.0.claim.sending,
        })
    }

    /// Whether a sending up to this one may have run, before the release was read.
    pub fn unread(&self) -> Ran {
        self.0.first_sending()
    }

    /// Whether a sending up to this one may have run; `None` until the release was read.
    pub fn read(&self, fold: &Fold) -> Option<Ran> {
        let claim = &self.0.claim;
        let (standing, _) = fold.standing(claim.key, claim.attempt)?;
        if standing != Standing::Released {
            return None;
        }
        Some(self.0.excluded(fold))
    }
}

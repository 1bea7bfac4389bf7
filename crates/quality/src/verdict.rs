//! Verdicts on roll-outs: records of the `verdicts` stream, and what instances tell each other.
//!
//! A brake holds for the roll-out as the text states it, over any number of later texts that leave
//! the roll-out alone. The first instance that adopts a text which states the roll-out otherwise, or
//! no longer, records a lift with that text's generation: brakes of earlier generations are void
//! from then on, also where the old statement comes back. An instance that knows a brake and not its
//! lift can only be braked for too long, never too short.

use crate::evidence::Finding;
use entity::unit::Share;
use entity::{Generation, Moment, name};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// A roll-out as the text states it, by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The service.
    pub service: name::Service,
    /// The version in service.
    pub from: name::Version,
    /// The new version.
    pub to: name::Version,
    /// The share of new sessions at the beginning.
    pub share: Share,
    /// The largest share to which ratings may raise it.
    pub limit: Share,
    /// The rate of false alarms over the whole roll-out.
    pub false_alarm: Share,
}

/// A decision on a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum Verdict {
    /// The new version receives no new work for the service.
    Brake(Brake),
    /// Brakes of earlier generations are void.
    Lift(Lift),
}

/// A brake, with its evidence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Brake {
    /// The roll-out that is braked.
    pub rollout: Rollout,
    /// The generation in force at the instance that braked.
    pub generation: Generation,
    /// When it braked, in microseconds since the Unix epoch.
    pub at: Moment,
    /// What it was decided on.
    pub evidence: Finding,
}

/// A lift of the brakes of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lift {
    /// The service.
    pub service: name::Service,
    /// The generation whose text states the roll-out otherwise.
    pub generation: Generation,
}

/// Why a record is not a verdict.
#[derive(Debug, thiserror::Error)]
#[error("not a verdict: {0}")]
pub struct Error(#[from] serde_json::Error);

impl Verdict {
    /// The service that the verdict is about.
    pub fn service(&self) -> &name::Service {
        match self {
            Self::Brake(brake) => &brake.rollout.service,
            Self::Lift(lift) => &lift.service,
        }
    }

    /// The verdict as a record of the `verdicts` stream.
    pub fn to_record(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a verdict has only finite numbers and text keys")
    }

    /// The verdict that a record of the `verdicts` stream holds.
    ///
    /// # Errors
    ///
    /// The record is not JSON, or not of this form.
    pub fn from_record(record: &[u8]) -> Result<Self, Error> {
        Ok(serde_json::from_slice(record)?)
    }
}

impl Brake {
    /// The order of brakes of different roll-outs in a list.
    pub(crate) fn order(&self, other: &Self) -> Ordering {
        self.rollout.key().cmp(&other.rollout.key())
    }

    /// Which of two brakes of the same roll-out is kept: the one of the later generation, then the
    /// earlier one, then any fixed order, so that all instances keep the same.
    pub(crate) fn rank(&self, other: &Self) -> Ordering {
        self.generation
            .cmp(&other.generation)
            .then(other.at.cmp(&self.at))
            .then(self.evidence.log_value.total_cmp(&other.evidence.log_value))
            .then(self.evidence.ratings.cmp(&other.evidence.ratings))
            .then(self.evidence.mean.cmp(&other.evidence.mean))
            .then(self.evidence.log_limit.total_cmp(&other.evidence.log_limit))
    }
}

impl Rollout {
    fn key(&self) -> (&name::Version, &name::Version, Share, Share, Share) {
        (
            &self.from,
            &self.to,
            self.share,
            self.limit,
            self.false_alarm,
        )
    }
}

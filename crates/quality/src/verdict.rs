//! Verdicts on rollouts: records of the `verdicts` stream, which are also exchanged between
//! instances.
//!
//! A brake applies to a rollout as the configuration states it, over any number of later
//! configurations that leave that rollout unchanged. The first instance that adopts a configuration
//! which changes or removes the rollout records a lift with the generation of that configuration.
//! From then on brakes of earlier generations are void, even if the old statement is restored. An
//! instance that has received a brake but not yet its lift keeps the version braked for too long,
//! never for too short a time.

use crate::evidence::Finding;
use entity::unit::Share;
use entity::{Generation, Moment, name};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// A rollout as the configuration states it, with names instead of ids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The service that is rolled out.
    pub service: name::Service,
    /// The baseline version.
    pub from: name::Version,
    /// The candidate version.
    pub to: name::Version,
    /// Initial canary share of new sessions.
    pub share: Share,
    /// Maximum canary share that good ratings can lead to.
    pub limit: Share,
    /// Bound on the probability of a false alarm over the whole rollout.
    pub false_alarm: Share,
}

/// A decision about a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum Verdict {
    /// Stops new work of the service on the candidate version.
    Brake(Brake),
    /// Voids the brakes of earlier generations.
    Lift(Lift),
}

/// A brake and the evidence behind it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Brake {
    /// The braked rollout.
    pub rollout: Rollout,
    /// Generation in force at the instance that braked.
    pub generation: Generation,
    /// Time of the decision, in microseconds since the Unix epoch.
    pub at: Moment,
    /// The evidence at the time of the decision.
    pub evidence: Finding,
}

/// A lift of a service's brakes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lift {
    /// The service that is rolled out.
    pub service: name::Service,
    /// Generation of the configuration that changes or removes the rollout.
    pub generation: Generation,
}

/// The error for a record that cannot be decoded as a verdict.
#[derive(Debug, thiserror::Error)]
#[error("invalid verdict record: {0}")]
pub struct Error(#[from] serde_json::Error);

impl Verdict {
    /// Returns the service that the verdict applies to.
    pub fn service(&self) -> &name::Service {
        match self {
            Self::Brake(brake) => &brake.rollout.service,
            Self::Lift(lift) => &lift.service,
        }
    }

    /// Encodes the verdict as a record of the `verdicts` stream.
    pub fn to_record(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a verdict has only finite numbers and string keys")
    }

    /// Decodes a record of the `verdicts` stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is not valid JSON or not an encoded verdict.
    pub fn from_record(record: &[u8]) -> Result<Self, Error> {
        Ok(serde_json::from_slice(record)?)
    }
}

impl Brake {
    /// Compares brakes of different rollouts to sort lists of brakes.
    pub(crate) fn order(&self, other: &Self) -> Ordering {
        self.rollout.key().cmp(&other.rollout.key())
    }

    /// Compares two brakes of the same rollout; the greater one is kept. The later generation ranks
    /// higher, then the earlier time, then any fixed order, so that all instances keep the same
    /// brake.
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

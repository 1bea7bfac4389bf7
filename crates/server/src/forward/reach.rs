//! What beacons carry to other availability zones, where traffic is billed.
//!
//! Whatever every instance has to know soon goes to all: records of the store, rulings, steps,
//! departures, limits and suspects. Evidence on trials is bounded, since the receiving zone passes it on
//! by itself, and counts only grow, so that no peer loses by a beacon without some of them.

use peer::beacon;
use peer::message::{Beacon, Counted, Ruling, Trial};
use rand::Rng;
use rand::seq::IndexedRandom;

/// Number of incarnations, besides the sender's, whose evidence goes to other zones in one beacon. The
/// sample also has incarnations that have ended, which send nothing themselves.
pub const FAR_EVIDENCE_COUNT: usize = 5;
/// Number of peers that a beacon to another zone mentions. Its sender is heard of by the beacon itself.
const FAR_ACQUAINTANCE_COUNT: usize = 2;

/// Encodes a beacon for the own zone and for other zones. Among few instances both are the same.
///
/// # Errors
///
/// Returns an error if the beacon can't be encoded; a well-formed one always can.
pub fn encode(beacon: &Beacon, are_few: bool) -> Result<(Vec<u8>, Vec<u8>), beacon::Error> {
    let near = beacon::encode(beacon)?;
    let far = if are_few {
        near.clone()
    } else {
        beacon::encode(&for_other_zones(beacon, &mut rand::rng()))?
    };
    Ok((near, far))
}

/// Returns what a beacon carries to other zones.
pub fn for_other_zones(beacon: &Beacon, random: &mut impl Rng) -> Beacon {
    let mut far = beacon.clone();
    for trial in &mut far.trials {
        trial.evidence = evidence(trial, random);
    }
    if let Some(acquaintances) = &mut far.acquaintances {
        acquaintances.truncate(FAR_ACQUAINTANCE_COUNT);
    }
    far
}

/// Returns the evidence that goes to other zones: none after the ruling, which is final, otherwise that of
/// the sender, which comes first, and a random sample of the rest.
fn evidence(trial: &Trial, random: &mut impl Rng) -> Vec<Counted> {
    if trial.ruling != Ruling::OPEN {
        return Vec::new();
    }
    let Some((own, others)) = trial.evidence.split_first() else {
        return Vec::new();
    };
    let mut evidence = vec![own.clone()];
    evidence.extend(others.sample(random, FAR_EVIDENCE_COUNT).cloned());
    evidence
}

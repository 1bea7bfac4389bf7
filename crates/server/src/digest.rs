//! Conversions between the digests of the peer protocol and the router's own types.

use crate::clock::Clock;
use crate::decider::{DigestContent, Update};
use entity::{Generation, Moment, Span, name};
use peer::message;
use quality::Verdict;
use routing::Suspicion;
use routing::slots::DrainNotice;
use std::hash::{DefaultHasher, Hash, Hasher};
use timeline::Timestamp;

/// A decoded digest of a peer.
#[derive(Clone, Debug)]
pub struct PeerDigest {
    /// Name of the peer.
    pub instance: name::Instance,
    /// Generation in force at the peer.
    pub generation: Generation,
    /// Start of the latest read of the log that the peer knows.
    pub log: Option<Moment>,
    /// Timestamp of the peer's hybrid clock.
    pub clock: Timestamp,
    /// Hash of the verdicts that the peer knows, compared with that of this instance's verdicts.
    pub verdicts_hash: i64,
    /// Updates about upstreams.
    pub update: Update,
}

/// Returns the hash by which instances compare the verdicts that they know.
pub fn verdicts_hash(verdicts: &[Verdict]) -> i64 {
    let mut hasher = DefaultHasher::new();
    for verdict in verdicts {
        verdict.to_record().hash(&mut hasher);
    }
    hasher.finish() as i64
}

/// Encodes the digest of an instance, without the age of the log, which is filled in when it is
/// sent.
pub fn encode(
    own: &name::Instance,
    zone: &name::Zone,
    generation: Generation,
    known: &DigestContent,
    clock: Clock,
) -> message::Digest {
    let now = clock.now();
    let suspicions = known.suspicions.iter().map(|suspicion| {
        let age = now.since(suspicion.since).as_micros() as i64;
        message::Suspicion::new(suspicion.upstream.to_string(), age)
    });
    let running = known
        .drain_notice
        .iter()
        .flat_map(|drain_notice| &drain_notice.running);
    let running = running.map(|(name, slot)| message::Running::new(name.to_string(), *slot as i32));
    message::Digest {
        instance: own.to_string(),
        zone: zone.to_string(),
        generation: generation.0 as i64,
        log_age_ms: None,
        clock: now.0 as i64,
        suspicions: suspicions.collect(),
        ceased: known.drain_notice.is_some(),
        running: running.collect(),
        verdicts_hash: verdicts_hash(&known.verdicts),
    }
}

/// Decodes a digest that arrived at `now`; `None` if the name of its sender, or of an upstream that
/// holds a slot, is invalid.
pub fn decode(digest: &message::Digest, now: Moment) -> Option<PeerDigest> {
    let instance: name::Instance = digest.instance.parse().ok()?;
    let mut update = Update::default();
    for suspicion in &digest.suspicions {
        let Ok(upstream) = suspicion.upstream.parse() else {
            continue;
        };
        let age = Span::from_micros(suspicion.age_us.max(0) as u64);
        update.suspicions.push(Suspicion {
            upstream,
            since: now - age,
        });
    }
    if digest.ceased {
        let mut running = Vec::new();
        for slot in &digest.running {
            // An upstream with an invalid name must not be left out: its slot would seem free.
            running.push((slot.upstream.parse().ok()?, slot.slot as u32));
        }
        update.drain_notice = Some(DrainNotice {
            instance: instance.clone(),
            running,
        });
    }
    let age = digest
        .log_age_ms
        .map(|age| Span::from_millis(age.max(0) as u64));
    Some(PeerDigest {
        instance,
        generation: Generation(digest.generation.max(0) as u64),
        log: age.map(|age| now - age),
        clock: Timestamp::from_bits(digest.clock as u64),
        verdicts_hash: digest.verdicts_hash,
        update,
    })
}

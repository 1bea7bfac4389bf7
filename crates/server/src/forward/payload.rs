//! What beacons say, in the product's own types.

use crate::forward::freshness::FOLLOWED;
use entity::{Moment, Offset, Span, name};
use fellow::message;
use forward::delta::Delta;
use forward::updates::{Content, Told};
use forward::source::Topic;
use quality::release::Report;
use quality::trial::{Ruling, Tally};
use rand::seq::IndexedRandom;
use routing::membership::Peer;
use routing::demand::Work;

/// Lives of instances whose evidence one beacon carries, the sender's first.
const CARRIED: usize = 24;
/// Sessions of its own that one beacon carries.
const KEPT: usize = 256;
/// Sessions of others that one beacon carries: together, the beacons of a round carry each several
/// times, and taking in more would keep a small machine from its requests.
const PASSED_ON: usize = 24;

/// The number of a topic in a beacon.
pub fn number(topic: Topic) -> i32 {
    match topic {
        Topic::Operator => 0,
        Topic::Upstreams => 1,
        Topic::Progress => 2,
        Topic::Instances => 3,
    }
}

/// An instance that this one has heard of.
pub fn write_acquaintance(peer: &Peer, now: Moment) -> message::Acquaintance {
    message::Acquaintance {
        instance: peer.name.to_string(),
        address: peer.address.to_string(),
        zone: peer.zone.as_ref().map(ToString::to_string),
        age_ms: (now.since(peer.last_seen).as_micros() / 1000) as i32,
    }
}

/// An instance that another one has heard of; nothing where its name or address is none.
pub fn read_acquaintance(told: &message::Acquaintance, now: Moment) -> Option<Peer> {
    let age = Span::from_millis(u64::try_from(told.age_ms).unwrap_or_default());
    Some(Peer {
        name: told.instance.parse().ok()?,
        address: told.address.parse().ok()?,
        zone: told.zone.as_ref().and_then(|zone| zone.parse().ok()),
        last_seen: now - age,
    })
}

/// A record as a beacon tells it.
pub fn write_told(told: Told) -> message::Told {
    let (value, base, length) = match told.content {
        Content::Whole(bytes) => (bytes, None, None),
        Content::Delta(delta) => (
            delta.bytes,
            Some(delta.base as i64),
            Some(delta.length as i32),
        ),
    };
    message::Told {
        topic: number(told.topic),
        key: told.key.into(),
        position: told.offset.0 as i64,
        value: value.into(),
        base,
        length,
    }
}

/// A record that another instance told; nothing where its topic is not followed here.
pub fn read_told(told: &message::Told) -> Option<Told> {
    let topic = FOLLOWED.iter().find(|topic| number(**topic) == told.topic);
    let bytes: Box<[u8]> = told.value.clone().into();
    let content = match (told.base, told.length) {
        (Some(base), length) => Content::Delta(Delta {
            base: base as u64,
            length: u32::try_from(length.unwrap_or_default()).unwrap_or_default(),
            bytes,
        }),
        (None, _) => Content::Whole(bytes),
    };
    Some(Told {
        topic: *topic?,
        key: told.key.as_str().into(),
        offset: Offset(told.position.max(0) as u64),
        content,
    })
}

/// What an instance has running at an upstream.
pub fn write_load((upstream, work): &(name::Upstream, Work)) -> message::UpstreamLoad {
    message::UpstreamLoad {
        upstream: upstream.to_string(),
        pending: work.pending as i32,
        count: work.running as i32,
    }
}

/// What another instance has running at an upstream; nothing where that has no name.
pub fn read_load(load: &message::UpstreamLoad) -> Option<(name::Upstream, Work)> {
    let work = Work {
        pending: f64::from(load.pending.max(0)),
        running: f64::from(load.count.max(0)),
    };
    Some((load.upstream.parse().ok()?, work))
}

/// At most so many of the sessions, drawn at random.
fn some(sessions: &[u64], most: usize) -> Vec<i64> {
    let drawn = sessions.sample(&mut rand::rng(), most);
    drawn.map(|&hash| hash as i64).collect()
}

/// What is told of a trial.
pub fn write_trial(report: &Report) -> message::Trial {
    let counted = |(life, evidence): &(name::Instance, Vec<(u64, Tally)>)| {
        let tallies = evidence.iter().map(|(kind, tally)| message::Tally {
            kind: *kind as i64,
            old_count: tally.old as i32,
            old_bad: tally.old_bad as i32,
            new_count: tally.new as i32,
            new_bad: tally.new_bad as i32,
        });
        message::Counted::new(life.to_string(), tallies.collect())
    };
    message::Trial {
        service_name: report.service.to_string(),
        target: report.target.to_string(),
        age_us: report.age.as_micros() as i64,
        ruling: match report.ruling {
            None => message::Ruling::OPEN,
            Some(Ruling::Good) => message::Ruling::GOOD,
            Some(Ruling::Bad) => message::Ruling::BAD,
        },
        written: report.written,
        evidence: report.evidence.iter().take(CARRIED).map(counted).collect(),
        kept: some(&report.kept, KEPT),
        passed_on: Some(some(&report.passed_on, PASSED_ON)),
    }
}

/// What a beacon says of a trial; nothing where its names are no names.
pub fn read_trial(trial: &message::Trial) -> Option<Report> {
    let passed_on = trial.passed_on.iter().flatten();
    let count = |number: i32| u32::try_from(number).unwrap_or(0);
    let mut evidence = Vec::new();
    for counted in &trial.evidence {
        let mut tallies: Vec<(u64, Tally)> = Vec::new();
        for tally in &counted.tallies {
            let read = Tally {
                old: count(tally.old_count),
                old_bad: count(tally.old_bad),
                new: count(tally.new_count),
                new_bad: count(tally.new_bad),
            };
            tallies.push((tally.kind as u64, read));
        }
        tallies.sort_by_key(|(kind, _)| *kind);
        evidence.push((counted.life.parse().ok()?, tallies));
    }
    Some(Report {
        service: trial.service_name.parse().ok()?,
        target: trial.target.parse().ok()?,
        age: Span::from_micros(trial.age_us.max(0) as u64),
        ruling: match trial.ruling {
            message::Ruling::GOOD => Some(Ruling::Good),
            message::Ruling::BAD => Some(Ruling::Bad),
            _ => None,
        },
        written: trial.written,
        evidence,
        kept: trial.kept.iter().map(|&hash| hash as u64).collect(),
        passed_on: passed_on.map(|&hash| hash as u64).collect(),
        complete: false,
    })
}

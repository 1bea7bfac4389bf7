//! Conversions between the messages in beacons and the router's own types.

use crate::forward::holds::News;
use entity::unit::{Frequency, Share};
use entity::{Era, Moment, Offset, Span, name};
use forward::Followed;
use forward::delta::Delta;
use forward::source::{Position, Topic};
use forward::updates::{AnnouncedRecord, Content};
use peer::message;
use quality::release::Report;
use quality::schedule::STEP_COUNT;
use quality::trial::{Ruling, Tally};
use quarantine::{Crash, Extent, Part, Probe, Rebuttal, Victim, Weight};
use routing::demand::Work;
use routing::estimate::pace::Pace;
use routing::limit::Limit;
use routing::membership::Peer;
use routing::restriction::Incarnation;

/// Returns the number that identifies a topic in beacons.
pub fn topic_number(topic: Topic) -> i32 {
    match topic {
        Topic::Operator => 0,
        Topic::Upstreams => 1,
        Topic::Progress => 2,
        Topic::Instances => 3,
    }
}

/// Encodes a peer.
pub fn encode_peer(peer: &Peer, now: Moment) -> message::Acquaintance {
    message::Acquaintance {
        instance: peer.name.to_string(),
        address: peer.address.to_string(),
        zone: peer.zone.as_ref().map(ToString::to_string),
        age_ms: (now.since(peer.last_seen).as_micros() / 1000) as i32,
    }
}

/// Decodes a peer that a beacon mentions; `None` if its name or address is invalid.
pub fn decode_peer(peer: &message::Acquaintance, now: Moment) -> Option<Peer> {
    let age = Span::from_millis(u64::try_from(peer.age_ms).unwrap_or_default());
    Some(Peer {
        name: peer.instance.parse().ok()?,
        address: peer.address.parse().ok()?,
        zone: peer.zone.as_ref().and_then(|zone| zone.parse().ok()),
        last_seen: now - age,
    })
}

/// Decodes the era of the store. A peer of an earlier release doesn't name any.
pub fn decode_era(era: Option<i64>) -> Era {
    Era(era.unwrap_or_default().max(0) as u64)
}

/// Encodes a record of the store.
pub fn encode_update(update: AnnouncedRecord) -> message::Told {
    let (value, base, length) = match update.content {
        Content::Whole(bytes) => (bytes, None, None),
        Content::Delta(delta) => (
            delta.bytes,
            Some(delta.base as i64),
            Some(delta.length as i32),
        ),
    };
    message::Told {
        topic: topic_number(update.topic),
        key: update.key.into(),
        position: update.position.offset.0 as i64,
        era: Some(update.position.era.0 as i64),
        value: value.into(),
        base,
        length,
    }
}

/// Decodes a record that a peer relayed; `None` if its topic is not followed.
pub fn decode_update(record: &message::Told) -> Option<AnnouncedRecord> {
    let mut topics = Followed::ALL.into_iter().map(Followed::topic);
    let topic = topics.find(|topic| topic_number(*topic) == record.topic);
    let bytes: Box<[u8]> = record.value.clone().into();
    let content = match (record.base, record.length) {
        (Some(base), length) => Content::Delta(Delta {
            base: base as u64,
            length: u32::try_from(length.unwrap_or_default()).unwrap_or_default(),
            bytes,
        }),
        (None, _) => Content::Whole(bytes),
    };
    Some(AnnouncedRecord {
        topic: topic?,
        key: record.key.as_str().into(),
        position: Position {
            era: decode_era(record.era),
            offset: Offset(record.position.max(0) as u64),
        },
        content,
    })
}

/// Encodes the departure of an upstream.
pub fn encode_departure(incarnation: &Incarnation) -> message::Departure {
    message::Departure {
        upstream: incarnation.upstream.to_string(),
        incarnation: incarnation.number as i64,
    }
}

/// Decodes the departure of an upstream; `None` if its name is invalid.
pub fn decode_departure(departure: &message::Departure) -> Option<Incarnation> {
    Some(Incarnation {
        upstream: departure.upstream.parse().ok()?,
        number: departure.incarnation as u64,
    })
}

/// Encodes the ends of upstreams and the probes of each part.
pub fn encode_suspects(news: &News, now: Moment) -> Vec<message::Suspect> {
    let mut suspects: Vec<message::Suspect> = Vec::new();
    for crash in &news.crashes {
        let part = crash.part.0 as i64;
        let told = message::Crash {
            victim: crash.victim.0 as i64,
            age_us: now.since(crash.at).as_micros() as i64,
            strong: crash.weight == Weight::STRONG,
            since_head_us: crash.since_begun.as_micros() as i64,
            late: crash.is_late.then_some(true),
        };
        match suspects.last_mut() {
            Some(suspect) if suspect.part == part => suspect.crashes.push(told),
            _ => {
                let probe = news.probes.iter().find(|probe| probe.part == crash.part);
                let age = probe.map(|probe| now.since(probe.at).as_micros() as i64);
                suspects.push(message::Suspect::new(part, vec![told], age));
            }
        }
    }
    suspects
}

/// Decodes what a peer tells of parts of prompts, or of requests.
pub fn decode_news(
    suspects: Option<&[message::Suspect]>,
    rebuttals: Option<&[message::Rebuttal]>,
    now: Moment,
) -> News {
    let suspects = suspects.unwrap_or_default();
    let rebuttals = rebuttals.unwrap_or_default().iter();
    News {
        crashes: decode_crashes(suspects, now),
        probes: decode_probes(suspects, now),
        rebuttals: rebuttals
            .map(|rebuttal| decode_rebuttal(rebuttal, now))
            .collect(),
    }
}

/// Decodes ends of upstreams.
fn decode_crashes(suspects: &[message::Suspect], now: Moment) -> Vec<Crash> {
    let mut crashes = Vec::new();
    for suspect in suspects {
        for crash in &suspect.crashes {
            let strong = crash.strong;
            crashes.push(Crash {
                part: Part(suspect.part as u64),
                victim: Victim(crash.victim as u64),
                weight: if strong { Weight::STRONG } else { Weight::WEAK },
                at: now - decode_age(crash.age_us),
                since_begun: decode_age(crash.since_head_us),
                is_late: crash.late.unwrap_or_default(),
            });
        }
    }
    crashes
}

/// Decodes probes of parts.
fn decode_probes(suspects: &[message::Suspect], now: Moment) -> Vec<Probe> {
    let mut probes = Vec::new();
    for suspect in suspects {
        if let Some(age) = suspect.probe_age_us {
            let part = Part(suspect.part as u64);
            let at = now - decode_age(age);
            probes.push(Probe { part, at });
        }
    }
    probes
}

/// Encodes parts that are sound.
pub fn encode_rebuttals(rebuttals: &[Rebuttal], now: Moment) -> Vec<message::Rebuttal> {
    let encode = |rebuttal: &Rebuttal| message::Rebuttal {
        part: rebuttal.part.0 as i64,
        age_us: now.since(rebuttal.at).as_micros() as i64,
        outlived: (rebuttal.extent == Extent::Outlived).then_some(true),
    };
    rebuttals.iter().map(encode).collect()
}

/// Decodes a part that is sound. A peer of an earlier build doesn't tell how far the answer came.
fn decode_rebuttal(rebuttal: &message::Rebuttal, now: Moment) -> Rebuttal {
    Rebuttal {
        part: Part(rebuttal.part as u64),
        at: now - decode_age(rebuttal.age_us),
        extent: match rebuttal.outlived {
            Some(true) => Extent::Outlived,
            _ => Extent::Begun,
        },
    }
}

/// Decodes an age in microseconds.
fn decode_age(micros: i64) -> Span {
    Span::from_micros(micros.max(0) as u64)
}

/// Encodes the limit that an upstream named.
pub fn encode_limit((incarnation, limit): &(Incarnation, Limit), now: Moment) -> message::Limit {
    message::Limit {
        upstream: incarnation.upstream.to_string(),
        incarnation: incarnation.number as i64,
        frequency: limit.frequency.map(|frequency| frequency.0 as i64),
        age_us: now.since(limit.as_of).as_micros() as i64,
    }
}

/// Decodes the limit that an upstream named; `None` if the upstream's name is invalid.
pub fn decode_limit(limit: &message::Limit, now: Moment) -> Option<(Incarnation, Limit)> {
    let incarnation = Incarnation {
        upstream: limit.upstream.parse().ok()?,
        number: limit.incarnation as u64,
    };
    let frequency = limit.frequency.map(|frequency| frequency.max(0) as u64);
    let limit = Limit {
        frequency: frequency.map(Frequency),
        as_of: now - decode_age(limit.age_us),
    };
    Some((incarnation, limit))
}

/// Encodes the work that this instance has at an upstream.
pub fn encode_load((upstream, work): &(name::Upstream, Work)) -> message::UpstreamLoad {
    message::UpstreamLoad {
        upstream: upstream.to_string(),
        pending: work.pending as i32,
        count: work.running as i32,
    }
}

/// Decodes the work that a peer has at an upstream; `None` if the upstream's name is invalid.
pub fn decode_load(load: &message::UpstreamLoad) -> Option<(name::Upstream, Work)> {
    let work = Work {
        pending: f64::from(load.pending.max(0)),
        running: f64::from(load.count.max(0)),
    };
    Some((load.upstream.parse().ok()?, work))
}

/// Encodes what this instance saw of the speed of an upstream.
pub fn encode_pace(pace: &Pace) -> message::Pace {
    message::Pace {
        upstream: pace.incarnation.upstream.to_string(),
        incarnation: pace.incarnation.number as i64,
        work: pace.work as i32,
        time_ms: i32::try_from(pace.time.as_micros() / 1000).unwrap_or(i32::MAX),
    }
}

/// Decodes what a peer saw of the speed of an upstream; `None` if the upstream's name is invalid.
pub fn decode_pace(pace: &message::Pace) -> Option<Pace> {
    Some(Pace {
        incarnation: Incarnation {
            upstream: pace.upstream.parse().ok()?,
            number: pace.incarnation as u64,
        },
        work: f64::from(pace.work.max(0)),
        time: Span::from_millis(u64::try_from(pace.time_ms).unwrap_or_default()),
    })
}

/// Encodes an age in microseconds.
fn encode_age(age: &Span) -> i64 {
    age.as_micros() as i64
}

/// Encodes a report of a trial.
pub fn encode_trial(report: &Report) -> message::Trial {
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
        written: report.ruling_era.is_some(),
        era: report.ruling_era.map(|era| era.0 as i64),
        evidence: report.evidence.iter().map(counted).collect(),
        // Instances of the build before this one read sessions here.
        kept: Vec::new(),
        passed_on: None,
        steps: Some(report.schedule.iter().map(encode_age).collect()),
    }
}

/// Decodes a report of a trial; `None` if one of its names is invalid.
pub fn decode_trial(trial: &message::Trial) -> Option<Report> {
    let steps = trial.steps.iter().flatten().take(STEP_COUNT);
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
        ruling_era: trial.written.then(|| decode_era(trial.era)),
        evidence,
        schedule: steps.map(|&age| decode_age(age)).collect(),
        can_complete: false,
        share: Share::NONE,
        sum: Tally::default(),
    })
}

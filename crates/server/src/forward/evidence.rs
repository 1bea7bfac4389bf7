//! Exchange with peers of how tries ended at upstreams, and the log of those that are taken out by it.

use crate::core::Core;
use entity::{Moment, Span, name};
use peer::message::{self, Beacon};
use routing::evidence::{Counts, MAX_TOLD, Stamp, Tried};
use routing::judgement::{News, Word};
use routing::outlier::{Cause, Change, ChangeKind};
use routing::restriction::Incarnation;
use timeline::{Counter, Kind};

/// Returns what is to be told to peers, and logs changes. `is_cut_off` says that the own links to
/// upstreams are cut.
pub async fn tell(core: &Core, is_cut_off: bool) -> Vec<message::Tried> {
    // Once the decider has ended, there is nothing to tell.
    let news = core.decider.evidence(is_cut_off).await.unwrap_or_default();
    for change in &news.changes {
        record_change(core, change);
    }
    encode(&news, core.clock.now())
}

/// Records what a peer told in a beacon, which was sent `age` ago as far as that is known.
pub async fn receive(core: &Core, peer: &name::Instance, beacon: &Beacon, age: Option<Span>) {
    let (Some(tried), Some(run), Some(sent)) = (&beacon.tried, beacon.run, beacon.sent_us) else {
        return;
    };
    let sent_at = core.clock.now() - age.unwrap_or_default();
    let (tried, returns) = decode(tried, sent_at);
    let word = Word {
        peer: peer.clone(),
        stamp: Stamp {
            run: run as u64,
            sent: Moment(sent.max(0) as u64),
        },
        sent_at,
        tried,
        returns,
    };
    core.decider.record_evidence(word).await;
}

fn encode(news: &News, now: Moment) -> Vec<message::Tried> {
    let age = |at: Moment| now.since(at).as_micros() as i64;
    let returned = news.returns.iter().map(|(incarnation, at)| message::Tried {
        returned_age_us: Some(age(*at)),
        ..tried(incarnation, Counts::default())
    });
    let ended = news.tried.iter().map(|one| message::Tried {
        answered_age_us: one.answered.map(age),
        failed_age_us: one.failed.map(age),
        ..tried(&one.incarnation, one.counts)
    });
    returned.chain(ended).take(MAX_TOLD).collect()
}

fn tried(incarnation: &Incarnation, counts: Counts) -> message::Tried {
    let number = |count: u32| i32::try_from(count).unwrap_or(i32::MAX);
    message::Tried {
        upstream: incarnation.upstream.to_string(),
        incarnation: incarnation.number as i64,
        ended: number(counts.ended),
        failed: number(counts.failed),
        unreachable: number(counts.unreachable),
        answered_age_us: None,
        failed_age_us: None,
        returned_age_us: None,
    }
}

/// Returns the tries and the returns in a list that was sent at `sent_at`. Entries with an invalid name
/// are left out.
fn decode(list: &[message::Tried], sent_at: Moment) -> (Vec<Tried>, Vec<(Incarnation, Moment)>) {
    let at = |age: Option<i64>| Some(sent_at - Span::from_micros(age?.max(0) as u64));
    let number = |count: i32| u32::try_from(count).unwrap_or_default();
    let (mut tried, mut returns) = (Vec::new(), Vec::new());
    for entry in list.iter().take(MAX_TOLD) {
        let Ok(upstream) = entry.upstream.parse() else {
            continue;
        };
        let incarnation = Incarnation {
            upstream,
            number: entry.incarnation as u64,
        };
        if let Some(returned) = at(entry.returned_age_us) {
            returns.push((incarnation, returned));
            continue;
        }
        tried.push(Tried {
            incarnation,
            counts: Counts {
                ended: number(entry.ended),
                failed: number(entry.failed),
                unreachable: number(entry.unreachable),
            },
            answered: at(entry.answered_age_us),
            failed: at(entry.failed_age_us),
        });
    }
    (tried, returns)
}

fn record_change(core: &Core, change: &Change) {
    let (why, by) = match change.kind {
        ChangeKind::Out(Cause::Failing) => ("fails more often than others", by(change)),
        ChangeKind::Out(Cause::Unreachable) => ("several instances can't reach it", by(change)),
        ChangeKind::Answered => ("a probe was answered", "own"),
        ChangeKind::Told => ("a probe was answered", "peer"),
        ChangeKind::Expired => ("no evidence any more", "own"),
    };
    core.metric.count(match change.kind {
        ChangeKind::Out(Cause::Failing) => Counter::FailingUpstreams,
        ChangeKind::Out(Cause::Unreachable) => Counter::UnreachableUpstreams,
        _ => Counter::ReturnedUpstreams,
    });
    let is_out = matches!(change.kind, ChangeKind::Out(_));
    let counts = change.sum.counts;
    let draft = core.recorder.event(Kind::Outlier);
    draft
        .text("upstream", &change.incarnation.upstream)
        .text("outcome", if is_out { "out" } else { "back" })
        .text("why", why)
        .text("by", by)
        .text("ago", core.clock.now().since(change.at))
        .text("out-for", change.at.since(change.since))
        .count("ended", u64::from(counts.ended))
        .count("failed", u64::from(counts.failed))
        .count("unreachable", u64::from(counts.unreachable))
        .count("instances", u64::from(change.sum.failing))
        .count("own-ended", u64::from(change.own.ended))
        .count("own-bad", u64::from(change.own.bad()))
        .text("age", change.age)
        .record();
}

/// Returns whose evidence took an upstream out.
fn by(change: &Change) -> &'static str {
    if change.own.bad() > 0 {
        "own and peers"
    } else {
        "peers"
    }
}

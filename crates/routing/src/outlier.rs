//! Upstreams that end tries badly far more often than the others of their pool, and those that several
//! instances can't reach: which are taken out, and when they are tried again.

use crate::evidence::{Counts, Sum, WORD_TTL};
use crate::hash;
use crate::restriction::Incarnation;
use entity::{Moment, Span, name, sorted, work};

/// Number of instances that must have seen an upstream fail, this one included.
pub const MIN_REPORTERS: u32 = 3;

/// Own ends within the window from which the circuit breaker is left to judge alone, unless very many
/// instances share the upstream.
const ENOUGH_OWN_ENDS: u32 = 8;

/// Normal quantile of the bounds on shares: 1 in 700 is beyond one by chance.
const QUANTILE: f64 = 3.0;

/// Difference between shares of bad ends that is of no account.
const MARGIN: f64 = 0.2;

/// Share of the limits of the remaining upstreams that the requests of a pool may fill.
const USABLE_SHARE: f64 = 0.8;

/// Length of a slot for probes.
pub const SLOT: Span = Span::from_millis(500);

/// Number of instances that may send a probe in a slot.
pub const PROBES_PER_SLOT: usize = 2;

/// Largest binary logarithm of the slots from one slot with probes to the next.
const MAX_LEVEL: u32 = 2;

/// Time after a return in which the upstream isn't taken out, as words of before may still arrive.
pub const GRACE: Span = WORD_TTL;

/// Time for which a return is told to peers.
const TELL_TIME: Span = Span::from_millis(2500);

/// Shortest time between two returns of an incarnation by the words of peers.
const RETURN_INTERVAL: Span = Span::from_secs(4);

/// Time after a return within which another ejection starts with longer pauses.
const RELAPSE_TIME: Span = Span::from_secs(30);

/// Time without a bad end after which an ejection ends.
const EJECTION_TTL: Span = Span::from_secs(60);

/// Largest number of incarnations with a record.
const MAX_RECORDS: usize = 512;

/// Returns the Wilson score interval (1927) of a share.
fn bounds(bad: u32, ended: u32) -> (f64, f64) {
    if ended == 0 {
        return (0.0, 1.0);
    }
    let (count, square) = (f64::from(ended), QUANTILE * QUANTILE);
    let share = f64::from(bad) / count;
    let centre = share + square / (2.0 * count);
    let spread = QUANTILE * (share * (1.0 - share) / count + square / (4.0 * count * count)).sqrt();
    let scale = 1.0 + square / count;
    ((centre - spread) / scale, (centre + spread) / scale)
}

/// Returns whether own evidence on an upstream is thin: many instances share it, or the own ends are
/// few.
pub fn is_thin(own: Counts, sharers: usize, max_sharers: usize) -> bool {
    sharers > max_sharers || own.ended < ENOUGH_OWN_ENDS
}

/// An upstream of a pool, as it is judged.
#[derive(Clone, Copy, Debug, Default)]
pub struct Member {
    /// Evidence on it.
    pub sum: Sum,
    /// Requests that it may run at once; 0 if this instance sends it none now.
    pub limit: u32,
    /// Requests that run there, of all instances.
    pub running: f64,
    /// Whether it is out already.
    pub is_out: bool,
    /// Whether it may be taken out now.
    pub is_eligible: bool,
}

/// Why an upstream is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its tries end badly far more often than those of the others.
    Failing,
    /// Several instances can't reach it.
    Unreachable,
}

/// Returns which members of a pool are to be taken out, by their positions.
pub fn judge(members: &[Member]) -> Vec<(usize, Cause)> {
    let mut ejected = Vec::new();
    let mut rest: Vec<usize> = Vec::with_capacity(members.len());
    rest.extend((0..members.len()).filter(|&index| !members[index].is_out));
    for (index, member) in members.iter().enumerate() {
        let sum = member.sum;
        let is_down = sum.unreachable >= MIN_REPORTERS && sum.unreachable > sum.answered;
        let has_other = rest
            .iter()
            .any(|&other| other != index && members[other].limit > 0);
        if is_down && member.is_eligible && !member.is_out && has_other {
            rest.retain(|&other| other != index);
            ejected.push((index, Cause::Unreachable));
        }
    }
    let running: f64 = members.iter().map(|member| member.running).sum();
    while let Some(worst) = worst(members, &rest) {
        let remaining = rest.iter().filter(|&&other| other != worst);
        let limits: f64 = remaining
            .map(|&other| f64::from(members[other].limit))
            .sum();
        if limits == 0.0 || running > limits * USABLE_SHARE {
            break;
        }
        rest.retain(|&other| other != worst);
        ejected.push((worst, Cause::Failing));
    }
    ejected
}

/// Returns the member of the rest that fails most, if it stands out from the others.
fn worst(members: &[Member], rest: &[usize]) -> Option<usize> {
    let bad = |index: usize| members[index].sum.counts.bad();
    let ended = |index: usize| members[index].sum.counts.ended;
    let all_bad: u32 = rest.iter().map(|&index| bad(index)).sum();
    let all_ended: u32 = rest.iter().map(|&index| ended(index)).sum();
    let mut worst: Option<(f64, usize)> = None;
    for &index in rest {
        let member = &members[index];
        if !member.is_eligible || member.sum.failing < MIN_REPORTERS {
            continue;
        }
        let (low, _) = bounds(bad(index), ended(index));
        let (_, high) = bounds(all_bad - bad(index), all_ended - ended(index));
        if low > high + MARGIN && worst.is_none_or(|(known, _)| low > known) {
            worst = Some((low, index));
        }
    }
    worst.map(|(_, index)| index)
}

/// A change that is to be logged.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// What happened.
    pub kind: ChangeKind,
    /// When it happened.
    pub at: Moment,
    /// When the upstream was taken out.
    pub since: Moment,
    /// Evidence of all instances when it was taken out.
    pub sum: Sum,
    /// Own part of it.
    pub own: Counts,
    /// Age of the newest bad end when it was taken out.
    pub age: Span,
}

/// What happened to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// It was taken out.
    Out(Cause),
    /// A probe of this instance was answered.
    Answered,
    /// A peer told that a probe was answered.
    Told,
    /// There has been no evidence for long.
    Expired,
}

#[derive(Clone, Debug)]
struct Ejection {
    cause: Cause,
    since: Moment,
    /// When a bad end was last known.
    confirmed: Moment,
    sum: Sum,
    own: Counts,
    /// Age of the newest bad end at that time.
    age: Span,
    /// The slot for which `rank` holds.
    slot: u64,
    /// Rank of this instance among those that may probe in the slot; none if it may not.
    rank: Option<usize>,
}

#[derive(Clone, Debug, Default)]
struct Record {
    ejection: Option<Ejection>,
    /// Time of the newest answer to a probe.
    returned: Option<Moment>,
    /// When a peer's word last ended an ejection.
    told_at: Option<Moment>,
    /// Number of ejections one soon after the other.
    relapses: u32,
}

/// Whether an upstream may be sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may, as it is not taken out.
    Open,
    /// It may be sent this request as a probe.
    Probe,
    /// It may not.
    Closed,
}

/// The upstreams that are taken out, at one instance.
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    /// Sorted by incarnation.
    records: Vec<(Incarnation, Record)>,
    changes: Vec<Change>,
}

fn slot_number(now: Moment) -> u64 {
    now.0 / SLOT.as_micros()
}

impl Ejection {
    /// Returns the binary logarithm of the slots from one slot with probes to the next.
    fn level(&self, relapses: u32, now: Moment) -> u32 {
        let slots = slot_number(now).saturating_sub(slot_number(self.since));
        let grown = slots.checked_ilog2().unwrap_or_default().saturating_sub(1);
        grown.max(relapses).min(MAX_LEVEL)
    }
}

impl Outliers {
    fn index(&self, incarnation: &Incarnation) -> Result<usize, usize> {
        self.find(&incarnation.upstream, incarnation.number)
    }

    fn find(&self, upstream: &name::Upstream, number: u64) -> Result<usize, usize> {
        let wanted = (upstream, number);
        self.records
            .binary_search_by(|(known, _)| known.key().cmp(&wanted))
    }

    fn ejection(&self, incarnation: &Incarnation) -> Option<&Ejection> {
        let index = self.index(incarnation).ok()?;
        self.records[index].1.ejection.as_ref()
    }

    /// Returns whether no upstream is taken out.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether an incarnation is taken out.
    pub fn is_ejected(&self, incarnation: &Incarnation) -> bool {
        self.ejection(incarnation).is_some()
    }

    /// Returns whether an incarnation may be taken out now: it isn't, and its last return is not too
    /// recent.
    pub fn is_eligible(&self, incarnation: &Incarnation, now: Moment) -> bool {
        let Ok(index) = self.index(incarnation) else {
            return true;
        };
        let record = &self.records[index].1;
        let is_recent = |at: Moment| now.since(at) < GRACE;
        record.ejection.is_none() && !record.returned.is_some_and(is_recent)
    }

    /// Takes an incarnation out.
    pub fn eject(
        &mut self,
        incarnation: &Incarnation,
        cause: Cause,
        (sum, own, age): (Sum, Counts, Span),
        now: Moment,
    ) {
        if self.records.len() == MAX_RECORDS && self.index(incarnation).is_err() {
            return;
        }
        let record = sorted::entry(&mut self.records, incarnation, Record::default);
        record.relapses = match record.returned {
            Some(at) if now.since(at) < RELAPSE_TIME => record.relapses + 1,
            _ => 0,
        };
        record.ejection = Some(Ejection {
            cause,
            since: now,
            confirmed: now,
            sum,
            own,
            age,
            slot: slot_number(now),
            rank: None,
        });
        self.changes.push(Change {
            incarnation: incarnation.clone(),
            kind: ChangeKind::Out(cause),
            at: now,
            since: now,
            sum,
            own,
            age,
        });
    }

    /// Finds the incarnations that this instance may probe in the present slot, and drops records that
    /// no longer count. `evidence` returns whether there is a bad end of an incarnation, or none if the
    /// incarnation has ended.
    pub fn review(
        &mut self,
        own: &name::Instance,
        live: &[name::Instance],
        evidence: impl Fn(&Incarnation) -> Option<bool>,
        now: Moment,
    ) {
        let mut expired = Vec::new();
        self.records.retain_mut(|(incarnation, record)| {
            let Some(is_bad) = evidence(incarnation) else {
                return false;
            };
            let Some(ejection) = &mut record.ejection else {
                return record
                    .returned
                    .is_some_and(|at| now.since(at) < RELAPSE_TIME);
            };
            if is_bad {
                ejection.confirmed = now;
            }
            if now.since(ejection.confirmed) >= EJECTION_TTL {
                expired.push(change(incarnation, ejection, ChangeKind::Expired, now));
                return false;
            }
            let slot = slot_number(now);
            if ejection.slot != slot {
                ejection.slot = slot;
                let key = key(incarnation);
                let level = ejection.level(record.relapses, now);
                let is_for_probes = slot.wrapping_add(key).trailing_zeros() >= level;
                let rank = || rank(hash::part(key, slot), own, live);
                ejection.rank = is_for_probes.then(rank).flatten();
            }
            true
        });
        self.changes.extend(expired);
    }

    /// Returns whether a request may be sent to an incarnation.
    pub fn admit(
        &self,
        (upstream, number): (&name::Upstream, u64),
        is_repeatable: bool,
        now: Moment,
    ) -> Admission {
        let found = self.find(upstream, number).ok();
        let Some(ejection) = found.and_then(|index| self.records[index].1.ejection.as_ref()) else {
            return Admission::Open;
        };
        if ejection.slot != slot_number(now) {
            return Admission::Closed;
        }
        let is_late = now.0 % SLOT.as_micros() >= SLOT.as_micros() / 2;
        match ejection.rank {
            Some(_) if is_repeatable || is_late => Admission::Probe,
            // A request that reaches nobody has not run.
            Some(_) if ejection.cause == Cause::Unreachable => Admission::Probe,
            _ => Admission::Closed,
        }
    }

    /// Records that a probe is sent: this instance sends no other one in the slot.
    pub fn record_probe(&mut self, incarnation: &Incarnation) {
        if let Ok(index) = self.index(incarnation)
            && let Some(ejection) = &mut self.records[index].1.ejection
        {
            ejection.rank = None;
        }
    }

    /// Records a good answer to a request of this instance that was sent at `sent`. Returns whether it
    /// ends an ejection; requests that were sent before it don't.
    pub fn record_answer(&mut self, incarnation: &Incarnation, sent: Moment, now: Moment) -> bool {
        let is_probe = self
            .ejection(incarnation)
            .is_some_and(|ejection| sent > ejection.since);
        is_probe && self.end(incarnation, ChangeKind::Answered, now, now)
    }

    /// Records that a peer told of an answer to a probe at `at`. Returns whether it is news.
    pub fn record_return(&mut self, incarnation: &Incarnation, at: Moment, now: Moment) -> bool {
        let at = at.min(now);
        if now.since(at) >= TELL_TIME {
            return false;
        }
        if self.records.len() == MAX_RECORDS && self.index(incarnation).is_err() {
            return false;
        }
        let record = sorted::entry(&mut self.records, incarnation, Record::default);
        let is_known = record.returned.is_some_and(|known| at <= known + GRACE);
        let is_soon = record
            .told_at
            .is_some_and(|told| now.since(told) < RETURN_INTERVAL);
        let is_before = |ejection: &Ejection| at + GRACE <= ejection.since;
        if is_known || is_soon || record.ejection.as_ref().is_some_and(is_before) {
            return false;
        }
        record.told_at = Some(now);
        self.end(incarnation, ChangeKind::Told, at, now);
        true
    }

    /// Records a return at `at`. Returns whether it ended an ejection.
    fn end(
        &mut self,
        incarnation: &Incarnation,
        kind: ChangeKind,
        at: Moment,
        now: Moment,
    ) -> bool {
        let Ok(index) = self.index(incarnation) else {
            return false;
        };
        let record = &mut self.records[index].1;
        record.returned = Some(at);
        let Some(ejection) = record.ejection.take() else {
            return false;
        };
        self.changes.push(change(incarnation, &ejection, kind, now));
        true
    }

    /// Returns the returns that are to be told to peers.
    pub fn returns(&self, now: Moment) -> impl Iterator<Item = (&Incarnation, Moment)> {
        let told = self.records.iter().filter_map(|(incarnation, record)| {
            let returned = record.returned.filter(|_| record.ejection.is_none())?;
            Some((incarnation, returned))
        });
        told.filter(move |(_, at)| now.since(*at) < TELL_TIME)
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }
}

fn change(incarnation: &Incarnation, ejection: &Ejection, kind: ChangeKind, at: Moment) -> Change {
    Change {
        incarnation: incarnation.clone(),
        kind,
        at,
        since: ejection.since,
        sum: ejection.sum,
        own: ejection.own,
        age: ejection.age,
    }
}

fn key(incarnation: &Incarnation) -> u64 {
    hash::part(
        hash::text(incarnation.upstream.as_str()),
        incarnation.number,
    )
}

/// Returns the rank of this instance among those that may send a probe, by the key of incarnation and
/// slot; none if it may not.
fn rank(key: u64, own: &name::Instance, live: &[name::Instance]) -> Option<usize> {
    work::count(live.len());
    let weight = |name: &name::Instance| hash::weight(key, hash::text(name.as_str()));
    let own = weight(own);
    let before = live.iter().filter(|name| weight(name) > own).count();
    (before < PROBES_PER_SLOT).then_some(before)
}

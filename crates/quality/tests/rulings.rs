//! Instances that rule on one order, over messages that are lost, late and repeated, calls of the store that are
//! lost or done late, instances that are paused, cut off from their peers and restarted. An instance that
//! stood still completed a release that the others had rolled back, with what it knew before.

#[path = "support/releases.rs"]
mod support;

use entity::unit::Share;
use entity::{Era, Moment, Offset, Span, name};
use googletest::prelude::*;
use quality::hearing::{Heard, Hearing};
use quality::release::{AnswerOutcome, Releases, Report};
use quality::ruling::{Step, Writer};
use quality::trial::{Measure, Ruling};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{DURATION, START, before_the_order, config};

const SIZE: usize = 6;
/// Time between two steps of the exploration, in milliseconds.
const TICK: u64 = 50;
const ROUND: u64 = 100;
/// Time that each instance leaves to the one before it.
const RANK_DELAY: u64 = 500;
const LEAD: Span = Span::from_millis(500);
/// Time within which a ruling reaches the instances that aren't paused or cut off.
const SPREAD: u64 = 1_500;
const ERA: Era = Era(1);

/// A guard that is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    /// Recent messages of peers are not needed.
    Hearing,
    /// A message counts as sent when it is received.
    Dating,
    /// Peers that were heard before are not missed.
    Cut,
    /// The store isn't asked before a write.
    Listing,
    /// A write doesn't depend on what else was written.
    Condition,
}

struct Instance {
    name: name::Instance,
    releases: Releases,
    hearing: Hearing,
    writer: Writer,
    /// Time until which it stands still.
    paused: u64,
    /// Time until which it gets and sends no messages.
    cut: u64,
    /// When it found the new release bad, in the time that it ran and heard its peers.
    found_bad: Option<u64>,
}

struct Message {
    sent: u64,
    at: u64,
    from: usize,
    to: usize,
    reports: Vec<Report>,
}

/// A write that the store does later, if its condition holds then.
struct Write {
    at: u64,
    ruling: Ruling,
    end: Option<Offset>,
}

struct World {
    random: ChaCha8Rng,
    mutation: Option<Mutation>,
    instances: Vec<Instance>,
    messages: Vec<Message>,
    late: Vec<Write>,
    /// Rulings in the store, with the times of their writes.
    log: Vec<(u64, Ruling)>,
    /// Time from which the new release fails; none if it is good.
    bad_from: Option<u64>,
    /// When an instance meant to complete a release that others had found bad long before, and when that was.
    stale: Option<(u64, u64)>,
}

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

fn service() -> name::Service {
    "advice".parse().unwrap()
}

impl World {
    fn new(seed: u64, mutation: Option<Mutation>) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let end = DURATION.as_micros() / 1_000;
        let bad_from = (!seed.is_multiple_of(4)).then(|| random.random_range(2_000..end));
        Self {
            random,
            mutation,
            instances: (0..SIZE).map(|index| start(index, 0)).collect(),
            messages: Vec::new(),
            late: Vec::new(),
            log: Vec::new(),
            bad_from,
            stale: None,
        }
    }

    fn runs(&self, index: usize, now: u64) -> bool {
        self.instances[index].paused <= now
    }

    fn is_cut(&self, index: usize, now: u64) -> bool {
        self.instances[index].cut > now
    }

    /// Pauses, cuts off or restarts an instance now and then.
    fn disturb(&mut self, now: u64) {
        let index = self.random.random_range(0..SIZE);
        let until = now + self.random.random_range(500..6_000);
        match self.random.random_range(0..200) {
            0 | 1 if self.runs(index, now) => self.instances[index].paused = until,
            2 => self.instances[index].cut = until,
            3 if self.runs(index, now) => self.instances[index] = start(index, now),
            _ => {}
        }
    }

    fn heard(&mut self, index: usize, now: u64) -> Heard {
        let mut heard = self.instances[index].hearing.heard(SIZE - 1, at(now));
        match self.mutation {
            Some(Mutation::Hearing) => heard = Heard::default(),
            Some(Mutation::Cut) if heard.recent == 0 => heard.live = 0,
            _ => {}
        }
        if self.mutation == Some(Mutation::Cut) {
            heard.newest = None;
        }
        heard
    }

    /// Lets an instance answer callers, send its reports and go on with its rulings.
    fn round(&mut self, index: usize, now: u64) {
        self.answer(index, now);
        let heard = self.heard(index, now);
        let releases = &mut self.instances[index].releases;
        let reports = releases.reports(&config(None), LEAD, heard, at(now));
        for to in (0..SIZE).filter(|to| *to != index) {
            self.send((index, to), &reports, now);
        }
        let Some(report) = reports.first() else {
            return;
        };
        let can_hear = !self.is_cut(index, now);
        let instance = &mut self.instances[index];
        if report.ruling == Some(Ruling::Bad) && can_hear {
            instance.found_bad.get_or_insert(now);
        }
        if report.can_complete {
            let found = self.instances.iter().filter_map(|one| one.found_bad).min();
            let found = found.filter(|found| found + SPREAD < now);
            self.stale = self.stale.or(found.map(|found| (now, found)));
        }
        // Pauses come at the worst moment.
        if (report.can_complete || report.ruling.is_some()) && self.random.random_bool(0.02) {
            self.instances[index].paused = now + self.random.random_range(500..6_000);
        }
        let instance = &mut self.instances[index];
        let wait = Span::from_millis(RANK_DELAY * index as u64);
        match instance.writer.next(report, ERA, wait, at(now)) {
            Step::Wait => {}
            Step::List => self.list(index, report, now),
            Step::Write(ruling, end) => self.write(index, report, (ruling, end), now),
        }
    }

    /// Lets both releases answer some callers.
    fn answer(&mut self, index: usize, now: u64) {
        for version in ["advice/v1", "advice/v1", "advice/v2"] {
            let is_bad = version == "advice/v2" && self.bad_from.is_some_and(|from| now >= from);
            let outcome = AnswerOutcome {
                kind: 1,
                failed: is_bad && self.random.random_bool(0.6),
                time: None,
                measure: Measure::Start,
            };
            let version = version.parse().unwrap();
            let releases = &mut self.instances[index].releases;
            releases.record_answer(&service(), &version, outcome);
        }
    }

    fn list(&mut self, index: usize, report: &Report, _now: u64) {
        if self.random.random_bool(0.1) {
            return;
        }
        let known = self.log.last().map(|(_, ruling)| *ruling);
        let instance = &mut self.instances[index];
        match known.filter(|_| self.mutation != Some(Mutation::Listing)) {
            Some(ruling) => {
                let target = &report.target;
                instance
                    .releases
                    .record_written_ruling(&service(), target, ruling, ERA);
            }
            None => {
                let end = Offset(self.log.len() as u64);
                instance.writer.record_unruled(&service(), end);
            }
        }
    }

    fn write(&mut self, index: usize, report: &Report, (ruling, end): (Ruling, Offset), now: u64) {
        let end = (self.mutation != Some(Mutation::Condition)).then_some(end);
        // A call may be lost, done at once or later, and answered or not.
        if self.random.random_bool(0.2) {
            let at = now + self.random.random_range(0..4_000);
            if self.random.random_bool(0.5) {
                self.late.push(Write { at, ruling, end });
            }
            self.instances[index].writer.record_failure(&service());
            return;
        }
        if self.append(ruling, end, now) && self.random.random_bool(0.9) {
            let instance = &mut self.instances[index];
            let target = &report.target;
            instance
                .releases
                .record_written_ruling(&service(), target, ruling, ERA);
        } else {
            self.instances[index].writer.record_failure(&service());
        }
    }

    fn append(&mut self, ruling: Ruling, end: Option<Offset>, now: u64) -> bool {
        let is_due = end.is_none_or(|end| end == Offset(self.log.len() as u64));
        if is_due {
            self.log.push((now, ruling));
        }
        is_due
    }

    /// Sends a message that may be lost, late or repeated.
    fn send(&mut self, (from, to): (usize, usize), reports: &[Report], now: u64) {
        if self.is_cut(from, now) || self.is_cut(to, now) || self.random.random_bool(0.2) {
            return;
        }
        let mut delays = vec![self.random.random_range(0..40)];
        if self.random.random_bool(0.1) {
            delays.push(self.random.random_range(0..4_000));
        }
        for delay in delays {
            self.messages.push(Message {
                sent: now,
                at: now + 1 + delay,
                from,
                to,
                reports: reports.to_vec(),
            });
        }
    }

    /// Delivers a few messages to each instance that runs, the oldest first. Those to one that is paused
    /// wait in its socket.
    fn deliver(&mut self, now: u64) {
        let mut budget = [8; SIZE];
        let mut waiting = Vec::new();
        for message in std::mem::take(&mut self.messages) {
            let to = message.to;
            if message.at > now || !self.runs(to, now) || budget[to] == 0 {
                waiting.push(message);
                continue;
            }
            budget[to] -= 1;
            let sent = match self.mutation {
                Some(Mutation::Dating) => now,
                _ => message.sent,
            };
            let peer = self.instances[message.from].name.clone();
            let instance = &mut self.instances[to];
            instance.hearing.record(&peer, at(sent));
            instance.releases.receive(message.reports, at(now));
        }
        self.messages = waiting;
    }

    fn run(&mut self) {
        let end = DURATION.as_micros() / 1_000 + 8_000;
        for now in (0..end).step_by(TICK as usize) {
            self.disturb(now);
            let late = std::mem::take(&mut self.late);
            for write in late {
                if write.at > now {
                    self.late.push(write);
                } else {
                    self.append(write.ruling, write.end, now);
                }
            }
            self.deliver(now);
            for index in 0..SIZE {
                let is_round = (now + index as u64 * TICK).is_multiple_of(ROUND);
                if self.runs(index, now) && is_round {
                    self.round(index, now);
                }
            }
        }
    }

    /// Returns what is wrong with the rulings in the store.
    fn fault(&self) -> Option<String> {
        if self.log.len() > 1 {
            return Some(format!("{:?}", self.log));
        }
        let (now, found) = self.stale?;
        Some(format!("to be completed at {now}, found bad at {found}"))
    }
}

fn start(index: usize, now: u64) -> Instance {
    let name: name::Instance = format!("front-{index}/{now}").parse().unwrap();
    let mut releases = Releases::new(name.clone(), Share::from_fraction(0.15));
    releases.configure(&before_the_order(), START);
    releases.configure(&config(None), START);
    Instance {
        name,
        releases,
        hearing: Hearing::default(),
        writer: Writer::default(),
        paused: 0,
        cut: 0,
        found_bad: None,
    }
}

fn explore(seed: u64, mutation: Option<Mutation>) -> World {
    let mut world = World::new(seed, mutation);
    world.run();
    world
}

fn seeds() -> u64 {
    let seeds = std::env::var("RULING_SEEDS").ok();
    seeds.and_then(|text| text.parse().ok()).unwrap_or(60)
}

/// Guards against two rulings on one order, and against a completion by an instance that missed what the
/// others found.
#[gtest]
fn one_order_has_one_ruling_by_recent_evidence() {
    let mut completed = 0;
    for seed in 0..seeds() {
        let world = explore(seed, None);
        expect_that!(world.fault(), none(), "seed {seed}");
        let is_good = world
            .log
            .first()
            .is_some_and(|(_, one)| *one == Ruling::Good);
        completed += u64::from(is_good && world.bad_from.is_none());
    }
    // Most of the good releases are completed in spite of the disturbances.
    expect_that!(completed, ge(seeds() / 8));
}

/// Each guard that is taken out is found by the exploration.
#[gtest]
fn missing_guards_are_found() {
    for mutation in [
        Mutation::Hearing,
        Mutation::Dating,
        Mutation::Cut,
        Mutation::Listing,
        Mutation::Condition,
    ] {
        let found = (0..400).any(|seed| explore(seed, Some(mutation)).fault().is_some());
        expect_true!(found, "{mutation:?}");
    }
}

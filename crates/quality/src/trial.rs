//! A trial: an operator's order to move a service to another release.
//!
//! In the first half of the time that the order gives, a small share of the requests goes to the new
//! release, and sessions keep the one they are on. If the evidence of all instances says that the new
//! release is no worse, the rest follows in steps. An answer counts as bad if it failed, or took much
//! longer than answers of the old release to requests of the same kind usually do.

use entity::unit::Share;
use entity::{Moment, Span, name, sorted};

/// Share of the exposure bound that a release under trial is given in the first half.
const FIRST_SHARE: f64 = 0.6;
/// Steps to the whole after the first half: when each begins after it, and the share.
const STEPS: [(Span, f64); 3] = [
    (Span::ZERO, 0.25),
    (Span::from_millis(1000), 0.6),
    (Span::from_millis(2000), 1.0),
];
/// Answers of the new release without which no step is taken.
const ENOUGH: u32 = 20;
/// Time before the end of the order at which it is completed: a write to the store may be slow, or
/// lost and repeated.
const SPARE: Span = Span::from_millis(2200);
/// Bad answers to one kind of request from which on the new release can be found bad.
const BAD_OF_KIND: u32 = 5;
/// The same over all kinds of requests.
const BAD_OF_ALL: u32 = 8;
/// Share of bad answers below which a release is not found bad.
const LEAST_BAD: f64 = 0.18;
/// How many times the share of bad answers has to be that of the old release.
const WORSE: f64 = 2.5;
/// An answer that takes this many times the median of the old release is a bad one.
const SLOW: f64 = 3.0;
/// No answer that is faster than this is a slow one.
const SLOW_FLOOR: Span = Span::from_millis(60);
/// Times of the old release that are kept for each kind of request.
const TIMES: usize = 48;
/// Times from which on their median is known.
const KNOWN_TIMES: usize = 8;

/// Which of the two releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The one in service.
    Old,
    /// The one that the order names.
    New,
}

/// The end of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// The new release serves alone.
    Good,
    /// The new release gets nothing more.
    Bad,
}

/// Answers of both releases to one kind of request, as one instance counts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Answers of the old release.
    pub old: u32,
    /// The bad ones among them.
    pub old_bad: u32,
    /// Answers of the new release.
    pub new: u32,
    /// The bad ones among them.
    pub new_bad: u32,
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.old += other.old;
        self.old_bad += other.old_bad;
        self.new += other.new;
        self.new_bad += other.new_bad;
    }

    /// Whether so many bad answers of the new release, at least `least`, are no accident.
    fn condemns(self, least: u32) -> bool {
        if self.new_bad < least {
            return false;
        }
        // One bad answer in twenty is assumed of the old release before it is measured.
        let usual = (f64::from(self.old_bad) + 1.0) / (f64::from(self.old) + 20.0);
        let seen = f64::from(self.new_bad) / f64::from(self.new.max(1));
        seen >= LEAST_BAD && seen >= WORSE * usual
    }
}

/// Tallies by kind of request, sorted.
pub type Evidence = Vec<(u64, Tally)>;

/// One answer.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// The kind of request.
    pub kind: u64,
    /// Who gave it.
    pub side: Side,
    /// Whether it is a failure of the release's own.
    pub failed: bool,
    /// How long it took to its first event, or to its end where it has no events.
    pub time: Option<Span>,
}

/// The state of one order at one instance.
#[derive(Clone, Debug)]
pub struct Trial {
    /// The release in service.
    pub old: name::Version,
    /// The release to move to.
    pub new: name::Version,
    /// Whether the ruling is on the store.
    pub written: bool,
    started: Moment,
    duration: Span,
    exposure: Share,
    ruling: Option<Ruling>,
    own: Evidence,
    /// What other instances counted, by name.
    others: Vec<(name::Instance, Evidence)>,
    /// Recent times of the old release, by kind of request.
    times: Vec<(u64, Vec<Span>)>,
}

impl Trial {
    /// A trial that was ordered at `started`, of which a release that turns out bad may get the
    /// share `exposure`.
    pub fn new(
        (old, new): (name::Version, name::Version),
        started: Moment,
        duration: Span,
        exposure: Share,
    ) -> Self {
        Self {
            old,
            new,
            written: false,
            started,
            duration,
            exposure,
            ruling: None,
            own: Vec::new(),
            others: Vec::new(),
            times: Vec::new(),
        }
    }

    /// When it was ordered, as far as is known.
    pub fn started(&self) -> Moment {
        self.started
    }

    /// Takes in that another instance knew of the order earlier.
    pub fn known_since(&mut self, started: Moment) {
        self.started = self.started.min(started);
    }

    /// How it ended, if it has.
    pub fn ruling(&self) -> Option<Ruling> {
        self.ruling
    }

    /// Ends it; a ruling is final.
    pub fn rule(&mut self, ruling: Ruling) {
        self.ruling.get_or_insert(ruling);
    }

    /// The share of requests without a session for the new release.
    pub fn share(&self, now: Moment) -> Share {
        match self.ruling {
            Some(Ruling::Good) => return Share::WHOLE,
            Some(Ruling::Bad) => return Share::NONE,
            None => {}
        }
        let first = self.exposure.fraction() * FIRST_SHARE;
        let half = self.half();
        let mut share = first;
        for (begin, step) in STEPS {
            if now >= half + begin && self.sum().new >= ENOUGH {
                share = step.max(first);
            }
        }
        Share::from_fraction(share)
    }

    /// Whether sessions may move to the new release.
    pub fn moves_sessions(&self, now: Moment) -> bool {
        self.ruling.is_none() && now >= self.half() && self.share(now) == Share::WHOLE
    }

    fn half(&self) -> Moment {
        self.started + Span::from_micros(self.duration.as_micros() / 2)
    }

    /// Counts an answer of this instance's.
    pub fn note(&mut self, answer: Answer) {
        let slow = answer.time.is_some_and(|time| self.slow(answer.kind, time));
        let bad = u32::from(answer.failed || slow);
        let tally = match answer.side {
            Side::Old => Tally {
                old: 1,
                old_bad: bad,
                ..Tally::default()
            },
            Side::New => Tally {
                new: 1,
                new_bad: bad,
                ..Tally::default()
            },
        };
        add(&mut self.own, answer.kind, tally);
        if let (Side::Old, false, Some(time)) = (answer.side, answer.failed, answer.time) {
            self.keep(answer.kind, time);
        }
    }

    /// Takes over what a life of another instance has counted so far; counts only grow.
    pub fn hear(&mut self, life: name::Instance, evidence: Evidence) {
        match self.others.binary_search_by(|(name, _)| name.cmp(&life)) {
            Ok(index) if total(&evidence) > total(&self.others[index].1) => {
                self.others[index].1 = evidence;
            }
            Ok(_) => {}
            Err(index) => self.others.insert(index, (life, evidence)),
        }
    }

    /// What each life of an instance has counted, this one's as that of `own`.
    pub fn evidence(&self, own: &name::Instance) -> Vec<(name::Instance, Evidence)> {
        let mut evidence = vec![(own.clone(), self.own.clone())];
        evidence.extend(self.others.iter().cloned());
        evidence
    }

    /// Whether the evidence of all instances condemns the new release.
    pub fn condemned(&self) -> bool {
        let pooled = self.pooled();
        let of_kind = pooled.iter().any(|(_, tally)| tally.condemns(BAD_OF_KIND));
        of_kind || self.sum().condemns(BAD_OF_ALL)
    }

    /// Whether the old release may be stopped now.
    pub fn complete(&self, now: Moment) -> bool {
        let end = self.started + self.duration;
        self.ruling.is_none() && self.moves_sessions(now) && now + SPARE >= end
    }

    fn pooled(&self) -> Evidence {
        let mut pooled = self.own.clone();
        for (_, evidence) in &self.others {
            for &(kind, tally) in evidence {
                add(&mut pooled, kind, tally);
            }
        }
        pooled
    }

    fn sum(&self) -> Tally {
        let mut sum = Tally::default();
        for (_, tally) in self.pooled() {
            sum.add(tally);
        }
        sum
    }

    fn slow(&self, kind: u64, time: Span) -> bool {
        let found = self.times.binary_search_by_key(&kind, |(known, _)| *known);
        let Ok(index) = found else {
            return false;
        };
        let mut times = self.times[index].1.clone();
        if times.len() < KNOWN_TIMES {
            return false;
        }
        times.sort_unstable();
        let median = times[times.len() / 2].max(SLOW_FLOOR);
        time.as_secs_f64() > SLOW * median.as_secs_f64()
    }

    fn keep(&mut self, kind: u64, time: Span) {
        let times = sorted::entry(&mut self.times, &kind, Vec::new);
        if times.len() == TIMES {
            times.remove(0);
        }
        times.push(time);
    }
}

fn total(evidence: &Evidence) -> u32 {
    evidence
        .iter()
        .map(|(_, tally)| tally.old + tally.new)
        .sum()
}

fn add(evidence: &mut Evidence, kind: u64, tally: Tally) {
    sorted::entry(evidence, &kind, Tally::default).add(tally);
}

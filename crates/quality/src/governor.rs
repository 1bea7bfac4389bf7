//! How much of the engines' time better answers may take.
//!
//! Asking the largest model again takes ten times the engine time of the smallest. While engines are
//! free that is well spent; under load it makes everybody late. The governor watches how much of their
//! time the first answers take, and lowers the share of escalations by multiplicative decrease and
//! additive increase (Chiu and Jain, 1989), so that instances which share engines settle on a common
//! level without a message.
//!
//! That takes some seconds. A clump of requests, such as callers that come back together after an
//! outage, is over by then, so that the work which waits at the engines at this moment counts too: the
//! governor learns how long engines take for a unit of it, and expects the wait from that.

use entity::{Moment, Span};

/// Share of the time that a caller is ready to wait for the first event above which the level is
/// lowered. A larger model needs several times as long for the same prompt.
const HIGH: f64 = 0.30;
/// Share below which the level is raised.
const LOW: f64 = 0.22;
/// Factor of a decrease.
const DECREASE: f64 = 0.6;
/// Step of an increase.
const INCREASE: f64 = 0.1;
/// Time between two steps.
const PERIOD: Span = Span::from_millis(200);
/// Level of an instance that starts again: after an outage of all of them, callers come back together.
const RESTARTED: f64 = 0.3;
/// Shares of the objective between which an answer that does not come is given up on for another
/// try.
const PATIENCE: (f64, f64) = (0.4, 1.5);
/// How many times the usual share an answer may take before it is given up on.
const OVERDUE: f64 = 5.0;
/// How much longer a larger model takes for the same prompt.
const LARGER: f64 = 2.5;
/// Weight of the newest answer in the moving average.
const NEWEST: f64 = 0.12;
/// Most that one answer counts for: one that hung says little about the others.
const LARGEST: f64 = 1.0;
/// Share of the objective that the first event of a better answer may be expected to take up to which
/// escalations go on unhindered, and from which on there are none.
const WAIT: (f64, f64) = (0.8, 1.6);
/// How many times as long as expected an answer may take before it is given up on.
const UNEXPECTED: f64 = 3.0;
/// Weight of what came before in the sums of time and work, for each answer.
const FORGET: f64 = 0.95;

/// The first event of an answer, or a doubtful answer that was dropped.
#[derive(Clone, Copy, Debug)]
pub struct First {
    /// How long it took.
    pub time: Span,
    /// Within which it is on time.
    pub objective: Span,
    /// Work that was at the engine before it, in tokens; none where that is not known.
    pub ahead: Option<f64>,
    /// Whether the smallest model was asked.
    pub smallest: bool,
    /// Whether it came. One that was given up on took longer than its time says.
    pub came: bool,
}

/// Watches the first answers of one service's engines.
#[derive(Clone, Debug)]
pub struct Governor {
    /// Moving average of the share of their time that first answers take.
    pressure: f64,
    level: f64,
    stepped: Moment,
    /// Sums over the last answers: seconds to their first events, and work in tokens.
    time: f64,
    work: f64,
}

impl Governor {
    /// A governor that has seen no answer yet. `restarted` says that callers may be waiting.
    pub fn new(restarted: bool, now: Moment) -> Self {
        Self {
            pressure: 0.0,
            level: if restarted { RESTARTED } else { 1.0 },
            stepped: now,
            time: 0.0,
            work: 0.0,
        }
    }

    /// Takes in the first event of an answer.
    pub fn observe(&mut self, first: First, now: Moment) {
        if let (Some(ahead), true) = (first.ahead, first.came) {
            self.time = FORGET * self.time + first.time.as_secs_f64();
            self.work = FORGET * self.work + ahead;
        }
        if !first.smallest {
            return;
        }
        let share = first.time.as_secs_f64() / first.objective.as_secs_f64().max(1e-3);
        self.pressure += NEWEST * (share.min(LARGEST) - self.pressure);
        if now.since(self.stepped) < PERIOD {
            return;
        }
        self.stepped = now;
        if self.pressure > HIGH {
            self.level *= DECREASE;
        } else if self.pressure < LOW {
            self.level = (self.level + INCREASE).min(1.0);
        }
    }

    /// From 0, nothing is escalated, to 1, all that gains by it.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// How long engines take for so much work before a first event; nothing before any answer told.
    pub fn expected(&self, ahead: f64) -> Span {
        if self.work <= 0.0 {
            return Span::ZERO;
        }
        Span::from_micros((ahead * self.time / self.work * 1e6) as u64)
    }

    /// How long the first event of an answer that is on time within `objective` is waited for while
    /// another try is possible, where so much work is `ahead` of it. The usual time follows the load,
    /// so that a busy engine is not taken for a dead one.
    pub fn patience(&self, objective: Span, smallest: bool, ahead: Option<f64>) -> Span {
        let usual = if smallest {
            self.pressure
        } else {
            LARGER * self.pressure
        };
        let share = (OVERDUE * usual).clamp(PATIENCE.0, PATIENCE.1);
        let expected = self.expected(ahead.unwrap_or_default());
        objective.scaled(share).max(expected.scaled(UNEXPECTED))
    }

    /// The confidence below which an answer is escalated, where `full` is the one without load and a
    /// better answer is expected to take `wait` of its objective to its first event. Background work
    /// gives way first.
    pub fn threshold(&self, full: u8, background: bool, wait: f64) -> u8 {
        let level = if background {
            (2.0 * self.level - 1.0).max(0.0)
        } else {
            self.level
        };
        let (free, none) = WAIT;
        let room = ((none - wait) / (none - free)).clamp(0.0, 1.0);
        (f64::from(full) * level * room).round() as u8
    }
}

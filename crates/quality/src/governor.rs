//! Limits escalations according to the load of the engines.
//!
//! An escalation to the largest model takes ten times the engine time of the smallest. That is
//! affordable while engines are idle, but under load it delays every answer. The governor measures
//! the share of the latency objective that first events take, and adjusts the level of escalations
//! by additive increase and multiplicative decrease (Chiu and Jain, 1989), so that instances which
//! share engines settle on a common level without exchanging messages.
//!
//! This takes a second or two. A burst, such as all callers reconnecting after an outage, is over by
//! then. The governor therefore also considers the work that is queued at the engines: it estimates
//! the time that engines take for a token of queued work and derives the expected delay from it.

use entity::{Moment, Span};

/// Pressure, as a share of the latency objective, above which the level is lowered. A larger model
/// needs several times as long for the same prompt.
const HIGH_PRESSURE: f64 = 0.30;
/// Pressure, as a share of the latency objective, below which the level is raised.
const LOW_PRESSURE: f64 = 0.22;
/// Factor applied to the level to lower it.
const DECREASE_FACTOR: f64 = 0.6;
/// Amount added to the level to raise it.
const INCREASE_STEP: f64 = 0.25;
/// Minimum time between two changes of the level.
const STEP_INTERVAL: Span = Span::from_millis(200);
/// Initial level, from 0 to 1, of an instance that restarts. After an outage of all instances, the
/// callers reconnect at the same time.
const RESTART_LEVEL: f64 = 0.3;
/// Minimum and maximum share of the latency objective after which a missing answer is abandoned for
/// another try.
const TIMEOUT_SHARES: (f64, f64) = (0.4, 1.5);
/// Factor on the usual share of the objective after which an answer is abandoned.
const OVERDUE_FACTOR: f64 = 5.0;
/// Ratio of the time that a larger model takes to that of the smallest, for the same prompt.
const LARGER_MODEL_FACTOR: f64 = 2.5;
/// Weight of the newest answer in the moving average.
const PRESSURE_EWMA_WEIGHT: f64 = 0.3;
/// Work that is assumed before a first event at least, in tokens: an engine takes time for an answer
/// whose prompt it has in its cache.
const MIN_WORK_TOKENS: f64 = 150.0;
/// Maximum share of the objective that one answer counts for: an answer that hung says little about
/// the others.
const MAX_PRESSURE_SAMPLE: f64 = 1.0;
/// Expected delay of the first event of an escalated answer, as a share of the objective: up to the
/// first value escalations are not reduced, and from the second value on there are none.
const DELAY_SHARES: (f64, f64) = (0.8, 1.6);
/// Factor on the expected delay after which an answer is abandoned.
const EXPECTED_DELAY_FACTOR: f64 = 3.0;
/// Factor applied to the sums of time and tokens with each answer.
const DECAY_PER_ANSWER: f64 = 0.95;

/// The latency of an answer's first event, or of an answer that was abandoned before it.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Time until the first event, or until the answer was abandoned.
    pub time: Span,
    /// Latency objective: the time within which the first event counts as on time.
    pub objective: Span,
    /// Work that was queued at the engine before the request, in tokens; `None` if unknown.
    pub ahead: Option<f64>,
    /// Whether the smallest model was asked.
    pub smallest_model: bool,
    /// Whether the first event arrived. If not, it would have taken longer than `time`.
    pub arrived: bool,
}

/// Escalation control for one service.
#[derive(Clone, Debug)]
pub struct Governor {
    /// Moving average of the share of the latency objective that first events take.
    pressure: f64,
    level: f64,
    last_step: Moment,
    /// Decayed sums over recent answers: seconds until their first events, and queued tokens.
    total_seconds: f64,
    total_tokens: f64,
}

impl Governor {
    /// Returns a governor without observations. `restarted` indicates that callers may already be
    /// waiting.
    pub fn new(restarted: bool, now: Moment) -> Self {
        Self {
            pressure: 0.0,
            level: if restarted { RESTART_LEVEL } else { 1.0 },
            last_step: now,
            total_seconds: 0.0,
            total_tokens: 0.0,
        }
    }

    /// Records the latency of a first event.
    pub fn observe(&mut self, observation: Observation, now: Moment) {
        if let (Some(ahead), true) = (observation.ahead, observation.arrived) {
            self.total_seconds =
                DECAY_PER_ANSWER * self.total_seconds + observation.time.as_secs_f64();
            self.total_tokens = DECAY_PER_ANSWER * self.total_tokens + ahead.max(MIN_WORK_TOKENS);
        }
        if !observation.smallest_model {
            return;
        }
        let share = observation.time.as_secs_f64() / observation.objective.as_secs_f64().max(1e-3);
        self.pressure += PRESSURE_EWMA_WEIGHT * (share.min(MAX_PRESSURE_SAMPLE) - self.pressure);
        if now.since(self.last_step) < STEP_INTERVAL {
            return;
        }
        self.last_step = now;
        if self.pressure > HIGH_PRESSURE {
            self.level *= DECREASE_FACTOR;
        } else if self.pressure < LOW_PRESSURE {
            self.level = (self.level + INCREASE_STEP).min(1.0);
        }
    }

    /// Returns the level of escalations, from 0 (none) to 1 (every one that improves the answer).
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns the expected time until a first event with `ahead` tokens of work queued before it.
    /// Returns zero before the first observation.
    pub fn expected_delay(&self, ahead: f64) -> Span {
        if self.total_tokens <= 0.0 {
            return Span::ZERO;
        }
        let ahead = ahead.max(MIN_WORK_TOKENS);
        Span::from_micros((ahead * self.total_seconds / self.total_tokens * 1e6) as u64)
    }

    /// Returns how long to wait for the first event of an answer with the latency objective
    /// `objective` while another try is possible and `ahead` tokens of work are queued before it.
    /// The timeout follows the load, so that a busy engine is not mistaken for a dead one.
    pub fn first_event_timeout(
        &self,
        objective: Span,
        smallest_model: bool,
        ahead: Option<f64>,
    ) -> Span {
        let usual_share = if smallest_model {
            self.pressure
        } else {
            LARGER_MODEL_FACTOR * self.pressure
        };
        let share = (OVERDUE_FACTOR * usual_share).clamp(TIMEOUT_SHARES.0, TIMEOUT_SHARES.1);
        let expected_delay = self.expected_delay(ahead.unwrap_or_default());
        objective
            .scaled(share)
            .max(expected_delay.scaled(EXPECTED_DELAY_FACTOR))
    }

    /// Returns the confidence threshold below which an answer is escalated. `full` is the threshold
    /// without load, and `wait` is the expected delay of the first event of the better answer as a
    /// share of its objective. Background requests are reduced first.
    pub fn threshold(&self, full: u8, background: bool, wait: f64) -> u8 {
        let level = if background {
            (2.0 * self.level - 1.0).max(0.0)
        } else {
            self.level
        };
        let (full_below, none_above) = DELAY_SHARES;
        let remaining = ((none_above - wait) / (none_above - full_below)).clamp(0.0, 1.0);
        (f64::from(full) * level * remaining).round() as u8
    }
}

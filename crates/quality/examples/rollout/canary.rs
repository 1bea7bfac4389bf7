//! The reference policy: a fixed canary share and a fixed threshold.

use crate::workload::{Decision, Policy, RequestKind};
use std::collections::VecDeque;
use std::fmt;

/// Canary share of requests.
const SHARE: f64 = 0.1;

/// Time until all instances apply a brake, in seconds.
const BRAKE_DELAY: f64 = 1.0;

/// A condition for the brake.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Number of ratings in the moving mean.
    pub ratings: usize,
    /// Mean rating below which the canary is braked.
    pub threshold: f64,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "mean of {} ratings below {}",
            self.ratings, self.threshold
        )
    }
}

/// A canary and its latest ratings.
pub struct Canary {
    rule: Rule,
    last: VecDeque<f64>,
    braked: Option<f64>,
}

impl Canary {
    /// Returns a canary without ratings.
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            last: VecDeque::new(),
            braked: None,
        }
    }
}

impl Policy for Canary {
    fn decide(
        &mut self,
        at: f64,
        _instance: usize,
        _kind: &RequestKind,
        position: f64,
    ) -> Decision {
        if position >= SHARE || self.braked.is_some_and(|braked| at >= braked + BRAKE_DELAY) {
            return Decision::Old;
        }
        Decision::New
    }

    fn rate(&mut self, at: f64, _instance: usize, score: f64) {
        self.last.push_back(score);
        if self.last.len() < self.rule.ratings {
            return;
        }
        if self.last.len() > self.rule.ratings {
            self.last.pop_front();
        }
        let mean = self.last.iter().sum::<f64>() / self.last.len() as f64;
        if mean < self.rule.threshold && self.braked.is_none() {
            self.braked = Some(at);
        }
    }

    fn tick(&mut self, _at: f64) {}

    fn braked(&self) -> Option<f64> {
        self.braked
    }
}

//! A fixed share with a fixed threshold.

use crate::workload::{Decision, Form, Policy};
use std::collections::VecDeque;
use std::fmt;

/// The share of requests.
const SHARE: f64 = 0.1;

/// Time until all instances follow a brake, in seconds.
const SPREADING: f64 = 1.0;

/// When to brake.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Ratings in the moving mean.
    pub ratings: usize,
    /// It brakes if the mean is below this.
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

/// A canary with its last ratings.
pub struct Canary {
    rule: Rule,
    last: VecDeque<f64>,
    braked: Option<f64>,
}

impl Canary {
    /// A canary that has seen nothing.
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            last: VecDeque::new(),
            braked: None,
        }
    }
}

impl Policy for Canary {
    fn decide(&mut self, at: f64, _instance: usize, _form: &Form, position: f64) -> Decision {
        if position >= SHARE || self.braked.is_some_and(|braked| at >= braked + SPREADING) {
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

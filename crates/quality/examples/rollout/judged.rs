//! The judges of nine instances, which exchange tallies and verdicts.

use crate::TARGET;
use crate::common::{INSTANCES, config, id, moment, service, version};
use crate::workload::{Decision, Policy, RequestKind};
use config::model::Rollout;
use entity::unit::{Share, Tokens};
use entity::{Generation, Span, id::Id, id::Service};
use quality::{Class, Judge, Query, Rating, Summary, Verdict};

const OLD: usize = 0;
const NEW: usize = 1;

/// Time between two updates from an instance, in seconds.
const UPDATE_INTERVAL: f64 = 2.0;

/// Time until an update arrives, in seconds.
const UPDATE_DELAY: f64 = 0.5;

/// Time until all instances apply a brake, in seconds.
const BRAKE_DELAY: f64 = 1.0;

/// Nine judges and the messages in transit between them.
pub struct JudgePolicy {
    judges: Vec<Judge>,
    holds: bool,
    limit: Share,
    in_transit: Vec<(f64, Summary)>,
    verdicts: Vec<(f64, Verdict)>,
    next_update: f64,
    braked: Option<f64>,
}

impl JudgePolicy {
    /// Returns judges without ratings. `holds` selects whether complete answers are held for their
    /// rating, and `limit` is the maximum share.
    pub fn new(holds: bool, limit: Share) -> Self {
        let rollout = Rollout {
            service: Service::new(0),
            from: id(OLD),
            to: id(NEW),
            share: Share::percent(2),
            limit,
            false_alarm: Share::percent(1),
        };
        let config = config(&[1.0, 1.0], TARGET, holds, vec![rollout]);
        let mut judges = Vec::new();
        for n in 0..INSTANCES {
            let mut judge = Judge::new(n as u64, &format!("i{n}"));
            judge.set_observers(INSTANCES as u32);
            judge.configure(&config, Generation(1));
            judges.push(judge);
        }
        Self {
            judges,
            holds,
            limit,
            in_transit: Vec::new(),
            verdicts: Vec::new(),
            next_update: 0.0,
            braked: None,
        }
    }

    fn collect(&mut self, at: f64, instance: usize) {
        for verdict in self.judges[instance].take_verdicts() {
            self.braked.get_or_insert(at);
            self.verdicts.push((at + BRAKE_DELAY, verdict));
        }
    }
}

impl Policy for JudgePolicy {
    fn decide(&mut self, at: f64, instance: usize, kind: &RequestKind, position: f64) -> Decision {
        if position >= self.limit.fraction() {
            return Decision::Old;
        }
        let class = if kind.streamed {
            Class::Interactive
        } else {
            Class::Batch
        };
        let query = Query {
            service: Service::new(0),
            candidates: &[id(OLD), id(NEW)],
            class,
            streamed: kind.streamed,
            prompt: Tokens(500),
            budget: Span::from_secs(60),
            position: Share::from_ppm((position * 1e6) as u32),
            now: moment(at),
        };
        let plan = self.judges[instance]
            .plan(&query)
            .expect("the baseline version is a candidate");
        if plan.first != id(NEW) {
            return Decision::Old;
        }
        match plan.escalate {
            Some(escalation) if self.holds => Decision::Held(escalation.threshold),
            _ => Decision::New,
        }
    }

    fn rate(&mut self, at: f64, instance: usize, score: f64) {
        self.judges[instance].rate(&Rating {
            service: &service(),
            version: &version(NEW),
            escalated: false,
            score,
            weight: 1.0,
            at: moment(at),
        });
        self.collect(at, instance);
    }

    fn tick(&mut self, at: f64) {
        if at >= self.next_update {
            self.next_update = at + UPDATE_INTERVAL;
            for judge in &self.judges {
                for summary in judge.summaries(moment(at)) {
                    self.in_transit.push((at + UPDATE_DELAY, summary));
                }
            }
        }
        let arrived: Vec<_> = self
            .in_transit
            .extract_if(.., |(due, _)| *due <= at)
            .collect();
        for (_, summary) in &arrived {
            for instance in 0..INSTANCES {
                if self.judges[instance].merge(summary, moment(at)) {
                    self.collect(at, instance);
                }
            }
        }
        let arrived: Vec<_> = self
            .verdicts
            .extract_if(.., |(due, _)| *due <= at)
            .collect();
        for (_, verdict) in &arrived {
            for judge in &mut self.judges {
                judge.apply(verdict);
            }
        }
    }

    fn braked(&self) -> Option<f64> {
        self.braked
    }
}

//! The judges of nine instances, which tell each other sums and verdicts.

use crate::TARGET;
use crate::common::{INSTANCES, config, id, moment, service, version};
use crate::workload::{Decision, Form, Policy};
use config::model::Rollout;
use entity::unit::{Share, Tokens};
use entity::{Generation, Span, id::Id, id::Service};
use quality::{Class, Judge, Query, Rating, Summary, Verdict};

const OLD: usize = 0;
const NEW: usize = 1;

/// Time between two tellings of an instance's sums, in seconds.
const TELLING: f64 = 2.0;

/// Time until a telling arrives, in seconds.
const TRANSIT: f64 = 0.5;

/// Time until all instances follow a brake, in seconds.
const SPREADING: f64 = 1.0;

/// Nine judges and what is on its way between them.
pub struct Judged {
    judges: Vec<Judge>,
    holds: bool,
    limit: Share,
    told: Vec<(f64, Summary)>,
    verdicts: Vec<(f64, Verdict)>,
    next: f64,
    braked: Option<f64>,
}

impl Judged {
    /// Judges that know nothing; `holds` says whether whole answers are held for their rating, and
    /// `limit` is the largest share.
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
            judge.set_viewers(INSTANCES as u32);
            judge.configure(&config, Generation(1));
            judges.push(judge);
        }
        Self {
            judges,
            holds,
            limit,
            told: Vec::new(),
            verdicts: Vec::new(),
            next: 0.0,
            braked: None,
        }
    }

    fn collect(&mut self, at: f64, instance: usize) {
        for verdict in self.judges[instance].take_verdicts() {
            self.braked.get_or_insert(at);
            self.verdicts.push((at + SPREADING, verdict));
        }
    }
}

impl Policy for Judged {
    fn decide(&mut self, at: f64, instance: usize, form: &Form, position: f64) -> Decision {
        if position >= self.limit.fraction() {
            return Decision::Old;
        }
        let class = if form.streamed {
            Class::Interactive
        } else {
            Class::Batch
        };
        let query = Query {
            service: Service::new(0),
            candidates: &[id(OLD), id(NEW)],
            class,
            streamed: form.streamed,
            prompt: Tokens(500),
            budget: Span::from_secs(60),
            position: Share::from_ppm((position * 1e6) as u32),
            now: moment(at),
        };
        let plan = self.judges[instance]
            .plan(&query)
            .expect("the old version is there");
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
        if at >= self.next {
            self.next = at + TELLING;
            for judge in &self.judges {
                for summary in judge.summaries(moment(at)) {
                    self.told.push((at + TRANSIT, summary));
                }
            }
        }
        let arrived: Vec<_> = self.told.extract_if(.., |(due, _)| *due <= at).collect();
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

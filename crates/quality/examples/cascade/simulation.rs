//! Simulation of one service under one policy.

use crate::common::{BAD, INSTANCES, config, id, moment, rating_delay, service, version};
use crate::demand::{Demand, LARGE, PRICES, RUN_DURATION, Request, SMALL, is_out, is_worse};
use crate::policy::{self, Choice, Kind};
use entity::unit::{Share, Tokens};
use entity::{Generation, Span, id::Id, id::Service};
use quality::{Class, Judge, Plan, Query, Rating, Reason};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of generated tokens of every answer.
const OUTPUT: Tokens = Tokens(400);

/// Number of tokens of every prompt.
const PROMPT: Tokens = Tokens(500);

/// Maximum time for which a complete answer is held for its rating, in seconds.
const MAX_HOLD: f64 = 10.0;

/// Time between two updates of totals, in seconds.
const UPDATE_INTERVAL: f64 = 10.0;

/// Time until the client of the rating service detects an outage or its end, in seconds.
const DETECTION_DELAY: f64 = 5.0;

/// Share of escalated answers that are rated.
const ESCALATED_SAMPLE: f64 = 0.5;

/// Results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Total {
    /// Cost in credits.
    pub cost: f64,
    /// Number of answers passed on.
    pub answers: u32,
    /// Number of bad answers passed on.
    pub bad: u32,
    quality: f64,
}

impl Total {
    /// Returns the mean quality of the answers passed on.
    pub fn mean(&self) -> f64 {
        self.quality / f64::from(self.answers)
    }

    fn ask(&mut self, version: usize) {
        let tokens = PROMPT.0 as f64 / 4.0 + OUTPUT.0 as f64;
        self.cost += PRICES[version] * tokens / 1e3;
    }

    fn pass(&mut self, quality: f64) {
        self.answers += 1;
        self.quality += quality;
        self.bad += u32::from(quality < BAD);
    }
}

/// A rating that has not yet reached its instance.
#[derive(Clone, Copy, Debug)]
struct Pending {
    at: f64,
    instance: usize,
    version: usize,
    escalated: bool,
    score: f64,
}

/// Simulates a run.
pub fn simulate(demand: &Demand, kind: Kind, seed: u64) -> Total {
    let judged = matches!(kind, Kind::Judge | Kind::Direct);
    let mut simulation = Simulation {
        demand,
        total: Total::default(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        pending: Vec::new(),
        judges: if judged {
            judges(demand, kind, seed)
        } else {
            Vec::new()
        },
        // The oracle's choices are computed in advance for both states of the small version.
        choices: [false, true]
            .map(|worse| (kind == Kind::Oracle).then(|| policy::oracle(demand, worse))),
        next_update: 0.0,
        split: if kind == Kind::Split {
            policy::split(demand)
        } else {
            0.0
        },
    };
    let mut at = simulation.demand.interarrival_time(&mut simulation.rng);
    while at < RUN_DURATION {
        // All draws are made under every policy, so that a seed gives each policy the same
        // requests.
        let request = demand.request(&mut simulation.rng, is_worse(at));
        let position: f64 = simulation.rng.random();
        let instance = simulation.rng.random_range(0..INSTANCES);
        let delay = rating_delay(&mut simulation.rng);
        let arrival = Arrival {
            at,
            position,
            instance,
            delay,
        };
        simulation.serve(kind, &request, arrival);
        at += demand.interarrival_time(&mut simulation.rng);
    }
    simulation.total
}

fn judges(demand: &Demand, kind: Kind, seed: u64) -> Vec<Judge> {
    let config = config(&PRICES, demand.target, kind == Kind::Judge, Vec::new());
    let mut judges = Vec::new();
    for n in 0..INSTANCES as u64 {
        let mut judge = Judge::new(seed * 100 + n, &format!("i{n}"));
        judge.configure(&config, Generation(1));
        judges.push(judge);
    }
    judges
}

/// Time and place of a request's arrival.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: f64,
    /// Position of its session in the split, from 0 to 1.
    position: f64,
    instance: usize,
    /// Delay of its rating, in seconds.
    delay: f64,
}

struct Simulation<'a> {
    demand: &'a Demand,
    total: Total,
    rng: ChaCha8Rng,
    pending: Vec<Pending>,
    judges: Vec<Judge>,
    choices: [Option<Choice>; 2],
    split: f64,
    /// Time of the next exchange of totals.
    next_update: f64,
}

impl Simulation<'_> {
    fn serve(&mut self, kind: Kind, request: &Request, arrival: Arrival) {
        match kind {
            Kind::Large => self.direct(request, LARGE),
            Kind::Small => self.direct(request, SMALL),
            Kind::Split if arrival.position < self.split => self.direct(request, SMALL),
            Kind::Split => self.direct(request, LARGE),
            Kind::Oracle => self.oracle(request, arrival),
            Kind::Judge | Kind::Direct => self.judge(request, arrival),
        }
    }

    fn direct(&mut self, request: &Request, version: usize) {
        self.total.ask(version);
        self.total.pass(request.quality[version]);
    }

    fn oracle(&mut self, request: &Request, arrival: Arrival) {
        let Arrival { at, delay, .. } = arrival;
        let choice = self.choices[usize::from(is_worse(at))]
            .expect("the oracle's choices are computed at the start");
        let rated = delay <= MAX_HOLD && !is_out(at);
        match choice {
            Choice::Version(version) => self.direct(request, version),
            // Without ratings the oracle can't cascade either, and meets the target with the large
            // version alone.
            Choice::Cascade(_) if !rated => self.direct(request, LARGE),
            Choice::Cascade(threshold) if request.score[SMALL] < threshold => {
                self.total.ask(SMALL);
                self.direct(request, LARGE);
            }
            Choice::Cascade(_) => self.direct(request, SMALL),
        }
    }

    fn judge(&mut self, request: &Request, arrival: Arrival) {
        let Arrival {
            at,
            position,
            instance,
            delay,
        } = arrival;
        self.deliver(at);
        let plan = self.plan(at, position, instance);
        let first = plan.first.index();
        self.total.ask(first);
        self.measure(instance, first);
        let done = at + self.demand.latency[first];
        let judge = &self.judges[instance];
        let sampling = judge
            .sampling_share(Service::new(0), plan.first, moment(at))
            .fraction();
        let sampled = plan.reason == Reason::Exploration || self.rng.random_bool(sampling);
        let rated = (sampled || plan.escalate.is_some()) && !is_out(done + delay);
        if rated {
            self.pending.push(Pending {
                at: done + delay,
                instance,
                version: first,
                escalated: false,
                score: request.score[first],
            });
        }
        let Some(escalation) = plan.escalate.filter(|_| rated && delay <= MAX_HOLD) else {
            self.total.pass(request.quality[first]);
            return;
        };
        if request.score[first] >= escalation.threshold {
            self.total.pass(request.quality[first]);
            return;
        }
        let second = escalation.version.index();
        self.total.ask(second);
        self.total.pass(request.quality[second]);
        self.measure(instance, second);
        if self.rng.random_bool(ESCALATED_SAMPLE) {
            self.pending.push(Pending {
                at: done + 2.0 * delay + self.demand.latency[second],
                instance,
                version: second,
                escalated: true,
                score: request.score[second],
            });
        }
    }

    fn plan(&mut self, at: f64, position: f64, instance: usize) -> Plan {
        let streamed = self.demand.streamed;
        let query = Query {
            service: Service::new(0),
            candidates: &[id(SMALL), id(LARGE)],
            class: if streamed {
                Class::Interactive
            } else {
                Class::Batch
            },
            streamed,
            prompt: PROMPT,
            budget: Span::from_secs(60),
            position: Share::from_fraction(position),
            now: moment(at),
        };
        let judge = &mut self.judges[instance];
        judge.set_rating_outage(is_out(at - DETECTION_DELAY));
        judge.plan(&query).expect("both versions are candidates")
    }

    fn measure(&mut self, instance: usize, of: usize) {
        let latency = Span::from_millis((self.demand.latency[of] * 1e3) as u64);
        self.judges[instance].measure(&service(), &version(of), latency, OUTPUT);
    }

    /// Delivers the ratings that have arrived and the totals that instances exchange.
    fn deliver(&mut self, at: f64) {
        if at >= self.next_update {
            self.next_update = at + UPDATE_INTERVAL;
            let sent: Vec<_> = self
                .judges
                .iter_mut()
                .flat_map(|judge| judge.take_unsent_totals(8))
                .collect();
            for judge in &mut self.judges {
                for update in &sent {
                    judge.receive(update, moment(at));
                }
            }
        }
        for rating in self.pending.extract_if(.., |rating| rating.at <= at) {
            self.judges[rating.instance].rate(&Rating {
                service: &service(),
                version: &version(rating.version),
                escalated: rating.escalated,
                score: rating.score,
                weight: 1.0,
                at: moment(rating.at),
            });
        }
    }
}

//! A small queueing model of engines behind several instances, in steps of virtual time.
//!
//! An engine prefills one prompt at a time, and generates tokens for all its running requests at a
//! rate that falls with their number. Its prefix cache keeps the most recent prefixes. In cold
//! start it is slower, and restarts when it gets more requests than its cold limit: all of them
//! fail, and cold start begins again. It reports its load with a lag.
#![allow(dead_code, reason = "each example uses a part")]

pub mod fleet;
pub mod policy;

use entity::Moment;
use entity::time::Span;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A step of virtual time.
pub const STEP: Span = Span::from_millis(5);

/// Time per token without other running requests.
const TOKEN_MS: f64 = 12.0;

/// Number of generating requests that doubles the time per token.
const HALF_RATE_REQUESTS: f64 = 16.0;

/// Share of the prefill that remains when the prefix is cached.
const CACHED_PREFILL_SHARE: f64 = 0.2;

/// Slowdown of a cold engine.
const COLD_SLOWDOWN: f64 = 3.0;

/// Time between two load reports of an engine.
const REPORT_INTERVAL: Span = Span::from_secs(1);

/// Age of a load report on arrival.
pub const REPORT_LAG: Span = Span::from_millis(500);

/// Duration of cold start.
pub const COLD_START_DURATION: Span = Span::from_secs(20);

/// Largest number of concurrent requests at a warm engine.
pub const WARM_LIMIT: u32 = 16;
/// Largest number of concurrent requests at an engine in cold start.
pub const COLD_LIMIT: u32 = 2;

/// A request of the load.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: usize,
    pub organisation: usize,
    pub instance: usize,
    pub arrived: Moment,
    pub deadline: Moment,
    pub prefix: u64,
    pub prefill_ms: f64,
    pub tokens: f64,
    pub tries: u32,
    /// Priority at the engine; 0 is the most urgent.
    pub urgency: u8,
}

/// Outcome of a request at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// Time of the first token, and time to it from the dispatch.
    Done {
        first: Moment,
        first_token: Span,
    },
    Failed,
    Refused,
}

struct Running {
    request: Request,
    dispatched: Moment,
    prefill_left: f64,
    tokens_left: f64,
    first: Option<Moment>,
}

/// A load report in transit.
#[derive(Clone, Debug)]
pub struct Report {
    pub as_of: Moment,
    pub running: u32,
    pub queued: u32,
    pub cold: bool,
    pub prefixes: Vec<u64>,
}

pub struct Engine {
    /// Speed in relation to other engines.
    pub speed: f64,
    /// Capacity of the prefix cache, in prefixes.
    pub cache_capacity: usize,
    running: Vec<Running>,
    queue: Vec<(Request, Moment)>,
    cache: Vec<u64>,
    warm_at: Moment,
    reported: Moment,
    reports: Vec<Report>,
    pub crash_count: u32,
}

impl Engine {
    pub fn new(speed: f64, cache_capacity: usize) -> Self {
        Self {
            speed,
            cache_capacity,
            running: Vec::new(),
            queue: Vec::new(),
            cache: Vec::new(),
            warm_at: Moment(0),
            reported: Moment(0),
            reports: Vec::new(),
            crash_count: 0,
        }
    }

    /// Restarts the engine, which is cold then and has an empty cache.
    pub fn restart(&mut self, now: Moment) {
        self.warm_at = now + COLD_START_DURATION;
        self.cache.clear();
    }

    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.warm_at
    }

    /// Adds a request. Returns the requests that fail because of it.
    pub fn send(&mut self, request: Request, now: Moment) -> Vec<(Request, End)> {
        self.queue.push((request, now));
        let load = (self.running.len() + self.queue.len()) as u32;
        if !self.is_cold(now) || load <= COLD_LIMIT {
            return Vec::new();
        }
        self.crash_count += 1;
        self.restart(now);
        let running = self.running.drain(..).map(|running| running.request);
        let queued = self.queue.drain(..).map(|(request, _)| request);
        running
            .chain(queued)
            .map(|request| (request, End::Failed))
            .collect()
    }

    /// Advances the engine by one step. Returns the requests that ended.
    pub fn step(&mut self, now: Moment) -> Vec<(Request, End)> {
        while self.running.len() < WARM_LIMIT as usize && !self.queue.is_empty() {
            let urgent = |&index: &usize| self.queue[index].0.urgency;
            let first = (0..self.queue.len())
                .min_by_key(urgent)
                .expect("the queue is not empty");
            let (request, dispatched) = self.queue.remove(first);
            self.start(request, dispatched);
        }
        self.report(now);
        let factor = if self.is_cold(now) {
            COLD_SLOWDOWN
        } else {
            1.0
        };
        let ms = STEP.as_secs_f64() * 1e3 * self.speed / factor;
        self.prefill(ms, now);
        self.generate(ms, now)
    }

    fn start(&mut self, request: Request, dispatched: Moment) {
        let cached = self.cache.contains(&request.prefix);
        let part = if cached { CACHED_PREFILL_SHARE } else { 1.0 };
        self.cache.retain(|&prefix| prefix != request.prefix);
        self.cache.push(request.prefix);
        if self.cache.len() > self.cache_capacity {
            self.cache.remove(0);
        }
        self.running.push(Running {
            dispatched,
            prefill_left: request.prefill_ms * part,
            tokens_left: request.tokens,
            first: None,
            request,
        });
    }

    fn prefill(&mut self, ms: f64, now: Moment) {
        // The most urgent request is first, and among equals the earliest.
        let waiting = self
            .running
            .iter_mut()
            .filter(|running| running.first.is_none());
        let waiting = waiting.min_by_key(|running| running.request.urgency);
        let Some(running) = waiting else {
            return;
        };
        running.prefill_left -= ms;
        if running.prefill_left <= 0.0 {
            running.first = Some(now);
        }
    }

    fn generate(&mut self, ms: f64, now: Moment) -> Vec<(Request, End)> {
        let decoding = self
            .running
            .iter()
            .filter(|running| running.first.is_some());
        let each = TOKEN_MS * (1.0 + decoding.count() as f64 / HALF_RATE_REQUESTS);
        let mut ended = Vec::new();
        for running in &mut self.running {
            if running.first.is_some_and(|first| first < now) {
                running.tokens_left -= ms / each;
            }
        }
        for running in self
            .running
            .extract_if(.., |running| running.tokens_left <= 0.0)
        {
            let first = running.first.expect("it generated tokens");
            let first_token = first.since(running.dispatched);
            ended.push((running.request, End::Done { first, first_token }));
        }
        ended
    }

    fn report(&mut self, now: Moment) {
        if now.since(self.reported) < REPORT_INTERVAL {
            return;
        }
        self.reported = now;
        self.reports.push(Report {
            as_of: now,
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            cold: self.is_cold(now),
            prefixes: self.cache.clone(),
        });
    }

    /// Returns the reports that arrive now.
    pub fn take_due_reports(&mut self, now: Moment) -> Vec<Report> {
        let due = |report: &mut Report| now.since(report.as_of) >= REPORT_LAG;
        self.reports.extract_if(.., due).collect()
    }
}

/// Parameters of the load, whose arrivals are a Poisson process.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests per second, by organisation.
    pub rates: Vec<f64>,
    pub instances: usize,
    /// Share of requests that arrive at the first instance, in addition to its equal share.
    pub skew: f64,
    /// Number of shared prefixes, whose popularity follows Zipf's law; 0 for none.
    pub prefixes: usize,
    /// Whether a tenth of the prompts are ten times as long.
    pub heavy: bool,
    pub deadline: Span,
}

pub struct Source {
    load: Load,
    random: ChaCha8Rng,
    count: usize,
}

impl Source {
    pub fn new(load: Load, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            load,
            random,
            count: 0,
        }
    }

    /// Returns the requests that arrive in one step.
    pub fn step(&mut self, now: Moment) -> Vec<Request> {
        let mut arrived = Vec::new();
        for organisation in 0..self.load.rates.len() {
            let chance = self.load.rates[organisation] * STEP.as_secs_f64();
            let whole = chance as u32;
            let extra = self.random.random_bool(chance - f64::from(whole));
            for _ in 0..whole + u32::from(extra) {
                arrived.push(self.request(organisation, now));
            }
        }
        arrived
    }

    fn request(&mut self, organisation: usize, now: Moment) -> Request {
        self.count += 1;
        let uniform: f64 = self.random.random();
        let first = self.random.random_bool(self.load.skew);
        let any = self.random.random_range(0..self.load.instances);
        let long = self.load.heavy && self.random.random_bool(0.1);
        Request {
            id: self.count,
            organisation,
            instance: if first { 0 } else { any },
            arrived: now,
            deadline: now + self.load.deadline,
            prefix: self.prefix(),
            prefill_ms: self.random.random_range(60.0..140.0) * if long { 10.0 } else { 1.0 },
            tokens: 5.0 - 40.0 * (1.0 - uniform).ln(),
            tries: 0,
            urgency: 0,
        }
    }

    /// Draws a prefix by Zipf's law, using the inverse of its continuous form: `P(rank <= x)` is
    /// `ln x / ln n`.
    fn prefix(&mut self) -> u64 {
        if self.load.prefixes == 0 {
            return 1_000_000 + self.count as u64;
        }
        let uniform: f64 = self.random.random();
        (self.load.prefixes as f64).powf(uniform) as u64
    }
}

/// Returns the value below which a share of the sorted values lies.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    if sorted.is_empty() {
        return f64::NAN;
    }
    let index = (sorted.len() as f64 * share) as usize;
    sorted[index.min(sorted.len() - 1)]
}

/// Returns the mean and the standard deviation.
pub fn spread(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let square = values
        .iter()
        .map(|value| (value - mean).powi(2))
        .sum::<f64>();
    (mean, (square / (count - 1.0).max(1.0)).sqrt())
}

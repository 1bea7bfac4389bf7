//! The load tool: an open-loop workload against the caller side of instances.
//!
//! Requests are sent when they are due, whether or not earlier ones were answered, and latency is
//! measured from the time at which a request was due.

pub mod attempt;
pub mod pair;
pub mod report;
mod stream;
pub mod workload;

use crate::client::Client;
use crate::digest::digest;
use crate::server;
use attempt::{Attempt, Outcome};
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use report::{Exchange, Report};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use workload::{Arrival, Class, Workload};

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 4;
/// Wait before the second attempt, which doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// Upper bound of the wait after a refusal, also where Retry-After asks for more.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses on which instances listen for callers; requests are sent to them in turn.
    pub instances: Vec<SocketAddr>,
    /// Workload that is sent.
    pub workload: Workload,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Time span during which requests arrive.
    pub time: Duration,
    /// Factor by which the rates of the workload are multiplied.
    pub scale: f64,
    /// Share of the chat requests whose answers are streamed.
    pub streamed: f64,
}

/// Returns the bearer key of an organisation in the example configurations.
pub fn bearer_key(organisation: &str) -> String {
    format!("demo-key-{organisation}")
}

/// Sends a workload and returns the report of the run.
pub async fn run(options: Options) -> Report {
    let arrivals = workload::plan(&options);
    let sessions = arrivals.iter().filter_map(|arrival| arrival.session).max();
    let mut tokens = Vec::new();
    tokens.resize_with(sessions.map_or(0, |last| last + 1), Mutex::default);
    let run = Arc::new(Run {
        client: Client::default(),
        start: Instant::now(),
        tokens,
        options,
    });
    let mut report = Report::new(&run.options);
    let mut exchanges = JoinSet::new();
    for arrival in arrivals {
        tokio::time::sleep_until(run.start + arrival.at).await;
        exchanges.spawn(Arc::clone(&run).exchange(arrival));
        while let Some(done) = exchanges.try_join_next() {
            report.add(done.expect("sending a request does not panic"));
        }
    }
    while let Some(done) = exchanges.join_next().await {
        report.add(done.expect("sending a request does not panic"));
    }
    report
}

struct Run {
    client: Client,
    start: Instant,
    options: Options,
    /// Session token of each session, once an instance has returned one.
    tokens: Vec<Mutex<Option<Box<str>>>>,
}

impl Run {
    /// Sends a request until it is answered, refused permanently, or out of attempts.
    async fn exchange(self: Arc<Self>, arrival: Arrival) -> Exchange {
        let class = &self.options.workload.classes[arrival.class];
        let due = self.start + arrival.at;
        let key = class.once.then(|| uuid(&arrival));
        let body = body(class, &arrival);
        let mut exchange = Exchange::new(class, &arrival, key.clone(), &body);
        for number in 1..=MAX_ATTEMPTS {
            let instances = &self.options.instances;
            let index = arrival.number as usize + number as usize;
            let attempt = Attempt {
                address: instances[index % instances.len()],
                class,
                arrival: &arrival,
                body: &body,
                key: key.as_deref(),
                number,
                token: self.token(&arrival),
            };
            let outcome = attempt.send(&self.client, due).await;
            let wait = backoff(&outcome, number);
            if let Outcome::Answered(answer) = &outcome {
                self.store_token(&arrival, answer.token.clone());
            }
            exchange.push(outcome);
            let Some(wait) = wait else {
                break;
            };
            if number < MAX_ATTEMPTS {
                tokio::time::sleep(wait).await;
            }
        }
        exchange
    }

    fn token(&self, arrival: &Arrival) -> Option<Box<str>> {
        let slot = self.tokens.get(arrival.session?)?;
        slot.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn store_token(&self, arrival: &Arrival, token: Option<Box<str>>) {
        let (Some(session), Some(token)) = (arrival.session, token) else {
            return;
        };
        let slot = self.tokens[session].lock();
        *slot.unwrap_or_else(PoisonError::into_inner) = Some(token);
    }
}

/// Returns the wait before the next attempt, or `None` if the request must not be retried.
fn backoff(outcome: &Outcome, number: u32) -> Option<Duration> {
    let exponential = FIRST_BACKOFF * 2_u32.pow(number - 1);
    match outcome {
        Outcome::Answered(_) | Outcome::Wrong { .. } => None,
        Outcome::Refused { final_: true, .. } => None,
        Outcome::Refused { retry_after, .. } => {
            let wait = retry_after.unwrap_or(exponential);
            Some(wait.min(MAX_BACKOFF))
        }
        Outcome::Lost { .. } => Some(exponential),
    }
}

/// Returns a UUID of version 7 (RFC 9562, section 5.7), whose random bits come from the arrival's
/// seed.
fn uuid(arrival: &Arrival) -> Box<str> {
    let mut rng = ChaCha8Rng::seed_from_u64(arrival.seed);
    let millis = u128::from(server::unix_millis());
    let random = u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64());
    let fields = millis << 80 | 7 << 76 | 2 << 62;
    let free = !(u128::MAX << 80) & !(0xf << 76) & !(3 << 62);
    let digits = format!("{:032x}", fields | random & free);
    let parts = [
        &digits[..8],
        &digits[8..12],
        &digits[12..16],
        &digits[16..20],
        &digits[20..],
    ];
    parts.join("-").into()
}

/// Returns the body of a request; reads have none.
fn body(class: &Class, arrival: &Arrival) -> Box<str> {
    if class.method() == Method::GET {
        return "".into();
    }
    let question = arrival.question();
    if class.path.is_some() {
        return serde_json::json!({"order": question}).to_string().into();
    }
    let subject = format!("{} {} ", class.name, arrival.subject);
    let repeats = class.prefix_bytes.div_ceil(subject.len());
    let prefix = subject.repeat(repeats);
    let mut body = serde_json::json!({
        "model": class.service,
        "stream": arrival.streamed,
        "max_tokens": class.tokens,
        "messages": [
            {"role": "system", "content": prefix},
            {"role": "user", "content": question},
        ],
    });
    if arrival.streamed {
        body["stream_options"] = serde_json::json!({"include_usage": true});
    }
    body.to_string().into()
}

/// Returns the hash of a body in the format of plain services.
pub fn body_digest(body: &str) -> Box<str> {
    format!("{:016x}", digest(body)).into()
}

//! The load tool: an open-loop workload against the callers' side of instances.
//!
//! Requests are sent when they are due, whether or not earlier ones were answered, and latency is
//! counted from when a request was due.

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

/// Most sendings of one request.
const MAX_ATTEMPTS: u32 = 4;
/// Wait before the second sending, which doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// Longest wait that an instance may ask for by Retry-After.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where instances listen for callers; requests go to them in turn.
    pub instances: Vec<SocketAddr>,
    /// What is asked.
    pub workload: Workload,
    /// Seed of the arrivals.
    pub seed: u64,
    /// How long requests arrive.
    pub time: Duration,
    /// What the rates of the workload are multiplied by.
    pub scale: f64,
    /// Share of the chat requests whose answers are streamed.
    pub streamed: f64,
}

/// The bearer key of an organisation in the examples.
pub fn bearer(organisation: &str) -> String {
    format!("demo-key-{organisation}")
}

/// Sends a workload and returns what came of it.
pub async fn run(options: Options) -> Report {
    let arrivals = workload::plan(&options);
    let sessions = arrivals.iter().filter_map(|arrival| arrival.session).max();
    let mut tokens = Vec::new();
    tokens.resize_with(sessions.map_or(0, |last| last + 1), Mutex::default);
    let run = Arc::new(Run {
        client: Client::default(),
        begin: Instant::now(),
        tokens,
        options,
    });
    let mut report = Report::new(&run.options);
    let mut exchanges = JoinSet::new();
    for arrival in arrivals {
        tokio::time::sleep_until(run.begin + arrival.at).await;
        exchanges.spawn(Arc::clone(&run).exchange(arrival));
        while let Some(done) = exchanges.try_join_next() {
            report.add(done.expect("exchanges do not panic"));
        }
    }
    while let Some(done) = exchanges.join_next().await {
        report.add(done.expect("exchanges do not panic"));
    }
    report
}

struct Run {
    client: Client,
    begin: Instant,
    options: Options,
    /// The token of each session, once one was returned.
    tokens: Vec<Mutex<Option<Box<str>>>>,
}

impl Run {
    /// Sends a request until it is answered, or refused for good.
    async fn exchange(self: Arc<Self>, arrival: Arrival) -> Exchange {
        let class = &self.options.workload.classes[arrival.class];
        let due = self.begin + arrival.at;
        let key = class.once.then(|| uuid(&arrival));
        let body = body(class, &arrival);
        let mut exchange = Exchange::new(class, &arrival, key.clone(), &body);
        for number in 1..=MAX_ATTEMPTS {
            let instances = &self.options.instances;
            let turn = arrival.number as usize + number as usize;
            let attempt = Attempt {
                address: instances[turn % instances.len()],
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
                self.keep_token(&arrival, answer.token.clone());
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

    fn keep_token(&self, arrival: &Arrival, token: Option<Box<str>>) {
        let (Some(session), Some(token)) = (arrival.session, token) else {
            return;
        };
        let slot = self.tokens[session].lock();
        *slot.unwrap_or_else(PoisonError::into_inner) = Some(token);
    }
}

/// How long to wait before the next sending; none where there is to be no other.
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

/// A UUID of version 7 (RFC 9562, section 5.7), random by the arrival's own seed.
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

/// The body of a request; reads have none.
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

/// The hash of a body, as plain services tell it.
pub fn body_digest(body: &str) -> Box<str> {
    format!("{:016x}", digest(body)).into()
}

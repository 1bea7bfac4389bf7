//! A model engine that simulates the behaviour on which routing decisions depend.
//!
//! Its token rate falls as the batch grows, its prefix cache is limited, its load reports lag, and
//! during a cold start it crashes under more requests than its limit.

pub mod answer;
mod batch;
mod chat;
mod job;
mod load;
mod order;
mod prefix;

use crate::fault::Switches;
use crate::server::{self, Call, Dropped, Handle, REQUEST_ID_HEADER, Reply, Service};
use batch::Batch;
use hyper::{Method, StatusCode};
use job::Job;
use load::Reports;
use order::Orders;
use prefix::Cache;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time for which a crashed engine is unavailable; it restarts in cold start.
const CRASH_DOWNTIME: Duration = Duration::from_secs(2);

/// Fault switches.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Whether connections are closed without a reply.
    pub down: bool,
    /// Whether the engine is in cold start.
    pub cold: bool,
    /// Number of concurrent requests above which the engine crashes during a cold start.
    pub cold_limit: usize,
    /// Number of requests after which a cold engine is warm; 0 means never.
    pub warm_after: u64,
    /// Fraction of the answers that carry the id and the text of another request.
    pub wrong_id: f64,
    /// Fraction of the answers that are truncated.
    pub end_early: f64,
    /// Fraction of the requests that are refused without being executed.
    pub refuse: f64,
    /// Delay before a request is executed, in milliseconds.
    pub delay_ms: u64,
    /// Time to generate a token in a batch of one request, in milliseconds.
    pub token_ms: f64,
    /// Age of load reports, in milliseconds.
    pub lag_ms: u64,
    /// Skill of each version, from 0 to 1; the default is [`answer::DEFAULT_SKILL`].
    pub skill: BTreeMap<Box<str>, f64>,
    /// Skill of versions that degrade, from [`Faults::bad_at_ms`] on.
    pub bad: BTreeMap<Box<str>, f64>,
    /// Time at which versions degrade, in milliseconds since the Unix epoch; 0 means at once.
    pub bad_at_ms: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            cold: false,
            cold_limit: 2,
            warm_after: 0,
            wrong_id: 0.0,
            end_early: 0.0,
            refuse: 0.0,
            delay_ms: 0,
            token_ms: 1.0,
            lag_ms: 500,
            skill: BTreeMap::new(),
            bad: BTreeMap::new(),
            bad_at_ms: 0,
        }
    }
}

impl Faults {
    /// Returns the skill of a version at a time in milliseconds since the Unix epoch.
    pub fn skill_at(&self, version: &str, now_ms: u64) -> f64 {
        let bad = self.bad.get(version).filter(|_| now_ms >= self.bad_at_ms);
        let skill = bad.or_else(|| self.skill.get(version)).copied();
        skill.unwrap_or(answer::DEFAULT_SKILL)
    }
}

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address that the engine listens on.
    pub address: SocketAddr,
    /// Seed of the random faults.
    pub seed: u64,
    /// Versions that are loaded initially.
    pub versions: Vec<Box<str>>,
    /// Maximum number of concurrent requests; further ones are queued by priority.
    pub slots: usize,
    /// Maximum number of queued requests; further ones are refused.
    pub queue: usize,
    /// Capacity of the prefix cache, in bytes of prompt.
    pub cache_bytes: usize,
    /// Whether orders with an outdated fencing token are refused.
    pub fenced: bool,
    /// Initial fault switches.
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: ([127, 0, 0, 1], 0).into(),
            seed: 1,
            versions: vec!["small/1".into(), "large/1".into()],
            slots: 16,
            queue: 64,
            cache_bytes: 64 << 10,
            fenced: true,
            faults: Faults::default(),
        }
    }
}

/// A request whose execution began.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Execution {
    /// Id of the request.
    pub request: Box<str>,
    /// Version that executed it.
    pub version: Box<str>,
    /// Hash of its prompt, in hexadecimal.
    pub digest: Box<str>,
}

/// Starts an engine.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn spawn(options: Options, cancel: &CancellationToken) -> io::Result<Handle> {
    let engine = Engine {
        faults: Switches::new(options.faults, options.seed),
        batch: Batch::new(options.slots, options.queue),
        state: Mutex::new(State {
            cache: Cache::new(options.cache_bytes),
            orders: Orders::new(options.versions, options.fenced),
            reports: Reports::default(),
            calls: BTreeMap::new(),
            served: 0,
            tokens: 0,
            crashed_until: None,
        }),
        crashes: watch::Sender::new(0),
    };
    let engine = Arc::new(engine);
    engine.push_report();
    let handle = server::spawn(Arc::clone(&engine), options.address, cancel).await?;
    tokio::spawn(load::sample(engine, cancel.clone()));
    Ok(handle)
}

struct Engine {
    faults: Switches<Faults>,
    batch: Arc<Batch>,
    state: Mutex<State>,
    /// Number of crashes; each change ends all running requests.
    crashes: watch::Sender<u64>,
}

struct State {
    cache: Cache,
    orders: Orders,
    reports: Reports,
    calls: BTreeMap<Execution, u64>,
    served: u64,
    tokens: u64,
    crashed_until: Option<Instant>,
}

impl Service for Engine {
    type Faults = Faults;

    fn faults(&self) -> &Switches<Faults> {
        &self.faults
    }

    async fn call(self: Arc<Self>, call: Call) -> Result<Reply, Dropped> {
        match (call.method(), call.uri().path()) {
            (&Method::GET, "/calls") => return Ok(self.calls()),
            (&Method::GET, "/falls") => {
                let crashes = serde_json::json!({"falls": *self.crashes.borrow()});
                return Ok(server::json(StatusCode::OK, &crashes));
            }
            _ => {}
        }
        if self.is_unavailable() {
            return Err(Dropped);
        }
        match (call.method(), call.uri().path()) {
            (&Method::GET, "/load") => Ok(self.load()),
            (&Method::POST, "/orders") => Ok(self.lock().orders.apply(call.body())),
            (&Method::POST, "/v1/chat/completions") => self.complete(&call).await,
            _ => Ok(server::error(StatusCode::NOT_FOUND, "unknown_path")),
        }
    }
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the engine is switched off or has crashed.
    fn is_unavailable(&self) -> bool {
        let crashed_until = self.lock().crashed_until;
        self.faults.get().down || crashed_until.is_some_and(|until| Instant::now() < until)
    }

    /// Returns whether the engine is in cold start.
    fn is_cold(&self) -> bool {
        let faults = self.faults.get();
        let served = self.lock().served;
        faults.cold && (faults.warm_after == 0 || served < faults.warm_after)
    }

    /// Ends all running requests; the engine restarts after [`CRASH_DOWNTIME`], in cold start.
    fn crash(&self) {
        {
            let mut state = self.lock();
            state.crashed_until = Some(Instant::now() + CRASH_DOWNTIME);
            state.served = 0;
            state.cache.clear();
        }
        self.crashes.send_modify(|crashes| *crashes += 1);
    }

    async fn complete(self: Arc<Self>, call: &Call) -> Result<Reply, Dropped> {
        let request: Box<str> = server::header(call, REQUEST_ID_HEADER).into();
        let priority = server::header(call, "x-priority")
            .parse()
            .unwrap_or(u8::MAX);
        let Ok(prompt) = serde_json::from_slice::<chat::Prompt>(call.body()) else {
            return Ok(server::error(StatusCode::BAD_REQUEST, "invalid"));
        };
        let faults = self.faults.get();
        if self.faults.should_inject(faults.refuse) {
            return Ok(server::not_run("overloaded"));
        }
        if !self.lock().orders.is_loaded(&prompt.model) {
            return Ok(server::not_run("version_not_loaded"));
        }
        server::sleep_ms(faults.delay_ms).await;
        let Some(permit) = self.batch.acquire(priority).await else {
            return Ok(server::not_run("overloaded"));
        };
        if self.is_unavailable() {
            return Err(Dropped);
        }
        if self.is_cold() && self.batch.running() > faults.cold_limit {
            self.crash();
            return Err(Dropped);
        }
        let job = Job::start(Arc::clone(&self), permit, request, prompt);
        job.run().await
    }

    fn calls(&self) -> Reply {
        let state = self.lock();
        let mut list = Vec::new();
        for (execution, count) in &state.calls {
            list.push(serde_json::json!({
                "request": execution.request,
                "version": execution.version,
                "digest": execution.digest,
                "count": count,
            }));
        }
        server::json(StatusCode::OK, &list)
    }

    fn load(&self) -> Reply {
        let lag = self.faults.get().lag_ms;
        let due = server::unix_millis().saturating_sub(lag);
        let report = self.lock().reports.newest_as_of(due).cloned();
        let report = report.unwrap_or_else(|| self.report());
        server::json(StatusCode::OK, &report)
    }
}

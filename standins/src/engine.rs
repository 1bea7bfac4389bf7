//! A model engine, as far as a routing decision can feel it.
//!
//! Its token rate falls with the size of the batch, its prefix cache is limited, its load reports
//! lag, and in cold start it falls over above its limit.

pub mod answer;
mod batch;
mod chat;
mod job;
mod load;
mod order;
mod prefix;

use crate::fault::Switch;
use crate::server::{self, Call, Dropped, Handle, REQUEST_ID, Reply, Service};
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

/// How long an engine that fell over stays away; it is cold afterwards.
const FALL: Duration = Duration::from_secs(2);

/// Fault switches.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Connections are closed without a reply.
    pub down: bool,
    /// The engine is in cold start.
    pub cold: bool,
    /// Requests at once beyond which the engine falls over in cold start.
    pub cold_limit: usize,
    /// Requests after which a cold engine is warm; 0 is never.
    pub warm_after: u64,
    /// Fraction of the answers that bear the id and the text of another request.
    pub wrong_id: f64,
    /// Fraction of the answers that are cut off.
    pub end_early: f64,
    /// Fraction of the requests that are refused and do not run.
    pub refuse: f64,
    /// Delay before a request runs, in milliseconds.
    pub delay_ms: u64,
    /// Time for a token of a batch of one, in milliseconds.
    pub token_ms: f64,
    /// Age of load reports, in milliseconds.
    pub lag_ms: u64,
    /// Skill of each version, from 0 to 1; others have [`answer::DEFAULT_SKILL`].
    pub skill: BTreeMap<Box<str>, f64>,
    /// Skill of versions from [`Faults::bad_at_ms`] on.
    pub bad: BTreeMap<Box<str>, f64>,
    /// When versions turn bad, in milliseconds since the Unix epoch; 0 is at once.
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
    /// The skill of a version at a time in milliseconds since the Unix epoch.
    pub fn skill_at(&self, version: &str, now_ms: u64) -> f64 {
        let bad = self.bad.get(version).filter(|_| now_ms >= self.bad_at_ms);
        let skill = bad.or_else(|| self.skill.get(version)).copied();
        skill.unwrap_or(answer::DEFAULT_SKILL)
    }
}

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens.
    pub address: SocketAddr,
    /// Seed of the random faults.
    pub seed: u64,
    /// Versions that are loaded at the start.
    pub versions: Vec<Box<str>>,
    /// Most requests that run at once; the others are queued by priority.
    pub slots: usize,
    /// Most requests that are queued; the others are refused.
    pub queue: usize,
    /// Size of the prefix cache, in bytes of prompt.
    pub cache_bytes: usize,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// Fault switches at the start.
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

/// A request that began to run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ran {
    /// The id of the request.
    pub request: Box<str>,
    /// The version that ran it.
    pub version: Box<str>,
    /// The hash of its prompt, in hexadecimal.
    pub digest: Box<str>,
}

/// Starts an engine.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn spawn(options: Options, cancel: &CancellationToken) -> io::Result<Handle> {
    let engine = Engine {
        faults: Switch::new(options.faults, options.seed),
        batch: Batch::new(options.slots, options.queue),
        state: Mutex::new(State {
            cache: Cache::new(options.cache_bytes),
            orders: Orders::new(options.versions, options.fenced),
            reports: Reports::default(),
            calls: BTreeMap::new(),
            served: 0,
            tokens: 0,
            fallen_until: None,
        }),
        falls: watch::Sender::new(0),
    };
    let engine = Arc::new(engine);
    engine.push_report();
    let handle = server::spawn(Arc::clone(&engine), options.address, cancel).await?;
    tokio::spawn(load::sample(engine, cancel.clone()));
    Ok(handle)
}

struct Engine {
    faults: Switch<Faults>,
    batch: Arc<Batch>,
    state: Mutex<State>,
    /// How often the engine fell over; requests that run end at each change.
    falls: watch::Sender<u64>,
}

struct State {
    cache: Cache,
    orders: Orders,
    reports: Reports,
    calls: BTreeMap<Ran, u64>,
    served: u64,
    tokens: u64,
    fallen_until: Option<Instant>,
}

impl Service for Engine {
    type Faults = Faults;

    fn faults(&self) -> &Switch<Faults> {
        &self.faults
    }

    async fn call(self: Arc<Self>, call: Call) -> Result<Reply, Dropped> {
        match (call.method(), call.uri().path()) {
            (&Method::GET, "/calls") => return Ok(self.calls()),
            (&Method::GET, "/falls") => {
                let falls = serde_json::json!({"falls": *self.falls.borrow()});
                return Ok(server::json(StatusCode::OK, &falls));
            }
            _ => {}
        }
        if self.away() {
            return Err(Dropped);
        }
        match (call.method(), call.uri().path()) {
            (&Method::GET, "/load") => Ok(self.load()),
            (&Method::POST, "/orders") => Ok(self.lock().orders.take(call.body())),
            (&Method::POST, "/v1/chat/completions") => self.complete(&call).await,
            _ => Ok(server::error(StatusCode::NOT_FOUND, "unknown_path")),
        }
    }
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the engine is switched off or has fallen over.
    fn away(&self) -> bool {
        let fallen = self.lock().fallen_until;
        self.faults.get().down || fallen.is_some_and(|until| Instant::now() < until)
    }

    /// Whether the engine is in cold start.
    fn cold(&self) -> bool {
        let faults = self.faults.get();
        let served = self.lock().served;
        faults.cold && (faults.warm_after == 0 || served < faults.warm_after)
    }

    /// Cuts off all that runs; the engine is back after [`FALL`], in cold start.
    fn fall_over(&self) {
        {
            let mut state = self.lock();
            state.fallen_until = Some(Instant::now() + FALL);
            state.served = 0;
            state.cache.clear();
        }
        self.falls.send_modify(|falls| *falls += 1);
    }

    async fn complete(self: Arc<Self>, call: &Call) -> Result<Reply, Dropped> {
        let request: Box<str> = server::header(call, REQUEST_ID).into();
        let priority = server::header(call, "x-priority")
            .parse()
            .unwrap_or(u8::MAX);
        let Ok(prompt) = serde_json::from_slice::<chat::Prompt>(call.body()) else {
            return Ok(server::error(StatusCode::BAD_REQUEST, "invalid"));
        };
        let faults = self.faults.get();
        if self.faults.happens(faults.refuse) {
            return Ok(server::not_run("overloaded"));
        }
        if !self.lock().orders.has(&prompt.model) {
            return Ok(server::not_run("version_not_loaded"));
        }
        server::pause(faults.delay_ms).await;
        let Some(permit) = self.batch.enter(priority).await else {
            return Ok(server::not_run("overloaded"));
        };
        if self.away() {
            return Err(Dropped);
        }
        if self.cold() && self.batch.running() > faults.cold_limit {
            self.fall_over();
            return Err(Dropped);
        }
        let job = Job::begin(Arc::clone(&self), permit, request, prompt);
        job.run().await
    }

    fn calls(&self) -> Reply {
        let state = self.lock();
        let mut list = Vec::new();
        for (ran, count) in &state.calls {
            list.push(serde_json::json!({
                "request": ran.request,
                "version": ran.version,
                "digest": ran.digest,
                "count": count,
            }));
        }
        server::json(StatusCode::OK, &list)
    }

    fn load(&self) -> Reply {
        let lag = self.faults.get().lag_ms;
        let due = server::unix_millis().saturating_sub(lag);
        let report = self.lock().reports.newest_until(due).cloned();
        let report = report.unwrap_or_else(|| self.report());
        server::json(StatusCode::OK, &report)
    }
}

//! Stand-in for a plain service.

use crate::digest::digest;
use crate::fault::{self, Switches};
use crate::server::{self, Call, Dropped, Handle, REQUEST_ID_HEADER, Reply, Service};
use bytes::Bytes;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use tokio_util::sync::CancellationToken;

/// Fault switches.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Whether every call is refused without being executed.
    pub down: bool,
    /// Delay before a call is executed, in milliseconds.
    pub delay_ms: u64,
    /// Fraction of the answers that are truncated after the call was executed.
    pub end_early: f64,
    /// Fraction of the answers that are never sent although the call was executed.
    pub lose_replies: f64,
    /// Fraction of the calls that are refused without being executed.
    pub refuse: f64,
}

/// Options of the service.
pub type Options = fault::Options<Faults>;

/// A call that was executed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Execution {
    /// Id of the request.
    pub request: Box<str>,
    /// Idempotency key, empty if there was none.
    pub key: Box<str>,
    /// Organisation that sent the call.
    pub organisation: Box<str>,
    /// Method and path.
    pub path: Box<str>,
}

/// Body of an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// The call that was executed.
    #[serde(flatten)]
    pub ran: Execution,
    /// Hash of the call's body, in hexadecimal.
    pub digest: Box<str>,
}

/// Starts the service.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn spawn(options: Options, cancel: &CancellationToken) -> io::Result<Handle> {
    let plain = Plain {
        faults: Switches::new(options.faults, options.seed),
        calls: Mutex::new(BTreeMap::new()),
    };
    server::spawn(Arc::new(plain), options.address, cancel).await
}

struct Plain {
    faults: Switches<Faults>,
    calls: Mutex<BTreeMap<Execution, u64>>,
}

impl Service for Plain {
    type Faults = Faults;

    fn faults(&self) -> &Switches<Faults> {
        &self.faults
    }

    async fn call(self: Arc<Self>, call: Call) -> Result<Reply, Dropped> {
        if call.uri().path() == "/calls" {
            return Ok(self.calls());
        }
        let ran = Execution {
            request: server::header(&call, REQUEST_ID_HEADER).into(),
            key: server::header(&call, "idempotency-key").into(),
            organisation: server::header(&call, "x-organisation").into(),
            path: format!("{} {}", call.method(), call.uri().path()).into(),
        };
        self.run(ran, call.body()).await
    }
}

impl Plain {
    async fn run(&self, ran: Execution, body: &Bytes) -> Result<Reply, Dropped> {
        let faults = self.faults.get();
        if faults.down || self.faults.should_inject(faults.refuse) {
            return Ok(server::not_run("overloaded"));
        }
        server::sleep_ms(faults.delay_ms).await;
        self.count(ran.clone());
        if self.faults.should_inject(faults.lose_replies) {
            return Err(Dropped);
        }
        let request = ran.request.clone();
        let digest = format!("{:016x}", digest(&String::from_utf8_lossy(body)));
        let answer = Answer {
            ran,
            digest: digest.into(),
        };
        let mut reply = server::json(StatusCode::OK, &answer);
        if self.faults.should_inject(faults.end_early) {
            reply = server::truncated_json(&answer);
        }
        if let Ok(value) = request.parse() {
            reply.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        Ok(reply)
    }

    fn count(&self, ran: Execution) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        *calls.entry(ran).or_default() += 1;
    }

    fn calls(&self) -> Reply {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let mut list = Vec::new();
        for (ran, count) in calls.iter() {
            list.push(serde_json::json!({
                "request": ran.request,
                "key": ran.key,
                "organisation": ran.organisation,
                "path": ran.path,
                "count": count,
            }));
        }
        server::json(StatusCode::OK, &list)
    }
}

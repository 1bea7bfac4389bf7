//! A plain service.

use crate::digest::digest;
use crate::fault::{self, Switch};
use crate::server::{self, Call, Dropped, Handle, REQUEST_ID, Reply, Service};
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
    /// Every call is refused and does not run.
    pub down: bool,
    /// Delay before a call runs, in milliseconds.
    pub delay_ms: u64,
    /// Fraction of the answers that are cut off after the call ran.
    pub end_early: f64,
    /// Fraction of the answers that never come, though the call ran.
    pub lose_replies: f64,
    /// Fraction of the calls that are refused and do not run.
    pub refuse: f64,
}

/// Settings of the service.
pub type Options = fault::Options<Faults>;

/// A call that ran.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ran {
    /// The id of the request.
    pub request: Box<str>,
    /// The idempotency key, empty where there was none.
    pub key: Box<str>,
    /// The organisation.
    pub organisation: Box<str>,
    /// The method and the path.
    pub path: Box<str>,
}

/// The body of an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// The call that was run.
    #[serde(flatten)]
    pub ran: Ran,
    /// The hash of the call's body, in hexadecimal.
    pub digest: Box<str>,
}

/// Starts the service.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn spawn(options: Options, cancel: &CancellationToken) -> io::Result<Handle> {
    let plain = Plain {
        faults: Switch::new(options.faults, options.seed),
        calls: Mutex::new(BTreeMap::new()),
    };
    server::spawn(Arc::new(plain), options.address, cancel).await
}

struct Plain {
    faults: Switch<Faults>,
    calls: Mutex<BTreeMap<Ran, u64>>,
}

impl Service for Plain {
    type Faults = Faults;

    fn faults(&self) -> &Switch<Faults> {
        &self.faults
    }

    async fn call(self: Arc<Self>, call: Call) -> Result<Reply, Dropped> {
        if call.uri().path() == "/calls" {
            return Ok(self.calls());
        }
        let ran = Ran {
            request: server::header(&call, REQUEST_ID).into(),
            key: server::header(&call, "idempotency-key").into(),
            organisation: server::header(&call, "x-organisation").into(),
            path: format!("{} {}", call.method(), call.uri().path()).into(),
        };
        self.run(ran, call.body()).await
    }
}

impl Plain {
    async fn run(&self, ran: Ran, body: &Bytes) -> Result<Reply, Dropped> {
        let faults = self.faults.get();
        if faults.down || self.faults.happens(faults.refuse) {
            return Ok(server::not_run("overloaded"));
        }
        server::pause(faults.delay_ms).await;
        self.count(ran.clone());
        if self.faults.happens(faults.lose_replies) {
            return Err(Dropped);
        }
        let request = ran.request.clone();
        let digest = format!("{:016x}", digest(&String::from_utf8_lossy(body)));
        let answer = Answer {
            ran,
            digest: digest.into(),
        };
        let mut reply = server::json(StatusCode::OK, &answer);
        if self.faults.happens(faults.end_early) {
            reply = server::cut(&answer);
        }
        if let Ok(value) = request.parse() {
            reply.headers_mut().insert(REQUEST_ID, value);
        }
        Ok(reply)
    }

    fn count(&self, ran: Ran) {
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

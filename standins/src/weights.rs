//! Stand-in for the weight store.

use crate::digest;
use crate::fault::{self, Switches};
use crate::limiter::RateLimiter;
use crate::server::{self, Call, Dropped, Handle, Reply, Service};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Minimum size of a version, in bytes; sizes range up to twice as much.
const MIN_VERSION_BYTES: u64 = 8 << 30;

/// Fault switches.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Whether every call is answered with status 503.
    pub down: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Calls a second above which the reply has status 429; 0 means no limit.
    pub rate_per_s: u32,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            delay_ms: 0,
            rate_per_s: 10,
        }
    }
}

/// Options of the store.
pub type Options = fault::Options<Faults>;

/// Starts the store.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn spawn(options: Options, cancel: &CancellationToken) -> io::Result<Handle> {
    let weights = Weights {
        faults: Switches::new(options.faults, options.seed),
        limiter: Mutex::new(RateLimiter::new(Instant::now())),
    };
    server::spawn(Arc::new(weights), options.address, cancel).await
}

struct Weights {
    faults: Switches<Faults>,
    limiter: Mutex<RateLimiter>,
}

impl Service for Weights {
    type Faults = Faults;

    fn faults(&self) -> &Switches<Faults> {
        &self.faults
    }

    async fn call(self: Arc<Self>, call: Call) -> Result<Reply, Dropped> {
        match call.uri().path().strip_prefix("/weights/") {
            Some(version) if call.method() == Method::GET => Ok(self.size(version).await),
            _ => Ok(server::error(StatusCode::NOT_FOUND, "unknown_path")),
        }
    }
}

impl Weights {
    async fn size(&self, version: &str) -> Reply {
        let faults = self.faults.get();
        if faults.down {
            return server::error(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let admitted = self
            .limiter
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .try_acquire(faults.rate_per_s, Instant::now());
        if !admitted {
            return server::rate_limited();
        }
        server::sleep_ms(faults.delay_ms).await;
        let extra = (digest::digest_fraction(version) * MIN_VERSION_BYTES as f64) as u64;
        server::json(
            StatusCode::OK,
            &serde_json::json!({"bytes": MIN_VERSION_BYTES + extra}),
        )
    }
}

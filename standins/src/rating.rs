//! Stand-in for the answer-rating service.

use crate::engine::answer;
use crate::fault::{self, Switches};
use crate::server::{self, Call, Dropped, Handle, Reply, Service};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Score of an answer without a quality marker.
const UNMARKED_SCORE: f64 = 0.5;

/// Fault switches.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Whether every call is answered with status 503.
    pub down: bool,
    /// Delay of each rating, in milliseconds.
    pub delay_ms: u64,
    /// Maximum deviation of a score from the answer's quality.
    pub noise: f64,
    /// Versions whose answers get a fixed score, to which the noise is added.
    pub bad: BTreeMap<Box<str>, f64>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            delay_ms: 20,
            noise: 0.05,
            bad: BTreeMap::new(),
        }
    }
}

/// Options of the service.
pub type Options = fault::Options<Faults>;

/// Starts the service.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn spawn(options: Options, cancel: &CancellationToken) -> io::Result<Handle> {
    let rating = Rating {
        faults: Switches::new(options.faults, options.seed),
    };
    server::spawn(Arc::new(rating), options.address, cancel).await
}

struct Rating {
    faults: Switches<Faults>,
}

#[derive(Deserialize)]
struct Answer {
    version: Box<str>,
    answer: Box<str>,
}

impl Service for Rating {
    type Faults = Faults;

    fn faults(&self) -> &Switches<Faults> {
        &self.faults
    }

    async fn call(self: Arc<Self>, call: Call) -> Result<Reply, Dropped> {
        if call.method() != Method::POST || call.uri().path() != "/ratings" {
            return Ok(server::error(StatusCode::NOT_FOUND, "unknown_path"));
        }
        Ok(self.rate(call.body()).await)
    }
}

impl Rating {
    async fn rate(&self, body: &[u8]) -> Reply {
        let faults = self.faults.get();
        if faults.down {
            return server::error(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let Ok(rated) = serde_json::from_slice::<Answer>(body) else {
            return server::error(StatusCode::BAD_REQUEST, "invalid");
        };
        server::sleep_ms(faults.delay_ms).await;
        let fixed = faults.bad.get(&rated.version).copied();
        let quality = fixed.or_else(|| answer::quality(&rated.answer));
        let noise = faults.noise * self.faults.random_deviation();
        let score = (quality.unwrap_or(UNMARKED_SCORE) + noise).clamp(0.0, 1.0);
        server::json(StatusCode::OK, &serde_json::json!({"score": score}))
    }
}

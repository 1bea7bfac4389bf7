//! Settings of an instance that forwards requests unchanged.

use entity::unit::Bytes;
use entity::{Span, name};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// One of so many parts of the memory is for the bodies of requests.
const BODIES_PARTS: u64 = 4;
/// One of so many parts of the sockets is for callers.
const CALLERS_PARTS: u32 = 2;
/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: u32 = 200;

/// Time limits and shares that are fixed for the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Longest time after the revocation of a key in which a request with it may still run. `None` if
    /// an instance without a connection to the store continues to accept the keys that it knows.
    pub revocation_delay: Option<Span>,
    /// Longest time from the acknowledgement of a configuration until it is in force at all instances.
    pub apply_delay: Span,
    /// Longest time in which a leaving upstream may still receive requests.
    pub drain: Span,
    /// Grace period between SIGTERM and SIGKILL.
    pub grace: Span,
    /// Retry budget of a service over all instances, in retries per request.
    pub retry_share: f64,
    /// Length of the window over which the retry budget is counted.
    pub retry_window: Span,
    /// Largest number of requests in one second to an upstream in cold start, as a multiple of the
    /// rate that it can sustain.
    pub cold_rate_factor: f64,
    /// Number of requests in one second that are allowed in addition to `cold_rate_factor`.
    pub cold_extra_requests: u32,
    /// Largest share of the requests of a service that a bad release may receive.
    pub exposure_share: f64,
    /// Number of requests that a bad release may receive in addition to `exposure_share`.
    pub exposure_extra_requests: u32,
}

/// What one machine has for an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Memory.
    pub memory: Bytes,
    /// Descriptors, those that are reserved for files among them.
    pub descriptors: u32,
}

impl Default for Capacity {
    /// Returns the capacity that is assumed where the settings name none.
    fn default() -> Self {
        Self {
            memory: Bytes(256 << 20),
            descriptors: 4096,
        }
    }
}

impl Capacity {
    /// Returns the memory for the bodies of all requests together.
    pub fn bodies(&self) -> Bytes {
        Bytes(self.memory.0 / BODIES_PARTS)
    }

    /// Returns the number of callers' connections that are kept open. The other sockets are those to upstreams, to
    /// the store, and of peers.
    pub fn callers(&self) -> usize {
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        (sockets / CALLERS_PARTS).max(1) as usize
    }
}

/// By what engines are compared for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// `prompt`: by the prompt tokens that are queued.
    #[default]
    Prompt,
    /// `work`: by the expected end of the request.
    Work,
}

/// The error of a text that names no placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownPlacement;

impl fmt::Display for UnknownPlacement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a placement: it is `prompt` or `work`")
    }
}

impl std::error::Error for UnknownPlacement {}

impl fmt::Display for Placement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Work => "work",
            Self::Prompt => "prompt",
        })
    }
}

impl FromStr for Placement {
    type Err = UnknownPlacement;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "work" => Ok(Self::Work),
            "prompt" => Ok(Self::Prompt),
            _ => Err(UnknownPlacement),
        }
    }
}

/// Settings of an instance that forwards requests unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub name: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
    /// All availability zones with their regions, sorted by zone.
    pub zones: Vec<(name::Zone, name::Region)>,
    /// Address on which the instance listens for callers.
    pub caller_address: SocketAddr,
    /// Address of the readiness check for load balancers and of the metrics for operators.
    pub readiness_address: SocketAddr,
    /// Address on which the instance listens for peers.
    pub peer_address: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Interval at which an upstream writes its heartbeat to the store.
    pub heartbeat_interval: Span,
    /// Confidence threshold: an answer of the smallest model with a lower confidence is escalated to
    /// the largest model. `None` sends every request directly to the largest, 0 never escalates.
    pub cascade: Option<u8>,
    /// By what engines are compared for a request.
    pub placement: Placement,
    /// Whether the whole system starts for the first time, as opposed to a restart after an outage.
    pub first_start: bool,
    /// What the machine has for the instance.
    pub capacity: Capacity,
    /// Time limits and shares that are fixed for the deployment.
    pub bounds: Bounds,
}

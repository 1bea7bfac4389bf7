//! The model of the settings.

use entity::name;
use entity::time::Span;
use entity::unit::{Bytes, Share};
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

/// All settings of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// `[instance]`: identity and addresses of this instance.
    pub instance: Instance,
    /// `[log]`: the platform's log.
    pub log: Log,
    /// `[instances]`: the platform's instance list.
    pub instances: Instances,
    /// `[rating] address`: the answer-rating service; if absent, no answers are rated.
    pub rating: Option<SocketAddr>,
    /// `[weights] address`: the weight store; it is not used yet, as no orders to load weights are
    /// sent.
    pub weights: Option<SocketAddr>,
    /// `[metrics] statsd`: destination of metrics over UDP; if absent, no metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// `[timeline] path`: destination of events.
    pub timeline: Sink,
    /// `[limits]`: bounds on the size and number of requests and on waiting times.
    pub limits: Limits,
}

/// The section `[instance]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// `name`: unique among the live instances.
    pub name: name::Instance,
    /// `zone`: the availability zone that it runs in.
    pub zone: name::Zone,
    /// `region`: the region of that zone.
    pub region: name::Region,
    /// `caller-address`: listener for callers; port 0 selects any free port.
    pub caller_address: SocketAddr,
    /// `fellow-address`: listener for peers; port 0 selects any free port.
    pub peer_address: SocketAddr,
    /// `operator-address`: listener for operators; if absent, there is no such listener.
    pub operator_address: Option<SocketAddr>,
    /// `secret`: key that signs session tokens and frames between instances; the same at all
    /// instances.
    pub secret: Secret,
}

/// The section `[log]`: how the platform's log is read and written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// `address`: IP address and port of the service.
    pub address: SocketAddr,
    /// `timeout`: longest time until the reply to an append, or to a read after `poll` has passed.
    pub timeout: Span,
    /// `poll`: long-poll duration, the time that a read at the end of a stream waits for a record.
    pub poll: Span,
    /// `retention`: minimum time for which the log retains a record.
    pub retention: Span,
}

/// The section `[instances]`: how the platform's instance list is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instances {
    /// `address`: IP address and port of the service.
    pub address: SocketAddr,
    /// `poll`: interval between reads of the list.
    pub poll: Span,
    /// `lag`: maximum staleness of the list.
    pub lag: Span,
}

/// Destination of timeline events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sink {
    /// Standard error.
    Stderr,
    /// A file, to which events are appended.
    File(Box<Path>),
}

/// The section `[limits]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// `body`: maximum size of a request body.
    pub body: Bytes,
    /// `header`: maximum size of a request head.
    pub header: Bytes,
    /// `queue`: maximum number of requests that wait at this instance.
    pub queue: u32,
    /// `isolation`: how long an instance continues to serve without contact to the log or to peers.
    pub isolation: Span,
    /// `drain`: how long a graceful shutdown waits for requests in progress.
    pub drain: Span,
    /// `retry-budget`: maximum number of retries, as a share of recent requests.
    pub retry_budget: Share,
    /// `usage-delay`: longest time that a usage record waits to be appended in a batch with others.
    pub usage_delay: Span,
}

/// Minimum length of a [`Secret`], in characters.
pub const MIN_SECRET_CHARS: usize = 32;

/// A shared secret, which is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Box<str>);

/// Error for a secret that is too short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a secret has at least {MIN_SECRET_CHARS} characters")]
pub struct SecretError;

impl Secret {
    /// Returns the secret as bytes, for use as a signing key.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl FromStr for Secret {
    type Err = SecretError;

    fn from_str(text: &str) -> Result<Self, SecretError> {
        if text.chars().count() < MIN_SECRET_CHARS {
            return Err(SecretError);
        }
        Ok(Self(text.into()))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

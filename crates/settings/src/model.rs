//! What the settings say.

use entity::name;
use entity::time::Span;
use entity::unit::{Bytes, Share};
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

/// All settings of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// `[instance]`: who this instance is and where it listens.
    pub instance: Instance,
    /// `[log]`: the platform's log.
    pub log: Log,
    /// `[instances]`: the platform's instance list.
    pub instances: Instances,
    /// `[rating] address`: the answer-rating service; without it no answer is rated.
    pub rating: Option<SocketAddr>,
    /// `[weights] address`: the weight store; no order to load weights is given yet.
    pub weights: Option<SocketAddr>,
    /// `[metrics] statsd`: where metrics go over UDP; without it they go nowhere.
    pub statsd: Option<SocketAddr>,
    /// `[timeline] path`: where events go.
    pub timeline: Sink,
    /// `[limits]`: bounds on what the instance takes in and on how long it waits.
    pub limits: Limits,
}

/// `[instance]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// `name`: unique among the live instances.
    pub name: name::Instance,
    /// `zone`: the availability zone that it runs in.
    pub zone: name::Zone,
    /// `region`: the region of that zone.
    pub region: name::Region,
    /// `caller-address`: where it listens for callers; port 0 takes any free port.
    pub caller_address: SocketAddr,
    /// `fellow-address`: where it listens for other instances; port 0 takes any free port.
    pub fellow_address: SocketAddr,
    /// `operator-address`: where it answers operators; without it there is no such listener.
    pub operator_address: Option<SocketAddr>,
    /// `secret`: signs session tokens and frames between instances; the same at all instances.
    pub secret: Secret,
}

/// `[log]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// `address`.
    pub address: SocketAddr,
    /// `timeout`: longest wait for the reply to an append, and for that to a read beyond `poll`.
    pub timeout: Span,
    /// `poll`: how long a read at the end of a stream waits there for a record.
    pub poll: Span,
    /// `retention`: for how long the log certainly keeps a record.
    pub retention: Span,
}

/// `[instances]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instances {
    /// `address`.
    pub address: SocketAddr,
    /// `poll`: between two readings of the list.
    pub poll: Span,
    /// `lag`: how far the list can be behind what it describes.
    pub lag: Span,
}

/// Where events of the time line go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sink {
    /// Standard error.
    Stderr,
    /// A file, to which events are appended.
    File(Box<Path>),
}

/// `[limits]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// `body`: largest body of a request.
    pub body: Bytes,
    /// `header`: largest head of a request.
    pub header: Bytes,
    /// `queue`: most requests that wait at this instance.
    pub queue: u32,
    /// `isolation`: how long an instance serves that hears from neither the log nor its fellows.
    pub isolation: Span,
    /// `drain`: how long a shutdown waits for requests under way.
    pub drain: Span,
    /// `retry-budget`: most retries, as a share of recent requests.
    pub retry_budget: Share,
    /// `usage-delay`: longest wait of a usage record for others to be appended with.
    pub usage_delay: Span,
}

/// Fewest characters of a [`Secret`].
pub const MIN_SECRET_CHARS: usize = 32;

/// A shared secret, which is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Box<str>);

/// The secret is too short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a secret has at least {MIN_SECRET_CHARS} characters")]
pub struct SecretError;

impl Secret {
    /// The bytes to sign with.
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

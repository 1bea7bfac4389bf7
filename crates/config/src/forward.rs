//! Routes of requests that are passed on unchanged, by host and path.

use entity::Span;
use entity::id;
use entity::name;
use entity::unit::Bytes;

/// Whether a request that may have run can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run more than once.
    Safe,
    /// It runs at most once.
    Never,
    /// A stream that runs at most once.
    Stream,
    /// A stream that another upstream can go on with after the last event that arrived.
    Resumable,
}

impl Repeat {
    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Whether a request that may have run can be sent again.
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }
}

/// Where a part of a route's requests goes. The service is a name before it is resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination<S = id::Service> {
    /// The service.
    pub service: S,
    /// Its share, in relation to the others'.
    pub weight: u32,
}

/// Requests to one host whose path has a prefix. Services are names before they are resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forward<S = id::Service> {
    /// The host.
    pub host: Box<str>,
    /// The prefix, with a slash at both ends.
    pub prefix: Box<str>,
    /// Its name, for logs.
    pub name: Box<str>,
    /// Whether requests may be repeated.
    pub repeat: Repeat,
    /// The longest time for a whole answer.
    pub timeout: Span,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub objective: Span,
    /// The longest pause between two events of a stream that is on time.
    pub pause: Option<Span>,
    /// The most upstreams that one request may be sent to.
    pub attempts: u32,
    /// How urgent it is; 0 is the most urgent.
    pub priority: u8,
    /// Models that the router may pick from, the smallest first; empty where the caller picks.
    pub models: Vec<name::Model>,
    /// Where the requests go; never empty once it is resolved.
    pub destinations: Vec<Destination<S>>,
    /// Whether callers need no key.
    pub public: bool,
    /// Regions that requests may go to, sorted once it is resolved; empty for all.
    pub regions: Vec<name::Region>,
}

impl Forward {
    /// The service of a request, by the position of its id in the split.
    pub fn service(&self, position: u64) -> id::Service {
        let total: u64 = self
            .destinations
            .iter()
            .map(|one| u64::from(one.weight))
            .sum();
        let mut rest = position.checked_rem(total).unwrap_or(0);
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if rest < weight {
                return destination.service;
            }
            rest -= weight;
        }
        self.destinations[0].service
    }
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head.
    pub header: Bytes,
    /// Largest body.
    pub body: Bytes,
    /// Longest time for a head to arrive.
    pub header_time: Span,
    /// Longest time that a connection is kept idle.
    pub idle: Span,
}

impl Default for Limits {
    /// What holds before operators have published anything.
    fn default() -> Self {
        Self {
            header: Bytes(16 << 10),
            body: Bytes(4 << 20),
            header_time: Span::from_secs(3),
            idle: Span::from_secs(15),
        }
    }
}

/// The route of a request: among those of the host, the one with the longest prefix of the path.
/// `routes` are sorted by host and prefix.
pub fn find<'a>(routes: &'a [Forward], host: &str, path: &str) -> Option<&'a Forward> {
    let mut end = path.len();
    loop {
        end = path[..end].rfind('/')?;
        let prefix = &path[..=end];
        let found =
            routes.binary_search_by(|route| (&*route.host, &*route.prefix).cmp(&(host, prefix)));
        if let Ok(index) = found {
            return Some(&routes[index]);
        }
    }
}

//! Routes of requests that are forwarded unchanged, selected by host and path.

use entity::Span;
use entity::id;
use entity::name;
use entity::unit::Bytes;

/// Whether a request that may have run can be sent again, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run more than once.
    Safe,
    /// The request runs at most once.
    Never,
    /// The answer is a stream, and the request runs at most once.
    Stream,
    /// The answer is a stream that another upstream can resume after the last event that arrived.
    Resumable,
}

impl Repeat {
    /// Returns whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Returns whether a request that may have run can be sent again.
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }
}

/// A service that receives a share of the requests of a route. The service is a name until it is
/// resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination<S = id::Service> {
    /// Service that receives the requests.
    pub service: S,
    /// Weight of this destination, relative to the other destinations of the route.
    pub weight: u32,
}

/// A route for requests to one host whose path has a prefix. Services are names until they are
/// resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forward<S = id::Service> {
    /// Host of the request.
    pub host: Box<str>,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: Box<str>,
    /// Name of the route, for logs.
    pub name: Box<str>,
    /// Whether requests may be sent again.
    pub repeat: Repeat,
    /// Longest time for a complete answer.
    pub timeout: Span,
    /// Latency objective: the time within which an answer, or the first event of a stream, counts as
    /// on time.
    pub objective: Span,
    /// Longest gap between two events of a stream that counts as on time.
    pub max_event_gap: Option<Span>,
    /// Maximum number of tries that may run one request; a try that an upstream refuses is not counted.
    pub max_runs: u32,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Models from which the router may choose, the smallest first; empty if the caller chooses.
    pub models: Vec<name::Model>,
    /// Services among which requests are split; never empty in a resolved route.
    pub destinations: Vec<Destination<S>>,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Regions to which requests may be sent, sorted in a resolved route; empty for all regions.
    pub regions: Vec<name::Region>,
}

impl Forward {
    /// Returns the service for a request, from the position of the request's id in the split.
    pub fn service(&self, position: u64) -> id::Service {
        let total: u64 = self
            .destinations
            .iter()
            .map(|destination| u64::from(destination.weight))
            .sum();
        let mut remainder = position.checked_rem(total).unwrap_or(0);
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if remainder < weight {
                return destination.service;
            }
            remainder -= weight;
        }
        self.destinations[0].service
    }
}

/// Limits on the size and timing of requests from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the request head.
    pub header: Bytes,
    /// Maximum size of the request body.
    pub body: Bytes,
    /// Timeout for the arrival of the request head.
    pub header_timeout: Span,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Span,
}

impl Default for Limits {
    /// Returns the limits that apply before operators have published any.
    fn default() -> Self {
        Self {
            header: Bytes(16 << 10),
            body: Bytes(4 << 20),
            header_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
        }
    }
}

/// Returns the route of a request: among the routes of the host, the one with the longest prefix of
/// the path. `routes` must be sorted by host and prefix.
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

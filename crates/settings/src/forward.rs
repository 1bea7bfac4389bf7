//! The settings of an instance that passes requests on.

use entity::{Span, name};
use std::net::SocketAddr;

/// Times and shares that the deployment agreed on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How long after a key was taken away a request with it may still run; none where an instance
    /// that is cut off from the store goes on by what it knew.
    pub key_life: Option<Span>,
    /// From the acknowledgement of a configuration until it is in force everywhere.
    pub apply: Span,
    /// How long an upstream that leaves may still get requests.
    pub drain: Span,
    /// From SIGTERM to SIGKILL.
    pub grace: Span,
    /// Repeats for each request of a service, over all instances.
    pub repeat_share: f64,
    /// The window in which repeats are counted.
    pub repeat_window: Span,
    /// Arrivals in a second at an upstream in cold start, in relation to the rate that it bears.
    pub cold_over: f64,
    /// Further such arrivals.
    pub cold_extra: u32,
    /// Share of a service's requests that a release that turns out bad may get.
    pub exposure_share: f64,
    /// Further such requests.
    pub exposure_extra: u32,
    /// Longest time between two requests of one session.
    pub session: Span,
}

/// The settings of an instance that passes requests on.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name.
    pub name: name::Instance,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Regions of all availability zones, sorted by zone.
    pub zones: Vec<(name::Zone, name::Region)>,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether the instance is ready, and operators read metrics.
    pub readiness_address: SocketAddr,
    /// Where other instances connect.
    pub fellow_address: SocketAddr,
    /// Where the store is reached.
    pub store: SocketAddr,
    /// How often an upstream writes to the store.
    pub heartbeat: Span,
    /// Confidence of the smallest model below which the largest is asked; none to ask the largest
    /// at once, 0 never to ask it.
    pub cascade: Option<u8>,
    /// Whether the whole system starts for the first time, rather than again after an outage.
    pub first_start: bool,
    /// Times and shares that the deployment agreed on.
    pub bounds: Bounds,
}

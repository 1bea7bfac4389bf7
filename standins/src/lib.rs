//! Stand-ins for the platform and the upstreams, for use in tests, and the load tool.
//!
//! Each stand-in implements the protocol of `docs/PROTOCOLS.md` and keeps its state in memory. The
//! `spawn` function of its module starts it and returns a [`server::Handle`].

pub mod check;
pub mod client;
pub mod digest;
pub mod engine;
pub mod fault;
pub mod instances;
pub mod limiter;
pub mod load;
pub mod log;
pub mod plain;
pub mod rating;
pub mod server;
pub mod weights;

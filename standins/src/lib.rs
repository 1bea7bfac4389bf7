//! Small fakes of the platform and the upstreams, and the load tool.
//!
//! Each fake speaks the protocol of `docs/PROTOCOLS.md`, keeps its state in memory and is started
//! by `spawn` of its module, which returns a running [`server::Handle`].

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

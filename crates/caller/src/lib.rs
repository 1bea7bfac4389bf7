//! HTTP interface for callers.
//!
//! Parses HTTP requests into typed requests and encodes typed replies as HTTP. The [`Handler`]
//! decides what a request may do and where it runs.

pub mod bodies;
mod body;
pub mod connection;
mod connections;
pub mod forward;
pub mod framing;
pub mod headers;
mod parse;
mod reply;
mod request;
mod server;

pub use reply::{Event, Refusal, Reply, Streamed, Whole};
pub use request::{Chat, Idempotency, Plain, Request, Session, Target};
pub use server::{Handler, Limits, Server};

//! HTTP interface towards callers.
//!
//! This package turns HTTP into typed requests and typed replies into HTTP; what a request may do
//! and where it runs is decided by the [`Handler`].

mod body;
pub mod connection;
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

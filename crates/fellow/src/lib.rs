//! Protocol between instances: digests, pulls and held records.
//!
//! Messages are thrift structs in the compact protocol, one to a length-prefixed, authenticated
//! frame on TCP.

pub mod beacon;
pub mod frame;
mod link;
#[allow(missing_docs, clippy::all, clippy::too_many_lines, clippy::uninlined_format_args)]
#[allow(clippy::semicolon_if_nothing_returned)]
#[allow(unused_qualifications)]
#[path = "gen/fellow.rs"]
#[rustfmt::skip]
pub mod message;
mod secret;
mod server;

pub use link::{Error, Link};
pub use secret::Secret;
pub use server::{Handler, Server};

//! Protocol between instances: gossip beacons, digests, pulls of configuration texts, and usage records
//! held for peers.
//!
//! Messages are Thrift structs in the compact protocol. Beacons are sent as UDP datagrams; all other
//! messages are sent over TCP, each in a length-prefixed, authenticated frame.

pub mod beacon;
mod compact;
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
pub mod tunnel;

pub use link::{Error, Link};
pub use secret::Secret;
pub use server::{Handler, Server};

//! Catalog and headers for requests that the router forwards unchanged.
//!
//! A [`Dialect`] reads and writes the headers of a deployment's callers and upstreams, and a
//! [`Source`] reads and writes its store; both are implemented outside this crate. [`Fold`] replays
//! the records of operators and upstreams, and [`resolve`] builds a [`config::Config`] from it.

pub mod answer;
pub mod catalog;
pub mod clocks;
pub mod cursor;
pub mod delta;
pub mod dialect;
pub mod events;
mod fold;
pub mod follow;
mod followed;
pub mod handover;
pub mod head;
pub mod hop;
mod positions;
mod resolve;
pub mod shutdown;
pub mod source;
pub mod updates;

pub use answer::Answer;
pub use dialect::Dialect;
pub use fold::{Change, Fold};
pub use follow::Follow;
pub use followed::{Followed, Follows};
pub use head::Head;
pub use resolve::{PUBLIC, ZoneRegions, public, resolve, version_name};
pub use source::Source;

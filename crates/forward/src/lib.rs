//! Requests that are passed on unchanged, and the catalog that they go by.
//!
//! A [`Dialect`] reads and writes the headers of a deployment's callers and upstreams, and a
//! [`Source`] reads its store; both are implemented outside. [`Fold`] keeps what operators published
//! and what upstreams registered, and [`resolve`] makes one [`config::Config`] of it.

pub mod answer;
pub mod catalog;
pub mod delta;
pub mod dialect;
pub mod events;
mod fold;
pub mod head;
pub mod hop;
pub mod news;
mod resolve;
pub mod source;

pub use answer::Answer;
pub use dialect::Dialect;
pub use fold::{Change, Fold};
pub use head::Head;
pub use resolve::{PUBLIC, Place, public, resolve, version_name};
pub use source::Source;

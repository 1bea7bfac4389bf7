//! Client of model engines and plain services.
//!
//! Returns an answer only if it is the complete answer to the request that was sent. Each failure says
//! whether the request may have run.

mod chat;
pub mod close;
pub mod dial;
mod failure;
pub mod forward;
pub mod load;
mod meter;
mod plain;
mod pool;
mod sse;

pub use chat::{Chat, Chunk, Completion, Stream, Usage};
pub use failure::{Failure, Reason};
pub use plain::{Plain, Reply};
pub use pool::Pool;

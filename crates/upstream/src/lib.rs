//! Client of model engines and plain services.
//!
//! An answer is passed on only where it is the whole answer to the request that was asked; each
//! failure says whether the request can have run.

mod chat;
mod failure;
pub mod forward;
pub mod load;
mod plain;
mod pool;
mod sse;

pub use chat::{Chat, Chunk, Completion, Stream, Usage};
pub use failure::{Failure, Reason};
pub use plain::{Plain, Reply};
pub use pool::Pool;

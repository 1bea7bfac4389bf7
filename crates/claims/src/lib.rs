//! At-most-once execution of requests that carry an idempotency key.
//!
//! Attempts of one idempotency key append claims to a stream of the log. The first claim in log
//! order wins. Only its holder may dispatch the request, and only after it has read the stream
//! through its own claim. `docs/design/claims.md` gives the safety argument.

pub mod digest;
pub mod fold;
pub mod holder;
pub mod key;
pub mod record;
pub mod window;

pub use digest::Digest;
pub use fold::Fold;
pub use key::{Key, Partition};
pub use record::Record;
pub use window::Window;

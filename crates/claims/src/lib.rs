//! At most one run of each request that must not be repeated.
//!
//! Attempts of one idempotency key append claims to a stream of the log. The first claim in log
//! order wins, and only the holder of the winning claim may dispatch, after it has read the stream
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

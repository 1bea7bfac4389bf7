//! Fenced load and unload orders for model engines.
//!
//! An order is a record of the stream `orders`, and its position there is its fencing token. An
//! engine that checks fences refuses outdated orders itself. For an engine that ignores them, only
//! the instance that owns the upstream sends orders, and a new owner first waits for a quarantine
//! that is longer than the former owner can still act. `docs/design/orders.md` gives the argument.

pub mod order;
pub mod ownership;
pub mod schedule;
pub mod sender;

pub use order::{Fence, Order};
pub use ownership::Ownership;
pub use schedule::Schedule;
pub use sender::Due;

//! Fenced orders to model engines.
//!
//! An order is a record of the stream `orders`, and its fence is its position there. Engines that
//! check fences refuse old orders themselves. For those that ignore fences, only one instance
//! sends, after a quarantine that outlasts the former sender. `docs/design/orders.md` has the
//! argument.

pub mod book;
pub mod order;
pub mod sender;
pub mod tenure;

pub use book::Book;
pub use order::{Fence, Order};
pub use sender::Due;
pub use tenure::Tenure;

//! Slots of cold upstreams, which determine the instance that may run a request on an upstream in
//! cold start.
//!
//! An upstream in cold start has as many slots as it can run requests. A slot belongs to the live
//! instance with the highest rendezvous weight, so instances with the same list agree without
//! exchanging messages. Lists lag, so ownership by the list alone is not safe. With
//!
//! - *view* `V`: the longest time from when a list was true until an instance that uses it has sent
//!   a request (lag of the list, time between reads, and delay of a dispatch);
//! - *run* `R`: the longest time that a request runs on a slot,
//!
//! an instance that loses a slot sends nothing on it from that moment, and one that gains a slot
//! sends nothing on it for `2V + R`. It can skip the wait for `R` if all earlier owners have
//! announced that they take no more slots and have no request running on this one. An instance that
//! has not read the list for longer than the agreed time sends nothing on any slot, and treats all
//! slots as newly gained at its next read.
//!
//! This limits every slot to one request at a time, provided that a name stays on the list, or off
//! it, for at least `V`, and that no two processes have the same name. The argument is in
//! `docs/design/cold-slots.md`, and `tests/slots.rs` explores the protocol exhaustively.

mod bounds;
mod ledger;
mod members;
mod views;

pub use bounds::Bounds;
pub use ledger::{Claim, Held, Ledger};
pub use members::{DrainNotice, Members};
pub use views::Views;

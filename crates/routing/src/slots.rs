//! Slots of cold upstreams: which instance may run a request on an upstream in cold start.
//!
//! An upstream in cold start has as many slots as it bears requests. A slot belongs to the live
//! instance with the highest rendezvous weight, so instances with the same list agree without a
//! message. Lists lag, so ownership by the list is not enough. With
//!
//! - *view* `V`: the longest time from when a list was true until an instance that goes by it has
//!   sent a request (lag of the list, time between reads, and delay of a dispatch);
//! - *run* `R`: the longest time that a request runs on a slot,
//!
//! an instance that loses a slot sends nothing there from that moment, and one that gains a slot
//! sends nothing there for `2V + R`. It need not wait for `R` where all earlier owners have said
//! that they take no slots any more and that nothing of theirs runs on this one. An instance that
//! has not read the list for longer than agreed sends nothing on any slot, and counts all slots as
//! newly gained at its next read.
//!
//! This keeps every slot to one request at a time provided that a name stays on the list, or off
//! it, for at least `V`, and that no two processes have one name. The argument is in
//! `docs/design/cold-slots.md`, and `tests/slots.rs` explores the protocol exhaustively.

mod bounds;
mod ledger;
mod members;
mod views;

pub use bounds::Bounds;
pub use ledger::{Claim, Held, Ledger};
pub use members::{Ceased, Members};
pub use views::Views;

//! Billing: one usage record per request, and totals per organisation.
//!
//! Records are appended to the stream `usage` at least once and counted at most once. An answer is
//! completed only when its record is safe: appended, or held by peers in other zones.
//! `docs/design/billing.md` lists the combinations of failures that lose a record.

pub mod copies;
pub mod held;
pub mod ledger;
pub mod usage;

pub use copies::Copies;
pub use held::Held;
pub use ledger::Ledger;

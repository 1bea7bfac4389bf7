//! One usage record for each request, and totals for each organisation.
//!
//! Records are appended to the stream `usage` at least once and counted at most once. An answer is
//! complete only when its record is safe: appended, or held by fellow instances in other zones.
//! `docs/design/billing.md` states which losses together lose a record.

pub mod custody;
pub mod held;
pub mod ledger;
pub mod usage;

pub use custody::Custody;
pub use held::Held;
pub use ledger::Ledger;

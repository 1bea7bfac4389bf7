//! Decides whether an instance that may have missed a configuration change continues to serve.
//!
//! `docs/design/configuration.md` compares the alternatives.

use entity::Span;

/// Recent contact of an instance with the log and with its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contact {
    /// Age of the last reply of the log to a read of the configuration stream that was folded to
    /// its end, by this instance or by a peer. A peer's age is the one in its digest plus the age
    /// of that digest, and counts only if the peer's generation is not later than the local one.
    /// `None` if there was no such reply.
    pub log: Option<Span>,
    /// Number of live instances on the last list, including this one; 0 before a list was read.
    pub listed: u32,
    /// Number of digests that this instance sent within the bound to peers drawn at random from the
    /// list.
    pub offered: u32,
    /// Number of those digests that were answered.
    pub answered: u32,
}

/// Decision about new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Serve new requests.
    Serve,
    /// Refuse new requests as not run: a change unknown here could be in force elsewhere.
    Refuse,
}

/// The isolation rule of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Isolation {
    bound: Span,
}

impl Isolation {
    /// Creates a rule with the bound from the settings on the age of the log's last reply.
    pub fn new(bound: Span) -> Self {
        Self { bound }
    }

    /// Decides to serve while the log replied within the bound, directly or to a peer, or while
    /// more than half of the listed instances can be reached. In the second case the log is
    /// unavailable to most instances, and at most a minority can have read a change.
    pub fn evaluate(&self, contact: &Contact) -> Verdict {
        let log_is_recent = contact.log.is_some_and(|age| age <= self.bound);
        if log_is_recent || reaches_majority(contact) {
            return Verdict::Serve;
        }
        Verdict::Refuse
    }
}

/// Whether more than half of the listed instances answer. This is estimated from the share of the
/// sent digests that were answered, since no instance contacts all of its peers.
fn reaches_majority(contact: &Contact) -> bool {
    debug_assert!(contact.answered <= contact.offered);
    let Some(others) = contact.listed.checked_sub(1) else {
        return false;
    };
    let others = u64::from(others);
    let (offered, answered) = (u64::from(contact.offered), u64::from(contact.answered));
    if others == 0 {
        return true;
    }
    if offered == 0 {
        return false;
    }
    // 1 + others * answered / offered > listed / 2, without fractions.
    2 * (offered + others * answered) > (others + 1) * offered
}

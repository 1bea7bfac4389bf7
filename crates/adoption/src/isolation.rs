//! Whether an instance that may have missed a change goes on serving.
//!
//! The ways that were weighed are in `docs/design/configuration.md`.

use entity::Span;

/// Whom the instance has heard from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contact {
    /// Age of the last reply of the log to a read of the configuration stream that was folded to its
    /// end: the own, or a fellow's as its digest gave it plus the age of that digest. A fellow's counts
    /// only if its generation is not later than the own. Nothing if there was none.
    pub log: Option<Span>,
    /// Live instances on the last list, with this one; 0 before a list was read.
    pub listed: u32,
    /// Digests that this instance offered to fellows drawn at random from the list, within the bound.
    pub offered: u32,
    /// How many of those were answered.
    pub answered: u32,
}

/// What to do with new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Serve them.
    Serve,
    /// Refuse them as not run: a change could be in force elsewhere that is not known here.
    Refuse,
}

/// The rule of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Isolation {
    bound: Span,
}

impl Isolation {
    /// A rule with the bound from the settings.
    pub fn new(bound: Span) -> Self {
        Self { bound }
    }

    /// Serves while the log was heard from within the bound, by whatever way, or while more than
    /// half of the listed instances can be reached: then the log is out for most, and no more than a
    /// minority can have read a change.
    pub fn judge(&self, contact: &Contact) -> Verdict {
        let heard = contact.log.is_some_and(|age| age <= self.bound);
        if heard || reaches_majority(contact) {
            return Verdict::Serve;
        }
        Verdict::Refuse
    }
}

/// Whether more than half of the listed instances answer, estimated from the share of the offered
/// digests that were answered, since no instance talks to all others.
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

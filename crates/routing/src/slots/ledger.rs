//! The slots of one upstream at one instance.

use super::Views;
use entity::Moment;

/// A slot on which a request runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    /// Number of the slot.
    pub number: u32,
    /// Ticket of the choice that uses the slot.
    pub ticket: u64,
}

/// An instance's claim to a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Number of the slot, counted from 0.
    pub number: u32,
    /// Time from which the instance may use the slot.
    pub from: Moment,
}

/// The slots of one upstream at one instance: its claims, and the slots in use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    /// Claims to slots, sorted by number.
    pub claims: Vec<Claim>,
    /// Slots on which requests of this instance run, whether it still has a claim to them or not.
    pub held: Vec<Held>,
}

impl Ledger {
    /// Returns a slot that a request may use now: a free one or, for a request with a ticket, the
    /// one that it holds.
    ///
    /// `others` is the number of all other requests of this instance on the upstream. Requests from
    /// before the upstream turned cold hold no slot, but use its capacity all the same.
    pub fn usable_slot(
        &self,
        views: &Views,
        others: u32,
        ticket: Option<u64>,
        now: Moment,
    ) -> Option<u32> {
        if !views.is_fresh(now) {
            return None;
        }
        let owned = self.claims.iter().filter(|claim| now >= claim.from);
        if others as usize >= owned.clone().count() {
            return None;
        }
        for claim in owned {
            let holder = self.held.iter().find(|held| held.number == claim.number);
            if holder.map(|held| held.ticket) == ticket {
                return Some(claim.number);
            }
        }
        None
    }

    /// Records that a request uses a slot.
    pub fn hold(&mut self, number: u32, ticket: u64) {
        assert!(self.held.iter().all(|held| held.number != number));
        self.held.push(Held { number, ticket });
    }

    /// Releases the slot of a request that ended.
    pub fn release(&mut self, ticket: u64) {
        self.held.retain(|held| held.ticket != ticket);
    }
}

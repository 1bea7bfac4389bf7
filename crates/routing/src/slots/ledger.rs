//! The slots of one upstream at one instance.

use super::Views;
use entity::Moment;

/// A slot in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    /// The slot.
    pub number: u32,
    /// The choice that uses it.
    pub ticket: u64,
}

/// An instance's claim to a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The slot, counted from 0.
    pub number: u32,
    /// The moment from which the instance may use it.
    pub from: Moment,
}

/// An instance's slots of one upstream: its claims, and what runs there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    /// Claims to slots, by number.
    pub claims: Vec<Claim>,
    /// Slots that requests of this instance run on, whether it has a claim to them still or not.
    pub held: Vec<Held>,
}

impl Ledger {
    /// A slot that a request may use now: a free one, or for a request with a ticket the one that
    /// it holds.
    ///
    /// `others` counts all other requests of this instance on the upstream. Those from before it
    /// turned cold hold no slot, but use up what it bears all the same.
    pub fn usable(
        &self,
        views: &Views,
        others: u32,
        ticket: Option<u64>,
        now: Moment,
    ) -> Option<u32> {
        if !views.fresh(now) {
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

    /// Notes that a request uses a slot.
    pub fn take(&mut self, number: u32, ticket: u64) {
        assert!(self.held.iter().all(|held| held.number != number));
        self.held.push(Held { number, ticket });
    }

    /// Notes that a request has ended.
    pub fn free(&mut self, ticket: u64) {
        self.held.retain(|held| held.ticket != ticket);
    }
}

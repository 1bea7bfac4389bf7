//! Agreement of all instances on how the share of a new release grows.
//!
//! The release of a session follows from its position in the split, the age of the order and a
//! [`Schedule`]: the ages of the order from which each step of the share holds. An instance that finds
//! a step due announces it with an age that is a lead ahead of the present one, and the earliest age
//! that anybody announced counts. Once an announcement has reached all instances within the lead, they
//! take the step at the same age of the order, whatever they know of the evidence or of sessions.

use entity::Span;

/// Number of steps.
pub const STEP_COUNT: usize = 3;
/// Ages are multiples of this, so that instances that announce a step at once name the same age.
const RESOLUTION: Span = Span::from_millis(100);

/// Ages of an order from which each step of the share holds; steps that are not announced are missing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Schedule {
    ages: Vec<Span>,
}

impl Schedule {
    /// Returns the ages, the first step first.
    pub fn ages(&self) -> &[Span] {
        &self.ages
    }

    /// Returns the number of steps that are announced.
    pub fn len(&self) -> usize {
        self.ages.len()
    }

    /// Returns whether no step is announced.
    pub fn is_empty(&self) -> bool {
        self.ages.is_empty()
    }

    /// Returns the number of steps that hold at an age.
    pub fn held(&self, age: Span) -> usize {
        self.ages.iter().filter(|from| **from <= age).count()
    }

    /// Announces the next step, from an age on or the next multiple of the resolution.
    pub fn announce(&mut self, from: Span) {
        let parts = from.as_micros().div_ceil(RESOLUTION.as_micros());
        if self.ages.len() < STEP_COUNT {
            let from = Span::from_micros(parts * RESOLUTION.as_micros());
            self.ages.push(from);
        }
    }

    /// Merges the schedule of a peer: the earliest age of each step counts, but none before `earliest`.
    /// Returns whether anything changed.
    pub fn merge(&mut self, peer: &[Span], earliest: Span) -> bool {
        let mut is_changed = false;
        for (index, &from) in peer.iter().take(STEP_COUNT).enumerate() {
            let from = from.max(earliest);
            match self.ages.get_mut(index) {
                Some(known) if *known <= from => continue,
                Some(known) => *known = from,
                None => self.ages.push(from),
            }
            is_changed = true;
        }
        is_changed
    }
}

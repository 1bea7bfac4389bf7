//! The set of verdicts that apply. It converges at all instances for any order of arrival.

use crate::verdict::{Brake, Lift, Rollout, Verdict};
use entity::{Generation, name};

/// The verdicts on one service.
#[derive(Clone, Debug)]
struct Entry {
    service: name::Service,
    /// Brakes, at most one for each statement of the rollout.
    brakes: Vec<Brake>,
    /// The latest known generation that changes or removes the rollout.
    lift: Option<Generation>,
}

/// All verdicts known to an instance, sorted by service.
#[derive(Clone, Debug, Default)]
pub struct VerdictSet {
    entries: Vec<Entry>,
}

impl VerdictSet {
    /// Adds a verdict. Returns whether the set changed.
    pub fn apply(&mut self, verdict: &Verdict) -> bool {
        let entry = self.entry(verdict.service());
        match verdict {
            Verdict::Brake(brake) => entry.brake(brake),
            Verdict::Lift(lift) => entry.lift(lift.generation),
        }
    }

    /// Returns the brake that applies to a rollout at an instance with the given generation in
    /// force.
    ///
    /// A lift takes effect only once its own generation is in force. Until then the instance's
    /// configuration still states the rollout that was braked.
    pub fn brake(&self, rollout: &Rollout, in_force: Generation) -> Option<&Brake> {
        let entry = &self.entries[self.find(&rollout.service).ok()?];
        let lift = entry.lift.filter(|lift| *lift <= in_force);
        entry.brakes.iter().find(|brake| {
            brake.rollout == *rollout && lift.is_none_or(|lift| brake.generation >= lift)
        })
    }

    /// Returns the lifts that follow from a configuration with the rollouts `specs`: one for each
    /// service with an effective brake of an earlier generation on a rollout that the configuration
    /// no longer states.
    pub fn lifts(&self, specs: &[Rollout], generation: Generation) -> Vec<Verdict> {
        let mut lifts = Vec::new();
        for entry in &self.entries {
            let is_superseded = |brake: &Brake| {
                brake.generation < generation
                    && entry.lift.is_none_or(|lift| brake.generation >= lift)
                    && !specs.contains(&brake.rollout)
            };
            if !entry.brakes.iter().any(is_superseded) {
                continue;
            }
            lifts.push(Verdict::Lift(Lift {
                service: entry.service.clone(),
                generation,
            }));
        }
        lifts
    }

    /// Returns all verdicts, in an order that depends only on the contents of the set.
    pub fn all(&self) -> Vec<Verdict> {
        let mut all = Vec::new();
        for entry in &self.entries {
            all.extend(entry.brakes.iter().cloned().map(Verdict::Brake));
            all.extend(entry.lift.map(|generation| {
                Verdict::Lift(Lift {
                    service: entry.service.clone(),
                    generation,
                })
            }));
        }
        all
    }

    fn find(&self, service: &name::Service) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.service.cmp(service))
    }

    fn entry(&mut self, service: &name::Service) -> &mut Entry {
        let index = self.find(service).unwrap_or_else(|index| {
            let entry = Entry {
                service: service.clone(),
                brakes: Vec::new(),
                lift: None,
            };
            self.entries.insert(index, entry);
            index
        });
        &mut self.entries[index]
    }
}

impl Entry {
    /// Keeps the higher-ranked of two brakes of the same rollout.
    fn brake(&mut self, brake: &Brake) -> bool {
        let known = self
            .brakes
            .iter_mut()
            .find(|known| known.rollout == brake.rollout);
        let Some(known) = known else {
            self.brakes.push(brake.clone());
            self.brakes.sort_by(Brake::order);
            return true;
        };
        if brake.rank(known).is_le() {
            return false;
        }
        *known = brake.clone();
        true
    }

    fn lift(&mut self, generation: Generation) -> bool {
        if self.lift.is_some_and(|lift| lift >= generation) {
            return false;
        }
        self.lift = Some(generation);
        true
    }
}

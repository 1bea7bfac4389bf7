//! Which verdicts hold: a set that converges at all instances, whatever the order of arrival.

use crate::verdict::{Brake, Lift, Rollout, Verdict};
use entity::{Generation, name};

/// The verdicts on one service.
#[derive(Clone, Debug)]
struct Entry {
    service: name::Service,
    /// At most one for each statement of the roll-out.
    brakes: Vec<Brake>,
    /// The latest generation that states the roll-out otherwise.
    lift: Option<Generation>,
}

/// All verdicts that an instance knows, by service.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    entries: Vec<Entry>,
}

impl Standing {
    /// Takes over a verdict; returns whether it was news.
    pub fn apply(&mut self, verdict: &Verdict) -> bool {
        let entry = self.entry(verdict.service());
        match verdict {
            Verdict::Brake(brake) => entry.brake(brake),
            Verdict::Lift(lift) => entry.lift(lift.generation),
        }
    }

    /// The brake that holds for a roll-out at an instance with a generation in force.
    ///
    /// A lift counts only once its own generation is in force: until then the text still states the
    /// roll-out that was braked.
    pub fn brake(&self, rollout: &Rollout, in_force: Generation) -> Option<&Brake> {
        let entry = &self.entries[self.find(&rollout.service).ok()?];
        let lift = entry.lift.filter(|lift| *lift <= in_force);
        entry.brakes.iter().find(|brake| {
            brake.rollout == *rollout && lift.is_none_or(|lift| brake.generation >= lift)
        })
    }

    /// The lifts that follow from a text that states the roll-outs of these services otherwise than
    /// a brake does.
    pub fn lifts(&self, stated: &[Rollout], generation: Generation) -> Vec<Verdict> {
        let mut lifts = Vec::new();
        for entry in &self.entries {
            let differs = |brake: &Brake| {
                brake.generation < generation
                    && entry.lift.is_none_or(|lift| brake.generation >= lift)
                    && !stated.contains(&brake.rollout)
            };
            if !entry.brakes.iter().any(differs) {
                continue;
            }
            lifts.push(Verdict::Lift(Lift {
                service: entry.service.clone(),
                generation,
            }));
        }
        lifts
    }

    /// All verdicts, in an order that depends only on which they are.
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
    /// Keeps the later of two brakes of the same roll-out.
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

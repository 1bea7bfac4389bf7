//! Writes of rulings to the store, which has at most one of each order.
//!
//! All instances reach a ruling, and the first in an order of ranks writes it. One that was paused may
//! take itself for the first long after another has written. A ruling is therefore written only after the
//! store was asked for one, and only if nothing was written since.

use crate::release::Report;
use crate::trial::Ruling;
use entity::{Era, Moment, Offset, Span, name, sorted};

/// What to do next for the ruling on an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing is to be written, or not yet.
    Wait,
    /// Ask the store for the ruling and for the end of its records.
    List,
    /// Write the ruling if the records still end there.
    Write(Ruling, Offset),
}

/// Ruling that waits to be written.
#[derive(Clone, Debug)]
struct Pending {
    /// Release that the order names.
    target: name::Version,
    /// Era of the store in which it is to be written.
    era: Era,
    since: Moment,
    /// End of the records when the store had no ruling.
    end: Option<Offset>,
}

/// Writer of the rulings of one instance.
#[derive(Clone, Debug, Default)]
pub struct Writer {
    /// Rulings that wait, sorted by service.
    pending: Vec<(name::Service, Pending)>,
}

impl Writer {
    /// Returns what to do for the ruling on an order in an era of the store. `wait` is the time that the
    /// instance leaves to those before it.
    pub fn next(&mut self, report: &Report, era: Era, wait: Span, now: Moment) -> Step {
        let written = report.ruling_era.is_some_and(|written| written >= era);
        let due = match report.ruling {
            Some(_) if written => None,
            None if report.can_complete => Some(Ruling::Good),
            ruling => ruling,
        };
        let Some(ruling) = due else {
            self.remove(&report.service);
            return Step::Wait;
        };
        let new = Pending {
            target: report.target.clone(),
            era,
            since: now,
            end: None,
        };
        let pending = sorted::entry(&mut self.pending, &report.service, || new.clone());
        if pending.target != report.target || pending.era != era {
            *pending = new;
        }
        if now.since(pending.since) < wait {
            return Step::Wait;
        }
        match pending.end {
            None => Step::List,
            Some(end) => Step::Write(ruling, end),
        }
    }

    /// Records that the store has no ruling on the order of a service, and where its records end.
    pub fn record_unruled(&mut self, service: &name::Service, end: Offset) {
        if let Ok(index) = self.index(service) {
            self.pending[index].1.end = Some(end);
        }
    }

    /// Records that a write was refused or not answered, so that the store has to be asked again.
    pub fn record_failure(&mut self, service: &name::Service) {
        if let Ok(index) = self.index(service) {
            self.pending[index].1.end = None;
        }
    }

    fn remove(&mut self, service: &name::Service) {
        if let Ok(index) = self.index(service) {
            self.pending.remove(index);
        }
    }

    fn index(&self, service: &name::Service) -> Result<usize, usize> {
        self.pending.binary_search_by(|(name, _)| name.cmp(service))
    }
}

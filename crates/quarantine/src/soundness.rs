//! What answers show of one part that is sound.

use crate::evidence::{Crash, Extent, Rebuttal};
use entity::{Moment, Span};

/// Time after an answer for which ends of upstreams don't tell against its parts.
pub(crate) const SOUND_TTL: Span = Span::from_secs(10);

/// When an answer to a prompt with the part last came how far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Soundness {
    begun: Moment,
    outlived: Option<Moment>,
}

impl Soundness {
    /// Creates what one answer shows.
    pub fn new(rebuttal: Rebuttal) -> Self {
        Self {
            begun: rebuttal.at,
            outlived: (rebuttal.extent == Extent::Outlived).then_some(rebuttal.at),
        }
    }

    /// Adds what another answer shows.
    pub fn add(&mut self, rebuttal: Rebuttal) {
        let other = Self::new(rebuttal);
        self.begun = self.begun.max(other.begun);
        self.outlived = self.outlived.max(other.outlived);
    }

    /// Returns the time of the last answer.
    pub fn last(&self) -> Moment {
        self.begun
    }

    /// Returns the answer that voids a crash; none if there was none.
    pub fn rebuttal(&self, crash: &Crash) -> Option<Rebuttal> {
        let begun = (Extent::Begun, Some(self.begun));
        let outlived = (Extent::Outlived, self.outlived);
        for (extent, at) in [begun, outlived] {
            let at = at.filter(|at| extent.refutes(crash) && crash.at <= *at + SOUND_TTL);
            if let Some(at) = at {
                let part = crash.part;
                return Some(Rebuttal { part, at, extent });
            }
        }
        None
    }
}

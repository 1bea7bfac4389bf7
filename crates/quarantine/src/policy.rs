//! How evidence against parts of prompts, and against whole requests, is used.

use crate::evidence::Weight;
use entity::Span;

/// How evidence is used, and how much of it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Largest number of suspects that are kept.
    pub(crate) max_suspects: usize,
    /// Time after the last crash for which a part is first held back everywhere.
    pub(crate) hold_time: Span,
    /// Time within which ends of upstreams count as one, as a common cause ends several at once. A request
    /// that began after the first end has no cause in common with it.
    pub(crate) common_cause_time: Span,
    /// Which held parts explain the end of an upstream.
    explanation: Explanation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Explanation {
    /// All of them, as a prompt has several parts.
    Any,
    /// Those with more evidence. Of requests that ended the same upstreams each one may be the cause.
    Heavier,
}

impl Policy {
    /// Parts of prompts. The first hold is short, as the evidence may fit another part as well.
    pub const PARTS: Self = Self {
        max_suspects: 64,
        hold_time: Span::from_secs(5),
        common_cause_time: Span::from_millis(100),
        explanation: Explanation::Any,
    };
    /// Whole requests. The end of an upstream makes each request that it had a suspect, most of which
    /// never come again. A hold concerns the repeats of one request only. A request is at one upstream at
    /// a time, unless it comes so often that an answer to it clears it.
    pub const REQUESTS: Self = Self {
        max_suspects: 512,
        hold_time: Span::from_secs(15),
        common_cause_time: Span::ZERO,
        explanation: Explanation::Heavier,
    };

    /// Returns whether a held part with some evidence can explain the victims of another one.
    pub(crate) fn can_explain(&self, held: Weight, suspect: Weight) -> bool {
        match self.explanation {
            Explanation::Any => true,
            Explanation::Heavier => held > suspect,
        }
    }
}

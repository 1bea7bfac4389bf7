//! How much of the confidence threshold applies to a request.

/// Tokens of a prompt that cost as much as one generated token.
const PROMPT_TOKENS_PER_GENERATED: f64 = 4.0;

/// Share of the threshold that applies to background work whose prompt costs more than its answer: there,
/// reading the prompt a second time costs more than a better answer is worth.
const LONG_PROMPT_SHARE: f64 = 0.7;

/// Size of a request in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Expected tokens of the answer.
    pub output: u32,
}

/// Returns the confidence threshold of a request, of `full` per cent, before load is considered.
/// `is_background` says that it yields to other requests. A request whose size is not known counts as one
/// with a long prompt.
pub fn threshold(full: u8, is_background: bool, size: Option<Size>) -> u8 {
    let has_long_answer = size.is_some_and(|size| {
        f64::from(size.output) * PROMPT_TOKENS_PER_GENERATED >= f64::from(size.prompt)
    });
    if !is_background || has_long_answer {
        return full;
    }
    (f64::from(full) * LONG_PROMPT_SHARE) as u8
}

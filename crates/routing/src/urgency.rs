//! The order in which an engine admits the requests that wait there.

/// Work of a prompt, in tokens of the largest model, below which it goes first: it delays those that
/// wait by a small part of one step of theirs.
const SHORT_PROMPT_TOKENS: f64 = 800.0;

/// Returns the urgency of a request at an engine, from 0, which is first, to `least`.
///
/// `priority` is the rank of the request, 0 being the highest, and `work` the work of its prompt in tokens
/// of the largest model. Engines admit by urgency alone, so that short prompts of a low rank would wait
/// for all long ones of a higher rank, although they hardly delay them.
pub fn of(priority: u8, least: u8, work: Option<f64>) -> u8 {
    if work.is_some_and(|work| work < SHORT_PROMPT_TOKENS) {
        return 0;
    }
    priority.min(least)
}

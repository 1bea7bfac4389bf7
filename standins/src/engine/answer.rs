//! The text of answers, which is a function of the prompt and the version's skill.
//!
//! `[q=0.83 re=0123456789abcdef] word word [end]`: the quality that the rating service reads, the
//! hash of the prompt by which a caller knows the answer to its own request, and the last word.

use crate::digest::{digest, fraction};

/// Skill of a version for which none is set.
pub const DEFAULT_SKILL: f64 = 0.9;
/// Quality of an answer to a prompt that is within the version's skill.
const GOOD: f64 = 0.95;
/// Quality that is lost for each unit of difficulty beyond the version's skill.
const SLOPE: f64 = 2.0;
/// Quality of the worst answer.
const WORST: f64 = 0.05;
/// The last word of a whole answer.
const END: &str = "[end]";

/// The hash of a prompt as it is written in answers.
pub fn mark(prompt: &str) -> Box<str> {
    format!("{:016x}", digest(prompt)).into()
}

/// The words of an answer; there are at least three, of which the first bears the marks.
pub fn words(prompt: &str, skill: f64, count: usize) -> Vec<Box<str>> {
    let difficulty = fraction(prompt);
    let lost = SLOPE * (difficulty - skill).max(0.0);
    let quality = (GOOD - lost).max(WORST);
    let mut words = vec![format!("[q={quality:.3}"), format!(" re={}]", mark(prompt))];
    while words.len() + 1 < count {
        words.push(format!(" w{}", words.len()));
    }
    words.push(format!(" {END}"));
    words.into_iter().map(String::into_boxed_str).collect()
}

/// The quality that an answer bears.
pub fn quality(answer: &str) -> Option<f64> {
    let (_, rest) = answer.split_once("[q=")?;
    rest.split_once(' ')?.0.parse().ok()
}

/// Whether this is the whole answer to a prompt.
pub fn answers(answer: &str, prompt: &str) -> bool {
    let Some((head, _)) = answer.split_once(']') else {
        return false;
    };
    head.ends_with(&*format!(" re={}", mark(prompt))) && answer.ends_with(END)
}

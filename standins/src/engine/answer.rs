//! The text of answers, which is a function of the prompt and the version's skill.
//!
//! The format is `[q=0.83 re=0123456789abcdef] word word [end]`: the quality that the rating
//! service reads, the hash of the prompt by which a caller recognises the answer to its own
//! request, and an end marker.

use crate::digest::{digest, digest_fraction};

/// Skill of a version for which none is configured.
pub const DEFAULT_SKILL: f64 = 0.9;
/// Quality of an answer to a prompt that is within the version's skill.
const MAX_QUALITY: f64 = 0.95;
/// Loss of quality for each unit of difficulty beyond the version's skill.
const QUALITY_LOSS_PER_DIFFICULTY: f64 = 2.0;
/// Quality of the worst answer.
const MIN_QUALITY: f64 = 0.05;
/// Last word of a complete answer.
const END_MARKER: &str = "[end]";

/// Returns the hash of a prompt as it is written in answers.
pub fn prompt_hash(prompt: &str) -> Box<str> {
    format!("{:016x}", digest(prompt)).into()
}

/// Returns the words of an answer; there are at least three, of which the first two carry the
/// quality and the prompt hash.
pub fn words(prompt: &str, skill: f64, count: usize) -> Vec<Box<str>> {
    let difficulty = digest_fraction(prompt);
    let loss = QUALITY_LOSS_PER_DIFFICULTY * (difficulty - skill).max(0.0);
    let quality = (MAX_QUALITY - loss).max(MIN_QUALITY);
    let mut words = vec![
        format!("[q={quality:.3}"),
        format!(" re={}]", prompt_hash(prompt)),
    ];
    while words.len() + 1 < count {
        words.push(format!(" w{}", words.len()));
    }
    words.push(format!(" {END_MARKER}"));
    words.into_iter().map(String::into_boxed_str).collect()
}

/// Returns the quality that is written in an answer.
pub fn quality(answer: &str) -> Option<f64> {
    let (_, rest) = answer.split_once("[q=")?;
    rest.split_once(' ')?.0.parse().ok()
}

/// Returns whether an answer is complete and belongs to a prompt.
pub fn is_answer_to(answer: &str, prompt: &str) -> bool {
    let Some((head, _)) = answer.split_once(']') else {
        return false;
    };
    head.ends_with(&*format!(" re={}", prompt_hash(prompt))) && answer.ends_with(END_MARKER)
}

//! The first line of a configuration text, which names the generation that it was edited from.

use entity::Generation;

const PREFIX: &str = "; generation ";

/// Returns the generation that the first line of a text names, if any.
pub fn generation_of(text: &str) -> Option<Generation> {
    let line = text.lines().next()?;
    line.strip_prefix(PREFIX)?.trim().parse().ok()
}

/// Returns a text with a first line that names `generation`; it replaces an existing one.
pub fn with_generation(generation: Generation, text: &str) -> String {
    format!("{PREFIX}{generation}\n{}", without_generation(text))
}

/// Returns a text without the line that names its generation.
pub fn without_generation(text: &str) -> &str {
    if generation_of(text).is_none() {
        return text;
    }
    text.split_once('\n').map_or("", |(_, rest)| rest)
}

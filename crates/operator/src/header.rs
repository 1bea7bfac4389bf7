//! The first line of a text, which says what generation it was edited from.

use entity::Generation;

const PREFIX: &str = "; generation ";

/// The generation that the first line of a text names, if it does.
pub fn generation_of(text: &str) -> Option<Generation> {
    let line = text.lines().next()?;
    line.strip_prefix(PREFIX)?.trim().parse().ok()
}

/// A text whose first line names a generation, in place of the one that it named before.
pub fn with_generation(generation: Generation, text: &str) -> String {
    format!("{PREFIX}{generation}\n{}", without_generation(text))
}

/// A text without the line that names its generation.
pub fn without_generation(text: &str) -> &str {
    if generation_of(text).is_none() {
        return text;
    }
    text.split_once('\n').map_or("", |(_, rest)| rest)
}

//! A text together with what it says.

use config::Config;
use entity::{Findings, Generation};
use std::sync::Arc;

/// One generation of the configuration. Clones share the text's resolved form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The offset of the accepted publication.
    pub generation: Generation,
    /// Who published it.
    pub author: Box<str>,
    /// The text as published.
    pub text: Box<str>,
    /// What the text says.
    pub config: Arc<Config>,
}

impl Snapshot {
    /// Parses a text.
    ///
    /// # Errors
    ///
    /// The findings of the text.
    pub fn parse(generation: Generation, author: &str, text: &str) -> Result<Self, Findings> {
        let config = config::parse(text)?;
        Ok(Self {
            generation,
            author: author.into(),
            text: text.into(),
            config: Arc::new(config),
        })
    }
}

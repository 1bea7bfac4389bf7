//! A configuration text together with its parsed form.

use config::Config;
use entity::{Findings, Generation};
use std::sync::Arc;

/// One generation of the configuration. Clones share the parsed configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Offset of the accepted publication.
    pub generation: Generation,
    /// Operator who published it.
    pub author: Box<str>,
    /// Text as published.
    pub text: Box<str>,
    /// Parsed configuration.
    pub config: Arc<Config>,
}

impl Snapshot {
    /// Parses a text.
    ///
    /// # Errors
    ///
    /// Returns the findings if the text is invalid.
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

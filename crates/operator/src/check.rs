//! Validates a configuration text without publishing it.

use config::Config;
use entity::Findings;
use serde::Serialize;
use std::fmt;

/// Result of a check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum Report {
    /// The text is valid and can be published.
    Valid(Summary),
    /// The text has errors and can't be published.
    Invalid {
        /// All errors in the text.
        findings: Findings,
    },
}

/// Number of entities of each kind in a configuration text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Number of availability zones.
    pub zones: usize,
    /// Number of services.
    pub services: usize,
    /// Number of versions.
    pub versions: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of organisations.
    pub organisations: usize,
    /// Number of routes.
    pub routes: usize,
    /// Number of rollouts.
    pub rollouts: usize,
}

impl Summary {
    fn new(config: &Config) -> Self {
        Self {
            zones: config.zones.len(),
            services: config.services.len(),
            versions: config.versions.len(),
            upstreams: config.upstreams.len(),
            organisations: config.organisations.len(),
            routes: config.routes.len(),
            rollouts: config.rollouts.len(),
        }
    }
}

/// Validates a configuration text.
pub fn check(text: &str) -> Report {
    match config::parse(text) {
        Ok(config) => Report::Valid(Summary::new(&config)),
        Err(findings) => Report::Invalid { findings },
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Valid(summary) => write!(f, "valid: {summary}"),
            Self::Invalid { findings } => findings.fmt(f),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} zones, {} services, {} versions, {} upstreams, {} organisations, {} routes, {} \
             roll-outs",
            self.zones,
            self.services,
            self.versions,
            self.upstreams,
            self.organisations,
            self.routes,
            self.rollouts,
        )
    }
}

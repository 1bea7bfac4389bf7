//! Checks a text without publishing it.

use config::Config;
use entity::Findings;
use serde::Serialize;
use std::fmt;

/// What a check found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum Report {
    /// The text can be published.
    Valid(Summary),
    /// It can't.
    Invalid {
        /// Everything that is wrong with it.
        findings: Findings,
    },
}

/// How many entities of each kind a text has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Availability zones.
    pub zones: usize,
    /// Services.
    pub services: usize,
    /// Versions.
    pub versions: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Organisations.
    pub organisations: usize,
    /// Routes.
    pub routes: usize,
    /// Roll-outs.
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

/// Checks a text.
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

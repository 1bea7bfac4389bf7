//! Shows the configuration in force and the history of publications.

use crate::error::Error;
use crate::header::with_generation;
use crate::reader::Reader;
use adoption::{Reason, Step, publisher};
use entity::{Findings, Generation, Offset, Span};
use journal::Log;
use serde::Serialize;
use std::fmt;
use tokio::time::Instant;

/// The configuration in force, with the publications that the log retains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Generation in force, or 0 if there is none.
    pub generation: Generation,
    /// Author of the generation in force; empty if there is none.
    pub author: Box<str>,
    /// Text in force, with a first line that names the generation.
    pub text: Box<str>,
    /// Retained publications, in the order of the log.
    pub history: Vec<Entry>,
}

/// A publication in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Offset of the publication, which is also its generation if it was accepted.
    pub offset: Offset,
    /// The log's time of the append, in milliseconds since the Unix epoch.
    pub time_ms: Option<u64>,
    /// Author of the publication.
    pub author: Box<str>,
    /// Whether the publication was accepted, and if not, why.
    #[serde(flatten)]
    pub verdict: Verdict,
}

/// Outcome of a publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum Verdict {
    /// The text went into force.
    Accepted,
    /// The text was edited from a generation that was no longer in force.
    Moved {
        /// Generation that the text was edited from.
        base: Generation,
        /// Generation that was in force.
        in_force: Generation,
        /// Author of the generation that was in force.
        by: Box<str>,
    },
    /// The text is invalid.
    Invalid {
        /// All errors in the text.
        findings: Findings,
    },
}

impl From<&Reason> for Verdict {
    fn from(reason: &Reason) -> Self {
        match reason {
            Reason::Base {
                base,
                in_force,
                author,
            } => Self::Moved {
                base: *base,
                in_force: *in_force,
                by: author.clone(),
            },
            Reason::Text(findings) => Self::Invalid {
                findings: findings.clone(),
            },
        }
    }
}

/// Reads the configuration stream to its end and returns the configuration in force.
///
/// # Errors
///
/// The log can't be read within `time_limit`, or its retained records don't determine the
/// generation in force.
pub async fn show<L: Log>(log: &L, time_limit: Span) -> Result<Report, Error> {
    let reader = Reader::open(log, Instant::now() + time_limit.duration()).await?;
    if reader.fold().position().is_none() {
        return Err(publisher::Error::Fresh.into());
    }
    let snapshot = reader.fold().folded();
    let text = snapshot.map_or("", |snapshot| &snapshot.text);
    let generation = reader.fold().generation();
    Ok(Report {
        generation,
        author: snapshot.map_or_else(Box::default, |snapshot| snapshot.author.clone()),
        text: with_generation(generation, text).into(),
        history: history(&reader),
    })
}

fn history<L: Log>(reader: &Reader<'_, L>) -> Vec<Entry> {
    let mut history = Vec::new();
    for step in reader.steps() {
        let (offset, author, verdict) = match step {
            Step::Accepted { snapshot, .. } => (
                Offset(snapshot.generation.0),
                &snapshot.author,
                Verdict::Accepted,
            ),
            Step::Rejected {
                offset,
                author,
                reason,
                ..
            } => (*offset, author, reason.into()),
            _ => continue,
        };
        history.push(Entry {
            offset,
            time_ms: reader.time_ms(offset),
            author: author.clone(),
            verdict,
        });
    }
    history
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for entry in &self.history {
            writeln!(f, "; {entry}")?;
        }
        if self.generation == Generation(0) {
            return f.write_str("; nothing is in force");
        }
        writeln!(
            f,
            "; in force: generation {} by {}",
            self.generation, self.author
        )?;
        f.write_str(self.text.trim_end())
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} by {}", self.offset, self.author)?;
        if let Some(time_ms) = self.time_ms {
            write!(f, " at {time_ms} ms")?;
        }
        write!(f, ": {}", self.verdict)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted => f.write_str("accepted"),
            Self::Moved { base, in_force, by } => {
                write!(
                    f,
                    "rejected: edited from {base} while {in_force} by {by} was in force"
                )
            }
            Self::Invalid { findings } => {
                write!(f, "rejected: {} findings", findings.0.len())
            }
        }
    }
}

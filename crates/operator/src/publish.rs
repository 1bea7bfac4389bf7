//! Publishes a text and tells what became of it.

use crate::diff::{self, diff};
use crate::error::Error;
use crate::header::{generation_of, without_generation};
use crate::reader::Reader;
use adoption::publisher::{Appending, Outcome};
use adoption::{FORMAT, Id, MAX_AUTHOR_BYTES, Publication, Reason, STREAM, Snapshot};
use bytes::Bytes;
use entity::{Findings, Generation, Span};
use journal::{Backoff, Log};
use rand::{Rng, RngExt};
use serde::Serialize;
use std::fmt;
use std::sync::Arc;
use tokio::time::{Instant, sleep, timeout_at};

/// Bounds of the delay between two appends.
const LEAST_DELAY: Span = Span::from_millis(100);
const MOST_DELAY: Span = Span::from_secs(2);

/// How long a read waits for the verdict.
const VERDICT_WAIT: Span = Span::from_secs(1);

/// What a text was edited from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// What its first line names, `; generation N`.
    Header,
    /// This generation.
    Generation(Generation),
    /// Whatever is in force when the operation begins: gives up the protection against overwriting
    /// the changes of others.
    InForce,
}

/// What to publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The text.
    pub text: Box<str>,
    /// What it was edited from.
    pub base: Base,
    /// Who publishes it, 1 to [`MAX_AUTHOR_BYTES`] bytes.
    pub author: Box<str>,
    /// Longest time for the whole operation.
    pub time: Span,
}

/// What became of a publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum Report {
    /// It is in force.
    Accepted {
        /// As this generation.
        generation: Generation,
        /// What it changed.
        changes: diff::Report,
    },
    /// It never goes into force, because its text has findings.
    Invalid {
        /// All of them.
        findings: Findings,
    },
    /// It never goes into force, because something else is.
    Moved {
        /// The generation that it was edited from.
        base: Generation,
        /// The one that is in force.
        in_force: Generation,
        /// Who published that.
        by: Box<str>,
        /// What changed since the base, where the log still tells.
        since: Option<diff::Report>,
    },
    /// It may be in force, or go into force later.
    Unknown {
        /// Its id on the log.
        id: Id,
    },
}

/// Publishes a text.
///
/// A publication that would be rejected by what the stream holds already is not appended.
///
/// # Errors
///
/// Nothing was published, for the reason given; an outcome that is not known is a report.
pub async fn publish<L: Log>(
    log: &L,
    request: &Request,
    rng: &mut impl Rng,
) -> Result<Report, Error> {
    if let Err(findings) = config::parse(&request.text) {
        return Ok(Report::Invalid { findings });
    }
    if request.author.is_empty() || request.author.len() > MAX_AUTHOR_BYTES {
        return Err(Error::Author);
    }
    let deadline = Instant::now() + request.time.duration();
    let mut reader = Reader::open(log, deadline).await?;
    let before = reader.fold().folded().cloned();
    let publication = publication(request, before.as_ref(), rng)?;
    let (id, base) = (publication.id, publication.base);
    let appending = Appending::new(publication, reader.fold())?;
    if let Some(moved) = moved(&reader, base) {
        return Ok(moved);
    }
    let outcome = settle(log, &mut reader, appending).await?;
    Ok(report(&reader, outcome, id))
}

fn publication(
    request: &Request,
    in_force: Option<&Arc<Snapshot>>,
    rng: &mut impl Rng,
) -> Result<Publication, Error> {
    let base = match request.base {
        Base::Header => generation_of(&request.text).ok_or(Error::Base)?,
        Base::Generation(generation) => generation,
        Base::InForce => in_force.map_or(Generation(0), |snapshot| snapshot.generation),
    };
    Ok(Publication {
        format: FORMAT,
        id: Id(rng.random()),
        base,
        author: request.author.clone(),
        text: without_generation(&request.text).into(),
    })
}

/// The report on a base that is not in force; generations never fall, so that it never will be.
fn moved<L: Log>(reader: &Reader<'_, L>, base: Generation) -> Option<Report> {
    let in_force = reader.fold().folded();
    let generation = in_force.map_or(Generation(0), |snapshot| snapshot.generation);
    if generation == base {
        return None;
    }
    let in_force = in_force?;
    let since = reader
        .snapshot(base)
        .map(|base| diff(&base.config, &in_force.config));
    Some(Report::Moved {
        base,
        in_force: generation,
        by: in_force.author.clone(),
        since,
    })
}

/// Appends copies until one is confirmed, then reads the verdict on the first.
async fn settle<L: Log>(
    log: &L,
    reader: &mut Reader<'_, L>,
    appending: Appending,
) -> Result<Outcome, Error> {
    let begun = reader.steps().len();
    if let Some(outcome) = append(log, reader, &appending).await? {
        return Ok(outcome);
    }
    let reading = appending.confirmed();
    loop {
        if let Some(outcome) = reading.observe(&reader.steps()[begun..]) {
            return Ok(outcome);
        }
        if reader.read(VERDICT_WAIT).await.is_err() {
            return Ok(Outcome::Unknown);
        }
    }
}

/// Appends until a copy is confirmed; or the outcome, if it was read or will stay unknown.
async fn append<L: Log>(
    log: &L,
    reader: &mut Reader<'_, L>,
    appending: &Appending,
) -> Result<Option<Outcome>, Error> {
    let data = Bytes::from(appending.record().encode());
    let begun = reader.steps().len();
    let mut backoff = Backoff::new(LEAST_DELAY, MOST_DELAY);
    // Whether a copy may have been appended.
    let mut sent = false;
    loop {
        let copy = log.append(STREAM, data.clone());
        let (delay, refused) = match timeout_at(reader.deadline(), copy).await {
            Ok(Ok(_)) => return Ok(None),
            Ok(Err(logs::Error::Refused {
                reason,
                retry_after,
            })) => (
                retry_after.duration(),
                Some(logs::Error::Refused {
                    reason,
                    retry_after,
                }),
            ),
            Ok(Err(logs::Error::Unknown(_))) => (backoff.next_delay(), None),
            Err(_) => return Ok(Some(Outcome::Unknown)),
        };
        sent |= refused.is_none();
        if timeout_at(reader.deadline(), sleep(delay)).await.is_err() {
            return match refused {
                Some(error) if !sent => Err(error.into()),
                _ => Ok(Some(Outcome::Unknown)),
            };
        }
        // A copy that is read is as good as a confirmed one.
        if sent && reader.read(Span::ZERO).await.is_ok() {
            let outcome = appending.observe(&reader.steps()[begun..]);
            if outcome.is_some() {
                return Ok(outcome);
            }
        }
    }
}

fn report<L: Log>(reader: &Reader<'_, L>, outcome: Outcome, id: Id) -> Report {
    match outcome {
        Outcome::Accepted(generation) => Report::Accepted {
            generation,
            changes: changes(reader, generation),
        },
        Outcome::Rejected(Reason::Text(findings)) => Report::Invalid { findings },
        Outcome::Rejected(Reason::Base {
            base,
            in_force,
            author,
        }) => moved(reader, base).unwrap_or(Report::Moved {
            base,
            in_force,
            by: author,
            since: None,
        }),
        Outcome::Unknown => Report::Unknown { id },
    }
}

/// What an accepted generation changed: against the one before it.
fn changes<L: Log>(reader: &Reader<'_, L>, generation: Generation) -> diff::Report {
    let nothing = config::Config::default();
    let mut before = &nothing;
    for step in reader.steps() {
        let snapshot = match step {
            adoption::Step::Accepted { snapshot, .. } => snapshot,
            adoption::Step::Started {
                snapshot: Some(snapshot),
                ..
            } => snapshot,
            _ => continue,
        };
        if snapshot.generation == generation {
            return diff(before, &snapshot.config);
        }
        before = &snapshot.config;
    }
    diff::Report::default()
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted {
                generation,
                changes,
            } => write!(f, "accepted: generation {generation}\n{changes}"),
            Self::Invalid { findings } => write!(f, "rejected:\n{findings}"),
            Self::Moved {
                base,
                in_force,
                by,
                since,
            } => {
                write!(
                    f,
                    "rejected: edited from generation {base}, but {in_force} by {by} is in force"
                )?;
                match since {
                    Some(since) => write!(f, "\nchanged since:\n{since}"),
                    None => Ok(()),
                }
            }
            Self::Unknown { id } => write!(
                f,
                "unknown: publication {id} may be in force, or go into force later; see \
                 `citrontrack show`"
            ),
        }
    }
}

//! Publishes a configuration text and reports its outcome.

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

/// Minimum delay between two attempts to append a publication.
const MIN_APPEND_DELAY: Span = Span::from_millis(100);
/// Maximum delay between two attempts to append a publication.
const MAX_APPEND_DELAY: Span = Span::from_secs(2);

/// Time that one read of the stream waits for the outcome of a publication.
const VERDICT_POLL_WAIT: Span = Span::from_secs(1);

/// Generation that a text was edited from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// The generation in the first line of the text, `; generation N`.
    Header,
    /// An explicitly given generation.
    Generation(Generation),
    /// The generation that is in force when the operation begins. With it, a publication can
    /// overwrite the changes of others.
    InForce,
}

/// A text to publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Text of the configuration.
    pub text: Box<str>,
    /// Generation that the text was edited from.
    pub base: Base,
    /// Author of the publication, 1 to [`MAX_AUTHOR_BYTES`] bytes.
    pub author: Box<str>,
    /// Timeout of the whole operation.
    pub time_limit: Span,
}

/// Outcome of a publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum Report {
    /// The text is in force.
    Accepted {
        /// Generation that the text has become.
        generation: Generation,
        /// Differences from the generation before it.
        changes: diff::Report,
    },
    /// The text never goes into force, because it is invalid.
    Invalid {
        /// All errors in the text.
        findings: Findings,
    },
    /// The text never goes into force, because its base is no longer in force.
    Moved {
        /// Generation that the text was edited from.
        base: Generation,
        /// Generation that is in force.
        in_force: Generation,
        /// Author of the generation in force.
        by: Box<str>,
        /// Differences between the base and the generation in force, if the log retains the base.
        since: Option<diff::Report>,
    },
    /// The text may be in force, or may go into force later.
    Unknown {
        /// Id of the publication on the log.
        id: Id,
    },
}

/// Publishes a text and waits for its outcome.
///
/// A publication is not appended if the records already in the stream would make it rejected.
///
/// # Errors
///
/// The returned error says why nothing was published. An unknown outcome is not an error but
/// [`Report::Unknown`].
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
    let deadline = Instant::now() + request.time_limit.duration();
    let mut reader = Reader::open(log, deadline).await?;
    let before = reader.fold().folded().cloned();
    let publication = publication(request, before.as_ref(), rng)?;
    let (id, base) = (publication.id, publication.base);
    let appending = Appending::new(publication, reader.fold())?;
    if let Some(base_conflict) = base_conflict(&reader, base) {
        return Ok(base_conflict);
    }
    let outcome = append_until_decided(log, &mut reader, appending).await?;
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

/// Returns the report on a base that is not in force, or `None` if it is. Generations never
/// decrease, so a base that was replaced never goes into force again.
fn base_conflict<L: Log>(reader: &Reader<'_, L>, base: Generation) -> Option<Report> {
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

/// Appends the publication until the log confirms it, then reads the stream for the outcome of
/// its first copy.
async fn append_until_decided<L: Log>(
    log: &L,
    reader: &mut Reader<'_, L>,
    appending: Appending,
) -> Result<Outcome, Error> {
    let first_step = reader.steps().len();
    if let Some(outcome) = append(log, reader, &appending).await? {
        return Ok(outcome);
    }
    let reading = appending.confirmed();
    loop {
        if let Some(outcome) = reading.observe(&reader.steps()[first_step..]) {
            return Ok(outcome);
        }
        if reader.read(VERDICT_POLL_WAIT).await.is_err() {
            return Ok(Outcome::Unknown);
        }
    }
}

/// Appends the publication until the log confirms a copy.
///
/// Returns the outcome if it was read meanwhile, or if it stays unknown.
async fn append<L: Log>(
    log: &L,
    reader: &mut Reader<'_, L>,
    appending: &Appending,
) -> Result<Option<Outcome>, Error> {
    let data = Bytes::from(appending.record().encode());
    let first_step = reader.steps().len();
    let mut backoff = Backoff::new(MIN_APPEND_DELAY, MAX_APPEND_DELAY);
    // Whether the log may have appended a copy whose reply was lost.
    let mut may_be_appended = false;
    loop {
        let copy = log.append(STREAM, data.clone());
        let (delay, refusal) = match timeout_at(reader.deadline(), copy).await {
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
        may_be_appended |= refusal.is_none();
        if timeout_at(reader.deadline(), sleep(delay)).await.is_err() {
            return match refusal {
                Some(error) if !may_be_appended => Err(error.into()),
                _ => Ok(Some(Outcome::Unknown)),
            };
        }
        // A copy that is read from the stream is confirmed as well.
        if may_be_appended && reader.read(Span::ZERO).await.is_ok() {
            let outcome = appending.observe(&reader.steps()[first_step..]);
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
        }) => base_conflict(reader, base).unwrap_or(Report::Moved {
            base,
            in_force,
            by: author,
            since: None,
        }),
        Outcome::Unknown => Report::Unknown { id },
    }
}

/// Returns the differences between an accepted generation and the one before it.
fn changes<L: Log>(reader: &Reader<'_, L>, generation: Generation) -> diff::Report {
    let empty = config::Config::default();
    let mut before = &empty;
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

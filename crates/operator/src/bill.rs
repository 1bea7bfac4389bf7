//! Bills the usage that the log retains.

use crate::error::Error;
use crate::reader::page;
use billing::ledger::{Account, Checkpoint, Horizon, Ledger};
use billing::usage::{STREAM, decode};
use entity::{Offset, Span};
use journal::Log;
use serde::Serialize;
use std::fmt;
use tokio::time::Instant;

/// How to bill.
#[derive(Clone, Debug)]
pub struct Request {
    /// The totals to continue from; empty for the first bill.
    pub checkpoint: Checkpoint,
    /// How late a record may be appended and still be counted.
    pub horizon: Horizon,
    /// How far the clocks of instances and of the log can be apart.
    pub skew: Span,
    /// Longest time for the whole operation.
    pub time: Span,
}

/// The totals, with what they can be relied on for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The totals, from which the next bill continues.
    pub checkpoint: Checkpoint,
    /// Records that expired between the checkpoint and the first retained one: their usage is in no
    /// total.
    pub missed: u64,
    /// Records that hold no usage of this release.
    pub malformed: u64,
    /// Whether no copy of what was counted before can have been counted again.
    pub exact: bool,
}

/// Reads the usage stream to the end that it has now.
///
/// # Errors
///
/// The log can't be read within the time, or forgets records while they are read.
pub async fn bill<L: Log>(log: &L, request: &Request) -> Result<Report, Error> {
    let deadline = Instant::now() + request.time.duration();
    let mut page = page(log, STREAM, Offset(1), Span::ZERO, deadline).await?;
    let (first, end) = (page.first, page.next);
    let mut ledger = Ledger::open(request.horizon, request.checkpoint.clone(), first);
    let mut malformed = 0;
    loop {
        if page.first > ledger.next() {
            return Err(Error::Expired { first: page.first });
        }
        for record in &page.records {
            let batch = decode(record.data()).unwrap_or_else(|_| {
                malformed += 1;
                Vec::new()
            });
            ledger.apply(record.offset, record.time_ms, &batch);
        }
        if ledger.next() >= end {
            break;
        }
        page = crate::reader::page(log, STREAM, ledger.next(), Span::ZERO, deadline).await?;
    }
    let wanted = request.checkpoint.through.next();
    Ok(Report {
        missed: first.0.saturating_sub(wanted.0),
        malformed,
        exact: ledger.is_exact(&request.checkpoint, request.skew),
        checkpoint: ledger.checkpoint().clone(),
    })
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for account in &self.checkpoint.accounts {
            writeln!(f, "{}", Line(account))?;
        }
        write!(f, "through record {}", self.checkpoint.through)?;
        if self.checkpoint.late > 0 {
            write!(f, "; {} came too late to be counted", self.checkpoint.late)?;
        }
        if self.missed > 0 {
            write!(
                f,
                "; {} records expired before they were billed",
                self.missed
            )?;
        }
        if self.malformed > 0 {
            write!(f, "; {} records hold no usage", self.malformed)?;
        }
        if !self.exact {
            write!(f, "; copies of what was billed before may be counted again")?;
        }
        Ok(())
    }
}

/// One account as a line of text.
struct Line<'a>(&'a Account);

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let account = self.0;
        write!(
            f,
            "{}: {}, {} requests, {} in, {} out",
            account.organisation,
            account.cost,
            account.requests,
            account.tokens_in,
            account.tokens_out,
        )?;
        write!(
            f,
            "; reserve: {} ms used, {} ms lent, {} ms idle; {} requests borrowed, {} lent",
            account.used_ms, account.lent_ms, account.idle_ms, account.borrowed, account.lent,
        )
    }
}

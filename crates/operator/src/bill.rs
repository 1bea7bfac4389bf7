//! Computes the totals of each organisation from the usage records that the log retains.

use crate::error::Error;
use crate::reader::page;
use billing::ledger::{Account, Checkpoint, Horizon, Ledger};
use billing::usage::{STREAM, decode};
use entity::{Offset, Span};
use journal::Log;
use serde::Serialize;
use std::fmt;
use tokio::time::Instant;

/// Parameters of a bill.
#[derive(Clone, Debug)]
pub struct Request {
    /// Totals of the previous bill, from which this one continues; empty for the first bill.
    pub checkpoint: Checkpoint,
    /// Maximum delay between the time in a request's id and the append of its usage record; later
    /// records are not counted.
    pub horizon: Horizon,
    /// Maximum difference between the clocks of the instances and the log.
    pub skew: Span,
    /// Timeout of the whole operation.
    pub time_limit: Span,
}

/// The totals, with the records that they leave out or may count twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Totals, from which the next bill continues.
    pub checkpoint: Checkpoint,
    /// Number of records that expired between the checkpoint and the first retained record. Their
    /// usage is in no total.
    pub missed: u64,
    /// Number of records that this release can't decode as usage.
    pub malformed: u64,
    /// Whether it is certain that no record of an earlier bill was counted again.
    pub exact: bool,
}

/// Reads the usage stream to its current end and returns the totals.
///
/// # Errors
///
/// The log can't be read within the time limit, or records expire while they are being read.
pub async fn bill<L: Log>(log: &L, request: &Request) -> Result<Report, Error> {
    let deadline = Instant::now() + request.time_limit.duration();
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
    let expected_first = request.checkpoint.through.next();
    Ok(Report {
        missed: first.0.saturating_sub(expected_first.0),
        malformed,
        exact: ledger.is_exact(&request.checkpoint, request.skew),
        checkpoint: ledger.checkpoint().clone(),
    })
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for account in &self.checkpoint.accounts {
            writeln!(f, "{}", AccountLine(account))?;
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

/// Displays an account as one line of text.
struct AccountLine<'a>(&'a Account);

impl fmt::Display for AccountLine<'_> {
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

//! `citrontrack bill`: computes the totals of each organisation.

use crate::command::{block_on, log, print, read};
use anyhow::{Context, Result};
use argh::FromArgs;
use billing::ledger::{Checkpoint, Horizon};
use entity::Span;
use operator::bill::Request;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Maximum delay between the time in a request's id and the append of its usage record; longer than
/// the time for which peers hold the record.
const BILLING_HORIZON: Span = Span::from_secs(8 * 3600);
/// Maximum difference between the clocks of the instances and the log.
const MAX_CLOCK_SKEW: Span = Span::from_secs(60);

/// Bill the usage on the log: totals of each organisation, and reserved capacity that was idle or
/// lent, traced to whoever reserved it.
#[derive(FromArgs)]
#[argh(subcommand, name = "bill")]
pub struct Bill {
    /// the platform's log, as IP:PORT
    #[argh(option)]
    log: SocketAddr,
    /// the `checkpoint` of an earlier bill, as JSON, to continue from
    #[argh(option)]
    from: Option<String>,
    /// longest time to wait for the log, such as 1m
    #[argh(option, default = "Span::from_secs(60)")]
    time: Span,
    /// print one line of JSON
    #[argh(switch)]
    json: bool,
}

impl Bill {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode> {
        let checkpoint = match &self.from {
            None => Checkpoint::default(),
            Some(path) => serde_json::from_str(&read(path)?)
                .with_context(|| format!("{path} is not the checkpoint of a bill"))?,
        };
        let request = Request {
            checkpoint,
            horizon: Horizon(BILLING_HORIZON),
            skew: MAX_CLOCK_SKEW,
            time_limit: self.time,
        };
        let log = log(self.log);
        let report = block_on(async { Ok(operator::bill(&log, &request).await?) })?;
        print(&report, self.json)?;
        Ok(ExitCode::SUCCESS)
    }
}

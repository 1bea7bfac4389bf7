//! `citrontrack show`: shows the configuration in force and the history of publications.

use crate::command::{block_on, log, print};
use anyhow::Result;
use argh::FromArgs;
use entity::Span;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Show the configuration in force and the history that the log retains.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// the platform's log, as IP:PORT
    #[argh(option)]
    log: SocketAddr,
    /// longest time to wait for the log, such as 10s
    #[argh(option, default = "Span::from_secs(10)")]
    time: Span,
    /// print the text alone, to be edited and published
    #[argh(switch)]
    text: bool,
    /// print one line of JSON
    #[argh(switch)]
    json: bool,
}

impl Show {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode> {
        let log = log(self.log);
        let report = block_on(async { Ok(operator::show(&log, self.time).await?) })?;
        if self.text {
            print!("{}", report.text);
        } else {
            print(&report, self.json)?;
        }
        Ok(ExitCode::SUCCESS)
    }
}

//! `citrontrack publish`: publishes a configuration text.

use crate::command::{FAILED, FINDINGS, block_on, log, print, read_or_input};
use anyhow::Result;
use argh::FromArgs;
use entity::{Generation, Span};
use operator::publish::{Base, Report, Request};
use std::net::SocketAddr;
use std::process::ExitCode;

/// Publish a configuration text. It is edited from the generation that its first line names, as
/// `citrontrack show --text` prints it; if another one is in force meanwhile, it is rejected.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// the platform's log, as IP:PORT
    #[argh(option)]
    log: SocketAddr,
    /// who publishes
    #[argh(option)]
    author: String,
    /// generation that the text was edited from; in-force overwrites whatever is in force
    #[argh(option)]
    base: Option<String>,
    /// longest time to wait for the verdict, such as 30s
    #[argh(option, default = "Span::from_secs(30)")]
    time: Span,
    /// print one line of JSON
    #[argh(switch)]
    json: bool,
    /// configuration text; standard input where none is given
    #[argh(positional)]
    text: Option<String>,
}

impl Publish {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode> {
        let base = match self.base.as_deref() {
            None => Base::Header,
            Some("in-force") => Base::InForce,
            Some(generation) => Base::Generation(generation.parse::<Generation>()?),
        };
        let request = Request {
            text: read_or_input(self.text.as_deref())?.into(),
            base,
            author: self.author.into(),
            time_limit: self.time,
        };
        let log = log(self.log);
        let report =
            block_on(async { Ok(operator::publish(&log, &request, &mut rand::rng()).await?) })?;
        print(&report, self.json)?;
        Ok(match report {
            Report::Accepted { .. } => ExitCode::SUCCESS,
            Report::Invalid { .. } | Report::Moved { .. } => ExitCode::from(FINDINGS),
            Report::Unknown { .. } => ExitCode::from(FAILED),
        })
    }
}

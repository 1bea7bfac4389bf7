//! `citrontrack diff`: compares two configuration texts entity by entity.

use crate::command::{exit_code, print, read};
use anyhow::{Result, anyhow};
use argh::FromArgs;
use std::process::ExitCode;

/// Compare two configuration texts entity by entity. The exit code is 1 where they differ.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// print one line of JSON
    #[argh(switch)]
    json: bool,
    /// configuration text before
    #[argh(positional)]
    before: String,
    /// configuration text after
    #[argh(positional)]
    after: String,
}

impl Diff {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode> {
        let report = operator::diff(&parse(&self.before)?, &parse(&self.after)?);
        print(&report, self.json)?;
        Ok(exit_code(report.changes.is_empty()))
    }
}

fn parse(path: &str) -> Result<config::Config> {
    config::parse(&read(path)?).map_err(|findings| anyhow!("{path}:\n{findings}"))
}

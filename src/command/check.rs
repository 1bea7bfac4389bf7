//! `citrontrack check`: validates a configuration text and settings without contacting a service.

use crate::command::{exit_code, print, read};
use anyhow::Result;
use argh::FromArgs;
use operator::check::Report;
use std::process::ExitCode;

/// Check a configuration text, settings of an instance, or both. Nothing is contacted.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// settings of an instance to check
    #[argh(option)]
    settings: Option<String>,
    /// print one line of JSON
    #[argh(switch)]
    json: bool,
    /// configuration text
    #[argh(positional)]
    text: Option<String>,
}

impl Check {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode> {
        anyhow::ensure!(
            self.text.is_some() || self.settings.is_some(),
            "give a configuration text, --settings, or both"
        );
        let mut valid = true;
        if let Some(path) = &self.settings
            && let Err(findings) = settings::parse(&read(path)?)
        {
            valid = false;
            print(&Report::Invalid { findings }, self.json)?;
        }
        if let Some(path) = &self.text {
            let report = operator::check(&read(path)?);
            valid &= matches!(report, Report::Valid(_));
            print(&report, self.json)?;
        }
        Ok(exit_code(valid))
    }
}

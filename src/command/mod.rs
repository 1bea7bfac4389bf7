//! Commands and what they share.
//!
//! Exit codes: 0 for success, 1 for findings or a rejection, 2 for a failure.

mod key;
mod serve;

use anyhow::{Context, Result};
use argh::FromArgs;
use std::process::ExitCode;

/// Exit code where a text has findings, or a publication was rejected.
pub const FINDINGS: u8 = 1;
/// Exit code where the command could not be carried out.
pub const FAILED: u8 = 2;

/// A model-aware router for versions and cascades.
#[derive(FromArgs)]
pub struct Citrontrack {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Key(key::Key),
    Serve(serve::Serve),
}

impl Citrontrack {
    /// Runs the command and returns its exit code.
    ///
    /// # Errors
    ///
    /// It could not be carried out.
    pub fn run(self) -> Result<ExitCode> {
        match self.command {
            Command::Key(key) => key.run(),
            Command::Serve(serve) => serve.run(),
        }
    }
}

/// Reads a file, or standard input for `-`.
pub fn read(path: &str) -> Result<String> {
    if path == "-" {
        return std::io::read_to_string(std::io::stdin()).context("standard input");
    }
    std::fs::read_to_string(path).with_context(|| path.to_owned())
}

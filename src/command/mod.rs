//! Commands and their shared functions.
//!
//! The exit code is 0 for success, 1 for findings or a rejection, and 2 for a failure.

mod bill;
mod check;
mod diff;
mod explain;
mod forward;
mod key;
mod publish;
mod serve;
mod show;
mod status;
mod timeline;

use anyhow::{Context, Result};
use argh::FromArgs;
use entity::Span;
use serde::Serialize;
use std::fmt::Display;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Exit code if a text has findings or a publication was rejected.
pub const FINDINGS: u8 = 1;
/// Exit code if the command failed.
pub const FAILED: u8 = 2;
/// Timeout of one call to the log.
const LOG_TIMEOUT: Span = Span::from_secs(5);

/// A model-aware router for versions and cascades.
#[derive(FromArgs)]
pub struct Citrontrack {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Bill(bill::Bill),
    Check(check::Check),
    Diff(diff::Diff),
    Explain(explain::Explain),
    Forward(forward::Forward),
    Key(key::Key),
    Publish(publish::Publish),
    Serve(serve::Serve),
    Show(show::Show),
    Status(status::Status),
    Timeline(timeline::Timeline),
}

impl Citrontrack {
    /// Runs the command and returns its exit code.
    ///
    /// # Errors
    ///
    /// Returns an error if the command failed.
    pub fn run(self) -> Result<ExitCode> {
        match self.command {
            Command::Bill(bill) => bill.run(),
            Command::Check(check) => check.run(),
            Command::Diff(diff) => diff.run(),
            Command::Explain(explain) => explain.run(),
            Command::Forward(forward) => forward.run(),
            Command::Key(key) => key.run(),
            Command::Publish(publish) => publish.run(),
            Command::Serve(serve) => serve.run(),
            Command::Show(show) => show.run(),
            Command::Status(status) => status.run(),
            Command::Timeline(timeline) => timeline.run(),
        }
    }
}

/// Reads a file.
fn read(path: &str) -> Result<String> {
    std::fs::read_to_string(path).with_context(|| path.to_owned())
}

/// Reads a file, or standard input if no path is given.
fn read_or_input(path: Option<&str>) -> Result<String> {
    match path {
        Some(path) => read(path),
        None => std::io::read_to_string(std::io::stdin()).context("standard input"),
    }
}

/// Prints a report as text or, for scripts, as one line of JSON.
fn print(report: &(impl Display + Serialize), json: bool) -> Result<()> {
    if json {
        println!("{}", serde_json::to_string(report)?);
    } else {
        println!("{report}");
    }
    Ok(())
}

/// Runs an asynchronous operation to its end.
fn block_on<T>(operation: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(operation)
}

fn log(address: SocketAddr) -> logs::Client {
    logs::Client::new(address, LOG_TIMEOUT)
}

fn exit_code(success: bool) -> ExitCode {
    if success {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(FINDINGS)
    }
}

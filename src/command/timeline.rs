//! `citrontrack timeline`: merges the event logs of many processes into one ordered view.

use anyhow::{Context, Result};
use argh::FromArgs;
use entity::request;
use std::process::ExitCode;
use timeline::{Event, Kind, render};

/// Merge the event logs of many processes into one ordered view.
#[derive(FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct Timeline {
    /// only the path of this request
    #[argh(option)]
    request: Option<request::Id>,
    /// only events of this kind
    #[argh(option)]
    kind: Option<Kind>,
    /// write one self-contained HTML page to this file
    #[argh(option)]
    page: Option<String>,
    /// event logs, one for each process
    #[argh(positional)]
    files: Vec<String>,
}

impl Timeline {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode> {
        anyhow::ensure!(!self.files.is_empty(), "give the event log of a process");
        let (timeline, findings) = timeline::reader::read_files(&self.files)?;
        if !findings.is_empty() {
            eprintln!("{findings}");
        }
        if let Some(path) = &self.page {
            std::fs::write(path, render::page(&timeline)).with_context(|| path.clone())?;
            return Ok(ExitCode::SUCCESS);
        }
        let events: Vec<&Event> = match self.request {
            Some(request) => timeline.path(request),
            None => timeline.events().iter().collect(),
        };
        let has_kind = |event: &&Event| self.kind.is_none_or(|kind| event.kind == kind);
        print!("{}", render::text(events.into_iter().filter(has_kind)));
        Ok(ExitCode::SUCCESS)
    }
}

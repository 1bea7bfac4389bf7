//! One real process of the release binary, joined to a stage.

use crate::gauge;
use crate::stage::Stage;
use anyhow::{Context, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Ticks of processor time in a second, as Linux counts them for processes.
const TICKS: f64 = 100.0;

/// A running process; it is not on the instance list.
pub struct Process {
    process: harness::Process,
    id: String,
    folder: PathBuf,
}

impl Process {
    /// Starts the program.
    ///
    /// # Errors
    ///
    /// It did not start.
    pub async fn spawn(stage: &Stage, program: &Path) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("capacity-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let path = folder.join("settings.ini");
        std::fs::write(&path, stage.settings_of_process())?;
        let path = path.to_str().context("a path in UTF-8")?;
        let arguments = ["serve", "--settings", path];
        let process = harness::Process::spawn("capacity", program, &arguments).await?;
        let id = find(path).context("the process is not found")?;
        Ok(Self {
            process,
            id,
            folder,
        })
    }

    /// Where it listens for callers.
    ///
    /// # Errors
    ///
    /// It did not say.
    pub fn caller(&self) -> Result<SocketAddr> {
        self.process.address("caller")
    }

    /// Resident memory, in KiB.
    pub fn resident_kb(&self) -> f64 {
        gauge::resident_kb(&self.id)
    }

    /// Processor time so far, in seconds.
    pub fn cpu(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id));
        let text = text.unwrap_or_default();
        let after = text.rsplit(')').next().unwrap_or_default();
        let fields = after.split_whitespace().skip(11).take(2);
        let ticks = fields.filter_map(|ticks| ticks.parse::<f64>().ok());
        ticks.sum::<f64>() / TICKS
    }

    /// Ends it.
    ///
    /// # Errors
    ///
    /// It can't be ended, or its folder not removed.
    pub async fn kill(self) -> Result<()> {
        self.process.kill().await?;
        std::fs::remove_dir_all(&self.folder)?;
        Ok(())
    }
}

/// The id of the child that was started with a path among its arguments.
fn find(path: &str) -> Option<String> {
    let own = std::process::id();
    let tasks = std::fs::read_dir(format!("/proc/{own}/task")).ok()?;
    for task in tasks.flatten() {
        let children = std::fs::read_to_string(task.path().join("children")).unwrap_or_default();
        for child in children.split_whitespace() {
            let line = std::fs::read_to_string(format!("/proc/{child}/cmdline"));
            if line.unwrap_or_default().contains(path) {
                return Some(child.to_owned());
            }
        }
    }
    None
}

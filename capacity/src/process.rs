//! A process of the release binary that joins the instances of a test bed.

use crate::gauge;
use crate::testbed::Testbed;
use anyhow::{Context, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Clock ticks a second, the unit of processor time in `/proc/<pid>/stat` on Linux.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// A running process, which has no entry in the instance list.
pub struct Process {
    process: harness::Process,
    id: String,
    directory: PathBuf,
}

impl Process {
    /// Starts the program with settings that join it to the test bed.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub async fn spawn(testbed: &Testbed, program: &Path) -> Result<Self> {
        let directory = std::env::temp_dir().join(format!("capacity-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let path = directory.join("settings.ini");
        std::fs::write(&path, testbed.process_settings())?;
        let path = path
            .to_str()
            .context("the path of the settings is not valid UTF-8")?;
        let arguments = ["serve", "--settings", path];
        let process = harness::Process::spawn("capacity", program, &arguments).await?;
        let id = find_child(path).context("the child process was not found in /proc")?;
        Ok(Self {
            process,
            id,
            directory,
        })
    }

    /// Returns the address on which the process listens for callers.
    ///
    /// # Errors
    ///
    /// Returns an error if the process did not print the address.
    pub fn caller(&self) -> Result<SocketAddr> {
        self.process.address("caller")
    }

    /// Returns the resident memory, in KiB.
    pub fn resident_kb(&self) -> f64 {
        gauge::resident_kb(&self.id)
    }

    /// Returns the processor time so far, in seconds.
    pub fn cpu(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id));
        let text = text.unwrap_or_default();
        let after = text.rsplit(')').next().unwrap_or_default();
        let fields = after.split_whitespace().skip(11).take(2);
        let ticks = fields.filter_map(|ticks| ticks.parse::<f64>().ok());
        ticks.sum::<f64>() / CLOCK_TICKS_PER_S
    }

    /// Kills the process and removes its directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be killed or its directory can't be removed.
    pub async fn kill(self) -> Result<()> {
        self.process.kill().await?;
        std::fs::remove_dir_all(&self.directory)?;
        Ok(())
    }
}

/// Returns the id of the child process that was started with a path among its arguments.
fn find_child(path: &str) -> Option<String> {
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

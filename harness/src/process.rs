//! A child process that is signalled by its id and killed when its handle is dropped.

use anyhow::{Context, Result, ensure};
use nix::sys::signal;
use nix::unistd::Pid;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};

/// Longest wait for a process to print its startup line.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for a process to exit after a signal.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// Signal that can be sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM, which requests a graceful shutdown.
    Terminate,
    /// SIGKILL, which ends the process immediately.
    Kill,
    /// SIGSTOP, which freezes the process.
    Stop,
    /// SIGCONT, which resumes a frozen process.
    Continue,
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    name: Box<str>,
    child: Child,
    /// Kept open so that later output of the process does not fail.
    _stdout: BufReader<ChildStdout>,
    startup_line: serde_json::Value,
}

impl Process {
    /// Starts a program and reads its startup line, the first line of its output, which is JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the program does not start, or prints no valid startup line in time.
    pub async fn spawn(name: &str, program: &Path, arguments: &[&str]) -> Result<Self> {
        Self::spawn_with_stderr(name, program, arguments, Stdio::inherit()).await
    }

    /// Starts a program as [`Self::spawn`] does, with its standard error redirected.
    ///
    /// # Errors
    ///
    /// Returns an error if the program does not start, or prints no valid startup line in time.
    pub async fn spawn_with_stderr(
        name: &str,
        program: &Path,
        arguments: &[&str],
        stderr: Stdio,
    ) -> Result<Self> {
        let mut command = Command::new(program);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .kill_on_drop(true);
        let mut child = command
            .spawn()
            .with_context(|| format!("starting {name}"))?;
        let stdout = child
            .stdout
            .take()
            .context("standard output is not piped")?;
        let mut stdout = BufReader::new(stdout);
        let mut line = String::new();
        let read = tokio::time::timeout(START_TIMEOUT, stdout.read_line(&mut line)).await;
        read.with_context(|| format!("{name} printed no startup line in time"))??;
        let startup_line = serde_json::from_str(&line)
            .with_context(|| format!("{name} exited, or its startup line is not JSON: {line:?}"))?;
        Ok(Self {
            name: name.into(),
            child,
            _stdout: stdout,
            startup_line,
        })
    }

    /// Returns the name that was given when the process was started.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address in a field of the startup line.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing or is not an address.
    pub fn address(&self, field: &str) -> Result<std::net::SocketAddr> {
        let text = self.startup_line[field].as_str();
        let text = text
            .with_context(|| format!("the startup line of {} has no {field} address", self.name))?;
        Ok(text.parse()?)
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let signal = match signal {
            Signal::Terminate => signal::SIGTERM,
            Signal::Kill => signal::SIGKILL,
            Signal::Stop => signal::SIGSTOP,
            Signal::Continue => signal::SIGCONT,
        };
        let id = self
            .child
            .id()
            .with_context(|| format!("{} has exited", self.name))?;
        signal::kill(Pid::from_raw(i32::try_from(id)?), signal)?;
        Ok(())
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exit in time.
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        let waited = tokio::time::timeout(STOP_TIMEOUT, self.child.wait()).await;
        Ok(waited.with_context(|| format!("{} did not exit in time", self.name))??)
    }

    /// Shuts the process down gracefully.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exit in time, or exits with a code other than 0.
    pub async fn stop(mut self) -> Result<()> {
        self.signal(Signal::Terminate)?;
        let status = self.wait().await?;
        ensure!(status.success(), "{} exited with {status}", self.name);
        Ok(())
    }

    /// Kills the process and waits for it to exit.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited before, or does not exit in time.
    pub async fn kill(mut self) -> Result<()> {
        self.signal(Signal::Kill)?;
        self.wait().await?;
        Ok(())
    }
}

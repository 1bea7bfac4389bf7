//! One process: started, signalled by its id, and ended when it is dropped.

use anyhow::{Context, Result, ensure};
use nix::sys::signal;
use nix::unistd::Pid;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};

/// Longest time until a process says that it listens.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Longest time until a process ends after SIGTERM.
const STOP_LIMIT: Duration = Duration::from_secs(60);

/// What can be sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: shut down gracefully.
    Terminate,
    /// SIGKILL: end at once.
    Kill,
    /// SIGSTOP: freeze.
    Stop,
    /// SIGCONT: go on.
    Continue,
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    name: Box<str>,
    child: Child,
    /// Kept open, so that the process can go on printing.
    _stdout: BufReader<ChildStdout>,
    first: serde_json::Value,
}

impl Process {
    /// Starts a program and reads its first line of output, which is JSON.
    ///
    /// # Errors
    ///
    /// It did not start, or did not say in time that it listens.
    pub async fn spawn(name: &str, program: &Path, arguments: &[&str]) -> Result<Self> {
        Self::spawn_with(name, program, arguments, Stdio::inherit()).await
    }

    /// Does the same, with standard error elsewhere.
    ///
    /// # Errors
    ///
    /// It did not start, or did not say in time that it listens.
    pub async fn spawn_with(
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
        let stdout = child.stdout.take().context("its output is piped")?;
        let mut stdout = BufReader::new(stdout);
        let mut line = String::new();
        let read = tokio::time::timeout(START_LIMIT, stdout.read_line(&mut line)).await;
        read.with_context(|| format!("{name} did not say that it listens"))??;
        let first = serde_json::from_str(&line)
            .with_context(|| format!("{name} ended, or its first line is not JSON: {line:?}"))?;
        Ok(Self {
            name: name.into(),
            child,
            _stdout: stdout,
            first,
        })
    }

    /// What it is called.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// A field of its first line that holds an address.
    ///
    /// # Errors
    ///
    /// There is no such field.
    pub fn address(&self, field: &str) -> Result<std::net::SocketAddr> {
        let text = self.first[field].as_str();
        let text = text.with_context(|| format!("{} named no {field} address", self.name))?;
        Ok(text.parse()?)
    }

    /// Sends it a signal.
    ///
    /// # Errors
    ///
    /// It has ended.
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
            .with_context(|| format!("{} has ended", self.name))?;
        signal::kill(Pid::from_raw(i32::try_from(id)?), signal)?;
        Ok(())
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// It did not end in time.
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        let waited = tokio::time::timeout(STOP_LIMIT, self.child.wait()).await;
        Ok(waited.with_context(|| format!("{} did not end", self.name))??)
    }

    /// Ends it gracefully.
    ///
    /// # Errors
    ///
    /// It did not end in time, or with another code than 0.
    pub async fn stop(mut self) -> Result<()> {
        self.signal(Signal::Terminate)?;
        let status = self.wait().await?;
        ensure!(status.success(), "{} ended with {status}", self.name);
        Ok(())
    }

    /// Ends it at once.
    ///
    /// # Errors
    ///
    /// It did not end.
    pub async fn kill(mut self) -> Result<()> {
        self.signal(Signal::Kill)?;
        self.wait().await?;
        Ok(())
    }
}

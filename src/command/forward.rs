//! `citrontrack forward`: runs one entry instance on the users' platform.

use crate::command::{FAILED, FINDINGS, read};
use anyhow::{Context, Result};
use argh::FromArgs;
use server::forward::Instance;
use settings::forward::{Placement, Settings};
use std::process::ExitCode;
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};

/// Run an entry instance on the users' platform until SIGTERM or SIGINT, then shut it down
/// gracefully. Its settings are read from the file that the platform names.
#[derive(FromArgs)]
#[argh(subcommand, name = "forward")]
pub struct Forward {
    /// settings of the instance, in place of the file that the platform names
    #[argh(option)]
    settings: Option<String>,

    /// confidence of the smallest model, in per cent, below which the largest is asked; by default
    /// the largest is asked at once
    #[argh(option)]
    cascade: Option<u8>,

    /// by what engines are compared for a request: `prompt`, the prompt tokens that are queued, which is
    /// the default, or `work`, the expected end of the request
    #[argh(option, default = "Placement::Prompt")]
    placement: Placement,

    /// only read the settings, and say what is wrong with them
    #[argh(switch)]
    check: bool,
}

impl Forward {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode> {
        let settings = match self.read() {
            Ok(settings) => settings,
            Err(error) => {
                eprintln!("citrontrack: {error:#}");
                return Ok(ExitCode::from(FINDINGS));
            }
        };
        if self.check {
            println!("the settings of {} are sound", settings.name);
            return Ok(ExitCode::SUCCESS);
        }
        // An instance has a quarter of a core, so more threads would only contend for it.
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("no runtime")?;
        runtime.block_on(self.serve(settings))
    }

    fn read(&self) -> Result<Settings> {
        let path = match &self.settings {
            Some(path) => path.clone(),
            None => std::env::var(platform::SETTINGS_FILE_VARIABLE)
                .context(platform::SETTINGS_FILE_VARIABLE)?,
        };
        let settings = platform::parse_settings(&read(&path)?).with_context(|| path.clone())?;
        Ok(Settings {
            cascade: self.cascade,
            placement: self.placement,
            ..settings
        })
    }

    async fn serve(&self, settings: Settings) -> Result<ExitCode> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let store = platform::Store::new(settings.store);
        let dialect = Arc::new(platform::Dialect);
        let mut instance = Instance::open(settings, dialect, store).await?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => match self.read() {
                    Ok(settings) => instance.reload(&settings),
                    // The current settings stay in force.
                    Err(error) => eprintln!("citrontrack: not reloaded: {error:#}"),
                },
            }
        }
        let drained = instance.shutdown().await;
        Ok(if drained {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(FAILED)
        })
    }
}

//! `citrontrack forward`: one entry instance on the users' platform.

use crate::command::{FAILED, FINDINGS, read};
use anyhow::{Context, Result};
use argh::FromArgs;
use server::forward::Instance;
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
}

impl Forward {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode> {
        let path = match self.settings {
            Some(path) => path,
            None => std::env::var(platform::VARIABLE).context(platform::VARIABLE)?,
        };
        let settings = match platform::parse(&read(&path)?) {
            Ok(settings) => settings::forward::Settings {
                cascade: self.cascade,
                ..settings
            },
            Err(error) => {
                eprintln!("{path}: {error}");
                return Ok(ExitCode::from(FINDINGS));
            }
        };
        // An instance has a quarter of a core: more threads would only wait for each other.
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context("no runtime")?;
        runtime.block_on(serve(settings))
    }
}

async fn serve(settings: settings::forward::Settings) -> Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let store = platform::Store::new(settings.store);
    let instance = Instance::open(settings, Arc::new(platform::Dialect), store).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let whole = instance.shutdown().await;
    Ok(if whole {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(FAILED)
    })
}

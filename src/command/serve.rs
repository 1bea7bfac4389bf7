//! `citrontrack serve`: runs one entry instance.

use crate::command::{FAILED, FINDINGS, read};
use anyhow::{Context, Result};
use argh::FromArgs;
use server::Instance;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Run an entry instance until SIGTERM or SIGINT, then shut it down gracefully. Its addresses are
/// printed as one line of JSON when it listens.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// settings of the instance (INI); examples/instance.ini documents every key
    #[argh(option)]
    settings: String,
}

impl Serve {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode> {
        let settings = match settings::parse(&read(&self.settings)?) {
            Ok(settings) => settings,
            Err(findings) => {
                eprintln!("{}:\n{findings}", self.settings);
                return Ok(ExitCode::from(FINDINGS));
            }
        };
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .context("no runtime")?;
        runtime.block_on(serve(settings))
    }
}

async fn serve(settings: settings::Settings) -> Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let instance = Instance::open(settings).await?;
    println!("{}", serde_json::to_string(instance.addresses())?);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let drained = instance.shutdown().await;
    Ok(if drained {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(FAILED)
    })
}

//! Commands that run a stand-in until a signal terminates it.

use anyhow::{Context, Result};
use argh::FromArgs;
use serde::Serialize;
use serde::de::DeserializeOwned;
use standins::server::Handle;
use standins::{engine, fault, instances, log, plain, rating, weights};
use std::net::SocketAddr;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// A stand-in with its options.
pub(crate) enum Serve {
    Log(Log),
    Instances(Instances),
    Engine(Engine),
    Plain(Plain),
    Rating(Rating),
    Weights(Weights),
}

macro_rules! command {
    ($(#[$doc:meta])* $type:ident, $name:literal) => {
        $(#[$doc])*
        #[derive(FromArgs)]
        #[argh(subcommand, name = $name)]
        pub(crate) struct $type {
            /// where it listens; port 0 stands for any free port
            #[argh(option, default = "any_port()")]
            address: SocketAddr,
            /// seed of the random faults
            #[argh(option, default = "1")]
            seed: u64,
            /// JSON object of fault switches at the start
            #[argh(option, default = "\"{}\".into()")]
            faults: String,
        }
    };
}

command! {
    /// Serves the platform's log.
    Log, "log"
}
command! {
    /// Serves the instance list.
    Instances, "instances"
}
command! {
    /// Serves a plain service.
    Plain, "plain"
}
command! {
    /// Serves the answer-rating service.
    Rating, "rating"
}
command! {
    /// Serves the weight store.
    Weights, "weights"
}

/// Serves a model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub(crate) struct Engine {
    /// where it listens; port 0 stands for any free port
    #[argh(option, default = "any_port()")]
    address: SocketAddr,
    /// seed of the random faults
    #[argh(option, default = "1")]
    seed: u64,
    /// JSON object of fault switches at the start
    #[argh(option, default = "\"{}\".into()")]
    faults: String,
    /// version that is loaded, with its skill from 0 to 1 where one is set: small/1=0.6
    #[argh(option)]
    version: Vec<String>,
    /// requests that run at once
    #[argh(option, default = "16")]
    slots: usize,
    /// requests that are queued
    #[argh(option, default = "64")]
    queue: usize,
    /// size of the prefix cache in bytes of prompt
    #[argh(option, default = "65536")]
    cache_bytes: usize,
    /// take orders with an old fencing number
    #[argh(switch)]
    unfenced: bool,
}

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn faults<F: Serialize + DeserializeOwned>(faults: &F, patch: &str) -> Result<F> {
    fault::merge(faults, patch.as_bytes()).context("reading --faults")
}

fn engine_options(command: Engine) -> Result<engine::Options> {
    let defaults = engine::Options::default();
    let mut options = engine::Options {
        address: command.address,
        seed: command.seed,
        versions: Vec::new(),
        slots: command.slots,
        queue: command.queue,
        cache_bytes: command.cache_bytes,
        fenced: !command.unfenced,
        faults: faults(&defaults.faults, &command.faults)?,
    };
    for version in command.version {
        let (name, skill) = version.split_once('=').unwrap_or((&version, ""));
        options.versions.push(name.into());
        if !skill.is_empty() {
            let skill = skill.parse().context("reading the skill of --version")?;
            options.faults.skill.insert(name.into(), skill);
        }
    }
    if options.versions.is_empty() {
        options.versions = defaults.versions;
    }
    Ok(options)
}

macro_rules! spawn {
    ($module:ident, $command:ident, $cancel:expr) => {{
        let options = $module::Options::default();
        let options = $module::Options {
            address: $command.address,
            seed: $command.seed,
            faults: faults(&options.faults, &$command.faults)?,
        };
        $module::spawn(options, $cancel).await?
    }};
}

async fn spawn(command: Serve, cancel: &CancellationToken) -> Result<Handle> {
    let handle = match command {
        Serve::Log(command) => spawn!(log, command, cancel),
        Serve::Instances(command) => spawn!(instances, command, cancel),
        Serve::Plain(command) => spawn!(plain, command, cancel),
        Serve::Rating(command) => spawn!(rating, command, cancel),
        Serve::Weights(command) => spawn!(weights, command, cancel),
        Serve::Engine(command) => engine::spawn(engine_options(command)?, cancel).await?,
    };
    Ok(handle)
}

/// Runs a stand-in until SIGTERM or SIGINT.
pub(crate) async fn run(command: Serve) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let cancel = CancellationToken::new();
    let handle = spawn(command, &cancel).await?;
    println!("{}", serde_json::json!({"listening": handle.address}));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    handle.stop().await;
    Ok(())
}

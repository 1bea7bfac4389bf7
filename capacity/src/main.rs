//! Measures slopes per role and works out the load of the target size.

use anyhow::Result;
use argh::FromArgs;
use capacity::{adoption, change, instances, requests, stage, upstreams};
use std::path::PathBuf;

/// Measures slopes per role on this machine.
#[derive(FromArgs)]
struct Arguments {
    /// all, instances, upstreams, adoption, change or requests
    #[argh(positional)]
    what: String,
    /// the release binary, for the process of its own; target/release/citrontrack by default
    #[argh(option, default = "PathBuf::from(\"target/release/citrontrack\")")]
    program: PathBuf,
}

fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    let runtime = stage::standin_runtime()?;
    // On a thread of the runtime, so that what it does counts as a stand-in's.
    let measured = runtime.spawn(async move { run(&arguments).await });
    runtime.block_on(measured)?
}

async fn run(arguments: &Arguments) -> Result<()> {
    let what = arguments.what.as_str();
    let all = what == "all";
    let known = [
        "all",
        "change",
        "requests",
        "instances",
        "upstreams",
        "adoption",
    ];
    anyhow::ensure!(known.contains(&what), "one of {}", known.join(", "));
    if all || what == "change" {
        change::run()?;
    }
    if all || what == "requests" {
        requests::run(&arguments.program).await?;
    }
    if all || what == "instances" {
        instances::run().await?;
    }
    if all || what == "upstreams" {
        upstreams::run(&arguments.program).await?;
    }
    if all || what == "adoption" {
        adoption::run().await?;
    }
    Ok(())
}

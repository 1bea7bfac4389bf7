//! Command line of the capacity measurements.

use anyhow::Result;
use argh::FromArgs;
use capacity::{adoption, change, instances, requests, testbed, upstreams};
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
    let runtime = testbed::standin_runtime()?;
    // Runs on a thread of the runtime, so that its processor time is counted with the stand-ins.
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
    anyhow::ensure!(
        known.contains(&what),
        "the argument must be one of {}",
        known.join(", ")
    );
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

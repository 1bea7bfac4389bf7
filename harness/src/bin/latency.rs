//! Measures what an instance adds to the latency of an engine: pairs of requests, direct and through.

use anyhow::{Context, Result, ensure};
use harness::{Stage, System};
use serde_json::json;
use std::path::PathBuf;
use tokio::process::Command;

#[tokio::main]
async fn main() -> Result<()> {
    let text = std::fs::read_to_string("examples/demo.ini").context("examples/demo.ini")?;
    let folder = PathBuf::from(std::env::args().nth(1).context("usage: latency FOLDER")?);
    let own = std::env::current_exe()?;
    let programs = own.parent().context("programs are in a folder")?;
    let standin = programs.join("standin");
    let stage = Stage::Processes(standin.clone());
    let mut system = System::start(&stage, &programs.join("citrontrack"), &text, &folder).await?;
    for _ in 0..3 {
        system.start_instance().await?;
    }
    let text = system.text.clone();
    system.publish(&text).await?;
    for upstream in &system.upstreams {
        // Plain services have no such switch, and say so.
        let _ = system.fault(upstream, &json!({ "token_ms": 0.0 })).await;
    }
    let engine = system.upstream("advisory-1").address.to_string();
    let instance = system.instances[0].caller.to_string();
    for kind in ["--plain", "--stream"] {
        println!("{kind}");
        let arguments = [
            "load",
            "--direct",
            &engine,
            "--instance",
            &instance,
            "--service",
            "advisory",
            "--version",
            "advisory-large/1",
            "--organisation",
            "wadi-clinics",
            "--pairs",
            "1000",
            kind,
        ];
        let status = Command::new(&standin).args(arguments).status().await?;
        ensure!(status.success(), "the comparison ended with {status}");
    }
    system.stop().await
}

//! Measures the latency that an instance adds to an engine, with pairs of a direct request and one
//! through the instance.

use anyhow::{Context, Result, ensure};
use harness::{StandinHost, System, bearer_key};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use serde_json::json;
use standins::client::Client;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::process::Command;

/// Number of pairs of streams to compare.
const PAIR_COUNT: u128 = 500;

#[tokio::main]
async fn main() -> Result<()> {
    let text = std::fs::read_to_string("examples/demo.ini").context("examples/demo.ini")?;
    let folder = PathBuf::from(std::env::args().nth(1).context("usage: latency FOLDER")?);
    let executable = std::env::current_exe()?;
    let programs = executable
        .parent()
        .context("the path of the executable has no folder")?;
    let standin = programs.join("standin");
    let host = StandinHost::Processes(standin.clone());
    let mut system = System::start(&host, &programs.join("citrontrack"), &text, &folder).await?;
    for _ in 0..3 {
        system.start_instance().await?;
    }
    let text = system.text.clone();
    system.publish(&text).await?;
    for upstream in &system.upstreams {
        // Plain services reject this setting, as they generate no tokens.
        let _ = system
            .set_faults(upstream, &json!({ "token_ms": 0.0 }))
            .await;
    }
    let engine = system.upstream("advisory-1").address.to_string();
    let instance = system.instances[0].caller.to_string();
    println!("plain, from the first byte sent to the last byte of the answer");
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
    ];
    let status = Command::new(&standin).args(arguments).status().await?;
    ensure!(status.success(), "the comparison exited with {status}");
    println!("streamed, to the first event");
    compare_first_events(&system).await?;
    system.stop().await
}

/// Requests streams alternately from an engine and from an instance, and prints the time to first
/// event of both.
async fn compare_first_events(system: &System) -> Result<()> {
    let engine = system.upstream("advisory-1").address;
    let instance = system.instances[0].caller;
    let (mut direct, mut through) = (Vec::new(), Vec::new());
    for number in 0..PAIR_COUNT {
        direct.push(first_event(engine, "advisory-large/1", number).await?);
        through.push(first_event(instance, "advisory", number).await?);
    }
    for (name, mut times) in [("direct", direct), ("through", through)] {
        times.sort();
        let at = |percent: usize| times[(times.len() - 1) * percent / 100].as_secs_f64() * 1e3;
        let (median, p95, p99) = (at(50), at(95), at(99));
        println!("{name:8} p50 {median:.3} ms, p95 {p95:.3} ms, p99 {p99:.3} ms");
    }
    Ok(())
}

async fn first_event(address: SocketAddr, model: &str, number: u128) -> Result<Duration> {
    let body = json!({
        "model": model,
        "stream": true,
        "max_tokens": 8,
        "messages": [{ "role": "user", "content": "Is my tap safe?" }],
    });
    let request = Request::post(format!("http://{address}/v1/chat/completions"))
        .header(
            "authorization",
            format!("Bearer {}", bearer_key("wadi-clinics")),
        )
        .header("x-request-id", format!("{number:032x}"))
        .body(Full::from(body.to_string()))?;
    // Each call opens a new connection, both direct and through the instance.
    let client = Client::default();
    let start = Instant::now();
    let mut answer = client.send(request).await?.into_body();
    let first = answer.frame().await.context("the stream has no event")??;
    ensure!(first.is_data(), "the first frame is not an event");
    let elapsed = start.elapsed();
    answer.collect().await?;
    Ok(elapsed)
}

//! What a request, a generated token, an open stream and a usage record cost.

use crate::fit::{Line, Spread};
use crate::gauge;
use crate::process::Process;
use crate::stage::{Size, Stage, instance_runtime};
use crate::text::ORGANISATION;
use anyhow::{Context, Result};
use entity::{Offset, Span};
use harness::HttpClient;
use hyper::Method;
use serde_json::json;
use std::mem::ManuallyDrop;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Requests of each size.
const REQUESTS: [usize; 3] = [200, 400, 800];
/// Generated tokens of each streamed answer.
const TOKENS: [usize; 3] = [32, 128, 256];
/// Answers of each length.
const ANSWERS: usize = 200;
/// Streams that are open at once.
const STREAMS: [usize; 4] = [0, 15, 30, 60];
/// Requests under way at once.
const PARALLEL: usize = 8;
/// Time for upstreams to have reported.
const READY: Duration = Duration::from_secs(4);
/// Time for usage records to be appended.
const SETTLE: Duration = Duration::from_millis(500);

fn body(tokens: usize, stream: bool, question: usize) -> String {
    let value = json!({
        "model": "service-0",
        "stream": stream,
        "max_tokens": tokens,
        "messages": [
            { "role": "system", "content": "You answer for a public service." },
            { "role": "user", "content": format!("Question {question}: is the water safe?") },
        ],
    });
    value.to_string()
}

fn own(stage: &Stage) -> SocketAddr {
    stage.instances[0].addresses().caller
}

/// Sends requests and returns how many were answered.
async fn load(caller: SocketAddr, count: usize, tokens: usize, stream: bool, wide: usize) -> usize {
    let http = Arc::new(HttpClient::new(&harness::bearer_key(ORGANISATION)));
    let mut running = JoinSet::new();
    let mut answered = 0;
    for index in 0..count {
        if running.len() >= wide {
            answered += usize::from(matches!(running.join_next().await, Some(Ok(true))));
        }
        let (http, body) = (http.clone(), body(tokens, stream, index));
        let path = "/v1/chat/completions";
        running.spawn(async move {
            let answer = http.send(Method::POST, caller, path, &[], &body).await;
            let Ok(answer) = answer else {
                return false;
            };
            if !answer.status.is_success() && index == 0 {
                println!("  refused: {} {}", answer.status, answer.text());
            }
            answer.status.is_success()
        });
    }
    while let Some(one) = running.join_next().await {
        answered += usize::from(matches!(one, Ok(true)));
    }
    answered
}

async fn per_request(stage: &Stage) {
    let mut points = Vec::new();
    for count in REQUESTS {
        let mut costs = Vec::new();
        for _ in 0..3 {
            let before = gauge::instance_cpu();
            let answered = load(own(stage), count, 24, false, PARALLEL).await;
            let cost = (gauge::instance_cpu() - before).as_secs_f64() * 1e3;
            if answered < count {
                println!("  {answered} of {count} were answered");
            }
            points.push((count as f64, cost));
            costs.push(cost / count as f64);
        }
        if let Some(spread) = Spread::of(&costs) {
            println!("requests {count}, unstreamed, core ms each: {spread}");
        }
    }
    if let Some(line) = Line::through(&points) {
        println!("core ms by request: {line}");
    }
}

async fn per_token(stage: &Stage) {
    let mut points = Vec::new();
    for tokens in TOKENS {
        for _ in 0..3 {
            let before = gauge::instance_cpu();
            let answered = load(own(stage), ANSWERS, tokens, true, PARALLEL).await;
            let cost = (gauge::instance_cpu() - before).as_secs_f64() * 1e3;
            println!("tokens {tokens}: {answered} of {ANSWERS} answered, {cost:.1} core ms");
            points.push((tokens as f64, cost / ANSWERS as f64));
        }
    }
    if let Some(line) = Line::through(&points) {
        println!("core ms of a streamed answer by token asked for: {line}");
    }
}

/// Resident memory of one real process, by open stream.
async fn per_stream(stage: &Stage, program: &Path) -> Result<()> {
    let process = Process::spawn(stage, program).await?;
    let caller = process.caller()?;
    tokio::time::sleep(READY).await;
    let mut points = Vec::new();
    for streams in STREAMS {
        let mut most = process.resident_kb();
        let mut whole = true;
        if streams > 0 {
            let mut load = Box::pin(load(caller, streams, 256, true, streams));
            loop {
                tokio::select! {
                    answered = &mut load => {
                        println!("streams {streams}: {answered} answered");
                        whole = answered == streams;
                        break;
                    }
                    () = tokio::time::sleep(Duration::from_millis(20)) => {
                        most = most.max(process.resident_kb());
                    }
                }
            }
        }
        println!("streams {streams}: {most:.0} KiB resident");
        // Streams that were refused were not open, so that the size is not what was asked for.
        if whole {
            points.push((streams as f64, most));
        }
    }
    if let Some(line) = Line::through(&points) {
        println!("KiB of a process by open stream: {line}");
    }
    process.kill().await
}

/// Records and bytes of the usage stream, by append and by request.
async fn usage(stage: &Stage) -> Result<()> {
    tokio::time::sleep(SETTLE).await;
    let log = logs::Client::new(stage.log.address, Span::from_secs(5));
    let (mut from, mut appends, mut entries, mut bytes) = (Offset(1), 0, 0, 0);
    loop {
        let page = log.read("usage", from, 64, Span::from_micros(0)).await;
        let page = page.context("reading usage")?;
        for record in &page.records {
            let batch: Vec<serde_json::Value> = serde_json::from_slice(record.data())?;
            appends += 1;
            entries += batch.len();
            bytes += record.data().len();
        }
        if page.records.is_empty() {
            break;
        }
        from = page.next_offset(from);
    }
    let each = bytes as f64 / entries.max(1) as f64;
    println!("usage: {entries} records in {appends} appends, {each:.0} B each");
    Ok(())
}

/// Measures and prints.
///
/// # Errors
///
/// The stage did not start, or the usage stream can't be read.
pub async fn run(program: &Path) -> Result<()> {
    let runtime = ManuallyDrop::new(instance_runtime()?);
    let size = Size {
        instances: 1,
        upstreams: 30,
        versions: 5,
    };
    let stage = Stage::open(size, &runtime).await?;
    tokio::time::sleep(READY).await;
    load(own(&stage), 200, 24, false, PARALLEL).await;
    per_request(&stage).await;
    per_token(&stage).await;
    usage(&stage).await?;
    per_stream(&stage, program).await?;
    stage.close();
    ManuallyDrop::into_inner(runtime).shutdown_background();
    Ok(())
}

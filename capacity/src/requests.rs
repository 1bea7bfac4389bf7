//! Measures the cost of a request, a generated token, an open stream and a usage record.

use crate::configuration::ORGANISATION;
use crate::fit::{Line, Spread};
use crate::gauge;
use crate::process::Process;
use crate::testbed::{Size, Testbed, instance_runtime};
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

/// Numbers of requests to measure.
const REQUEST_COUNTS: [usize; 3] = [200, 400, 800];
/// Numbers of tokens of a streamed answer to measure.
const TOKEN_COUNTS: [usize; 3] = [32, 128, 256];
/// Number of streamed answers of each length.
const ANSWERS_PER_LENGTH: usize = 200;
/// Numbers of concurrent streams to measure.
const STREAM_COUNTS: [usize; 4] = [0, 15, 30, 60];
/// Number of concurrent requests.
const CONCURRENCY: usize = 8;
/// Time until upstreams have sent their first load reports.
const LOAD_REPORT_DELAY: Duration = Duration::from_secs(4);
/// Time until usage records have been appended.
const APPEND_DELAY: Duration = Duration::from_millis(500);

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

fn caller_address(testbed: &Testbed) -> SocketAddr {
    testbed.instances[0].addresses().caller
}

/// Sends requests, at most `concurrency` at once, and returns the number that were answered.
async fn send_requests(
    caller: SocketAddr,
    count: usize,
    tokens: usize,
    stream: bool,
    concurrency: usize,
) -> usize {
    let http = Arc::new(HttpClient::new(&harness::bearer_key(ORGANISATION)));
    let mut running = JoinSet::new();
    let mut answered = 0;
    for index in 0..count {
        if running.len() >= concurrency {
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
    while let Some(result) = running.join_next().await {
        answered += usize::from(matches!(result, Ok(true)));
    }
    answered
}

async fn measure_requests(testbed: &Testbed) {
    let mut points = Vec::new();
    for count in REQUEST_COUNTS {
        let mut costs = Vec::new();
        for _ in 0..3 {
            let before = gauge::instance_cpu();
            let answered =
                send_requests(caller_address(testbed), count, 24, false, CONCURRENCY).await;
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
    if let Some(line) = Line::fit(&points) {
        println!("core ms by request: {line}");
    }
}

async fn measure_tokens(testbed: &Testbed) {
    let mut points = Vec::new();
    for tokens in TOKEN_COUNTS {
        for _ in 0..3 {
            let before = gauge::instance_cpu();
            let answered = send_requests(
                caller_address(testbed),
                ANSWERS_PER_LENGTH,
                tokens,
                true,
                CONCURRENCY,
            )
            .await;
            let cost = (gauge::instance_cpu() - before).as_secs_f64() * 1e3;
            println!(
                "tokens {tokens}: {answered} of {ANSWERS_PER_LENGTH} answered, {cost:.1} core ms"
            );
            points.push((tokens as f64, cost / ANSWERS_PER_LENGTH as f64));
        }
    }
    if let Some(line) = Line::fit(&points) {
        println!("core ms of a streamed answer by token asked for: {line}");
    }
}

/// Measures the resident memory of one release process by the number of open streams.
async fn measure_streams(testbed: &Testbed, program: &Path) -> Result<()> {
    let process = Process::spawn(testbed, program).await?;
    let caller = process.caller()?;
    tokio::time::sleep(LOAD_REPORT_DELAY).await;
    let mut points = Vec::new();
    for streams in STREAM_COUNTS {
        let mut peak_kb = process.resident_kb();
        let mut all_answered = true;
        if streams > 0 {
            let mut sending = Box::pin(send_requests(caller, streams, 256, true, streams));
            loop {
                tokio::select! {
                    answered = &mut sending => {
                        println!("streams {streams}: {answered} answered");
                        all_answered = answered == streams;
                        break;
                    }
                    () = tokio::time::sleep(Duration::from_millis(20)) => {
                        peak_kb = peak_kb.max(process.resident_kb());
                    }
                }
            }
        }
        println!("streams {streams}: {peak_kb:.0} KiB resident");
        // Refused streams were not open, so that the measured number differs from the requested
        // one.
        if all_answered {
            points.push((streams as f64, peak_kb));
        }
    }
    if let Some(line) = Line::fit(&points) {
        println!("KiB of a process by open stream: {line}");
    }
    process.kill().await
}

/// Prints the number of records in the usage stream, of appends, and the bytes of a record.
async fn print_usage(testbed: &Testbed) -> Result<()> {
    tokio::time::sleep(APPEND_DELAY).await;
    let log = logs::Client::new(testbed.log.address, Span::from_secs(5));
    let (mut from, mut appends, mut entries, mut bytes) = (Offset(1), 0, 0, 0);
    loop {
        let page = log.read("usage", from, 64, Span::from_micros(0)).await;
        let page = page.context("reading the usage stream")?;
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

/// Runs all measurements of requests and prints the results.
///
/// # Errors
///
/// Returns an error if the test bed does not start or the usage stream can't be read.
pub async fn run(program: &Path) -> Result<()> {
    let runtime = ManuallyDrop::new(instance_runtime()?);
    let size = Size {
        instances: 1,
        upstreams: 30,
        versions: 5,
    };
    let testbed = Testbed::start(size, &runtime).await?;
    tokio::time::sleep(LOAD_REPORT_DELAY).await;
    send_requests(caller_address(&testbed), 200, 24, false, CONCURRENCY).await;
    measure_requests(&testbed).await;
    measure_tokens(&testbed).await;
    print_usage(&testbed).await?;
    measure_streams(&testbed, program).await?;
    testbed.close();
    ManuallyDrop::into_inner(runtime).shutdown_background();
    Ok(())
}

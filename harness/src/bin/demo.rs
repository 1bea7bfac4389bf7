//! Demonstrates the main functions on a system of processes: requests of the first two users, and
//! edits of the configuration text.

use anyhow::{Context, Result, ensure};
use harness::{HttpClient, Response, StandinHost, System, bearer_key};
use hyper::Method;
use serde_json::Value;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest wait for the log to hold the usage records of all answers.
const BILL_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of answers to requests of one organisation.
struct AnswerCount {
    organisation: &'static str,
    answered: u64,
}

/// Counts the answers of each organisation.
#[derive(Default)]
struct Tally(Vec<AnswerCount>);

impl Tally {
    fn add(&mut self, organisation: &'static str) {
        if let Some(count) = self
            .0
            .iter_mut()
            .find(|count| count.organisation == organisation)
        {
            count.answered += 1;
            return;
        }
        self.0.push(AnswerCount {
            organisation,
            answered: 1,
        });
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let text = std::fs::read_to_string("examples/demo.ini").context("examples/demo.ini")?;
    let folder = PathBuf::from(std::env::args().nth(1).context("usage: demo FOLDER")?);
    let executable = std::env::current_exe()?;
    let programs = executable
        .parent()
        .context("the path of the executable has no folder")?;
    let host = StandinHost::Processes(programs.join("standin"));
    let mut system = System::start(&host, &programs.join("citrontrack"), &text, &folder).await?;
    for _ in 0..3 {
        system.start_instance().await?;
    }
    let text = system.text.clone();
    let generation = system.publish(&text).await?;
    println!(
        "generation {generation} is in force at {} instances",
        system.instances.len()
    );
    let mut tally = Tally::default();
    answer_chats(&system, &mut tally).await?;
    roll_over_once(&system, &mut tally).await?;
    withdraw_version(&mut system, &mut tally).await?;
    take_zone_out(&mut system, &mut tally).await?;
    refuse_bad_input(&system).await?;
    bill(&system, &tally).await?;
    show_path(&system).await?;
    system.stop().await?;
    println!("all processes were stopped, each instance with exit code 0");
    Ok(())
}

async fn answer_chats(system: &System, tally: &mut Tally) -> Result<()> {
    let users = [("wadi-clinics", "advisory"), ("vermeulen-gent", "advice")];
    for (organisation, service) in users {
        let http = HttpClient::new(&bearer_key(organisation));
        for instance in &system.instances {
            let plain = http
                .chat(instance.caller, service, false, &[], "Is my tap safe?")
                .await?;
            expect_status(&plain, 200)?;
            tally.add(organisation);
            let caller = instance.caller;
            let streamed = http
                .chat(caller, service, true, &[], "Is my tap safe?")
                .await?;
            expect_status(&streamed, 200)?;
            ensure!(
                streamed.text().ends_with("data: [DONE]\n\n"),
                "the stream was truncated"
            );
            tally.add(organisation);
        }
        println!("{organisation}: plain and streamed answers of {service} at each instance");
    }
    Ok(())
}

async fn roll_over_once(system: &System, tally: &mut Tally) -> Result<()> {
    let http = HttpClient::new(&bearer_key("vermeulen-gent"));
    let created = SystemTime::now()
        .duration_since(UNIX_EPOCH)?
        .as_millis()
        .to_string();
    let path = "/services/deposits/rollovers";
    for (attempt, instance) in system.instances.iter().enumerate() {
        let attempt = (attempt + 1).to_string();
        let headers = [
            ("idempotency-key", "maturity-2026-12-03-file-7"),
            ("idempotency-attempt", &attempt),
            ("idempotency-created", &created),
        ];
        let body = r#"{"file":7}"#;
        let response = http
            .send(Method::POST, instance.caller, path, &headers, body)
            .await?;
        expect_status(&response, 200)?;
        let replayed = response.header("idempotency-replayed") == "true";
        ensure!(
            replayed == (attempt != "1"),
            "the first attempt has to run, and the others have to be replayed"
        );
    }
    tally.add("vermeulen-gent");
    let calls = system
        .read_json(system.upstream("deposits-1"), "/calls")
        .await?;
    let counts = calls.as_array().context("the calls are not a list")?;
    let runs: u64 = counts
        .iter()
        .filter_map(|call| call["count"].as_u64())
        .sum();
    ensure!(runs == 1, "the rollover ran {runs} times");
    println!("vermeulen-gent: a rollover that was sent to three instances ran once");
    Ok(())
}

/// Withdraws a version that a session uses, and checks that the session moves to another one.
async fn withdraw_version(system: &mut System, tally: &mut Tally) -> Result<()> {
    let http = HttpClient::new(&bearer_key("wadi-households"));
    let caller = system.instances[0].caller;
    let first = http
        .chat(caller, "advisory", false, &[], "Boil or not?")
        .await?;
    expect_status(&first, 200)?;
    tally.add("wadi-households");
    let token = first.header("x-session-token").to_owned();
    // The demo text allows households only the small version; the session can move to the large
    // version only if they may use it.
    let text = system.text.replace(
        "versions = advisory-small/1\nweight",
        "versions = advisory-small/1, advisory-large/1\nweight",
    );
    let withdrawn = text.replace(
        "[version advisory-small/1]\n",
        "[version advisory-small/1]\nstate = withdrawn\n",
    );
    system.publish(&withdrawn).await?;
    let headers = [("x-session-token", token.as_str())];
    let moved = http
        .chat(caller, "advisory", false, &headers, "Boil or not?")
        .await?;
    expect_status(&moved, 200)?;
    tally.add("wadi-households");
    ensure!(
        moved.json()["model"] == "advisory-large/1",
        "the session stayed on the withdrawn version"
    );
    ensure!(
        moved.header("x-session-moved") == "true",
        "the answer does not report that the session moved"
    );
    let refused = http
        .chat(caller, "advisory-small/1", false, &[], "Boil or not?")
        .await?;
    expect_status(&refused, 404)?;
    system.publish(&text).await?;
    println!("wadi-households: a withdrawn version got no new work and was put back in service");
    Ok(())
}

async fn take_zone_out(system: &mut System, tally: &mut Tally) -> Result<()> {
    let before = system.text.clone();
    let out = before.replace("[zone amman-a]\n", "[zone amman-a]\nstate = out\n");
    let out = out.replace(
        "[upstream advice-1]\n",
        "[upstream advice-1]\nstate = leaving\n",
    );
    system.publish(&out).await?;
    let untouched = [system.upstream("advisory-1"), system.upstream("advice-1")];
    let mut calls = Vec::new();
    for upstream in untouched {
        calls.push(system.read_json(upstream, "/calls").await?);
    }
    let users = [("wadi-clinics", "advisory"), ("vermeulen-namur", "advice")];
    for (organisation, service) in users {
        let http = HttpClient::new(&bearer_key(organisation));
        for instance in &system.instances {
            let answer = http
                .chat(instance.caller, service, false, &[], "And now?")
                .await?;
            expect_status(&answer, 200)?;
            tally.add(organisation);
        }
    }
    for (upstream, before) in untouched.into_iter().zip(&calls) {
        let now = system.read_json(upstream, "/calls").await?;
        ensure!(now == *before, "{} got new work", upstream.name);
    }
    system.publish(&before).await?;
    println!(
        "zone amman-a out, advice-1 leaving: neither got new work; both were put back in service"
    );
    Ok(())
}

async fn refuse_bad_input(system: &System) -> Result<()> {
    let caller = system.instances[0].caller;
    let http = HttpClient::new(&bearer_key("wadi-clinics"));
    let unknown_caller = HttpClient::new("no-such-key-at-all");
    let path = "/v1/chat/completions";
    let refusals = [
        (
            unknown_caller
                .chat(caller, "advisory", false, &[], "?")
                .await?,
            401,
            "bad-key",
        ),
        (
            http.chat(caller, "no-model", false, &[], "?").await?,
            404,
            "unknown-model",
        ),
        (
            http.chat(caller, "advice", false, &[], "?").await?,
            403,
            "not-allowed",
        ),
        (
            http.send(Method::POST, caller, path, &[], "{").await?,
            400,
            "bad-json",
        ),
    ];
    for (response, status, code) in refusals {
        expect_status(&response, status)?;
        ensure!(
            response.code() == code && response.run() == "not-run",
            "{}",
            response.text()
        );
    }
    let (exit, output) = system.run_command(&["check", "Cargo.toml"], "").await?;
    ensure!(
        exit == 1 && output.contains("line "),
        "an invalid text has to be rejected with findings: {output}"
    );
    println!(
        "unknown key, unknown model, forbidden model, bad JSON, bad text: refused with distinct errors"
    );
    Ok(())
}

/// Waits until the requests billed to each organisation equal its answers, and prints the bill.
async fn bill(system: &System, tally: &Tally) -> Result<()> {
    let log = system.log.address.to_string();
    let end = Instant::now() + BILL_TIMEOUT;
    loop {
        let (exit, output) = system
            .run_command(&["bill", "--log", &log, "--json"], "")
            .await?;
        ensure!(exit == 0, "bill exited with {exit}: {output}");
        let report: Value =
            serde_json::from_str(&output).context("the report of bill is not JSON")?;
        let differences = billing_differences(&report, tally);
        if differences.is_empty() {
            break;
        }
        ensure!(Instant::now() < end, "{}", differences.join("; "));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let (_, output) = system.run_command(&["bill", "--log", &log], "").await?;
    println!("each answer was billed once:\n{}", output.trim_end());
    Ok(())
}

fn billing_differences(report: &Value, tally: &Tally) -> Vec<String> {
    let none = Vec::new();
    let accounts = report["checkpoint"]["accounts"].as_array().unwrap_or(&none);
    let mut differences = Vec::new();
    for count in &tally.0 {
        let account = accounts
            .iter()
            .find(|account| account["organisation"] == count.organisation);
        let billed = account
            .and_then(|account| account["requests"].as_u64())
            .unwrap_or(0);
        if billed != count.answered {
            let AnswerCount {
                organisation,
                answered,
            } = count;
            differences.push(format!(
                "{organisation}: {answered} requests answered, {billed} billed"
            ));
        }
    }
    differences
}

/// Prints the timeline of one request over all processes.
async fn show_path(system: &System) -> Result<()> {
    let http = HttpClient::new(&bearer_key("vermeulen-gent"));
    let caller = system.instances[2].caller;
    let answer = http
        .chat(caller, "advice", false, &[], "Which path?")
        .await?;
    expect_status(&answer, 200)?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let files: Vec<_> = system
        .instances
        .iter()
        .map(|instance| instance.events.display().to_string())
        .collect();
    let mut arguments = vec!["timeline", "--request", answer.header("x-request-id")];
    arguments.extend(files.iter().map(String::as_str));
    let (exit, output) = system.run_command(&arguments, "").await?;
    ensure!(
        exit == 0 && output.contains("answered"),
        "the timeline of the request is incomplete: {output}"
    );
    println!("the timeline of one request:\n{}", output.trim_end());
    Ok(())
}

fn expect_status(response: &Response, status: u16) -> Result<()> {
    let got = response.status.as_u16();
    ensure!(
        got == status,
        "expected status {status}, got {got}: {}",
        response.text()
    );
    Ok(())
}

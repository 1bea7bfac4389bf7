//! Runs the main job: a system of processes, requests of both first users, edits of the text.

use anyhow::{Context, Result, ensure};
use harness::{Http, Response, Stage, System, key};
use hyper::Method;
use serde_json::Value;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest wait for the log to hold what was billed.
const BILL_LIMIT: Duration = Duration::from_secs(10);

/// What was sent and answered for one organisation.
struct Sent {
    organisation: &'static str,
    answered: u64,
}

/// Counts what each organisation was answered.
#[derive(Default)]
struct Tally(Vec<Sent>);

impl Tally {
    fn add(&mut self, organisation: &'static str) {
        if let Some(sent) = self
            .0
            .iter_mut()
            .find(|sent| sent.organisation == organisation)
        {
            sent.answered += 1;
            return;
        }
        self.0.push(Sent {
            organisation,
            answered: 1,
        });
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let text = std::fs::read_to_string("examples/demo.ini").context("examples/demo.ini")?;
    let folder = PathBuf::from(std::env::args().nth(1).context("usage: demo FOLDER")?);
    let own = std::env::current_exe()?;
    let programs = own.parent().context("programs are in a folder")?;
    let stage = Stage::Processes(programs.join("standin"));
    let mut system = System::start(&stage, &programs.join("citrontrack"), &text, &folder).await?;
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
    withdraw(&mut system, &mut tally).await?;
    take_zone_out(&mut system, &mut tally).await?;
    refuse_bad_input(&system).await?;
    bill(&system, &tally).await?;
    show_path(&system).await?;
    system.stop().await?;
    println!("every process was ended by its id, each instance with exit code 0");
    Ok(())
}

async fn answer_chats(system: &System, tally: &mut Tally) -> Result<()> {
    let users = [("wadi-clinics", "advisory"), ("vermeulen-gent", "advice")];
    for (organisation, service) in users {
        let http = Http::new(&key(organisation));
        for instance in &system.instances {
            let plain = http
                .chat(instance.caller, service, false, &[], "Is my tap safe?")
                .await?;
            check(&plain, 200)?;
            tally.add(organisation);
            let caller = instance.caller;
            let streamed = http
                .chat(caller, service, true, &[], "Is my tap safe?")
                .await?;
            check(&streamed, 200)?;
            ensure!(
                streamed.text().ends_with("data: [DONE]\n\n"),
                "the stream is whole"
            );
            tally.add(organisation);
        }
        println!("{organisation}: plain and streamed answers of {service} at each instance");
    }
    Ok(())
}

async fn roll_over_once(system: &System, tally: &mut Tally) -> Result<()> {
    let http = Http::new(&key("vermeulen-gent"));
    let created = SystemTime::now()
        .duration_since(UNIX_EPOCH)?
        .as_millis()
        .to_string();
    let path = "/services/deposits/rollovers";
    for (sending, instance) in system.instances.iter().enumerate() {
        let sending = (sending + 1).to_string();
        let headers = [
            ("idempotency-key", "maturity-2026-12-03-file-7"),
            ("idempotency-attempt", &sending),
            ("idempotency-created", &created),
        ];
        let body = r#"{"file":7}"#;
        let response = http
            .send(Method::POST, instance.caller, path, &headers, body)
            .await?;
        check(&response, 200)?;
        let replayed = response.header("idempotency-replayed") == "true";
        ensure!(
            replayed == (sending != "1"),
            "the first sending runs, the others are replayed"
        );
    }
    tally.add("vermeulen-gent");
    let calls = system.read(system.upstream("deposits-1"), "/calls").await?;
    let counts = calls.as_array().context("calls are a list")?;
    let runs: u64 = counts
        .iter()
        .filter_map(|call| call["count"].as_u64())
        .sum();
    ensure!(runs == 1, "the rollover ran {runs} times");
    println!("vermeulen-gent: one rollover sent to three instances ran once");
    Ok(())
}

/// Withdraws a version under a session that runs on it.
async fn withdraw(system: &mut System, tally: &mut Tally) -> Result<()> {
    let http = Http::new(&key("wadi-households"));
    let caller = system.instances[0].caller;
    let first = http
        .chat(caller, "advisory", false, &[], "Boil or not?")
        .await?;
    check(&first, 200)?;
    tally.add("wadi-households");
    let token = first.header("x-session-token").to_owned();
    // Households may use the small version only, so that their key has to allow the large one.
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
    check(&moved, 200)?;
    tally.add("wadi-households");
    ensure!(
        moved.json()["model"] == "advisory-large/1",
        "the session left the version"
    );
    ensure!(
        moved.header("x-session-moved") == "true",
        "the answer says so"
    );
    let asked = http
        .chat(caller, "advisory-small/1", false, &[], "Boil or not?")
        .await?;
    check(&asked, 404)?;
    system.publish(&text).await?;
    println!("wadi-households: a withdrawn version got no new work, and was rolled back in");
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
        calls.push(system.read(upstream, "/calls").await?);
    }
    let users = [("wadi-clinics", "advisory"), ("vermeulen-namur", "advice")];
    for (organisation, service) in users {
        let http = Http::new(&key(organisation));
        for instance in &system.instances {
            let answer = http
                .chat(instance.caller, service, false, &[], "And now?")
                .await?;
            check(&answer, 200)?;
            tally.add(organisation);
        }
    }
    for (upstream, before) in untouched.into_iter().zip(&calls) {
        let now = system.read(upstream, "/calls").await?;
        ensure!(now == *before, "{} got new work", upstream.name);
    }
    system.publish(&before).await?;
    println!("zone amman-a out, advice-1 drained: neither got new work; both were taken in again");
    Ok(())
}

async fn refuse_bad_input(system: &System) -> Result<()> {
    let caller = system.instances[0].caller;
    let http = Http::new(&key("wadi-clinics"));
    let stranger = Http::new("no-such-key-at-all");
    let path = "/v1/chat/completions";
    let refusals = [
        (
            stranger.chat(caller, "advisory", false, &[], "?").await?,
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
        check(&response, status)?;
        ensure!(
            response.code() == code && response.run() == "not-run",
            "{}",
            response.text()
        );
    }
    let (exit, output) = system.command(&["check", "Cargo.toml"], "").await?;
    ensure!(
        exit == 1 && output.contains("line "),
        "a text that is none has findings: {output}"
    );
    println!("unknown key, unknown model, a model of others, bad JSON, bad text: told apart");
    Ok(())
}

/// Compares what was billed with what was answered.
async fn bill(system: &System, tally: &Tally) -> Result<()> {
    let log = system.log.address.to_string();
    let end = Instant::now() + BILL_LIMIT;
    loop {
        let (exit, output) = system
            .command(&["bill", "--log", &log, "--json"], "")
            .await?;
        ensure!(exit == 0, "bill ended with {exit}: {output}");
        let report: Value = serde_json::from_str(&output).context("the report of bill")?;
        let wrong = compare(&report, tally);
        if wrong.is_empty() {
            break;
        }
        ensure!(Instant::now() < end, "{}", wrong.join("; "));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let (_, output) = system.command(&["bill", "--log", &log], "").await?;
    println!("billed, each answer once:\n{}", output.trim_end());
    Ok(())
}

fn compare(report: &Value, tally: &Tally) -> Vec<String> {
    let none = Vec::new();
    let accounts = report["checkpoint"]["accounts"].as_array().unwrap_or(&none);
    let mut wrong = Vec::new();
    for sent in &tally.0 {
        let account = accounts
            .iter()
            .find(|account| account["organisation"] == sent.organisation);
        let billed = account
            .and_then(|account| account["requests"].as_u64())
            .unwrap_or(0);
        if billed != sent.answered {
            let Sent {
                organisation,
                answered,
            } = sent;
            wrong.push(format!(
                "{organisation}: {answered} answered, {billed} billed"
            ));
        }
    }
    wrong
}

/// Shows the whole path of one request, over all processes.
async fn show_path(system: &System) -> Result<()> {
    let http = Http::new(&key("vermeulen-gent"));
    let caller = system.instances[2].caller;
    let answer = http
        .chat(caller, "advice", false, &[], "Which path?")
        .await?;
    check(&answer, 200)?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let files: Vec<_> = system
        .instances
        .iter()
        .map(|instance| instance.events.display().to_string())
        .collect();
    let mut arguments = vec!["timeline", "--request", answer.header("x-request-id")];
    arguments.extend(files.iter().map(String::as_str));
    let (exit, output) = system.command(&arguments, "").await?;
    ensure!(
        exit == 0 && output.contains("answered"),
        "the path of a request: {output}"
    );
    println!("the path of one request:\n{}", output.trim_end());
    Ok(())
}

fn check(response: &Response, status: u16) -> Result<()> {
    let got = response.status.as_u16();
    ensure!(
        got == status,
        "wanted {status}, got {got}: {}",
        response.text()
    );
    Ok(())
}

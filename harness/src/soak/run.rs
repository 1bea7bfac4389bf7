//! The run of one seed: starts a system, applies load and faults, and checks the history.

use super::audit::{self, Events, Violation};
use super::balancer::Balancer;
use super::driver::{Driver, wait_for_clean_exit};
use super::edit::Publisher;
use super::plan::{self, Fault};
use crate::{Signal, StandinHost, System};
use anyhow::{Context, Result, ensure};
use standins::check::{self, History, Sources};
use standins::load::attempt::Outcome as AttemptOutcome;
use standins::load::workload::Workload;
use standins::load::{self, report::Report};
use std::fmt;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Number of instances for even seeds; odd seeds have one more.
const BASE_INSTANCE_COUNT: usize = 3;
/// Factor applied to the rates of the demo workload.
const RATE_FACTOR: f64 = 0.4;
/// Share of the chat answers that are streamed, from 0 to 1.
const STREAMED_SHARE: f64 = 0.5;
/// Longest wait for all usage records to be on the log. It exceeds the 1 minute after which an
/// instance appends a copy that it holds for a peer when the message that the owner has appended it
/// was lost.
const USAGE_TIMEOUT: Duration = Duration::from_secs(75);
/// Time between two checks for usage records that are not on the log yet.
const USAGE_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Versions that the demo configuration allows the organisation of the households.
const DEMO_VERSIONS: &str = "versions = advisory-small/1\nweight";
/// The same setting with the large version added, so that the small one can be withdrawn.
const SOAK_VERSIONS: &str = "versions = advisory-small/1, advisory-large/1\nweight";

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the load and of the faults.
    pub seed: u64,
    /// Duration of the load.
    pub time: Duration,
    /// Folder of the programs `citrontrack` and `standin`.
    pub programs: PathBuf,
    /// Folder for settings, event logs and the report; its contents are deleted first.
    pub folder: PathBuf,
    /// Configuration text that the system starts with.
    pub text: String,
}

/// Result of the run of a seed.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Seed of the run.
    pub seed: u64,
    /// Faults that were injected, in the order of their beginnings.
    pub faults: Vec<Fault>,
    /// Number of requests, each counted once regardless of the number of its attempts.
    pub requests: usize,
    /// Number of attempts that were answered.
    pub answers: usize,
    /// Numbers of attempts that were refused, lost or wrong, by reason; the reason of a refusal is
    /// its `run` and `code`.
    pub refusals: Vec<(String, usize)>,
    /// Number of edits that were accepted or already in the text, and number of all edits. Applying
    /// and removing an edit are counted separately.
    pub edits: (usize, usize),
    /// Number of tries that were compared with edits in force, once for each edit.
    pub checked_tries: usize,
    /// Violations of the checked rules.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} faults, {} requests, {} answers, edits {}/{}, \
             {} tries under edits, {} violations",
            self.seed,
            self.faults.len(),
            self.requests,
            self.answers,
            self.edits.0,
            self.edits.1,
            self.checked_tries,
            self.violations.len()
        )?;
        let faults: Vec<String> = self.faults.iter().map(ToString::to_string).collect();
        writeln!(f, "  faults: {}", faults.join(" "))?;
        for (reason, count) in &self.refusals {
            writeln!(f, "  {count:>6} {reason}")?;
        }
        for violation in &self.violations {
            writeln!(f, "  VIOLATION {violation}")?;
        }
        Ok(())
    }
}

/// Runs a seed, from the start of its system to the check of its history.
///
/// # Errors
///
/// Returns an error if the system does not start or can't be controlled, or if its history can't be
/// read.
pub async fn run(options: &Options) -> Result<Outcome> {
    // Event logs of an earlier run of the seed would be checked too.
    let _ = std::fs::remove_dir_all(&options.folder);
    let cancel = CancellationToken::new();
    let _guard = cancel.clone().drop_guard();
    let (sender, mut violations) = mpsc::unbounded_channel();
    let mut driver = start(options, sender, &cancel).await?;
    let steps = plan::plan(options.seed, driver.system.instances.len(), options.time);
    let load = tokio::spawn(load::run(load_options(options, &driver)));
    driver.run_plan(&steps).await?;
    let report = load.await?;
    let mut found = Vec::new();
    let edits = quiesce(&mut driver, &mut found).await?;
    let history = history(options, &driver.system, &report).await?;
    cancel.cancel();
    stop_instances(&mut driver, &mut found).await?;
    while let Ok(violation) = violations.try_recv() {
        found.push(violation);
    }
    let events = Events::read(&options.folder)?;
    let barred = events.barred_tries(&driver.injected);
    found.extend(barred.found);
    found.extend(events.reverted_generations());
    found.extend(events.truncated_answers(&history, &driver.injected));
    found.extend(audit::repeated_runs(&history.calls));
    found.extend(audit::panics(&options.folder)?);
    for violation in check::violations(&history) {
        found.push(Violation {
            rule: "check",
            detail: violation.to_string(),
        });
    }
    found.sort();
    found.dedup();
    let faults = driver
        .injected
        .iter()
        .map(|injected| injected.fault)
        .collect();
    let outcome = Outcome {
        seed: options.seed,
        faults,
        edits,
        checked_tries: barred.checked_tries,
        violations: found,
        ..Outcome::default()
    };
    Ok(summary(outcome, &history))
}

async fn start(
    options: &Options,
    violations: mpsc::UnboundedSender<Violation>,
    cancel: &CancellationToken,
) -> Result<Driver> {
    let host = StandinHost::Processes(options.programs.join("standin"));
    let program = options.programs.join("citrontrack");
    let text = options.text.replacen(DEMO_VERSIONS, SOAK_VERSIONS, 1);
    let mut system = System::start(&host, &program, &text, &options.folder).await?;
    system.capture_stderr = true;
    let count = BASE_INSTANCE_COUNT + usize::from(options.seed % 2 == 1);
    for _ in 0..count {
        system.start_instance().await?;
    }
    let text = system.text.clone();
    system.publish(&text).await?;
    for instance in 0..count {
        let all = |status: &serde_json::Value| status["listed"].as_u64() == Some(count as u64);
        system
            .wait_for(instance, "all instances to be listed", all)
            .await?;
    }
    let mut balancers = Vec::new();
    for instance in &system.instances {
        balancers.push(Balancer::spawn(instance.caller, cancel).await?);
    }
    let publisher = Publisher {
        program,
        log: system.log.address,
        base: text,
    };
    let driver = Driver {
        system,
        balancers,
        publisher,
        violations,
        cancel: cancel.clone(),
        injected: Vec::new(),
        exiting: JoinSet::new(),
        edits: JoinSet::new(),
    };
    for slot in 0..count {
        driver.watch_instance(slot);
    }
    Ok(driver)
}

fn load_options(options: &Options, driver: &Driver) -> load::Options {
    let addresses = driver.balancers.iter().map(|balancer| balancer.address);
    load::Options {
        instances: addresses.collect(),
        workload: Workload::named("demo").expect("the demo workload is built in"),
        seed: options.seed,
        time: options.time,
        scale: RATE_FACTOR,
        streamed: STREAMED_SHARE,
    }
}

/// Waits, after the end of all faults, until the text without edits is in force, replaced instances
/// have exited and all usage records are on the log. Returns the number of edits that were accepted
/// and the number of all edits.
async fn quiesce(driver: &mut Driver, found: &mut Vec<Violation>) -> Result<(usize, usize)> {
    let mut edits = (0, 0);
    while let Some(accepted) = driver.edits.join_next().await {
        edits.0 += usize::from(accepted?);
        edits.1 += 1;
    }
    let generation = driver.publisher.reset().await?;
    if let Err(error) = driver.system.wait_in_force(generation).await {
        found.push(Violation {
            rule: "not-in-force",
            detail: format!("generation {generation}: {error:#}"),
        });
    }
    while let Some(violation) = driver.exiting.join_next().await {
        found.extend(violation?);
    }
    if let Err(error) = wait_until_usage_appended(&driver.system).await {
        found.push(Violation {
            rule: "usage-kept",
            detail: format!("{error:#}"),
        });
    }
    Ok(edits)
}

async fn wait_until_usage_appended(system: &System) -> Result<()> {
    let end = Instant::now() + USAGE_TIMEOUT;
    loop {
        let mut pending = Vec::new();
        for instance in 0..system.instances.len() {
            let status = system.status(instance).await.unwrap_or_default();
            let (own, held) = (&status["unappended"], &status["held"]);
            if own.as_u64() != Some(0) || held.as_u64() != Some(0) {
                let name = system.instances[instance].process.name();
                pending.push(format!("{name}: {own} to append, {held} held"));
            }
        }
        if pending.is_empty() {
            return Ok(());
        }
        ensure!(Instant::now() < end, "{}", pending.join("; "));
        tokio::time::sleep(USAGE_POLL_INTERVAL).await;
    }
}

async fn history(options: &Options, system: &System, report: &Report) -> Result<History> {
    let mut json = Vec::new();
    report.write_json(&mut json)?;
    std::fs::write(options.folder.join("report.json"), &json)?;
    let sources = Sources {
        upstreams: system.upstreams.iter().map(|entry| entry.address).collect(),
        log: system.log.address,
    };
    check::gather(&json, &sources)
        .await
        .context("reading the history of the run")
}

/// Stops the instances gracefully; each of them has to exit with code 0.
async fn stop_instances(driver: &mut Driver, found: &mut Vec<Violation>) -> Result<()> {
    for instance in driver.system.instances.drain(..) {
        if let Err(error) = instance.process.signal(Signal::Terminate) {
            found.push(Violation {
                rule: "unclean-exit",
                detail: format!("{error:#}"),
            });
            continue;
        }
        driver.exiting.spawn(wait_for_clean_exit(instance.process));
    }
    while let Some(violation) = driver.exiting.join_next().await {
        found.extend(violation?);
    }
    Ok(())
}

/// Adds the counts of the history to the outcome.
fn summary(mut outcome: Outcome, history: &History) -> Outcome {
    outcome.requests = history.exchanges.len();
    for exchange in &history.exchanges {
        for attempt in &exchange.attempts {
            let reason = match attempt {
                AttemptOutcome::Answered(_) => {
                    outcome.answers += 1;
                    continue;
                }
                AttemptOutcome::Refused { code, run, .. } => format!("{run} {code}"),
                AttemptOutcome::Lost { reason, .. } => format!("lost: {reason}"),
                AttemptOutcome::Wrong { reason, .. } => format!("WRONG: {reason}"),
            };
            let counts = &mut outcome.refusals;
            match counts.binary_search_by(|entry| entry.0.cmp(&reason)) {
                Ok(index) => counts[index].1 += 1,
                Err(index) => counts.insert(index, (reason, 1)),
            }
        }
    }
    outcome
}

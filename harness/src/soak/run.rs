//! One seed: a system, its load, its faults, and the check.

use super::audit::{self, Breach, Events};
use super::balancer::Balancer;
use super::driver::{Driver, ended};
use super::edit::Publisher;
use super::plan::{self, Fault};
use crate::{Signal, Stage, System};
use anyhow::{Context, Result, ensure};
use standins::check::{self, History, Sources};
use standins::load::attempt::Outcome as Sending;
use standins::load::workload::Workload;
use standins::load::{self, report::Report};
use std::fmt;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Instances of the smaller system; odd seeds have one more.
const INSTANCES: usize = 3;
/// Share of the demo workload's rates.
const SCALE: f64 = 0.4;
/// Share of the chat answers that are streamed.
const STREAMED: f64 = 0.5;
/// Longest wait for all usage to be on the log, over the minute after which an instance appends a
/// copy that it holds if its owner's word was lost.
const USAGE_LIMIT: Duration = Duration::from_secs(75);
/// Time between two looks at it.
const USAGE_POLL: Duration = Duration::from_millis(300);
/// What the demo configuration allows households.
const DEMO_VERSIONS: &str = "versions = advisory-small/1\nweight";
/// The same with the large version, so that the small one can be withdrawn.
const SOAK_VERSIONS: &str = "versions = advisory-small/1, advisory-large/1\nweight";

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Decides the load and the faults.
    pub seed: u64,
    /// How long requests arrive.
    pub time: Duration,
    /// The folder of the programs.
    pub programs: PathBuf,
    /// The folder of settings, event logs and the report.
    pub folder: PathBuf,
    /// The configuration text.
    pub text: String,
}

/// What came of a seed.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Faults that were caused, in order.
    pub faults: Vec<Fault>,
    /// Requests, whatever the number of their sendings.
    pub requests: usize,
    /// Requests that were answered.
    pub answers: usize,
    /// Sendings that were refused or lost, by `run code`.
    pub refusals: Vec<(String, usize)>,
    /// Edits that were accepted, or found as wanted, and all of them; putting in and taking back
    /// count apart.
    pub edits: (usize, usize),
    /// Sendings that were compared with edits in force, once for each edit.
    pub compared: usize,
    /// What was broken.
    pub breaches: Vec<Breach>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} faults, {} requests, {} answers, edits {}/{}, \
             {} sendings under edits, {} violations",
            self.seed,
            self.faults.len(),
            self.requests,
            self.answers,
            self.edits.0,
            self.edits.1,
            self.compared,
            self.breaches.len()
        )?;
        let faults: Vec<String> = self.faults.iter().map(ToString::to_string).collect();
        writeln!(f, "  faults: {}", faults.join(" "))?;
        for (reason, count) in &self.refusals {
            writeln!(f, "  {count:>6} {reason}")?;
        }
        for breach in &self.breaches {
            writeln!(f, "  VIOLATION {breach}")?;
        }
        Ok(())
    }
}

/// Runs a seed from the start of its system to the check of its history.
///
/// # Errors
///
/// The system did not start, or its history can't be had.
pub async fn run(options: &Options) -> Result<Outcome> {
    // An earlier run of the seed may have left event logs.
    let _ = std::fs::remove_dir_all(&options.folder);
    let cancel = CancellationToken::new();
    let _guard = cancel.clone().drop_guard();
    let (sender, mut breaches) = mpsc::unbounded_channel();
    let mut driver = start(options, sender, &cancel).await?;
    let steps = plan::plan(options.seed, driver.system.instances.len(), options.time);
    let load = tokio::spawn(load::run(load_options(options, &driver)));
    driver.drive(&steps).await?;
    let report = load.await?;
    let mut found = Vec::new();
    let edits = settle(&mut driver, &mut found).await?;
    let history = history(options, &driver.system, &report).await?;
    cancel.cancel();
    stop(&mut driver, &mut found).await?;
    while let Ok(breach) = breaches.try_recv() {
        found.push(breach);
    }
    let events = Events::read(&options.folder)?;
    let barred = events.barred(&driver.caused);
    found.extend(barred.found);
    found.extend(events.reverted());
    found.extend(events.cut_off(&history, &driver.caused));
    found.extend(audit::repeated(&history.calls));
    found.extend(audit::panics(&options.folder)?);
    for violation in check::violations(&history) {
        found.push(Breach {
            rule: "check",
            detail: violation.to_string(),
        });
    }
    found.sort();
    found.dedup();
    let faults = driver.caused.iter().map(|caused| caused.fault).collect();
    let outcome = Outcome {
        seed: options.seed,
        faults,
        edits,
        compared: barred.compared,
        breaches: found,
        ..Outcome::default()
    };
    Ok(summary(outcome, &history))
}

async fn start(
    options: &Options,
    breaches: mpsc::UnboundedSender<Breach>,
    cancel: &CancellationToken,
) -> Result<Driver> {
    let stage = Stage::Processes(options.programs.join("standin"));
    let program = options.programs.join("citrontrack");
    let text = options.text.replacen(DEMO_VERSIONS, SOAK_VERSIONS, 1);
    let mut system = System::start(&stage, &program, &text, &options.folder).await?;
    system.keep_errors = true;
    let count = INSTANCES + usize::from(options.seed % 2 == 1);
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
        breaches,
        cancel: cancel.clone(),
        caused: Vec::new(),
        ending: JoinSet::new(),
        edits: JoinSet::new(),
    };
    for slot in 0..count {
        driver.watch(slot);
    }
    Ok(driver)
}

fn load_options(options: &Options, driver: &Driver) -> load::Options {
    let addresses = driver.balancers.iter().map(|balancer| balancer.address);
    load::Options {
        instances: addresses.collect(),
        workload: Workload::named("demo").expect("the tool has the demo workload"),
        seed: options.seed,
        time: options.time,
        scale: SCALE,
        streamed: STREAMED,
    }
}

/// Waits, with no fault left, until edits are back, instances ended and usage is on the log.
/// Returns how many edits were accepted, and how many there were.
async fn settle(driver: &mut Driver, found: &mut Vec<Breach>) -> Result<(usize, usize)> {
    let mut edits = (0, 0);
    while let Some(accepted) = driver.edits.join_next().await {
        edits.0 += usize::from(accepted?);
        edits.1 += 1;
    }
    let generation = driver.publisher.reset().await?;
    if let Err(error) = driver.system.wait_in_force(generation).await {
        found.push(Breach {
            rule: "not-in-force",
            detail: format!("generation {generation}: {error:#}"),
        });
    }
    while let Some(breach) = driver.ending.join_next().await {
        found.extend(breach?);
    }
    if let Err(error) = wait_billed(&driver.system).await {
        found.push(Breach {
            rule: "usage-kept",
            detail: format!("{error:#}"),
        });
    }
    Ok(edits)
}

async fn wait_billed(system: &System) -> Result<()> {
    let end = Instant::now() + USAGE_LIMIT;
    loop {
        let mut left = Vec::new();
        for instance in 0..system.instances.len() {
            let status = system.status(instance).await.unwrap_or_default();
            let (own, held) = (&status["unappended"], &status["held"]);
            if own.as_u64() != Some(0) || held.as_u64() != Some(0) {
                let name = system.instances[instance].process.name();
                left.push(format!("{name}: {own} to append, {held} held"));
            }
        }
        if left.is_empty() {
            return Ok(());
        }
        ensure!(Instant::now() < end, "{}", left.join("; "));
        tokio::time::sleep(USAGE_POLL).await;
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
        .context("the history of the run")
}

/// Ends the instances gracefully; all of them have to end with code 0.
async fn stop(driver: &mut Driver, found: &mut Vec<Breach>) -> Result<()> {
    for instance in driver.system.instances.drain(..) {
        if let Err(error) = instance.process.signal(Signal::Terminate) {
            found.push(Breach {
                rule: "unclean-exit",
                detail: format!("{error:#}"),
            });
            continue;
        }
        driver.ending.spawn(ended(instance.process));
    }
    while let Some(breach) = driver.ending.join_next().await {
        found.extend(breach?);
    }
    Ok(())
}

/// Adds the counts of a history.
fn summary(mut outcome: Outcome, history: &History) -> Outcome {
    outcome.requests = history.exchanges.len();
    for exchange in &history.exchanges {
        for attempt in &exchange.attempts {
            let reason = match attempt {
                Sending::Answered(_) => {
                    outcome.answers += 1;
                    continue;
                }
                Sending::Refused { code, run, .. } => format!("{run} {code}"),
                Sending::Lost { reason, .. } => format!("lost: {reason}"),
                Sending::Wrong { reason, .. } => format!("WRONG: {reason}"),
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

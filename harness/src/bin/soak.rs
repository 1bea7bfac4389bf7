//! Runs seeds of the randomised soak test. The exit code is 1 if a rule was violated or a run
//! failed.

use anyhow::{Context, Result};
use argh::FromArgs;
use harness::soak::{self, Options, Outcome};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;
use tokio::task::JoinSet;

/// Largest number of systems that run concurrently.
const MAX_JOBS: usize = 2;

/// Load and seeded faults over real processes, then a check of the whole history.
#[derive(FromArgs)]
struct Soak {
    /// first and last seed, as 1..20, or one seed
    #[argh(option)]
    seeds: Seeds,
    /// how long requests arrive, in seconds
    #[argh(option, default = "15")]
    seconds: u64,
    /// systems at once, 1 or 2
    #[argh(option, default = "1")]
    jobs: usize,
    /// folder of the runs
    #[argh(option, default = "PathBuf::from(\"run/soak\")")]
    folder: PathBuf,
}

/// An inclusive range of seeds.
#[derive(Clone, Copy)]
struct Seeds {
    first: u64,
    last: u64,
}

impl FromStr for Seeds {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (first, last) = text.split_once("..").unwrap_or((text, text));
        Ok(Self {
            first: first.parse()?,
            last: last.parse()?,
        })
    }
}

/// Totals over all seeds.
#[derive(Default)]
struct Total {
    seeds: usize,
    faults: usize,
    violations: usize,
    failed: usize,
}

impl Total {
    fn add(&mut self, seed: u64, result: Result<Outcome>) {
        match result {
            Ok(outcome) => {
                self.seeds += 1;
                self.faults += outcome.faults.len();
                self.violations += outcome.violations.len();
                print!("{outcome}");
            }
            Err(error) => {
                self.failed += 1;
                println!("seed {seed}: run failed: {error:#}");
            }
        }
    }
}

fn options(soak: &Soak, seed: u64, programs: &Path, text: &str) -> Options {
    Options {
        seed,
        time: Duration::from_secs(soak.seconds),
        programs: programs.to_owned(),
        folder: soak.folder.join(format!("seed-{seed}")),
        text: text.to_owned(),
    }
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let soak: Soak = argh::from_env();
    let text = std::fs::read_to_string("examples/demo.ini").context("examples/demo.ini")?;
    let executable = std::env::current_exe()?;
    let programs = executable
        .parent()
        .context("the path of the executable has no folder")?;
    let mut total = Total::default();
    let mut running = JoinSet::new();
    for seed in soak.seeds.first..=soak.seeds.last {
        while running.len() >= soak.jobs.clamp(1, MAX_JOBS) {
            let (seed, result) = running
                .join_next()
                .await
                .context("no run is in progress")??;
            total.add(seed, result);
        }
        let options = options(&soak, seed, programs, &text);
        running.spawn(async move { (seed, soak::run(&options).await) });
    }
    while let Some(done) = running.join_next().await {
        let (seed, result) = done?;
        total.add(seed, result);
    }
    let Total {
        seeds,
        faults,
        violations,
        failed,
    } = total;
    println!("{seeds} seeds, {faults} faults, {violations} violations");
    if failed > 0 {
        println!("{failed} runs failed");
    }
    Ok(ExitCode::from(u8::from(violations + failed > 0)))
}

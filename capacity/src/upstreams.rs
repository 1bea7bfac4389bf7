//! What an idle instance costs, by the number of upstreams that it watches.

use crate::fit::Line;
use crate::instances::{Sample, print, sample};
use crate::process::Process;
use crate::stage::{METERED, Size, Stage, instance_runtime};
use anyhow::Result;
use std::mem::ManuallyDrop;
use std::path::Path;
use std::time::Duration;

/// Upstreams and versions of each size.
const SIZES: [(usize, usize); 4] = [(30, 5), (30, 25), (200, 25), (800, 25)];
/// Instances of each size.
const INSTANCES: usize = 3;
/// Time after the start before the first window.
const SETTLE: Duration = Duration::from_secs(4);
/// Time over which a process of its own is measured.
const WINDOW: Duration = Duration::from_secs(8);

/// Reports that an instance asks an upstream for, a second.
const REPORTS: f64 = 2.0;

/// Upstreams in the subsets of an instance that owns no slot of another one.
pub fn subset(upstreams: usize, versions: usize) -> usize {
    let serving = |version| (upstreams + versions - 1 - version) / versions;
    let used = (0..versions).map(|version| serving(version).min(routing::subset::SIZE));
    used.sum()
}

/// Upstreams that a listed instance watches, by the reports asked for through the meters. With few
/// instances, each owns slots of most upstreams, and watches these besides its subsets.
fn watched(sample: &Sample, upstreams: usize) -> f64 {
    let metered = upstreams.min(METERED) as f64;
    sample.peers[3].messages / REPORTS / metered * upstreams as f64
}

/// Runs one real process against the stand-ins; prints and returns its memory and core share.
async fn real(stage: &Stage, program: &Path) -> Result<(f64, f64)> {
    let process = Process::spawn(stage, program).await?;
    tokio::time::sleep(SETTLE).await;
    let before = process.cpu();
    tokio::time::sleep(WINDOW).await;
    let core = (process.cpu() - before) / WINDOW.as_secs_f64() * 100.0;
    let memory = process.resident_kb() / 1024.0;
    println!("  one release process: {memory:.1} MiB resident, {core:.2} % of a core");
    process.kill().await?;
    Ok((memory, core))
}

/// Measures and prints. `program` is the release binary, for the process of its own.
///
/// # Errors
///
/// A stage or the process did not start.
pub async fn run(program: &Path) -> Result<()> {
    let mut cores = Vec::new();
    let (mut memories, mut process_cores) = (Vec::new(), Vec::new());
    for (upstreams, versions) in SIZES {
        let runtime = ManuallyDrop::new(instance_runtime()?);
        let size = Size {
            instances: INSTANCES,
            upstreams,
            versions,
        };
        let stage = Stage::open(size, &runtime).await?;
        tokio::time::sleep(SETTLE).await;
        let samples = sample(&stage, 3).await;
        let subset = subset(upstreams, versions);
        println!("upstreams {upstreams}, versions {versions}, in subsets {subset}, per instance:");
        print(&samples);
        for sample in &samples {
            let watched = watched(sample, upstreams);
            println!("  watched {watched:.0}");
            cores.push((watched, sample.core * 100.0));
        }
        let (memory, core) = real(&stage, program).await?;
        memories.push((subset as f64, memory));
        process_cores.push((subset as f64, core));
        stage.close();
        ManuallyDrop::into_inner(runtime).shutdown_background();
    }
    for (name, points) in [
        ("core %, in one process", cores),
        ("core %, process of its own", process_cores),
        ("MiB, process of its own", memories),
    ] {
        if let Some(line) = Line::through(&points) {
            println!("by watched upstream, {name}: {line}");
        }
    }
    Ok(())
}

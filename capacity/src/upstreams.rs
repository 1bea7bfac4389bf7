//! Measures the cost of an idle instance by the number of upstreams that it watches.

use crate::fit::Line;
use crate::instances::{Sample, print, sample};
use crate::process::Process;
use crate::testbed::{MAX_METERED_UPSTREAMS, Size, Testbed, instance_runtime};
use anyhow::Result;
use std::mem::ManuallyDrop;
use std::path::Path;
use std::time::Duration;

/// Numbers of upstreams and versions to measure.
const SIZES: [(usize, usize); 4] = [(30, 5), (30, 25), (200, 25), (800, 25)];
/// Number of instances in each measurement.
const INSTANCE_COUNT: usize = 3;
/// Time between the start and the first measurement.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time over which the release process is measured.
const WINDOW: Duration = Duration::from_secs(8);

/// Number of load reports that an instance requests from an upstream in a second.
const LOAD_REPORTS_PER_S: f64 = 2.0;

/// Returns the number of upstreams in the subsets of an instance that owns no slot of any other
/// upstream.
pub fn subset_size(upstreams: usize, versions: usize) -> usize {
    let serving = |version| (upstreams + versions - 1 - version) / versions;
    let used = (0..versions).map(|version| serving(version).min(routing::subset::MAX_SIZE));
    used.sum()
}

/// Returns the number of upstreams that a listed instance watches, from the load reports that
/// passed through the meters. With few instances, each one owns slots of most upstreams, and
/// watches these in addition to its subsets.
fn watched(sample: &Sample, upstreams: usize) -> f64 {
    let metered = upstreams.min(MAX_METERED_UPSTREAMS) as f64;
    sample.traffic[3].messages / LOAD_REPORTS_PER_S / metered * upstreams as f64
}

/// Runs one release process against the stand-ins; prints and returns its memory in MiB and its
/// share of a core in percent.
async fn measure_process(testbed: &Testbed, program: &Path) -> Result<(f64, f64)> {
    let process = Process::spawn(testbed, program).await?;
    tokio::time::sleep(WARM_UP).await;
    let before = process.cpu();
    tokio::time::sleep(WINDOW).await;
    let core = (process.cpu() - before) / WINDOW.as_secs_f64() * 100.0;
    let memory = process.resident_kb() / 1024.0;
    println!("  one release process: {memory:.1} MiB resident, {core:.2} % of a core");
    process.kill().await?;
    Ok((memory, core))
}

/// Runs the measurements and prints the results; `program` is the release binary of the separate
/// process.
///
/// # Errors
///
/// Returns an error if a test bed or the process does not start.
pub async fn run(program: &Path) -> Result<()> {
    let mut cores = Vec::new();
    let (mut memories, mut process_cores) = (Vec::new(), Vec::new());
    for (upstreams, versions) in SIZES {
        let runtime = ManuallyDrop::new(instance_runtime()?);
        let size = Size {
            instances: INSTANCE_COUNT,
            upstreams,
            versions,
        };
        let testbed = Testbed::start(size, &runtime).await?;
        tokio::time::sleep(WARM_UP).await;
        let samples = sample(&testbed, 3).await;
        let subset = subset_size(upstreams, versions);
        println!("upstreams {upstreams}, versions {versions}, in subsets {subset}, per instance:");
        print(&samples);
        for sample in &samples {
            let watched = watched(sample, upstreams);
            println!("  watched {watched:.0}");
            cores.push((watched, sample.core * 100.0));
        }
        let (memory, core) = measure_process(&testbed, program).await?;
        memories.push((subset as f64, memory));
        process_cores.push((subset as f64, core));
        testbed.close();
        ManuallyDrop::into_inner(runtime).shutdown_background();
    }
    for (name, points) in [
        ("core %, in one process", cores),
        ("core %, process of its own", process_cores),
        ("MiB, process of its own", memories),
    ] {
        if let Some(line) = Line::fit(&points) {
            println!("by watched upstream, {name}: {line}");
        }
    }
    Ok(())
}

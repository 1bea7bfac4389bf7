//! What an idle instance costs, by the number of upstreams that it watches.

use crate::fit::Line;
use crate::gauge;
use crate::instances::{print, sample};
use crate::stage::{Size, Stage, instance_runtime};
use anyhow::{Context, Result};
use harness::Process;
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
/// Ticks of processor time in a second, as Linux counts them for processes.
const TICKS: f64 = 100.0;

/// Upstreams that an instance watches.
pub fn watched(upstreams: usize, versions: usize) -> usize {
    versions * (upstreams / versions).min(routing::subset::SIZE)
}

fn process_cpu(id: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after = text.rsplit(')').next().unwrap_or_default();
    let fields = after.split_whitespace().skip(11).take(2);
    fields
        .filter_map(|ticks| ticks.parse::<f64>().ok())
        .sum::<f64>()
        / TICKS
}

/// Runs one real process against the stand-ins; prints and returns its memory and core share.
async fn real(stage: &Stage, program: &Path) -> Result<(f64, f64)> {
    let folder = std::env::temp_dir().join(format!("capacity-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let path = folder.join("settings.ini");
    std::fs::write(&path, stage.settings_of_process())?;
    let path = path.to_str().context("a path in UTF-8")?;
    let process = Process::spawn("capacity", program, &["serve", "--settings", path]).await?;
    let id = find(path).context("the process is not found")?;
    tokio::time::sleep(SETTLE).await;
    let before = process_cpu(&id);
    tokio::time::sleep(WINDOW).await;
    let core = (process_cpu(&id) - before) / WINDOW.as_secs_f64() * 100.0;
    let memory = gauge::resident_kb(&id) / 1024.0;
    println!("  one release process: {memory:.1} MiB resident, {core:.2} % of a core");
    process.kill().await?;
    std::fs::remove_dir_all(folder)?;
    Ok((memory, core))
}

/// The id of the child that was started with a path among its arguments.
fn find(path: &str) -> Option<String> {
    let own = std::process::id();
    let tasks = std::fs::read_dir(format!("/proc/{own}/task")).ok()?;
    for task in tasks.flatten() {
        let children = std::fs::read_to_string(task.path().join("children")).unwrap_or_default();
        for child in children.split_whitespace() {
            let line = std::fs::read_to_string(format!("/proc/{child}/cmdline"));
            if line.unwrap_or_default().contains(path) {
                return Some(child.to_owned());
            }
        }
    }
    None
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
        let runtime = instance_runtime()?;
        let size = Size {
            instances: INSTANCES,
            upstreams,
            versions,
        };
        let stage = Stage::open(size, &runtime).await?;
        tokio::time::sleep(SETTLE).await;
        let samples = sample(&stage, 3).await;
        let watched = watched(upstreams, versions);
        println!("upstreams {upstreams}, versions {versions}, watched {watched}, per instance:");
        print(&samples);
        for sample in &samples {
            cores.push((watched as f64, sample.core * 100.0));
        }
        let (memory, core) = real(&stage, program).await?;
        memories.push((watched as f64, memory));
        process_cores.push((watched as f64, core));
        stage.close();
        runtime.shutdown_background();
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

//! Measures the cost of an idle instance by the number of instances.

use crate::fit::{Line, Spread};
use crate::gauge;
use crate::meter::Totals;
use crate::testbed::{Counters, Size, Testbed, instance_runtime};
use anyhow::Result;
use std::mem::ManuallyDrop;
use std::time::Duration;

/// Numbers of instances to measure.
const INSTANCE_COUNTS: [usize; 4] = [10, 20, 40, 80];
/// Time between the start and the first window.
const WARM_UP: Duration = Duration::from_secs(4);
/// Length of one window.
const WINDOW: Duration = Duration::from_secs(5);
/// Number of windows in each measurement.
const WINDOWS: usize = 3;

/// Mean load of one instance in one window.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Processor time a second, as a share of a core.
    pub core: f64,
    /// Traffic a second with the log, the instance list, other instances and the metered upstreams,
    /// in the order of [`TRAFFIC_KINDS`].
    pub traffic: [Totals; 4],
}

/// Names of the entries of [`Sample::traffic`].
pub const TRAFFIC_KINDS: [&str; 4] = ["log", "list", "fellow", "upstream"];

fn totals(counters: &Counters) -> [Totals; 4] {
    [
        &counters.log,
        &counters.list,
        &counters.peer,
        &counters.upstream,
    ]
    .map(|counter| counter.totals())
}

/// Measures a test bed over a number of windows.
pub async fn sample(testbed: &Testbed, windows: usize) -> Vec<Sample> {
    let instances = testbed.instances.len() as f64;
    let scale = instances * WINDOW.as_secs_f64();
    let mut samples = Vec::new();
    for _ in 0..windows {
        let (cpu, before) = (gauge::instance_cpu(), totals(&testbed.counters));
        tokio::time::sleep(WINDOW).await;
        let core = (gauge::instance_cpu() - cpu).as_secs_f64() / scale;
        let after = totals(&testbed.counters);
        let mut traffic = [Totals::default(); 4];
        for (totals_per_s, (after, before)) in traffic.iter_mut().zip(after.into_iter().zip(before))
        {
            let passed = after.since(before);
            totals_per_s.bytes = passed.bytes / scale;
            totals_per_s.messages = passed.messages / scale;
        }
        samples.push(Sample { core, traffic });
    }
    samples
}

/// Prints the spread of the samples.
pub fn print(samples: &[Sample]) {
    let cores: Vec<_> = samples.iter().map(|one| one.core * 100.0).collect();
    if let Some(spread) = Spread::of(&cores) {
        println!("  core %        {spread}");
    }
    for (index, name) in TRAFFIC_KINDS.iter().enumerate() {
        let bytes: Vec<_> = samples.iter().map(|one| one.traffic[index].bytes).collect();
        let messages: Vec<_> = samples
            .iter()
            .map(|one| one.traffic[index].messages)
            .collect();
        if let (Some(bytes), Some(messages)) = (Spread::of(&bytes), Spread::of(&messages)) {
            println!("  {name:8} B/s  {bytes}   messages/s {messages}");
        }
    }
}

/// Runs the measurements and prints the results.
///
/// # Errors
///
/// Returns an error if a test bed does not start.
pub async fn run() -> Result<()> {
    let mut points = vec![Vec::new(); TRAFFIC_KINDS.len() + 1];
    for instances in INSTANCE_COUNTS {
        let runtime = ManuallyDrop::new(instance_runtime()?);
        let size = Size {
            instances,
            upstreams: 30,
            versions: 5,
        };
        let testbed = Testbed::start(size, &runtime).await?;
        tokio::time::sleep(WARM_UP).await;
        let samples = sample(&testbed, WINDOWS).await;
        println!("instances {instances}, upstreams 30, per instance:");
        print(&samples);
        for sample in &samples {
            let at = instances as f64;
            points[0].push((at, sample.core * 100.0));
            for (index, totals_per_s) in sample.traffic.iter().enumerate() {
                points[index + 1].push((at, totals_per_s.bytes));
            }
        }
        testbed.close();
        ManuallyDrop::into_inner(runtime).shutdown_background();
    }
    println!("per instance, by the number of instances; at 320:");
    let names = std::iter::once("core %").chain(TRAFFIC_KINDS);
    for (name, points) in names.zip(&points) {
        if let Some(line) = Line::fit(points) {
            println!("  {name:8} {line}; at 320 {:.2}", line.at(320.0));
        }
    }
    Ok(())
}

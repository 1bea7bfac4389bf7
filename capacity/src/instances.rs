//! What an idle instance costs, by the number of instances.

use crate::fit::{Line, Spread};
use crate::gauge;
use crate::meter::Sum;
use crate::stage::{Counts, Size, Stage, instance_runtime};
use anyhow::Result;
use std::mem::ManuallyDrop;
use std::time::Duration;

/// Sizes that are measured.
const SIZES: [usize; 4] = [10, 20, 40, 80];
/// Time after the start before the first window.
const SETTLE: Duration = Duration::from_secs(4);
/// Length of one window.
const WINDOW: Duration = Duration::from_secs(5);
/// Windows of each size.
const WINDOWS: usize = 3;

/// What one instance took in one window, a second.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Share of a core.
    pub core: f64,
    /// To and from the log, the instance list, fellows and one metered upstream.
    pub peers: [Sum; 4],
}

/// Names of [`Sample::peers`].
pub const PEERS: [&str; 4] = ["log", "list", "fellow", "upstream"];

fn sums(counts: &Counts) -> [Sum; 4] {
    [&counts.log, &counts.list, &counts.fellow, &counts.upstream].map(|count| count.sum())
}

/// Samples a stage over windows.
pub async fn sample(stage: &Stage, windows: usize) -> Vec<Sample> {
    let instances = stage.instances.len() as f64;
    let scale = instances * WINDOW.as_secs_f64();
    let mut samples = Vec::new();
    for _ in 0..windows {
        let (cpu, before) = (gauge::instance_cpu(), sums(&stage.counts));
        tokio::time::sleep(WINDOW).await;
        let core = (gauge::instance_cpu() - cpu).as_secs_f64() / scale;
        let after = sums(&stage.counts);
        let mut peers = [Sum::default(); 4];
        for (peer, (after, before)) in peers.iter_mut().zip(after.into_iter().zip(before)) {
            let passed = after.since(before);
            peer.bytes = passed.bytes / scale;
            peer.messages = passed.messages / scale;
        }
        samples.push(Sample { core, peers });
    }
    samples
}

/// Prints the spread of samples.
pub fn print(samples: &[Sample]) {
    let cores: Vec<_> = samples.iter().map(|one| one.core * 100.0).collect();
    if let Some(spread) = Spread::of(&cores) {
        println!("  core %        {spread}");
    }
    for (index, name) in PEERS.iter().enumerate() {
        let bytes: Vec<_> = samples.iter().map(|one| one.peers[index].bytes).collect();
        let messages: Vec<_> = samples
            .iter()
            .map(|one| one.peers[index].messages)
            .collect();
        if let (Some(bytes), Some(messages)) = (Spread::of(&bytes), Spread::of(&messages)) {
            println!("  {name:8} B/s  {bytes}   messages/s {messages}");
        }
    }
}

/// Measures and prints.
///
/// # Errors
///
/// A stage did not start.
pub async fn run() -> Result<()> {
    let mut points = vec![Vec::new(); PEERS.len() + 1];
    for instances in SIZES {
        let runtime = ManuallyDrop::new(instance_runtime()?);
        let size = Size {
            instances,
            upstreams: 30,
            versions: 5,
        };
        let stage = Stage::open(size, &runtime).await?;
        tokio::time::sleep(SETTLE).await;
        let samples = sample(&stage, WINDOWS).await;
        println!("instances {instances}, upstreams 30, per instance:");
        print(&samples);
        for sample in &samples {
            let at = instances as f64;
            points[0].push((at, sample.core * 100.0));
            for (index, peer) in sample.peers.iter().enumerate() {
                points[index + 1].push((at, peer.bytes));
            }
        }
        stage.close();
        ManuallyDrop::into_inner(runtime).shutdown_background();
    }
    println!("per instance, by the number of instances; at 320:");
    let names = std::iter::once("core %").chain(PEERS);
    for (name, points) in names.zip(&points) {
        if let Some(line) = Line::through(points) {
            println!("  {name:8} {line}; at 320 {:.2}", line.at(320.0));
        }
    }
    Ok(())
}

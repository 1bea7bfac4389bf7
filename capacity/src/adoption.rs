//! How long a change takes to be in force at all instances.

use crate::fit::Spread;
use crate::stage::{Size, Stage, instance_runtime};
use anyhow::Result;
use serde_json::json;
use std::mem::ManuallyDrop;
use std::time::{Duration, Instant};

/// Instances of each size; links to fellows take four descriptors each, which bounds them.
const SIZES: [usize; 3] = [10, 40, 64];
/// Changes under each condition.
const CHANGES: usize = 2;
/// Time between looks at the instances.
const LOOK: Duration = Duration::from_millis(5);
/// Longest time that a change is watched.
const LIMIT: Duration = Duration::from_secs(60);
/// Delay of each call while the log is slow, in milliseconds.
const DELAY_MS: u64 = 1500;

/// What is the matter with the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    Quiet,
    Slow,
    /// Only the first instance reads the change; then nobody reaches the log.
    Out,
}

/// Publishes a change and returns how long each instance took after the log had accepted it, in
/// seconds; an instance that did not follow in time counts as infinite.
async fn change(stage: &mut Stage, condition: Condition) -> Result<Vec<f64>> {
    if condition == Condition::Out {
        stage.reach_log(true, false);
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    let accepted = stage.publish().await?;
    let mut times = vec![f64::INFINITY; stage.instances.len()];
    while accepted.elapsed() < LIMIT && times.iter().any(|time| time.is_infinite()) {
        for (time, instance) in times.iter_mut().zip(&stage.instances) {
            if time.is_infinite() && stage.is_in_force(instance) {
                *time = accepted.elapsed().as_secs_f64();
            }
        }
        if condition == Condition::Out && times[0].is_finite() {
            stage.reach_log(false, false);
        }
        tokio::time::sleep(LOOK).await;
    }
    if condition == Condition::Out {
        stage.reach_log(true, true);
        stage.wait_in_force().await?;
        // Reads that failed have backed off; the next change meets them at rest.
        tokio::time::sleep(Duration::from_secs(6)).await;
    }
    Ok(times)
}

/// Measures and prints.
///
/// # Errors
///
/// A stage did not start.
pub async fn run() -> Result<()> {
    for instances in SIZES {
        let runtime = ManuallyDrop::new(instance_runtime()?);
        let size = Size {
            instances,
            upstreams: 5,
            versions: 5,
        };
        let mut stage = Stage::open(size, &runtime).await?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        for condition in [Condition::Quiet, Condition::Slow, Condition::Out] {
            let delay = u64::from(condition == Condition::Slow) * DELAY_MS;
            stage.log_faults(&json!({ "delay_ms": delay })).await?;
            let begun = Instant::now();
            let (mut all, mut worst) = (Vec::new(), Vec::new());
            for _ in 0..CHANGES {
                let times = change(&mut stage, condition).await?;
                worst.extend(Spread::of(&times).map(|spread| spread.most));
                all.extend(times);
            }
            let (Some(all), Some(worst)) = (Spread::of(&all), Spread::of(&worst)) else {
                continue;
            };
            println!(
                "instances {instances}, log {condition:?}: seconds {all}; worst of each change \
                 {worst}; took {:.0} s",
                begun.elapsed().as_secs_f64()
            );
        }
        stage.close();
        ManuallyDrop::into_inner(runtime).shutdown_background();
    }
    Ok(())
}

//! Measures the time until a configuration change is in force at all instances.

use crate::fit::Spread;
use crate::testbed::{Size, Testbed, instance_runtime};
use anyhow::Result;
use serde_json::json;
use std::mem::ManuallyDrop;
use std::time::{Duration, Instant};

/// Numbers of instances to measure; connections between instances take four file descriptors each,
/// which limits the number.
const INSTANCE_COUNTS: [usize; 3] = [10, 40, 64];
/// Number of changes under each condition.
const CHANGES_PER_CONDITION: usize = 2;
/// Interval at which the instances are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time for which a change is observed.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay of each call under [`Condition::Slow`], in milliseconds.
const SLOW_LOG_DELAY_MS: u64 = 1500;

/// Condition of the log during a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    Quiet,
    Slow,
    /// Only the first instance can read the change; after that no instance can reach the log.
    Out,
}

/// Publishes a change and returns, for each instance, the time in seconds from when the log
/// accepted it until it was in force. The time is infinite for an instance that exceeded the
/// timeout.
async fn measure_change(testbed: &mut Testbed, condition: Condition) -> Result<Vec<f64>> {
    if condition == Condition::Out {
        testbed.set_log_access(true, false);
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    let accepted = testbed.publish().await?;
    let mut times = vec![f64::INFINITY; testbed.instances.len()];
    while accepted.elapsed() < ADOPTION_TIMEOUT && times.iter().any(|time| time.is_infinite()) {
        for (time, instance) in times.iter_mut().zip(&testbed.instances) {
            if time.is_infinite() && testbed.is_in_force(instance) {
                *time = accepted.elapsed().as_secs_f64();
            }
        }
        if condition == Condition::Out && times[0].is_finite() {
            testbed.set_log_access(false, false);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    if condition == Condition::Out {
        testbed.set_log_access(true, true);
        testbed.wait_in_force().await?;
        // Waits until the backoff of failed reads has ended, so that the next change starts from a
        // steady state.
        tokio::time::sleep(Duration::from_secs(6)).await;
    }
    Ok(times)
}

/// Runs the measurements and prints the results.
///
/// # Errors
///
/// Returns an error if a test bed does not start.
pub async fn run() -> Result<()> {
    for instances in INSTANCE_COUNTS {
        let runtime = ManuallyDrop::new(instance_runtime()?);
        let size = Size {
            instances,
            upstreams: 5,
            versions: 5,
        };
        let mut testbed = Testbed::start(size, &runtime).await?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        for condition in [Condition::Quiet, Condition::Slow, Condition::Out] {
            let delay = u64::from(condition == Condition::Slow) * SLOW_LOG_DELAY_MS;
            testbed
                .set_log_faults(&json!({ "delay_ms": delay }))
                .await?;
            let started = Instant::now();
            let (mut all, mut worst) = (Vec::new(), Vec::new());
            for _ in 0..CHANGES_PER_CONDITION {
                let times = measure_change(&mut testbed, condition).await?;
                worst.extend(Spread::of(&times).map(|spread| spread.max));
                all.extend(times);
            }
            let (Some(all), Some(worst)) = (Spread::of(&all), Spread::of(&worst)) else {
                continue;
            };
            println!(
                "instances {instances}, log {condition:?}: seconds {all}; worst of each change \
                 {worst}; took {:.0} s",
                started.elapsed().as_secs_f64()
            );
        }
        testbed.close();
        ManuallyDrop::into_inner(runtime).shutdown_background();
    }
    Ok(())
}

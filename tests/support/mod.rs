//! Functions shared by the tests that run whole processes.

use anyhow::Result;
use harness::{StandinHost, System};
use serde_json::Value;
use std::path::{Path, PathBuf};

/// Starts a system with the demo configuration and waits until all instances are listed. Stand-ins
/// run in the test process, instances as separate processes.
pub async fn start_system(test: &str, instances: usize) -> Result<System> {
    let text = std::fs::read_to_string("examples/demo.ini")?;
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = std::fs::remove_dir_all(&folder);
    let program = Path::new(env!("CARGO_BIN_EXE_citrontrack"));
    let mut system = System::start(&StandinHost::InProcess, program, &text, &folder).await?;
    for _ in 0..instances {
        system.start_instance().await?;
    }
    let text = system.text.clone();
    system.publish(&text).await?;
    for instance in 0..instances {
        let description = "all instances to be listed";
        let all = |status: &Value| status["listed"].as_u64() == Some(instances as u64);
        system.wait_for(instance, description, all).await?;
    }
    Ok(system)
}

/// Returns the published text with the first `from` in a section replaced by `to`.
pub fn edit_section(system: &System, section: &str, from: &str, to: &str) -> String {
    let (before, rest) = system
        .text
        .split_once(section)
        .expect("the text has the section");
    let rest = rest.replacen(from, to, 1);
    format!("{before}{section}{rest}")
}

/// Reads the events of a kind from the event logs of all instances.
#[allow(dead_code, reason = "each test binary compiles this module for itself")]
pub fn read_events(system: &System, kind: &str) -> Result<Vec<Value>> {
    let mut events = Vec::new();
    for instance in &system.instances {
        for line in std::fs::read_to_string(&instance.events)?.lines() {
            let Ok(event) = serde_json::from_str::<Value>(line) else {
                continue;
            };
            if event["kind"] == kind {
                events.push(event);
            }
        }
    }
    Ok(events)
}

/// Runs futures concurrently and returns their results in order.
#[allow(dead_code, reason = "each test binary compiles this module for itself")]
pub async fn join_all<F: Future>(futures: impl Iterator<Item = F>) -> Vec<F::Output> {
    let mut futures: Vec<_> = futures.map(Box::pin).collect();
    let mut done: Vec<Option<F::Output>> = futures.iter().map(|_| None).collect();
    std::future::poll_fn(|context| {
        for (future, done) in futures.iter_mut().zip(&mut done) {
            if done.is_none()
                && let std::task::Poll::Ready(output) = future.as_mut().poll(context)
            {
                *done = Some(output);
            }
        }
        if done.iter().all(Option::is_some) {
            return std::task::Poll::Ready(());
        }
        std::task::Poll::Pending
    })
    .await;
    done.into_iter().flatten().collect()
}

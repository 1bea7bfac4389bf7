//! Processor time and memory of this process, from the kernel's accounts.
//!
//! Threads are told apart by their names, so that stand-ins and meters don't count as instances.

use std::fs;
use std::time::Duration;

/// Name of the threads that run stand-ins and meters.
pub const STANDIN_THREAD: &str = "stand";
/// Name of the main thread, which drives the measurement.
const MAIN_THREAD: &str = "capacity";

/// Processor time so far of all threads but those of stand-ins and the main thread. Threads that
/// ended are not counted.
pub fn instance_cpu() -> Duration {
    let mut nanos = 0;
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten();
    for task in tasks.flatten() {
        let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        if name.starts_with(STANDIN_THREAD) || name.starts_with(MAIN_THREAD) {
            continue;
        }
        nanos += schedule(&task.path().join("schedstat").to_string_lossy());
    }
    Duration::from_nanos(nanos)
}

/// Processor time so far of the calling thread.
pub fn thread_cpu() -> Duration {
    Duration::from_nanos(schedule("/proc/thread-self/schedstat"))
}

fn schedule(path: &str) -> u64 {
    let text = fs::read_to_string(path).unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|nanos| nanos.parse().ok()).unwrap_or(0)
}

/// Resident memory of a process, in kilobytes; `self` is this one.
pub fn resident_kb(process: &str) -> f64 {
    let path = format!("/proc/{process}/status");
    let text = fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0.0)
}

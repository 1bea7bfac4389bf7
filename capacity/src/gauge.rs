//! Processor time and memory of processes and threads, as the kernel reports them in `/proc`.
//!
//! Threads are distinguished by their names, so that stand-ins and meters are not counted as
//! instances.

use std::fs;
use std::time::Duration;

/// Name of the threads that run stand-ins and meters.
pub const STANDIN_THREAD_NAME: &str = "stand";
/// Name of the main thread, which runs the measurement.
const MAIN_THREAD_NAME: &str = "capacity";

/// Returns the processor time so far of all threads except those of stand-ins and the main thread.
/// Threads that have ended are not counted.
pub fn instance_cpu() -> Duration {
    let mut nanos = 0;
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten();
    for task in tasks.flatten() {
        let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        if name.starts_with(STANDIN_THREAD_NAME) || name.starts_with(MAIN_THREAD_NAME) {
            continue;
        }
        nanos += cpu_nanos(&task.path().join("schedstat").to_string_lossy());
    }
    Duration::from_nanos(nanos)
}

/// Returns the processor time so far of the calling thread.
pub fn thread_cpu() -> Duration {
    Duration::from_nanos(cpu_nanos("/proc/thread-self/schedstat"))
}

fn cpu_nanos(path: &str) -> u64 {
    let text = fs::read_to_string(path).unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|nanos| nanos.parse().ok()).unwrap_or(0)
}

/// Returns the resident memory of a process, in KiB; the id `self` stands for the calling process.
pub fn resident_kb(process: &str) -> f64 {
    let path = format!("/proc/{process}/status");
    let text = fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0.0)
}

//! Memory of a process, and its descriptors of sockets and pipes.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Time between two counts.
const COUNT_INTERVAL: Duration = Duration::from_millis(5);

/// Watch over a process.
pub struct Usage {
    id: u32,
    counting: JoinHandle<usize>,
    cancel: CancellationToken,
}

impl Usage {
    /// Begins to count the sockets and pipes of a process.
    pub fn watch(id: u32) -> Self {
        let cancel = CancellationToken::new();
        let cancelled = cancel.clone();
        let counting = tokio::spawn(async move {
            let mut largest = 0;
            while !cancelled.is_cancelled() {
                largest = largest.max(sockets(id));
                tokio::time::sleep(COUNT_INTERVAL).await;
            }
            largest
        });
        Self {
            id,
            counting,
            cancel,
        }
    }

    /// Returns the largest resident memory in bytes since the start of the process, and the largest number of
    /// sockets and pipes that was counted.
    pub async fn largest(self) -> (u64, usize) {
        self.cancel.cancel();
        (peak_memory(self.id), self.counting.await.unwrap())
    }
}

fn sockets(id: u32) -> usize {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{id}/fd")) else {
        return 0;
    };
    let links = descriptors
        .flatten()
        .map(|entry| fs::read_link(entry.path()));
    let is_socket = |link: &PathBuf| {
        let name = link.to_string_lossy();
        name.starts_with("socket:") || name.starts_with("pipe:")
    };
    links.flatten().filter(is_socket).count()
}

fn peak_memory(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix("kB"));
    // A process that has ended has no memory; that it lives is another check.
    kilobytes.map_or(0, |text| text.trim().parse::<u64>().unwrap() << 10)
}

//! Load reports, which are sampled periodically and returned with a lag.

use super::Engine;
use crate::server;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Interval between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of retained samples, which bounds the lag to ten seconds.
const MAX_REPORTS: usize = 200;

/// A load report.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    as_of_ms: u64,
    running: usize,
    queued: usize,
    cold: bool,
    tokens_per_s: f64,
    prefix_bytes: usize,
    versions: Vec<Box<str>>,
    prefixes: Vec<Box<str>>,
    #[serde(skip)]
    tokens: u64,
}

/// Reports of the last ten seconds, the oldest first.
#[derive(Default)]
pub(super) struct Reports(VecDeque<Report>);

impl Reports {
    /// Returns the newest report that was taken at a time or earlier, or the oldest report if there
    /// is none.
    pub(super) fn newest_as_of(&self, due_ms: u64) -> Option<&Report> {
        let later = self.0.partition_point(|report| report.as_of_ms <= due_ms);
        self.0.get(later.saturating_sub(1))
    }

    /// Adds a report; its token rate is computed over the retained reports, up to one second.
    fn push(&mut self, mut report: Report) {
        let since = self.newest_as_of(report.as_of_ms.saturating_sub(1000));
        if let Some(since) = since {
            let elapsed_ms = report.as_of_ms.saturating_sub(since.as_of_ms).max(1);
            let tokens = report.tokens - since.tokens;
            report.tokens_per_s = tokens as f64 * 1000.0 / elapsed_ms as f64;
        }
        self.0.push_back(report);
        if self.0.len() > MAX_REPORTS {
            self.0.pop_front();
        }
    }
}

impl Engine {
    /// Records a sample of the load.
    pub(super) fn push_report(&self) {
        let report = self.report();
        self.lock().reports.push(report);
    }

    /// Returns the current load.
    pub(super) fn report(&self) -> Report {
        let (running, queued) = (self.batch.running(), self.batch.queued());
        let cold = self.is_cold();
        let state = self.lock();
        Report {
            as_of_ms: server::unix_millis(),
            running,
            queued,
            cold,
            tokens_per_s: 0.0,
            prefix_bytes: state.cache.used(),
            versions: state.orders.versions().to_vec(),
            prefixes: state.cache.hashes(),
            tokens: state.tokens,
        }
    }
}

/// Samples the load periodically until the token is cancelled.
pub(super) async fn sample(engine: Arc<Engine>, cancel: CancellationToken) {
    let mut ticks = tokio::time::interval(SAMPLE_INTERVAL);
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            _ = ticks.tick() => engine.push_report(),
        }
    }
}

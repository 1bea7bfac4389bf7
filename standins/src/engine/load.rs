//! Load reports, which are sampled and handed out with a lag.

use super::Engine;
use crate::server;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Time between samples.
const PERIOD: Duration = Duration::from_millis(50);
/// Samples that are kept, which bounds the lag to ten seconds.
const KEPT: usize = 200;

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

/// Reports of the last seconds, the oldest first.
#[derive(Default)]
pub(super) struct Reports(VecDeque<Report>);

impl Reports {
    /// The newest report of at most a time, or the oldest one.
    pub(super) fn newest_until(&self, due_ms: u64) -> Option<&Report> {
        let later = self.0.partition_point(|report| report.as_of_ms <= due_ms);
        self.0.get(later.saturating_sub(1))
    }

    /// Adds a report; its token rate is over the reports that are kept, up to a second.
    fn push(&mut self, mut report: Report) {
        let since = self.newest_until(report.as_of_ms.saturating_sub(1000));
        if let Some(since) = since {
            let elapsed_ms = report.as_of_ms.saturating_sub(since.as_of_ms).max(1);
            let tokens = report.tokens - since.tokens;
            report.tokens_per_s = tokens as f64 * 1000.0 / elapsed_ms as f64;
        }
        self.0.push_back(report);
        if self.0.len() > KEPT {
            self.0.pop_front();
        }
    }
}

impl Engine {
    /// Takes a sample.
    pub(super) fn push_report(&self) {
        let report = self.report();
        self.lock().reports.push(report);
    }

    /// The load at this moment.
    pub(super) fn report(&self) -> Report {
        let (running, queued) = (self.batch.running(), self.batch.queued());
        let cold = self.cold();
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

/// Samples the load until the token is cancelled.
pub(super) async fn sample(engine: Arc<Engine>, cancel: CancellationToken) {
    let mut ticks = tokio::time::interval(PERIOD);
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            _ = ticks.tick() => engine.push_report(),
        }
    }
}

//! The task that polls the load reports of engines.

use crate::clock::Clock;
use crate::decider;
use adoption::Snapshot;
use entity::{Moment, Span, name};
use routing::Load;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use upstream::Pool;
use upstream::load::Report;

/// Interval between two reports of one engine.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time for the decider to receive a configuration that was just put in force.
const DECIDER_DELAY: Duration = Duration::from_millis(5);
/// Timeout for one report.
const REPORT_TIMEOUT: Span = Span::from_millis(400);

/// State and channels of the task.
pub struct Parts {
    /// Connections to upstreams.
    pub pool: Pool,
    /// Receives the reports.
    pub decider: decider::Handle,
    /// The configuration in force.
    pub in_force: watch::Receiver<Option<Arc<Snapshot>>>,
    /// Clock of the instance.
    pub clock: Clock,
    /// Set once the reports of a configuration in force have been requested.
    pub reports_requested: Arc<AtomicBool>,
}

/// Starts the task.
pub fn spawn(parts: Parts, cancel: CancellationToken) {
    tokio::spawn(async move {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = parts.run() => {}
        }
    });
}

impl Parts {
    async fn run(self) {
        let mut in_force = self.in_force.clone();
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                // New upstreams have no known load and hence count as cold until they have
                // reported.
                Ok(()) = in_force.changed() => tokio::time::sleep(DECIDER_DELAY).await,
            }
            let Ok(watched) = self.decider.watched().await else {
                return;
            };
            let configured = !watched.is_empty();
            self.poll(watched).await;
            if configured {
                self.reports_requested.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Requests all reports at once; one that times out is skipped in this round.
    async fn poll(&self, watched: Vec<name::Upstream>) {
        let mut reads = JoinSet::new();
        for upstream in watched {
            let Some(address) = self.address(&upstream) else {
                continue;
            };
            let pool = self.pool.clone();
            reads.spawn(async move { (upstream, pool.load(address, REPORT_TIMEOUT).await) });
        }
        while let Some(read) = reads.join_next().await {
            let Ok((upstream, Ok(report))) = read else {
                continue;
            };
            self.decider.record_load(upstream, self.load(&report)).await;
        }
    }

    fn address(&self, upstream: &name::Upstream) -> Option<SocketAddr> {
        let snapshot = self.in_force.borrow().clone()?;
        let id = snapshot.config.upstream(upstream.as_str())?;
        Some(snapshot.config.upstreams[id].address)
    }

    fn load(&self, report: &Report) -> Load {
        // An engine whose clock is ahead must not date its report in the future.
        let as_of = Moment(report.as_of_ms.saturating_mul(1000)).min(self.clock.now());
        let prefixes = report
            .prefixes
            .iter()
            .filter_map(|hash| u64::from_str_radix(hash, 16).ok());
        Load {
            as_of,
            running: report.running,
            queued: report.queued,
            cold: report.cold,
            prefixes: prefixes.collect(),
        }
    }
}

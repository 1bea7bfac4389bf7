//! The task that reads load reports of engines.

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

/// Time between two reports of one engine.
const PERIOD: Duration = Duration::from_millis(500);
/// Time for the decider to take a configuration over.
const SETTLE: Duration = Duration::from_millis(5);
/// Longest wait for one report.
const LIMIT: Span = Span::from_millis(400);

/// What the task needs.
pub struct Parts {
    /// Connections to upstreams.
    pub pool: Pool,
    /// Takes the reports.
    pub decider: decider::Handle,
    /// What is in force.
    pub in_force: watch::Receiver<Option<Arc<Snapshot>>>,
    /// The clock.
    pub clock: Clock,
    /// Set once the reports of a configuration in force were asked for.
    pub asked: Arc<AtomicBool>,
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
        let mut ticks = tokio::time::interval(PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                // Upstreams that are new are unknown, hence cold, until they have reported.
                Ok(()) = in_force.changed() => tokio::time::sleep(SETTLE).await,
            }
            let Ok(watched) = self.decider.watched().await else {
                return;
            };
            let configured = !watched.is_empty();
            self.poll(watched).await;
            if configured {
                self.asked.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Reads all reports at once; one that is late is left out this time.
    async fn poll(&self, watched: Vec<name::Upstream>) {
        let mut reads = JoinSet::new();
        for upstream in watched {
            let Some(address) = self.address(&upstream) else {
                continue;
            };
            let pool = self.pool.clone();
            reads.spawn(async move { (upstream, pool.load(address, LIMIT).await) });
        }
        while let Some(read) = reads.join_next().await {
            let Ok((upstream, Ok(report))) = read else {
                continue;
            };
            self.decider.load(upstream, self.load(&report)).await;
        }
    }

    fn address(&self, upstream: &name::Upstream) -> Option<SocketAddr> {
        let snapshot = self.in_force.borrow().clone()?;
        let id = snapshot.config.upstream(upstream.as_str())?;
        Some(snapshot.config.upstreams[id].address)
    }

    fn load(&self, report: &Report) -> Load {
        // An engine whose clock is ahead can't report on the future.
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

//! A running forwarding instance and its graceful shutdown.

use crate::auth::Authenticator;
use crate::build;
use crate::clock::Clock;
use crate::core::Core;
use crate::decider;
use crate::forward::feed;
use crate::forward::freshness::Freshness;
use crate::forward::front::{Cascade, Front, Shared};
use crate::forward::holds::Holds;
use crate::forward::notices::Notices;
use crate::forward::paths::{PathDialer, Paths};
use crate::forward::{peers, probe, tunnels};
use anyhow::{Context as _, Result};
use arc_swap::ArcSwap;
use caller::forward::{Server, Shutdown};
use config::forward::Limits;
use entity::Span;
use entity::unit::Share;
use forward::shutdown::Phases;
use forward::{Dialect, Source, ZoneRegions};
use rand::Rng;
use routing::Bounds;
use routing::allowance::Bound;
use routing::completion::Basis;
use serde::Serialize;
use settings::forward::{Placement, Settings};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use timeline::{Kind, Metrics, Recorder, Sink};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use upstream::dial::{Dialer, Direct};

/// Largest number of requests that wait for one pool of upstreams.
const QUEUE_CAPACITY: usize = 256;
/// Share of the configured bound on repeats that an instance applies to its own requests, so that
/// the sum over all instances stays within the bound at the edges of a window too.
const REPEAT_BOUND_SHARE: f64 = 0.85;
/// Repeats that each instance may send beyond the share. The configured extra is divided without
/// knowledge of the number of instances.
const EXTRA_REPEATS: u32 = 1;
/// Interval at which the shutdown checks whether every stream has ended.
const STREAMS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Addresses on which an instance listens.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Addresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for the load balancer's probes and for metrics.
    pub readiness: SocketAddr,
}

/// A running forwarding instance.
pub struct Instance {
    shared: Arc<Shared>,
    front: Server,
    addresses: Addresses,
    shutdown: Shutdown,
    /// Stops all tasks but those of the callers' server.
    stopping: CancellationToken,
    grace: Span,
}

impl Instance {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the event log can't be opened.
    pub async fn open(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        source: impl Source,
    ) -> Result<Self> {
        Self::open_with_dialer(settings, dialect, source, Arc::new(Direct)).await
    }

    /// Starts an instance whose own links to upstreams are those of a dialer.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the event log can't be opened.
    pub async fn open_with_dialer(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        source: impl Source,
        dialer: Arc<dyn Dialer>,
    ) -> Result<Self> {
        let stopping = CancellationToken::new();
        let recorder = Recorder::open(&settings.name, Sink::Stdout).context("event log")?;
        let metric = Metrics::open(&settings.name, None).context("metrics")?;
        metric.set_build(build::VERSION, build::COMMIT);
        let metric = Arc::new(metric);
        let clock = Clock::start();
        let (in_force, watched) = watch::channel(None);
        let decider = spawn_decider(&settings, clock, &stopping);
        let observed = (clock, recorder, metric);
        let paths = Arc::new(Paths::new(dialer, observed.clone()));
        let dialer = Arc::new(PathDialer(paths.clone()));
        let core = Core::new(observed, watched, decider, Bounds::default().slack);
        let shared = Arc::new(Shared {
            core,
            freshness: Freshness::new(
                settings.bounds.revocation_delay,
                settings.bounds.apply_delay,
                settings.bounds.drain,
            ),
            notices: Notices::default(),
            holds: Holds::default(),
            paths,
            pool: upstream::forward::Pool::new(dialect.clone(), dialer),
            cascade: match settings.cascade {
                None => Cascade::Largest,
                Some(0) => Cascade::Smallest,
                Some(threshold) => Cascade::Below(threshold),
            },
            authenticator: Authenticator::default(),
            introduced: AtomicBool::new(false),
        });
        let limits = Arc::new(ArcSwap::from_pointee(Limits::default()));
        let parts = feed::Parts {
            store: settings.store.to_string().into(),
            zone_regions: ZoneRegions {
                zones: settings.zones.clone(),
            },
            clock,
            in_force,
            limits: limits.clone(),
            shared: shared.clone(),
        };
        let feed = feed::spawn(parts, source.clone(), &stopping);
        bind_peers(&settings, &shared, feed, source, &stopping).await?;
        let shutdown = Shutdown {
            leaving: CancellationToken::new(),
            closing: CancellationToken::new(),
        };
        let front = Front {
            shared: shared.clone(),
        };
        let address = settings.caller_address;
        let capacity = settings.capacity;
        let front = Server::bind(address, dialect, limits, capacity, front, shutdown.clone()).await;
        let front = front.with_context(|| format!("caller address {address}"))?;
        let address = settings.readiness_address;
        let readiness = probe::bind(address, shared.clone(), stopping.clone()).await;
        let addresses = Addresses {
            caller: front.address(),
            readiness: readiness.with_context(|| format!("readiness address {address}"))?,
        };
        build::record_start(&shared.core.recorder, addresses.caller);
        Ok(Self {
            shared,
            front,
            addresses,
            shutdown,
            stopping,
            grace: settings.bounds.grace,
        })
    }

    /// Returns the addresses on which the instance listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Applies settings that were read again. Addresses and the zone of the instance are kept,
    /// since a change would cut off open connections.
    pub fn reload(&mut self, settings: &Settings) {
        self.grace = settings.bounds.grace;
        self.shared
            .freshness
            .key_validity
            .set_ttl(settings.bounds.revocation_delay);
        let recorder = &self.shared.core.recorder;
        recorder
            .event(Kind::Reloaded)
            .text("grace", settings.bounds.grace)
            .text("keys", settings.bounds.revocation_delay.unwrap_or_default())
            .record();
    }

    /// Shuts down: reports that it is not ready while it still serves every connection, then refuses
    /// what waits and closes idle connections, and at last gives up what still runs. Returns whether every
    /// request came to its own end within the grace period.
    pub async fn shutdown(self) -> bool {
        let begun = Instant::now();
        let phases = Phases::within(self.grace);
        let core = &self.shared.core;
        core.draining.store(true, Ordering::Relaxed);
        core.recorder.event(Kind::Draining).record();
        self.shutdown.leaving.cancel();
        tokio::time::sleep_until(begun + phases.closing.duration()).await;
        core.closing.store(true, Ordering::Relaxed);
        core.decider.close().await;
        self.shutdown.closing.cancel();
        let given_up = begun + phases.giving_up.duration();
        let closed = tokio::time::timeout_at(given_up, self.closed()).await;
        let whole = closed.is_ok();
        if !whole {
            core.giving_up.cancel();
            // Callers whose answers have not begun get one; streams end visibly incomplete.
            let exit = begun + phases.exit.duration();
            let _ = tokio::time::timeout_at(exit, self.front.closed()).await;
        }
        core.recorder
            .event(Kind::Stopped)
            .flag("whole", whole)
            .record();
        self.stopping.cancel();
        whole
    }

    async fn closed(&self) {
        self.front.closed().await;
        let streams = &self.shared.core.streams;
        streams.close();
        while !streams.is_empty() {
            tokio::time::sleep(STREAMS_POLL_INTERVAL).await;
        }
    }
}

/// Binds the address of the peers, for their datagrams and for the connections that they ask for.
async fn bind_peers(
    settings: &Settings,
    shared: &Arc<Shared>,
    feed: feed::Handle,
    source: impl Source,
    stopping: &CancellationToken,
) -> Result<()> {
    let address = settings.peer_address;
    let parts = peers::Parts {
        shared: shared.clone(),
        own: settings.name.clone(),
        zone: settings.zone.clone(),
        regions: ZoneRegions {
            zones: settings.zones.clone(),
        },
        address,
        feed,
    };
    let failed = || format!("fellow address {address}");
    peers::bind(parts, source, stopping.clone())
        .await
        .with_context(failed)?;
    tunnels::bind(address, shared.clone(), stopping.clone())
        .await
        .with_context(failed)
}

fn spawn_decider(
    settings: &Settings,
    clock: Clock,
    stopping: &CancellationToken,
) -> decider::Handle {
    let seed = rand::rng().next_u64();
    let bounds = &settings.bounds;
    // Verdicts concern rollouts of the configuration text, which this kind of instance does not
    // have.
    let (verdicts, _) = mpsc::unbounded_channel();
    let parts = decider::Parts {
        own: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation: format!("{}/{seed:016x}", settings.name).into(),
        bounds: Bounds::default(),
        queue: QUEUE_CAPACITY,
        seed,
        clock,
        verdicts,
        repeats: Bound {
            share: bounds.retry_share * REPEAT_BOUND_SHARE,
            window: bounds.retry_window,
            burst: EXTRA_REPEATS,
        },
        exposure: Share::from_fraction(bounds.exposure_share),
        restarted: !settings.first_start,
        basis: match settings.placement {
            Placement::Work => Basis::Work,
            Placement::Prompt => Basis::Prompt,
        },
    };
    decider::spawn(parts, stopping.clone())
}

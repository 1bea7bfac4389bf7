//! A running instance that passes requests on, and its graceful shutdown.

use crate::auth::Authenticator;
use crate::clock::Clock;
use crate::core::Core;
use crate::decider;
use crate::forward::feed;
use crate::forward::freshness::Freshness;
use crate::forward::front::{Cascade, Front, Shared};
use crate::forward::{peers, probe};
use anyhow::{Context as _, Result};
use arc_swap::ArcSwap;
use caller::forward::{Server, Shutdown};
use config::forward::Limits;
use entity::Span;
use entity::unit::Share;
use forward::{Dialect, ZoneRegions, Source};
use rand::Rng;
use routing::Bounds;
use routing::allowance::Bound;
use serde::Serialize;
use settings::forward::Settings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use timeline::{Kind, Metric, Recorder, Sink};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Most requests that wait for one pool of upstreams.
const QUEUE: usize = 256;
/// Share of the agreed repeats that an instance uses of its own requests, so that the sum over
/// instances stays within the bound at the edges of a window too.
const REPEATS_USED: f64 = 0.85;
/// Repeats beyond the share; instances divide the agreed extra without knowing how many they are.
const EXTRA_REPEATS: u32 = 1;
/// How long an instance that is shut down goes on as before: the balancer asks once a second and
/// takes it out after two refusals.
const NOTICE: Duration = Duration::from_millis(2700);
/// Time before the end of the grace period at which what is left is given up.
const LAST: Duration = Duration::from_millis(500);
/// Time between two looks at whether every connection has ended.
const POLL: Duration = Duration::from_millis(50);

/// Where an instance listens.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For the balancer, and for metrics.
    pub readiness: SocketAddr,
}

/// A running instance.
pub struct Instance {
    shared: Arc<Shared>,
    front: Server,
    addresses: Addresses,
    shutdown: Shutdown,
    /// Stops everything else.
    stopping: CancellationToken,
    grace: Span,
}

impl Instance {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or the time line can't be opened.
    pub async fn open(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        source: impl Source,
    ) -> Result<Self> {
        let stopping = CancellationToken::new();
        let recorder = Recorder::open(&settings.name, Sink::Stdout).context("time line")?;
        let metric = Metric::open(&settings.name, None).context("metrics")?;
        let clock = Clock::start();
        let (in_force, watched) = watch::channel(None);
        let decider = spawn_decider(&settings, clock, &stopping);
        let observed = (clock, recorder, metric);
        let core = Core::new(observed, watched, decider, Bounds::default().slack);
        let shared = Arc::new(Shared {
            core,
            freshness: Freshness::new(settings.bounds.key_life),
            pool: upstream::forward::Pool::new(dialect.clone()),
            cascade: match settings.cascade {
                None => Cascade::Largest,
                Some(0) => Cascade::Smallest,
                Some(threshold) => Cascade::Below(threshold),
            },
            authenticator: Authenticator::default(),
        });
        let limits = Arc::new(ArcSwap::from_pointee(Limits::default()));
        let parts = feed::Parts {
            store: settings.store.to_string().into(),
            place: ZoneRegions {
                zones: settings.zones.clone(),
            },
            clock,
            in_force,
            limits: limits.clone(),
            shared: shared.clone(),
            agreed: (settings.bounds.apply, settings.bounds.drain),
        };
        let feed = feed::spawn(parts, source.clone(), &stopping);
        let parts = peers::Parts {
            shared: shared.clone(),
            own: settings.name.clone(),
            zone: settings.zone.clone(),
            address: settings.fellow_address,
            feed,
        };
        peers::bind(parts, source, stopping.clone())
            .await
            .with_context(|| format!("fellow address {}", settings.fellow_address))?;
        let shutdown = Shutdown {
            leaving: CancellationToken::new(),
            closing: CancellationToken::new(),
        };
        let front = Front {
            shared: shared.clone(),
        };
        let address = settings.caller_address;
        let front = Server::bind(address, dialect, limits, front, shutdown.clone()).await;
        let front = front.with_context(|| format!("caller address {address}"))?;
        let address = settings.readiness_address;
        let readiness = probe::bind(address, shared.clone(), stopping.clone()).await;
        let addresses = Addresses {
            caller: front.address(),
            readiness: readiness.with_context(|| format!("readiness address {address}"))?,
        };
        shared
            .core
            .recorder
            .event(Kind::Started)
            .text("caller", addresses.caller)
            .record();
        Ok(Self {
            shared,
            front,
            addresses,
            shutdown,
            stopping,
            grace: settings.bounds.grace,
        })
    }

    /// Where it listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Takes over settings that were read again. Addresses and the place of the instance are kept:
    /// connections that are open would be cut off by a change.
    pub fn reload(&mut self, settings: &Settings) {
        self.grace = settings.bounds.grace;
        self.shared
            .freshness
            .belief
            .set_life(settings.bounds.key_life);
        let recorder = &self.shared.core.recorder;
        recorder
            .event(Kind::Reloaded)
            .text("grace", settings.bounds.grace)
            .text("keys", settings.bounds.key_life.unwrap_or_default())
            .record();
    }

    /// Shuts down: first no longer ready, while every connection is served on; then idle connections
    /// are closed. Returns whether every request was answered within the grace period.
    pub async fn shutdown(self) -> bool {
        let begun = Instant::now();
        let end = begun + self.grace.duration().saturating_sub(LAST);
        let core = &self.shared.core;
        core.draining.store(true, Ordering::Relaxed);
        core.recorder.event(Kind::Draining).record();
        self.shutdown.leaving.cancel();
        let notice = (begun + NOTICE).min(end);
        tokio::time::sleep_until(notice).await;
        core.closing.store(true, Ordering::Relaxed);
        self.shutdown.closing.cancel();
        let closed = tokio::time::timeout_at(end, self.closed()).await;
        let whole = closed.is_ok();
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
            tokio::time::sleep(POLL).await;
        }
    }
}

fn spawn_decider(
    settings: &Settings,
    clock: Clock,
    stopping: &CancellationToken,
) -> decider::Handle {
    let seed = rand::rng().next_u64();
    let bounds = &settings.bounds;
    // Verdicts on roll-outs of the configuration text: there is none here.
    let (verdicts, _) = mpsc::unbounded_channel();
    let parts = decider::Parts {
        own: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation: format!("{}/{seed:016x}", settings.name).into(),
        bounds: Bounds::default(),
        queue: QUEUE,
        seed,
        clock,
        verdicts,
        repeats: Bound {
            share: bounds.repeat_share * REPEATS_USED,
            window: bounds.repeat_window,
            burst: EXTRA_REPEATS,
        },
        session_gap: bounds.session,
        exposure: Share::from_fraction(bounds.exposure_share),
        restarted: !settings.first_start,
    };
    decider::spawn(parts, stopping.clone())
}

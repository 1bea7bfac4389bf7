//! A running instance: its tasks, its listeners, and its graceful shutdown.

use crate::answers::Answers;
use crate::assembly::{Wiring, assemble};
use crate::context::Context;
use crate::front::{Desk, Front};
use crate::replica::Fellows;
use crate::{couplings, gossip, loads, verdicts};
use anyhow::{Context as _, Result};
use caller::{Handler, Limits, Server};
use entity::{Generation, Span};
use serde::Serialize;
use settings::Settings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use timeline::Kind;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Longest time for a body of a caller to arrive.
const READ_LIMIT: Span = Span::from_secs(10);
/// How long an idle connection of a caller is kept; balancers keep theirs for about a minute.
const IDLE_LIMIT: Span = Span::from_secs(75);
/// How long an instance that is shut down answers with its readiness before it stops to listen.
const NOTICE: Duration = Duration::from_millis(500);

/// Where an instance listens.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For other instances.
    pub fellow: SocketAddr,
    /// For operators, if there is such a listener.
    pub operator: Option<SocketAddr>,
}

/// A running instance.
pub struct Instance {
    context: Arc<Context>,
    fellows: Arc<Fellows>,
    front: Server,
    desk: Option<Server>,
    fellow: fellow::Server,
    addresses: Addresses,
    /// Stops the listener for callers.
    closing: CancellationToken,
    /// Stops everything else.
    stopping: CancellationToken,
}

impl Instance {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or the time line can't be opened.
    pub async fn open(settings: Settings) -> Result<Self> {
        let (closing, stopping) = (CancellationToken::new(), CancellationToken::new());
        let (context, fellows, wiring) = assemble(settings, &stopping)?;
        let Wiring {
            verdicts,
            scores,
            wake,
            woken,
            committer,
            log,
        } = wiring;
        let own = &context.settings.instance;
        let secret = fellow::Secret::new(own.secret.as_bytes());
        let answers = Arc::new(Answers::new(context.clone(), wake.clone()));
        let fellow =
            fellow::Server::bind(own.fellow_address, secret, answers, stopping.clone()).await;
        let fellow = fellow.with_context(|| format!("fellow-address {}", own.fellow_address))?;
        let front = listen(
            &context,
            own.caller_address,
            Front::new(context.clone()),
            &closing,
        );
        let front = front
            .await
            .with_context(|| format!("caller-address {}", own.caller_address))?;
        let desk = match own.operator_address {
            None => None,
            Some(address) => {
                let desk = listen(&context, address, Desk::new(context.clone()), &stopping).await;
                Some(desk.with_context(|| format!("operator-address {address}"))?)
            }
        };
        let addresses = Addresses {
            caller: front.address(),
            fellow: fellow.address(),
            operator: desk.as_ref().map(Server::address),
        };
        gossip::spawn(context.clone(), woken, stopping.clone());
        let parts = verdicts::Parts {
            context: context.clone(),
            log,
            committer: committer.clone(),
            reached: verdicts,
            wake,
        };
        verdicts::spawn(parts, &stopping);
        let loads = loads::Parts {
            pool: context.pool.clone(),
            decider: context.core.decider.clone(),
            in_force: context.configuration.in_force.clone(),
            clock: context.core.clock,
            asked: context.loads_asked.clone(),
        };
        loads::spawn(loads, stopping.clone());
        couplings::spawn(&context, committer, scores, &stopping);
        context
            .core
            .recorder
            .event(Kind::Started)
            .text("caller", addresses.caller)
            .record();
        Ok(Self {
            context,
            fellows,
            front,
            desk,
            fellow,
            addresses,
            closing,
            stopping,
        })
    }

    /// Where it listens.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// The generation in force here; 0 where none is.
    pub fn generation(&self) -> Generation {
        self.context.generation()
    }

    /// Shuts down: no new connection, every request answered, usage on the log or with fellows.
    /// Returns whether all of it was done within the time to drain.
    pub async fn shutdown(self) -> bool {
        let end = Instant::now() + self.context.settings.limits.drain.duration();
        self.context.core.draining.store(true, Ordering::Relaxed);
        self.context.core.recorder.event(Kind::Draining).record();
        self.context.core.decider.leave().await;
        // The balancer sees that the instance is not ready before connections are refused.
        tokio::time::sleep(NOTICE).await;
        self.closing.cancel();
        let answered = async {
            self.front.closed().await;
            self.context.core.streams.close();
            self.context.core.streams.wait().await;
        };
        let answered = tokio::time::timeout_at(end, answered).await.is_ok();
        let settled = self.settle_usage(end).await;
        self.context
            .core
            .recorder
            .event(Kind::Stopped)
            .flag("whole", answered && settled)
            .record();
        self.stopping.cancel();
        if let Some(desk) = &self.desk {
            let _ = tokio::time::timeout(NOTICE, desk.closed()).await;
        }
        let _ = tokio::time::timeout(NOTICE, self.fellow.closed()).await;
        answered && settled
    }

    /// Waits until the log has every usage record, or, where it is out, until fellows hold them.
    async fn settle_usage(&self, end: Instant) -> bool {
        loop {
            let Ok(stats) = self.context.usage.stats().await else {
                return false;
            };
            if stats.open == 0 && stats.held == 0 {
                return true;
            }
            let grace = Instant::now() + Duration::from_secs(2) > end;
            if stats.unsafe_now == 0 && (grace || self.log_is_out()) {
                self.fellows.orphan().await;
                return stats.held == 0 || self.context.members.borrow().list.instances.len() > 2;
            }
            if Instant::now() >= end {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn log_is_out(&self) -> bool {
        let limit = self.context.settings.limits.isolation;
        self.context.contact.log_age().is_none_or(|age| age > limit)
    }
}

async fn listen(
    context: &Context,
    address: SocketAddr,
    handler: impl Handler,
    cancel: &CancellationToken,
) -> std::io::Result<Server> {
    let own = &context.settings.limits;
    let limits = Limits {
        body: own.body,
        header: own.header,
        read: READ_LIMIT,
        idle: IDLE_LIMIT,
    };
    Server::bind(address, limits, handler, cancel.clone()).await
}

//! A running instance: its tasks, its listeners, and its graceful shutdown.

use crate::assembly::{Wiring, assemble};
use crate::context::Context;
use crate::front::{Front, OperatorFront};
use crate::peer_handler::PeerHandler;
use crate::replica::Peers;
use crate::{build, couplings, gossip, loads, verdicts};
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

/// Longest time for the body of a request to arrive.
const BODY_READ_TIMEOUT: Span = Span::from_secs(10);
/// Idle timeout of the connections of callers; load balancers keep idle connections for about a
/// minute.
const IDLE_TIMEOUT: Span = Span::from_secs(75);
/// Time at the start of a shutdown in which the instance still listens and reports that it is not
/// ready, and bound on the wait for each listener to close at its end.
const READINESS_NOTICE: Duration = Duration::from_millis(500);

/// Addresses on which an instance listens.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Addresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for peers.
    #[serde(rename = "fellow")]
    pub peer: SocketAddr,
    /// Address for operators; none if there is no such listener.
    pub operator: Option<SocketAddr>,
}

/// A running instance.
pub struct Instance {
    context: Arc<Context>,
    peers: Arc<Peers>,
    front: Server,
    operator_front: Option<Server>,
    peer_server: peer::Server,
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
    /// An address can't be bound, or the event log can't be opened.
    pub async fn open(settings: Settings) -> Result<Self> {
        let (closing, stopping) = (CancellationToken::new(), CancellationToken::new());
        let (context, peers, wiring) = assemble(settings, &stopping)?;
        let Wiring {
            verdicts,
            scores,
            wake,
            woken,
            committer,
            log,
        } = wiring;
        let own = &context.settings.instance;
        let secret = peer::Secret::new(own.secret.as_bytes());
        let answers = Arc::new(PeerHandler::new(context.clone(), wake.clone()));
        let peer_server =
            peer::Server::bind(own.peer_address, secret, answers, stopping.clone()).await;
        let peer_server =
            peer_server.with_context(|| format!("fellow-address {}", own.peer_address))?;
        let front = listen(
            &context,
            own.caller_address,
            Front::new(context.clone()),
            &closing,
        );
        let front = front
            .await
            .with_context(|| format!("caller-address {}", own.caller_address))?;
        let operator_front = match own.operator_address {
            None => None,
            Some(address) => {
                let operator_front = listen(
                    &context,
                    address,
                    OperatorFront::new(context.clone()),
                    &stopping,
                )
                .await;
                Some(operator_front.with_context(|| format!("operator-address {address}"))?)
            }
        };
        let addresses = Addresses {
            caller: front.address(),
            peer: peer_server.address(),
            operator: operator_front.as_ref().map(Server::address),
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
            reports_requested: context.loads_requested.clone(),
        };
        loads::spawn(loads, stopping.clone());
        couplings::spawn(&context, committer, scores, &stopping);
        build::record_start(&context.core.recorder, addresses.caller);
        Ok(Self {
            context,
            peers,
            front,
            operator_front,
            peer_server,
            addresses,
            closing,
            stopping,
        })
    }

    /// Returns the addresses on which the instance listens.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns the generation in force here; 0 if there is none.
    pub fn generation(&self) -> Generation {
        self.context.generation()
    }

    /// Shuts the instance down: it accepts no new connection, answers every request, and waits
    /// until its usage records are on the log or held by peers. Returns whether all of it was done
    /// within the drain timeout.
    pub async fn shutdown(self) -> bool {
        let end = Instant::now() + self.context.settings.limits.drain.duration();
        self.context.core.draining.store(true, Ordering::Relaxed);
        self.context.core.recorder.event(Kind::Draining).record();
        self.context.core.decider.leave().await;
        // Load balancers can see that the instance is not ready before it refuses connections.
        tokio::time::sleep(READINESS_NOTICE).await;
        self.context.core.decider.close().await;
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
        if let Some(operator_front) = &self.operator_front {
            let _ = tokio::time::timeout(READINESS_NOTICE, operator_front.closed()).await;
        }
        let _ = tokio::time::timeout(READINESS_NOTICE, self.peer_server.closed()).await;
        answered && settled
    }

    /// Waits until the log has every usage record, or, while the log is unavailable, until peers
    /// hold them.
    async fn settle_usage(&self, end: Instant) -> bool {
        loop {
            let Ok(stats) = self.context.usage.stats().await else {
                return false;
            };
            if stats.open == 0 && stats.held == 0 {
                return true;
            }
            let is_ending = Instant::now() + Duration::from_secs(2) > end;
            if stats.unsafe_now == 0 && (is_ending || self.is_log_out()) {
                self.peers.orphan().await;
                return stats.held == 0 || self.context.members.borrow().list.instances.len() > 2;
            }
            if Instant::now() >= end {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn is_log_out(&self) -> bool {
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
        body_timeout: BODY_READ_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
    };
    Server::bind(address, limits, handler, cancel.clone()).await
}

//! Connections to upstreams, over own links or by a peer.

use crate::clock::Clock;
use entity::{Span, name};
use peer::message::{Opened, Tunnel};
use peer::tunnel::{self, Carried};
use rand::seq::IndexedRandom;
use routing::path::{PeerResult, SHORT_PATIENCE, Way};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use timeline::{Counter, Kind, Metrics, Recorder};
use tokio::net::TcpStream;
use tokio::time::Instant;
use upstream::dial::{Dialer, Dialing, Transport, set_options};

/// Longest time for a peer to be connected to.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest time for a peer to answer, in which it connects to the upstream.
const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of peers that are asked for one connection.
const MAX_PEERS: usize = 3;
/// Time for which a peer that couldn't try is not asked again.
const PEER_REST: Duration = Duration::from_secs(1);

/// Why no peer has connected to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum Failure {
    /// The upstream refused the connection of a peer.
    #[error("the upstream refused the connection of a peer")]
    Refused,
    /// The upstream didn't answer the peers that tried.
    #[error("the upstream is silent to peers")]
    Silent,
    /// No peer could try.
    #[error("no peer could try")]
    NoPeer,
}

impl From<Failure> for io::Error {
    fn from(failure: Failure) -> Self {
        Self::new(io::ErrorKind::ConnectionRefused, failure)
    }
}

/// A peer that may carry connections.
#[derive(Clone, Debug)]
pub struct Carrier {
    /// Name of the peer.
    pub name: name::Instance,
    /// Address on which it takes questions.
    pub address: SocketAddr,
    /// Whether it is in the availability zone of this instance.
    pub is_near: bool,
    /// Whether it says that its own links are cut.
    pub is_cut_off: bool,
}

/// Links of this instance, and peers that carry connections where they are cut.
pub struct Paths {
    dialer: Arc<dyn Dialer>,
    clock: Clock,
    recorder: Recorder,
    metric: Arc<Metrics>,
    known: Mutex<routing::path::Paths>,
    carriers: Mutex<Vec<Carrier>>,
    /// Peers that couldn't try, and until when they are not asked.
    resting: Mutex<Vec<(SocketAddr, Instant)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Paths {
    /// Creates the paths of an instance that knows no peers yet.
    pub fn new(dialer: Arc<dyn Dialer>, observed: (Clock, Recorder, Arc<Metrics>)) -> Self {
        let (clock, recorder, metric) = observed;
        Self {
            dialer,
            clock,
            recorder,
            metric,
            known: Mutex::default(),
            carriers: Mutex::default(),
            resting: Mutex::default(),
        }
    }

    /// Sets the live peers in the region of this instance.
    pub fn set_carriers(&self, carriers: Vec<Carrier>) {
        *lock(&self.carriers) = carriers;
    }

    /// Returns whether all own links seem to be cut.
    pub fn is_cut_off(&self) -> bool {
        lock(&self.known).is_cut_off()
    }

    /// Returns whether an address is that of a host on which a peer runs.
    pub fn is_peer(&self, address: SocketAddr) -> bool {
        let carriers = lock(&self.carriers);
        let mut hosts = carriers.iter().map(|carrier| carrier.address.ip());
        hosts.any(|host| host == address.ip())
    }

    /// Connects to an upstream over the own link, for a peer.
    ///
    /// # Errors
    ///
    /// The link is known to be cut, or the connection can't be established.
    pub async fn dial_for_peer(&self, address: SocketAddr) -> io::Result<Box<dyn Transport>> {
        if !lock(&self.known).can_carry(address) {
            return Err(io::Error::other("the own link is cut"));
        }
        self.metric.count(Counter::CarriedConnections);
        self.dial_own(address, Some(SHORT_PATIENCE)).await
    }

    async fn dial_own(
        &self,
        address: SocketAddr,
        patience: Option<Span>,
    ) -> io::Result<Box<dyn Transport>> {
        let dialing = self.dialer.dial(address);
        let dialed = match patience {
            Some(patience) => match tokio::time::timeout(patience.duration(), dialing).await {
                Ok(dialed) => dialed,
                Err(elapsed) => Err(io::Error::from(elapsed)),
            },
            None => dialing.await,
        };
        let now = self.clock.now();
        let is_back = lock(&self.known).record_own(address, dialed.is_ok(), now);
        if is_back {
            self.record_change(address, "the own link is back", "link");
        }
        dialed
    }

    async fn dial_by_peer(&self, address: SocketAddr) -> Result<Box<dyn Transport>, Failure> {
        let mut failure = Failure::NoPeer;
        let mut asked = Vec::new();
        for _ in 0..MAX_PEERS {
            let Some(carrier) = self.choose_carrier(&asked) else {
                break;
            };
            match self.ask(&carrier, address).await {
                Ok(Ok(stream)) => {
                    // The links of those that were asked before are cut as well.
                    asked.into_iter().for_each(|peer| self.rest(peer));
                    self.record_carried(address, &carrier);
                    return Ok(Box::new(stream));
                }
                // The own link of a peer may be cut too: another one tells.
                Ok(Err(reason)) => failure = reason,
                Err(_) => self.rest(carrier.address),
            }
            asked.push(carrier.address);
        }
        let result = match failure {
            Failure::Refused | Failure::Silent => PeerResult::Refused,
            Failure::NoPeer => PeerResult::NoPeer,
        };
        lock(&self.known).record_peer(address, result, self.clock.now());
        Err(failure)
    }

    fn record_carried(&self, address: SocketAddr, carrier: &Carrier) {
        self.metric.count(Counter::PeerConnections);
        let now = self.clock.now();
        let is_new = lock(&self.known).record_peer(address, PeerResult::Connected, now);
        if is_new {
            self.record_change(address, "the own link is cut", carrier.name.as_str());
        }
    }

    /// Asks a peer for a connection. The inner error is that of the upstream, as the peer saw it; the outer
    /// one says that the peer couldn't try.
    async fn ask(
        &self,
        carrier: &Carrier,
        address: SocketAddr,
    ) -> Result<Result<Carried, Failure>, tunnel::Error> {
        let connect = TcpStream::connect(carrier.address);
        let connect = tokio::time::timeout(PEER_CONNECT_TIMEOUT, connect).await;
        let mut stream = connect.map_err(io::Error::from)??;
        set_options(&stream);
        let question = Tunnel::new(address.to_string(), true);
        let answer = tunnel::open(&mut stream, &question);
        let answer = tokio::time::timeout(PEER_ANSWER_TIMEOUT, answer).await;
        let Opened { failure, framed } = answer.map_err(io::Error::from)??;
        match failure.as_str() {
            "" => Ok(Ok(Carried::new(stream, framed == Some(true)))),
            tunnel::REFUSED => Ok(Err(Failure::Refused)),
            tunnel::SILENT => Ok(Err(Failure::Silent)),
            _ => Err(io::Error::other(failure).into()),
        }
    }

    /// Returns a random peer that may have a path and was not `asked`; peers in the own availability zone come first, as
    /// traffic between zones is billed.
    fn choose_carrier(&self, asked: &[SocketAddr]) -> Option<Carrier> {
        let now = Instant::now();
        let mut resting = lock(&self.resting);
        resting.retain(|(_, until)| now < *until);
        let carriers = lock(&self.carriers);
        let is_usable = |carrier: &&Carrier| {
            let is_resting = resting.iter().any(|(rests, _)| *rests == carrier.address);
            !carrier.is_cut_off && !is_resting && !asked.contains(&carrier.address)
        };
        let usable: Vec<&Carrier> = carriers.iter().filter(is_usable).collect();
        let near: Vec<&Carrier> = usable.iter().copied().filter(|one| one.is_near).collect();
        let from = if near.is_empty() { &usable } else { &near };
        from.choose(&mut rand::rng())
            .map(|&carrier| carrier.clone())
    }

    fn rest(&self, carrier: SocketAddr) {
        lock(&self.resting).push((carrier, Instant::now() + PEER_REST));
    }

    fn record_change(&self, address: SocketAddr, why: &str, by: &str) {
        let draft = self.recorder.event(Kind::Path);
        draft
            .text("address", address)
            .text("why", why)
            .text("by", by)
            .flag("cut-off", self.is_cut_off())
            .record();
    }
}

/// Connects to upstreams by the paths of an instance.
pub struct PathDialer(pub Arc<Paths>);

impl Dialer for PathDialer {
    fn dial(&self, address: SocketAddr) -> Dialing<'_> {
        Box::pin(async move {
            let paths = &self.0;
            let way = lock(&paths.known).choose(address, paths.clock.now());
            match way {
                Way::None => Err(io::Error::from(io::ErrorKind::ConnectionRefused)),
                Way::Own {
                    patience,
                    then_peer,
                } => match paths.dial_own(address, patience).await {
                    Err(_) if then_peer => Ok(paths.dial_by_peer(address).await?),
                    dialed => dialed,
                },
                Way::Peer { probes } => {
                    if probes {
                        let paths = paths.clone();
                        tokio::spawn(async move { paths.dial_own(address, None).await.is_ok() });
                    }
                    match paths.dial_by_peer(address).await {
                        Err(Failure::NoPeer) => paths.dial_own(address, Some(SHORT_PATIENCE)).await,
                        dialed => Ok(dialed?),
                    }
                }
            }
        })
    }
}

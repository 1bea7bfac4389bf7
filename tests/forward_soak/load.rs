//! Callers that keep using their connections until the process behind them is gone.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Callers at once, and the pause between two requests of one.
const CALLERS: u64 = 12;
const PAUSE: Duration = Duration::from_millis(60);
/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(2500);

/// What kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Unsafe,
    Safe,
    Stream,
}

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub kind: Kind,
    pub key: &'static str,
    pub sent: Instant,
    /// The status; none where no head came.
    pub status: Option<u16>,
    pub sealed: bool,
    /// The body, where it ended as a whole one.
    pub body: Option<String>,
}

pub struct Load {
    callers: JoinSet<Vec<Outcome>>,
    stop: CancellationToken,
}

pub fn spawn(addresses: &[SocketAddr], seed: u64) -> Load {
    let stop = CancellationToken::new();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let (addresses, stop) = (addresses.to_vec(), stop.clone());
        callers.spawn(async move { call(&addresses, seed * 1000 + caller, stop).await });
    }
    Load { callers, stop }
}

impl Load {
    pub async fn stop(self) -> Vec<Outcome> {
        self.stop.cancel();
        self.callers.join_all().await.concat()
    }
}

/// How many of some last requests are served.
pub async fn probe(addresses: &[SocketAddr]) -> usize {
    let mut served = 0;
    for (index, &address) in addresses.iter().enumerate() {
        let id = format!("{:016x}", 0xffff_0000_u64 + index as u64);
        let outcome = one(&mut None, address, id, Kind::Safe, "lasting").await;
        served += usize::from(outcome.status == Some(200));
    }
    served
}

async fn call(addresses: &[SocketAddr], seed: u64, stop: CancellationToken) -> Vec<Outcome> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut outcomes = Vec::new();
    let mut connection = None;
    let mut address = addresses[random.random_range(0..addresses.len())];
    let mut number = 0;
    while !stop.is_cancelled() {
        number += 1;
        let kind = match random.random_range(0..3) {
            0 => Kind::Unsafe,
            1 => Kind::Safe,
            _ => Kind::Stream,
        };
        let key = if random.random_range(0..3) == 0 {
            "passing"
        } else {
            "lasting"
        };
        let id = format!("{:016x}", seed << 24 | number);
        let outcome = one(&mut connection, address, id, kind, key).await;
        if outcome.status.is_none() {
            connection = None;
            address = addresses[random.random_range(0..addresses.len())];
        }
        outcomes.push(outcome);
        tokio::time::sleep(PAUSE).await;
    }
    outcomes
}

async fn one(
    connection: &mut Option<SendRequest<Full<Bytes>>>,
    address: SocketAddr,
    id: String,
    kind: Kind,
    key: &'static str,
) -> Outcome {
    let mut outcome = Outcome {
        id,
        kind,
        key,
        sent: Instant::now(),
        status: None,
        sealed: false,
        body: None,
    };
    // A caller that has waited for long enough leaves with its connection.
    let exchanged = tokio::time::timeout(PATIENCE, exchange(connection, address, &mut outcome));
    if !matches!(exchanged.await, Ok(true)) {
        *connection = None;
    }
    outcome
}

async fn exchange(
    connection: &mut Option<SendRequest<Full<Bytes>>>,
    address: SocketAddr,
    outcome: &mut Outcome,
) -> bool {
    if connection.as_ref().is_none_or(SendRequest::is_closed) {
        let Ok(stream) = TcpStream::connect(address).await else {
            return false;
        };
        let Ok((sender, driver)) = http1::handshake(TokioIo::new(stream)).await else {
            return false;
        };
        tokio::spawn(driver);
        *connection = Some(sender);
    }
    let path = match outcome.kind {
        Kind::Unsafe => "/book/1",
        Kind::Safe => "/read/1",
        Kind::Stream => "/draft/1",
    };
    let request = Request::post(path)
        .header("host", "a.example")
        .header("request-id", &outcome.id)
        .header("deadline-ms", PATIENCE.as_millis().to_string())
        .header("authorization", format!("Bearer {}", outcome.key))
        .header("model", "*")
        .body(Full::new(Bytes::from_static(b"{}")))
        .unwrap();
    let Some(sender) = connection else {
        return false;
    };
    let Ok(response) = sender.send_request(request).await else {
        return false;
    };
    outcome.status = Some(response.status().as_u16());
    outcome.sealed = response.headers().contains_key("server-seal");
    let Ok(body) = response.into_body().collect().await else {
        return false;
    };
    outcome.body = Some(String::from_utf8_lossy(&body.to_bytes()).into_owned());
    true
}

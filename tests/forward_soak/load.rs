//! Callers that reuse a connection until it is closed or an exchange on it fails.

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

/// Number of concurrent callers.
const CALLER_COUNT: u64 = 12;
/// Time between an answer to a caller and its next request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Time that a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Kind of a request, which decides its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Unsafe,
    Safe,
    Stream,
}

/// The answer to one request, as its caller got it.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub kind: Kind,
    /// API key of the request.
    pub key: &'static str,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// HTTP status; `None` if no response head arrived.
    pub status: Option<u16>,
    /// Whether the answer has the upstream's signature, the header `server-seal`.
    pub sealed: bool,
    /// Body, if it arrived completely.
    pub body: Option<String>,
}

/// Running callers.
pub struct Load {
    callers: JoinSet<Vec<Outcome>>,
    stop: CancellationToken,
}

/// Starts the callers of a seed.
pub fn spawn(addresses: &[SocketAddr], seed: u64) -> Load {
    let stop = CancellationToken::new();
    let mut callers = JoinSet::new();
    for caller in 0..CALLER_COUNT {
        let (addresses, stop) = (addresses.to_vec(), stop.clone());
        callers.spawn(async move { run_caller(&addresses, seed * 1000 + caller, stop).await });
    }
    Load { callers, stop }
}

impl Load {
    /// Stops the callers and returns the outcomes of their requests.
    pub async fn stop(self) -> Vec<Outcome> {
        self.stop.cancel();
        self.callers.join_all().await.concat()
    }
}

/// Sends one request to each address and returns how many were served.
pub async fn probe(addresses: &[SocketAddr]) -> usize {
    let mut served = 0;
    for (index, &address) in addresses.iter().enumerate() {
        let id = format!("{:016x}", 0xffff_0000_u64 + index as u64);
        let outcome = send_one(&mut None, address, id, Kind::Safe, "lasting").await;
        served += usize::from(outcome.status == Some(200));
    }
    served
}

async fn run_caller(addresses: &[SocketAddr], seed: u64, stop: CancellationToken) -> Vec<Outcome> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut outcomes = Vec::new();
    let mut connection = None;
    let mut address = addresses[rng.random_range(0..addresses.len())];
    let mut number = 0;
    while !stop.is_cancelled() {
        number += 1;
        let kind = match rng.random_range(0..3) {
            0 => Kind::Unsafe,
            1 => Kind::Safe,
            _ => Kind::Stream,
        };
        let key = if rng.random_range(0..3) == 0 {
            "passing"
        } else {
            "lasting"
        };
        let id = format!("{:016x}", seed << 24 | number);
        let outcome = send_one(&mut connection, address, id, kind, key).await;
        if outcome.status.is_none() {
            connection = None;
            address = addresses[rng.random_range(0..addresses.len())];
        }
        outcomes.push(outcome);
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    outcomes
}

async fn send_one(
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
    // A caller whose wait times out also closes its connection.
    let exchanged =
        tokio::time::timeout(ANSWER_TIMEOUT, exchange(connection, address, &mut outcome));
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
        .header("deadline-ms", ANSWER_TIMEOUT.as_millis().to_string())
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

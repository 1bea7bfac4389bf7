//! Callers that ask each instance, again and again, which service runs a route.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Time between two requests to one instance.
const INTERVAL: Duration = Duration::from_millis(40);
/// Time that a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_millis(1500);

/// The answer of an instance.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Index of the instance.
    pub instance: usize,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Status of the answer.
    pub status: u16,
    /// Body: the name of the upstream's service.
    pub body: String,
}

/// Running callers.
pub struct Probes {
    callers: JoinSet<Vec<Answer>>,
    stop: CancellationToken,
}

/// Starts a caller for each address.
pub fn spawn(addresses: &[SocketAddr]) -> Probes {
    let stop = CancellationToken::new();
    let mut callers = JoinSet::new();
    for (instance, &address) in addresses.iter().enumerate() {
        callers.spawn(ask_repeatedly(instance, address, stop.clone()));
    }
    Probes { callers, stop }
}

impl Probes {
    /// Stops the callers and returns the answers that they got.
    pub async fn stop(self) -> Vec<Answer> {
        self.stop.cancel();
        self.callers.join_all().await.concat()
    }
}

async fn ask_repeatedly(
    instance: usize,
    address: SocketAddr,
    stop: CancellationToken,
) -> Vec<Answer> {
    let (mut answers, mut connection, mut number) = (Vec::new(), None, 0);
    while !stop.is_cancelled() {
        tokio::time::sleep(INTERVAL).await;
        number += 1;
        let id = format!("{instance:04x}{number:012x}");
        let sent = Instant::now();
        let asked = tokio::time::timeout(TIMEOUT, ask(&mut connection, address, &id)).await;
        let Ok(Some((status, body))) = asked else {
            connection = None;
            continue;
        };
        answers.push(Answer {
            instance,
            sent,
            status,
            body,
        });
    }
    answers
}

async fn ask(
    connection: &mut Option<SendRequest<Full<Bytes>>>,
    address: SocketAddr,
    id: &str,
) -> Option<(u16, String)> {
    if connection.as_ref().is_none_or(SendRequest::is_closed) {
        let stream = TcpStream::connect(address).await.ok()?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(driver);
        *connection = Some(sender);
    }
    let request = Request::get("/moved/1")
        .header("host", "a.example")
        .header("request-id", id)
        .header("deadline-ms", "1200")
        .header("authorization", "Bearer lasting")
        .body(Full::default())
        .unwrap();
    let response = connection.as_mut()?.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

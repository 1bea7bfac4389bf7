//! Tests of the server with well-behaved and misbehaving callers, over TCP connections.

use bytes::Bytes;
use caller::{Event, Handler, Limits, Refusal, Reply, Request, Server, Streamed, Target, Whole};
use entity::{Span, unit};
use googletest::prelude::*;
use hyper::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

#[derive(Clone, Default)]
struct FakeHandler {
    /// Notified when the handler has started a request.
    started: Arc<Notify>,
    /// Lets a request for `slow` finish.
    resume: Arc<Notify>,
    /// Notified when a request for `watch` has observed its caller's disconnect.
    disconnected: Arc<Notify>,
}

fn whole(body: &'static str) -> Reply {
    Reply::Whole(Whole {
        status: StatusCode::OK,
        content_type: None,
        headers: Vec::new(),
        body: Bytes::from_static(body.as_bytes()),
    })
}

fn streamed(last: Option<Event>) -> Reply {
    let (sender, events) = mpsc::channel(4);
    sender
        .try_send(Event::Data(Bytes::from_static(b"{\"part\":1}")))
        .unwrap();
    if let Some(event) = last {
        sender.try_send(event).unwrap();
    }
    Reply::Streamed(Streamed {
        headers: Vec::new(),
        events,
    })
}

impl Handler for FakeHandler {
    async fn handle(&self, request: Request) -> Reply {
        let Target::Chat(chat) = &request.target else {
            return whole("plain");
        };
        let failed = Refusal::may_have_run(StatusCode::BAD_GATEWAY, "upstream-failed", "lost");
        match chat.service.as_str() {
            "stream" => streamed(Some(Event::End)),
            "broken" => streamed(Some(Event::Failed(failed))),
            "cut" => streamed(None),
            "slow" => {
                self.started.notify_one();
                self.resume.notified().await;
                whole("slow")
            }
            "watch" => {
                self.started.notify_one();
                request.disconnected.cancelled().await;
                self.disconnected.notify_one();
                whole("nobody")
            }
            _ => whole("chat"),
        }
    }

    fn ready(&self) -> std::result::Result<(), Box<str>> {
        Err("no configuration".into())
    }
}

async fn bind(handler: FakeHandler, cancel: &CancellationToken) -> Server {
    let limits = Limits {
        body: unit::Bytes(2000),
        header: unit::Bytes(8192),
        body_timeout: Span::from_millis(300),
        idle_timeout: Span::from_secs(5),
    };
    let address = "127.0.0.1:0".parse().unwrap();
    Server::bind(address, limits, handler, cancel.clone())
        .await
        .unwrap()
}

async fn send(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(model: &str) -> String {
    let body = format!(r#"{{"model":"{model}","messages":[{{"role":"user","content":"x"}}]}}"#);
    with_body(&body)
}

fn with_body(body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

#[googletest::test]
#[tokio::test]
async fn malformed_requests_get_a_specific_error_that_says_not_run() {
    let cancel = CancellationToken::new();
    let server = bind(FakeHandler::default(), &cancel).await;
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let header = |header: &str| {
        format!("GET /v1/models HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{header}\r\n\r\n")
    };
    let cases = [
        (get("/nowhere"), "404", "unknown-path"),
        (get("/v1/chat/completions"), "405", "bad-method"),
        (with_body("{"), "400", "bad-json"),
        (with_body("{}"), "400", "model: a text is missing"),
        (with_body(r#"{"model":"m"}"#), "400", "messages: an array"),
        (
            with_body(r#"{"model":"m","messages":[{}]}"#),
            "400",
            "messages[0].role",
        ),
        (
            with_body(r#"{"model":"a b","messages":[{"role":"user"}]}"#),
            "404",
            "unknown-model",
        ),
        (with_body(&"x".repeat(2001)), "413", "body-too-large"),
        (
            header("x-timeout-ms: soon"),
            "400",
            "x-timeout-ms is a whole number",
        ),
        (header("x-timeout-ms: 0"), "400", "at least 1"),
        (header("x-latency-class: fast"), "400", "live or draft"),
        (
            header(&format!("idempotency-key: {}", "k".repeat(256))),
            "400",
            "between 1 and 255",
        ),
    ];
    for (request, status, text) in cases {
        let answer = send(server.address(), &request).await;
        expect_that!(
            answer,
            starts_with(format!("HTTP/1.1 {status}")),
            "{request}"
        );
        expect_that!(answer, contains_substring(text), "{request}");
        expect_that!(
            answer,
            contains_substring(r#""run":"not-run""#),
            "{request}"
        );
    }
}

#[googletest::test]
#[tokio::test]
async fn malformed_and_oversize_heads_are_refused_by_hyper() {
    let cancel = CancellationToken::new();
    let server = bind(FakeHandler::default(), &cancel).await;
    let answer = send(server.address(), "NONSENSE\r\n\r\n").await;
    expect_that!(answer, starts_with("HTTP/1.1 400"));
    let long = format!("GET / HTTP/1.1\r\nlong: {}\r\n\r\n", "x".repeat(20_000));
    let answer = send(server.address(), &long).await;
    expect_that!(answer, starts_with("HTTP/1.1 431"));
}

#[googletest::test]
#[tokio::test]
async fn an_ambiguous_length_is_refused_and_its_connection_closed() {
    let cancel = CancellationToken::new();
    let server = bind(FakeHandler::default(), &cancel).await;
    for path in ["/v1/chat/completions", "/readyz", "/unknown"] {
        let answer = send(
            server.address(),
            &format!(
                "POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\
                 transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
            ),
        )
        .await;
        expect_that!(answer, starts_with("HTTP/1.1 400"));
        expect_that!(answer, contains_substring("connection: close"));
        expect_that!(answer, contains_substring("ambiguous-length"));
    }
    // A request that follows an unambiguous one on the same connection is checked as well.
    let first = "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
    let second = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\
                  transfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    let answer = send(server.address(), &format!("{first}{second}")).await;
    expect_that!(answer, starts_with("HTTP/1.1 200"));
    expect_that!(answer, contains_substring("HTTP/1.1 400"));
}

#[googletest::test]
#[tokio::test]
async fn a_slow_body_times_out() {
    let cancel = CancellationToken::new();
    let server = bind(FakeHandler::default(), &cancel).await;
    let request = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                   content-length: 100\r\n\r\n{";
    let answer = send(server.address(), request).await;
    expect_that!(answer, starts_with("HTTP/1.1 408"));
    expect_that!(answer, contains_substring("slow-body"));
}

#[googletest::test]
#[tokio::test]
async fn an_idle_connection_outlives_the_body_timeout() {
    let cancel = CancellationToken::new();
    let server = bind(FakeHandler::default(), &cancel).await;
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let request = "GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4096];
    let read = stream.read(&mut answer).await.unwrap();
    expect_that!(read, gt(0));
    tokio::time::sleep(Duration::from_millis(500)).await;
    stream.write_all(request.as_bytes()).await.unwrap();
    let read = stream.read(&mut answer).await.unwrap();
    expect_that!(read, gt(0), "the connection was closed");
}

#[googletest::test]
#[tokio::test]
async fn a_stream_ends_with_done_only_if_it_is_complete() {
    let cancel = CancellationToken::new();
    let server = bind(FakeHandler::default(), &cancel).await;
    let answer = send(server.address(), &post("stream")).await;
    expect_that!(answer, contains_substring("data: {\"part\":1}\n\n"));
    expect_that!(answer, contains_substring("data: [DONE]\n\n"));
    expect_that!(answer, ends_with("0\r\n\r\n"));
    for (model, text) in [("broken", "upstream-failed"), ("cut", "part")] {
        let answer = send(server.address(), &post(model)).await;
        expect_that!(answer, contains_substring(text));
        expect_that!(answer, not(contains_substring("[DONE]")));
        expect_that!(answer, not(ends_with("0\r\n\r\n")));
    }
}

#[googletest::test]
#[tokio::test]
async fn a_disconnect_is_signalled_to_the_request_which_continues() {
    let cancel = CancellationToken::new();
    let handler = FakeHandler::default();
    let server = bind(handler.clone(), &cancel).await;
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    stream.write_all(post("watch").as_bytes()).await.unwrap();
    handler.started.notified().await;
    drop(stream);
    handler.disconnected.notified().await;
}

#[googletest::test]
#[tokio::test]
async fn a_shutdown_completes_requests_in_progress() {
    let cancel = CancellationToken::new();
    let handler = FakeHandler::default();
    let server = bind(handler.clone(), &cancel).await;
    let request = tokio::spawn({
        let address = server.address();
        async move { send(address, &post("slow")).await }
    });
    handler.started.notified().await;
    cancel.cancel();
    tokio::time::sleep(Duration::from_millis(50)).await;
    handler.resume.notify_one();
    server.closed().await;
    expect_that!(request.await.unwrap(), ends_with("slow"));
    expect_that!(TcpStream::connect(server.address()).await, err(anything()));
}

#[googletest::test]
#[tokio::test]
async fn liveness_and_readiness_are_separate() {
    let cancel = CancellationToken::new();
    let server = bind(FakeHandler::default(), &cancel).await;
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    expect_that!(
        send(server.address(), &get("/healthz")).await,
        starts_with("HTTP/1.1 200")
    );
    let answer = send(server.address(), &get("/readyz")).await;
    expect_that!(answer, starts_with("HTTP/1.1 503"));
    expect_that!(answer, contains_substring("no configuration"));
}

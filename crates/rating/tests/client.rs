//! The client against a small rating service on loopback.

use bytes::Bytes;
use entity::unit::Share;
use entity::{Moment, Span, request};
use googletest::prelude::*;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rating::{Answer, Breaker, Client, Error, Score, is_sampled};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// What the service does with a call.
#[derive(Clone, Copy)]
enum Behaviour {
    /// It answers with this status and body.
    Answer(u16, &'static str),
    /// It never answers.
    Silence,
}

/// A service that counts its calls.
struct Service {
    address: SocketAddr,
    calls: Arc<AtomicU32>,
}

impl Service {
    async fn bind(behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let calls = Arc::new(AtomicU32::new(0));
        let counted = calls.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let counted = counted.clone();
                let answer = service_fn(move |request| answer(request, behaviour, counted.clone()));
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), answer));
            }
        });
        Self { address, calls }
    }

    fn calls(&self) -> u32 {
        self.calls.load(Ordering::SeqCst)
    }
}

async fn answer(
    request: Request<Incoming>,
    behaviour: Behaviour,
    calls: Arc<AtomicU32>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    calls.fetch_add(1, Ordering::SeqCst);
    assert_eq!(request.uri().path(), "/ratings");
    let body = request.into_body().collect().await.expect("a body");
    let body: serde_json::Value = serde_json::from_slice(&body.to_bytes()).expect("JSON");
    assert_eq!(body["service"], "advice");
    assert_eq!(body["version"], "large/1");
    assert_eq!(body["request"], format!("{:032x}", 7));
    assert_eq!(body["answer"], "a b c");
    let Behaviour::Answer(status, text) = behaviour else {
        std::future::pending::<()>().await;
        unreachable!();
    };
    let response = Response::builder().status(status);
    Ok(response
        .body(Full::new(Bytes::from(text)))
        .expect("a response"))
}

fn an_answer(text: &str) -> Answer {
    Answer {
        request: request::Id(7),
        service: "advice".parse().expect("a name"),
        version: "large/1".parse().expect("a name"),
        text: text.into(),
    }
}

fn open(service: &Service, timeout: Span) -> (Client, CancellationToken) {
    let cancel = CancellationToken::new();
    let client = Client::open(service.address, timeout, cancel.clone());
    (client, cancel)
}

const LONG: Span = Span::from_secs(30);

#[tokio::test]
async fn gives_the_score_of_an_answer() {
    let service = Service::bind(Behaviour::Answer(200, r#"{"score":0.75}"#)).await;
    let (client, _cancel) = open(&service, LONG);
    assert_that!(client.rate(an_answer("a b c")).await, ok(eq(0.75)));
}

#[tokio::test]
async fn submits_in_the_background() {
    let service = Service::bind(Behaviour::Answer(200, r#"{"score":0.5}"#)).await;
    let (client, _cancel) = open(&service, LONG);
    let (sender, mut scores) = mpsc::channel(1);
    client.submit(an_answer("a b c"), sender).expect("room");
    let expected = Score {
        request: request::Id(7),
        service: "advice".parse().expect("a name"),
        version: "large/1".parse().expect("a name"),
        score: 0.5,
    };
    assert_that!(scores.recv().await, some(eq(&expected)));
}

#[tokio::test]
async fn refuses_a_score_out_of_range_and_a_body_of_another_form() {
    for body in [r#"{"score":1.5}"#, r#"{"score":-0.1}"#, "{}", "x"] {
        let service = Service::bind(Behaviour::Answer(200, body)).await;
        let (client, _cancel) = open(&service, LONG);
        assert_that!(client.rate(an_answer("a b c")).await, err(eq(Error::Form)));
    }
}

#[tokio::test]
async fn stops_calling_a_service_that_is_out() {
    let service = Service::bind(Behaviour::Answer(503, "")).await;
    let (client, _cancel) = open(&service, LONG);
    assert_that!(client.is_out(), eq(false));
    let mut last = None;
    for _ in 0..50 {
        last = Some(client.rate(an_answer("a b c")).await);
    }
    // Three failures, and then only probes; ten of them take over a minute.
    assert_that!(service.calls(), all!(ge(3), le(13)));
    assert_that!(last, some(err(anything())));
    assert_that!(client.is_out(), eq(true));
}

#[tokio::test]
async fn gives_up_after_the_timeout_and_drops_what_does_not_fit() {
    let service = Service::bind(Behaviour::Silence).await;
    let (client, _cancel) = open(&service, Span::from_millis(200));
    assert_that!(
        client.rate(an_answer("a b c")).await,
        err(eq(Error::Timeout))
    );
    let (sender, _scores) = mpsc::channel(1);
    let mut full = 0;
    for _ in 0..200 {
        let submitted = client.submit(an_answer("a b c"), sender.clone());
        full += u32::from(submitted == Err(Error::Full));
    }
    // Nothing is taken from the queue without an await.
    assert_that!(full, eq(200 - 64));
}

#[tokio::test]
async fn refuses_an_answer_that_is_too_long() {
    let service = Service::bind(Behaviour::Silence).await;
    let (client, _cancel) = open(&service, LONG);
    let text = "x".repeat(Answer::MAX_BYTES + 1);
    assert_that!(client.rate(an_answer(&text)).await, err(eq(Error::Long)));
}

#[tokio::test]
async fn ends_with_its_token() {
    let service = Service::bind(Behaviour::Silence).await;
    let (client, cancel) = open(&service, LONG);
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.rate(an_answer("a b c")).await }
    });
    while service.calls() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    cancel.cancel();
    assert_that!(waiting.await.expect("no panic"), err(eq(Error::Closed)));
    assert_that!(
        client.rate(an_answer("a b c")).await,
        err(eq(Error::Closed))
    );
}

#[gtest]
fn the_breaker_probes_at_growing_intervals_and_closes_on_success() {
    let mut breaker = Breaker::default();
    let mut probes = Vec::new();
    for tenth in 0..1200_u64 {
        let now = Moment(tenth * 100_000);
        if breaker.allows(now) {
            probes.push(tenth);
            breaker.fail(now);
        }
    }
    expect_that!(
        &probes[..8],
        elements_are![&0, &1, &2, &7, &17, &37, &77, &157]
    );
    let gaps: Vec<_> = probes.windows(2).map(|pair| pair[1] - pair[0]).collect();
    expect_that!(gaps, each(le(&160)));
    breaker.succeed();
    expect_true!(breaker.allows(Moment(0)));
}

#[gtest]
fn the_sample_has_its_share_and_grows_with_it() {
    let mut counts = [0; 2];
    for n in 0..100_000_u128 {
        let request = request::Id(n.wrapping_mul(0x1234_5678_9abc_def1));
        let small = is_sampled(request, Share::percent(10));
        let large = is_sampled(request, Share::percent(30));
        expect_true!(large || !small);
        expect_true!(is_sampled(request, Share::WHOLE));
        expect_false!(is_sampled(request, Share::NONE));
        counts[0] += u32::from(small);
        counts[1] += u32::from(large);
    }
    expect_that!(counts[0], all!(gt(9_000), lt(11_000)));
    expect_that!(counts[1], all!(gt(28_000), lt(32_000)));
}

//! Tests of the client against a rating service on the loopback interface.

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

/// Response of the service to a call.
#[derive(Clone, Copy)]
enum Behaviour {
    /// The service answers with this status and body.
    Answer(u16, &'static str),
    /// The service never answers.
    Silence,
}

/// A rating service that counts its calls.
struct Service {
    address: SocketAddr,
    calls: Arc<AtomicU32>,
}

impl Service {
    async fn bind(behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a local address");
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
    let body = request
        .into_body()
        .collect()
        .await
        .expect("a readable body");
    let body: serde_json::Value = serde_json::from_slice(&body.to_bytes()).expect("a JSON body");
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
        .expect("a valid response"))
}

fn sample_answer(text: &str) -> Answer {
    Answer {
        request: request::Id(7),
        service: "advice".parse().expect("a valid name"),
        version: "large/1".parse().expect("a valid name"),
        text: text.into(),
    }
}

fn open(service: &Service, timeout: Span) -> (Client, CancellationToken) {
    let cancel = CancellationToken::new();
    let client = Client::open(service.address, timeout, cancel.clone());
    (client, cancel)
}

const LONG_TIMEOUT: Span = Span::from_secs(30);

#[tokio::test]
async fn rate_returns_the_score_of_an_answer() {
    let service = Service::bind(Behaviour::Answer(200, r#"{"score":0.75}"#)).await;
    let (client, _cancel) = open(&service, LONG_TIMEOUT);
    assert_that!(client.rate(sample_answer("a b c")).await, ok(eq(0.75)));
}

#[tokio::test]
async fn submit_sends_the_score_to_the_channel() {
    let service = Service::bind(Behaviour::Answer(200, r#"{"score":0.5}"#)).await;
    let (client, _cancel) = open(&service, LONG_TIMEOUT);
    let (sender, mut scores) = mpsc::channel(1);
    client.submit(sample_answer("a b c"), sender).expect("room");
    let expected = Score {
        request: request::Id(7),
        service: "advice".parse().expect("a valid name"),
        version: "large/1".parse().expect("a valid name"),
        score: 0.5,
    };
    assert_that!(scores.recv().await, some(eq(&expected)));
}

#[tokio::test]
async fn invalid_scores_and_bodies_are_errors() {
    for body in [r#"{"score":1.5}"#, r#"{"score":-0.1}"#, "{}", "x"] {
        let service = Service::bind(Behaviour::Answer(200, body)).await;
        let (client, _cancel) = open(&service, LONG_TIMEOUT);
        assert_that!(
            client.rate(sample_answer("a b c")).await,
            err(eq(Error::InvalidReply))
        );
    }
}

#[tokio::test]
async fn failing_service_is_only_probed() {
    let service = Service::bind(Behaviour::Answer(503, "")).await;
    let (client, _cancel) = open(&service, LONG_TIMEOUT);
    assert_that!(client.is_unavailable(), eq(false));
    let mut last = None;
    for _ in 0..50 {
        last = Some(client.rate(sample_answer("a b c")).await);
    }
    // 3 failures open the breaker; the next 10 probes would take over a minute.
    assert_that!(service.calls(), all!(ge(3), le(13)));
    assert_that!(last, some(err(anything())));
    assert_that!(client.is_unavailable(), eq(true));
}

#[tokio::test]
async fn rate_times_out_and_submit_drops_answers_beyond_the_queue() {
    let service = Service::bind(Behaviour::Silence).await;
    let (client, _cancel) = open(&service, Span::from_millis(200));
    assert_that!(
        client.rate(sample_answer("a b c")).await,
        err(eq(Error::Timeout))
    );
    let (sender, _scores) = mpsc::channel(1);
    let mut full = 0;
    for _ in 0..200 {
        let submitted = client.submit(sample_answer("a b c"), sender.clone());
        full += u32::from(submitted == Err(Error::Full));
    }
    // The task can't empty the queue, because the loop does not await.
    assert_that!(full, eq(200 - 64));
}

#[tokio::test]
async fn overlong_answer_is_an_error() {
    let service = Service::bind(Behaviour::Silence).await;
    let (client, _cancel) = open(&service, LONG_TIMEOUT);
    let text = "x".repeat(Answer::MAX_BYTES + 1);
    assert_that!(
        client.rate(sample_answer(&text)).await,
        err(eq(Error::TooLong))
    );
}

#[tokio::test]
async fn client_stops_when_its_token_is_cancelled() {
    let service = Service::bind(Behaviour::Silence).await;
    let (client, cancel) = open(&service, LONG_TIMEOUT);
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.rate(sample_answer("a b c")).await }
    });
    while service.calls() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    cancel.cancel();
    assert_that!(
        waiting.await.expect("the task does not panic"),
        err(eq(Error::Closed))
    );
    assert_that!(
        client.rate(sample_answer("a b c")).await,
        err(eq(Error::Closed))
    );
}

#[gtest]
fn breaker_probes_at_increasing_intervals_and_closes_on_success() {
    let mut breaker = Breaker::default();
    let mut probes = Vec::new();
    for tenth in 0..1200_u64 {
        let now = Moment(tenth * 100_000);
        if breaker.allow_call(now) {
            probes.push(tenth);
            breaker.record_failure(now);
        }
    }
    expect_that!(
        &probes[..8],
        elements_are![&0, &1, &2, &7, &17, &37, &77, &157]
    );
    let gaps: Vec<_> = probes.windows(2).map(|pair| pair[1] - pair[0]).collect();
    expect_that!(gaps, each(le(&160)));
    breaker.record_success();
    expect_true!(breaker.allow_call(Moment(0)));
}

#[gtest]
fn sample_has_its_share_and_contains_smaller_samples() {
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

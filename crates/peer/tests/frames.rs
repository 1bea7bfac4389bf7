//! Tests of frames and links over faulty, late and unauthenticated connections.

use googletest::prelude::*;
use peer::message::{Appended, Body, Done, Envelope, Held, Hold, Pull, Text};
use peer::{Error, Handler, Link, Secret, Server, frame};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

fn secret() -> Secret {
    Secret::new(b"a secret of the instances of one system")
}

fn text(generation: i64) -> Body {
    Body::Text(Text::new(
        generation,
        1,
        "author".to_owned(),
        "text".to_owned(),
    ))
}

struct EchoHandler;

impl Handler for EchoHandler {
    async fn answer(&self, body: Body) -> Body {
        match body {
            Body::Pull(pull) => text(pull.newer_than + 1),
            other => other,
        }
    }
}

fn pull(newer_than: i64) -> Body {
    Body::Pull(Pull::new(newer_than))
}

async fn server(cancel: &CancellationToken) -> Server {
    let address = "127.0.0.1:0".parse().unwrap();
    Server::bind(address, secret(), Arc::new(EchoHandler), cancel.clone())
        .await
        .unwrap()
}

fn link(address: std::net::SocketAddr, secret: Secret, cancel: &CancellationToken) -> Link {
    Link::open(
        address,
        secret,
        entity::Span::from_millis(300),
        cancel.clone(),
    )
}

#[googletest::test]
#[tokio::test]
async fn requests_are_answered_and_the_server_shuts_down() {
    let cancel = CancellationToken::new();
    let server = server(&cancel).await;
    let link = link(server.address(), secret(), &cancel);
    for number in 0..3 {
        let answer = link.request(pull(number)).await;
        expect_that!(answer, ok(eq(&text(number + 1))));
    }
    cancel.cancel();
    server.closed().await;
}

#[googletest::test]
#[tokio::test]
async fn a_link_with_another_secret_gets_no_answer() {
    let cancel = CancellationToken::new();
    let server = server(&cancel).await;
    let outsider = link(server.address(), Secret::new(b"another"), &cancel);
    expect_that!(
        outsider.request(pull(1)).await,
        err(matches_pattern!(Error::Connection(_)))
    );
}

/// Answers the first request only after the link has timed out, then answers the second one.
async fn answer_late(listener: TcpListener) {
    let (mut first, _) = listener.accept().await.unwrap();
    let request = frame::read(&mut first, &secret()).await.unwrap();
    let (mut second, _) = listener.accept().await.unwrap();
    let answer = Envelope::new(request.number, Body::Done(Done::new(1)));
    let _ = frame::write(&mut first, &secret(), &answer).await;
    let request = frame::read(&mut second, &secret()).await.unwrap();
    let answer = Envelope::new(request.number, Body::Done(Done::new(2)));
    let _ = frame::write(&mut second, &secret(), &answer).await;
}

#[googletest::test]
#[tokio::test]
async fn a_late_answer_is_not_returned_for_the_next_request() {
    let cancel = CancellationToken::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = link(listener.local_addr().unwrap(), secret(), &cancel);
    tokio::spawn(answer_late(listener));
    expect_that!(link.request(pull(1)).await, err(eq(&Error::Timeout)));
    expect_that!(
        link.request(pull(2)).await,
        ok(eq(&Body::Done(Done::new(2))))
    );
}

/// Answers one request on each connection and closes the connection.
async fn answer_one_per_connection(listener: TcpListener) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let request = frame::read(&mut stream, &secret()).await.unwrap();
        let answer = Envelope::new(request.number, request.body);
        frame::write(&mut stream, &secret(), &answer).await.unwrap();
    }
}

#[googletest::test]
#[tokio::test]
async fn a_link_reconnects_after_the_peer_closes_the_connection() {
    let cancel = CancellationToken::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = link(listener.local_addr().unwrap(), secret(), &cancel);
    tokio::spawn(answer_one_per_connection(listener));
    for number in 0..3 {
        expect_that!(link.request(pull(number)).await, ok(eq(&pull(number))));
    }
}

#[googletest::test]
#[tokio::test]
async fn a_frame_with_a_length_out_of_bounds_is_refused_unread() {
    let mut bytes: &[u8] = &[0xff, 0xff, 0xff, 0xff, 0];
    let read = frame::read(&mut bytes, &secret()).await;
    expect_that!(read, err(matches_pattern!(frame::Error::Length(_))));
}

#[googletest::test]
fn a_body_of_a_newer_release_is_refused_without_a_panic() {
    // Envelope number 1 with a body whose field 15 is an empty struct.
    let newer = [0x16, 0x02, 0x1c, 0xfc, 0x00, 0x00, 0x00];
    expect_that!(
        frame::decode(&newer),
        err(matches_pattern!(frame::Error::Body))
    );
    // The last member of the `Body` union in this release.
    let last = Envelope::new(1, Body::Appended(Appended::new(7)));
    let decoded = frame::decode(&frame::encode(&last).unwrap());
    expect_that!(decoded, ok(eq(&last)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        cases: 2000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn envelopes_round_trip(number: i64, owner in ".{0,20}", record: Vec<u8>) {
        let held = Held::new(owner, "request".to_owned(), record);
        let envelope = Envelope::new(number, Body::Hold(Hold::new(vec![held])));
        let decoded = frame::decode(&frame::encode(&envelope).unwrap()).unwrap();
        prop_assert_eq!(decoded, envelope);
    }

    #[test]
    fn random_payloads_are_refused_without_a_panic(payload: Vec<u8>) {
        let _ = frame::decode(&payload);
    }
}

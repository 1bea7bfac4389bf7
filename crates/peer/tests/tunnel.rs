//! Connections that a peer carries, over real sockets.

use googletest::prelude::*;
use peer::message::{Opened, Tunnel};
use peer::tunnel;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    (near.unwrap(), far.unwrap().0)
}

/// Returns the ends of a carried connection: of who asked for it, and of the upstream.
async fn carried() -> (TcpStream, TcpStream) {
    let (asker, peer) = pair().await;
    let (link, upstream) = pair().await;
    tokio::spawn(tunnel::carry(peer, link));
    (asker, upstream)
}

#[tokio::test]
async fn bytes_pass_both_ways_and_an_end_is_an_end() {
    let (mut asker, mut upstream) = carried().await;
    asker.write_all(b"question").await.unwrap();
    let mut question = [0; 8];
    upstream.read_exact(&mut question).await.unwrap();
    assert_that!(&question, eq(b"question"));
    let long = vec![7; 300_000];
    upstream.write_all(&long).await.unwrap();
    drop(upstream);
    let mut answer = Vec::new();
    asker.read_to_end(&mut answer).await.unwrap();
    assert_that!(answer.len(), eq(long.len()));
}

/// An answer whose end is the end of its connection looked complete if the upstream was lost behind a peer.
#[tokio::test]
async fn reset_of_the_upstream_is_no_end() {
    let (mut asker, mut upstream) = carried().await;
    upstream.write_all(b"half").await.unwrap();
    let mut half = [0; 4];
    asker.read_exact(&mut half).await.unwrap();
    upstream.set_zero_linger().unwrap();
    drop(upstream);
    let mut rest = Vec::new();
    let ended = asker.read_to_end(&mut rest).await;
    assert_that!(ended.unwrap_err().kind(), eq(ErrorKind::ConnectionReset));
}

/// An upstream went on with a request whose caller had left.
#[tokio::test]
async fn close_of_the_asker_reaches_the_upstream() {
    let (asker, mut upstream) = carried().await;
    drop(asker);
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(2), upstream.read_to_end(&mut rest));
    assert_that!(closed.await, ok(anything()));
}

#[tokio::test]
async fn question_and_answer_are_read() {
    let (mut asker, mut peer) = pair().await;
    let question = Tunnel::new("10.0.0.1:80".to_owned());
    let answer = Opened::new(tunnel::REFUSED.to_owned());
    let answering = async {
        let read: Tunnel = tunnel::read(&mut peer).await.unwrap();
        tunnel::write(&mut peer, &answer).await.unwrap();
        read
    };
    let (opened, read) = tokio::join!(tunnel::open(&mut asker, &question), answering);
    assert_that!(read, eq(&question));
    assert_that!(opened.unwrap(), eq(&answer));
}

/// Whoever reaches the internal port can send anything.
#[tokio::test]
async fn malformed_questions_are_errors() {
    for bytes in [
        &[0xff, 0xff][..],
        &[0, 3, 1, 2, 3],
        &[0, 6, 0x18, 0xff, 0xff, 0xff, 0xff, 0x0f],
        &[0, 9, 1],
        &[],
    ] {
        let (mut asker, mut peer) = pair().await;
        asker.write_all(bytes).await.unwrap();
        drop(asker);
        let read = tunnel::read::<Tunnel>(&mut peer).await;
        assert_that!(read, err(anything()), "{bytes:?}");
    }
}

//! Connections that a peer carries, over real sockets.

use googletest::prelude::*;
use peer::message::{Opened, Tunnel};
use peer::tunnel::{self, Carried, Framing};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    (near.unwrap(), far.unwrap().0)
}

/// A carried connection.
struct Connection {
    /// End of the instance that asked for it.
    asker: Carried,
    upstream: TcpStream,
    carrier: JoinHandle<()>,
}

async fn carried(framing: Framing) -> Connection {
    let (asker, peer) = pair().await;
    let (link, upstream) = pair().await;
    Connection {
        asker: Carried::new(asker, framing == Framing::Framed),
        upstream,
        carrier: tokio::spawn(tunnel::carry(peer, link, framing)),
    }
}

/// Lets the upstream send a part of an answer.
async fn send_half(connection: &mut Connection) {
    connection.upstream.write_all(b"half").await.unwrap();
    let mut half = [0; 4];
    connection.asker.read_exact(&mut half).await.unwrap();
}

/// Returns what the rest of the answer ends with.
async fn read_rest(mut asker: Carried) -> std::io::Result<Vec<u8>> {
    let mut rest = Vec::new();
    asker.read_to_end(&mut rest).await?;
    Ok(rest)
}

#[tokio::test]
async fn bytes_pass_both_ways_and_an_end_is_an_end() {
    let Connection {
        mut asker,
        mut upstream,
        ..
    } = carried(Framing::Framed).await;
    asker.write_all(b"question").await.unwrap();
    let mut question = [0; 8];
    upstream.read_exact(&mut question).await.unwrap();
    assert_that!(&question, eq(b"question"));
    let long = vec![7; 300_000];
    upstream.write_all(&long).await.unwrap();
    drop(upstream);
    assert_that!(read_rest(asker).await.unwrap(), eq(&long));
}

/// An answer whose end is the end of its connection looked complete if the upstream was lost behind a peer.
#[tokio::test]
async fn reset_of_the_upstream_is_no_end() {
    for framing in [Framing::Framed, Framing::Bare] {
        let mut connection = carried(framing).await;
        send_half(&mut connection).await;
        connection.upstream.set_zero_linger().unwrap();
        drop(connection.upstream);
        let rest = read_rest(connection.asker).await;
        assert_that!(
            rest.unwrap_err().kind(),
            eq(ErrorKind::ConnectionReset),
            "{framing:?}"
        );
    }
}

/// A carrier was killed while it carried an answer whose end is the end of its connection. The system
/// closed the carrier's connections in order, so that the answer looked complete.
#[tokio::test]
async fn end_of_the_carrier_is_no_end() {
    for framing in [Framing::Framed, Framing::Bare] {
        let mut connection = carried(framing).await;
        send_half(&mut connection).await;
        connection.carrier.abort();
        let rest = read_rest(connection.asker).await;
        assert_that!(
            rest.unwrap_err().kind(),
            eq(ErrorKind::ConnectionReset),
            "{framing:?}"
        );
    }
}

/// A carrier of the build before marks no end, so that its own end can't be told from the upstream's.
#[tokio::test]
async fn end_without_a_mark_is_no_end() {
    let mut connection = carried(Framing::Bare).await;
    send_half(&mut connection).await;
    drop(connection.upstream);
    assert_that!(read_rest(connection.asker).await, err(anything()));
}

/// An instance of the build before reads no frames and asks for none.
#[tokio::test]
async fn bytes_for_a_build_without_frames_pass_as_they_are() {
    let (mut asker, peer) = pair().await;
    let (link, mut upstream) = pair().await;
    tokio::spawn(tunnel::carry(peer, link, Framing::Bare));
    upstream.write_all(b"whole").await.unwrap();
    drop(upstream);
    let mut answer = Vec::new();
    asker.read_to_end(&mut answer).await.unwrap();
    assert_that!(&answer[..], eq(b"whole"));
}

/// An upstream went on with a request whose caller had left.
#[tokio::test]
async fn close_of_the_asker_reaches_the_upstream() {
    let Connection {
        asker,
        mut upstream,
        ..
    } = carried(Framing::Framed).await;
    drop(asker);
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(2), upstream.read_to_end(&mut rest));
    assert_that!(closed.await, ok(anything()));
}

#[tokio::test]
async fn question_and_answer_are_read() {
    let (mut asker, mut peer) = pair().await;
    let question = Tunnel::new("10.0.0.1:80".to_owned(), true);
    let answer = Opened::new(tunnel::REFUSED.to_owned(), true);
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

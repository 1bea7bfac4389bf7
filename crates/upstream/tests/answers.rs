//! Tests the client against the scripted answers in `tests/cases`.
//!
//! A case consists of the lines `# plain|stream|call` and `# expect TEXT`, then the bytes of an HTTP
//! response with `\n` line ends. `ID` stands for the request's id, `OTHER` for another id. The fake
//! server closes the connection after the last byte.

use entity::request;
use entity::request::Ran;
use googletest::prelude::*;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;
use upstream::{Chat, Chunk, Failure, Plain, Pool, Reason};

const ID: request::Id = request::Id(0x0123_4567_89ab_cdef_0123_4567_89ab_cdef);
const OTHER: request::Id = request::Id(0xfeed);

struct Case {
    kind: String,
    expect: String,
    response: Vec<u8>,
}

fn parse(text: &str) -> Case {
    // Trailing blank lines are part of the response.
    let mut lines = text.splitn(3, '\n');
    let header = |line: Option<&str>| line.unwrap().trim_start_matches("# ").to_owned();
    let kind = header(lines.next());
    let expect = header(lines.next())
        .trim_start_matches("expect ")
        .to_owned();
    let response = lines.next().unwrap().replace('\n', "\r\n");
    let response = response.replace("OTHER", &OTHER.to_string());
    let response = response.replace("ID", &ID.to_string());
    Case {
        kind,
        expect,
        response: response.into_bytes(),
    }
}

/// Starts a server that answers the first connection with fixed bytes and closes it.
async fn serve_once(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = vec![0; 4096];
        let _ = stream.read(&mut head).await;
        let _ = stream.write_all(&response).await;
        let _ = stream.shutdown().await;
    });
    address
}

fn chat() -> Chat {
    let deadline = Instant::now() + Duration::from_secs(10);
    Chat {
        id: ID,
        body: "{}".into(),
        priority: 0,
        deadline,
    }
}

fn plain() -> Plain {
    Plain {
        id: ID,
        organisation: "clinics".parse().unwrap(),
        key: Some("k".into()),
        method: hyper::Method::POST,
        path: "/send".into(),
        content_type: None,
        body: "{}".into(),
        deadline: Instant::now() + Duration::from_secs(10),
    }
}

async fn stream(pool: &Pool, address: SocketAddr) -> std::result::Result<String, Failure> {
    let mut stream = pool.stream(address, &chat()).await?;
    let mut whole = String::new();
    while let Some(chunk) = stream.next().await? {
        if let Chunk::Part { text, .. } = chunk {
            whole.push_str(&text);
        }
    }
    let usage = stream.usage().unwrap();
    Ok(format!("{whole} {}/{}", usage.tokens_in, usage.tokens_out))
}

async fn run(case: &Case) -> String {
    let address = serve_once(case.response.clone()).await;
    let pool = Pool::new();
    let result = match case.kind.as_str() {
        "plain" => pool.complete(address, &chat()).await.map(|completion| {
            let usage = completion.usage;
            format!(
                "{} {}/{}",
                completion.text, usage.tokens_in, usage.tokens_out
            )
        }),
        "stream" => stream(&pool, address).await,
        "call" => pool
            .call(address, &plain())
            .await
            .map(|reply| format!("{} {}", reply.status, String::from_utf8_lossy(&reply.body))),
        other => panic!("unknown kind {other}"),
    };
    result.unwrap_or_else(|failure| failure.to_string())
}

#[googletest::test]
#[tokio::test]
async fn scripted_answers_give_the_expected_outcome() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases");
    let mut count = 0;
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let case = parse(&std::fs::read_to_string(&path).unwrap());
        expect_that!(run(&case).await, eq(&case.expect), "{}", path.display());
        count += 1;
    }
    expect_that!(count, ge(12));
}

#[googletest::test]
#[tokio::test]
async fn a_refused_connection_counts_as_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let failure = Pool::new().call(address, &plain()).await.unwrap_err();
    expect_that!(failure.ran, eq(Ran::No));
    expect_that!(failure.reason, eq(Reason::Connect));
}

#[googletest::test]
#[tokio::test]
async fn a_request_past_its_deadline_is_not_sent() {
    let address = serve_once(Vec::new()).await;
    let chat = Chat {
        deadline: Instant::now(),
        ..chat()
    };
    let failure = Pool::new().complete(address, &chat).await.unwrap_err();
    expect_that!(failure, eq(&Failure::not_run(Reason::Timeout)));
}

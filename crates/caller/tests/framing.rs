//! Tests of the detection of ambiguous body lengths.

use caller::framing::{Framing, Scanner};
use googletest::prelude::*;

const WITH_LENGTH: &str = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
const CHUNKED: &str =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=1\r\nhello\r\n0\r\nT: 1\r\n\r\n";
const EMPTY: &str = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

fn scan(text: &str) -> Vec<Framing> {
    Scanner::default().scan(text.as_bytes())
}

#[gtest]
fn pipelined_requests_are_unambiguous() {
    let stream = [WITH_LENGTH, CHUNKED, EMPTY, WITH_LENGTH].concat();
    expect_that!(scan(&stream), container_eq([Framing::Unambiguous; 4]));
}

#[gtest]
fn framings_do_not_depend_on_read_boundaries() {
    let stream = [WITH_LENGTH, CHUNKED, EMPTY].concat();
    for cut in 0..stream.len() {
        let mut scanner = Scanner::default();
        let mut framings = scanner.scan(&stream.as_bytes()[..cut]);
        framings.extend(scanner.scan(&stream.as_bytes()[cut..]));
        expect_that!(
            framings,
            container_eq([Framing::Unambiguous; 3]),
            "cut at {cut}"
        );
    }
}

#[gtest]
fn a_head_inside_a_body_is_not_a_request() {
    let inner = EMPTY;
    let text = format!(
        "POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n{inner}",
        inner.len()
    );
    expect_that!(scan(&text), container_eq([Framing::Unambiguous]));
}

#[gtest]
fn ambiguous_lengths_are_detected() {
    for headers in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "transfer-encoding: chunked\r\ncontent-length: 5",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: xchunked",
        "Content-Length: 5\r\nContent-Length: 6",
        "Transfer-Encoding : chunked",
        "Content-Length : 5",
    ] {
        let text = format!("POST / HTTP/1.1\r\nHost: a\r\n{headers}\r\n\r\n");
        expect_that!(scan(&text), container_eq([Framing::Ambiguous]), "{headers}");
    }
}

#[gtest]
fn a_repeated_equal_length_is_unambiguous() {
    let text = "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello";
    expect_that!(scan(text), container_eq([Framing::Unambiguous]));
}

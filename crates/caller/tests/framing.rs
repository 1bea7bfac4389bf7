//! Requests whose body has an ambiguous length.

use caller::framing::{Framing, Scanner};
use googletest::prelude::*;

const SOUND: &str = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
const CHUNKED: &str =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=1\r\nhello\r\n0\r\nT: 1\r\n\r\n";
const EMPTY: &str = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

fn scan(text: &str) -> Vec<Framing> {
    Scanner::default().scan(text.as_bytes())
}

#[gtest]
fn sound_requests_follow_each_other() {
    let stream = [SOUND, CHUNKED, EMPTY, SOUND].concat();
    expect_that!(scan(&stream), container_eq([Framing::Sound; 4]));
}

#[gtest]
fn any_cut_gives_the_same_framings() {
    let stream = [SOUND, CHUNKED, EMPTY].concat();
    for cut in 0..stream.len() {
        let mut scanner = Scanner::default();
        let mut framings = scanner.scan(&stream.as_bytes()[..cut]);
        framings.extend(scanner.scan(&stream.as_bytes()[cut..]));
        expect_that!(framings, container_eq([Framing::Sound; 3]), "cut at {cut}");
    }
}

#[gtest]
fn a_head_inside_a_body_is_no_request() {
    let inner = EMPTY;
    let text = format!(
        "POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n{inner}",
        inner.len()
    );
    expect_that!(scan(&text), container_eq([Framing::Sound]));
}

#[gtest]
fn ambiguous_lengths_are_found() {
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
fn the_same_length_twice_is_sound() {
    let text = "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello";
    expect_that!(scan(text), container_eq([Framing::Sound]));
}

//! Splitting of streams into complete events.

use forward::events::Splitter;
use googletest::prelude::*;

#[gtest]
fn only_complete_events_are_returned() {
    let mut splitter = Splitter::default();
    expect_that!(splitter.push(b"id: 1\nda"), none());
    let whole = splitter.push(b"ta: a\n\nid: 2\n").unwrap();
    expect_that!(&*whole, eq(&b"id: 1\ndata: a\n\n"[..]));
    expect_that!(splitter.last_event_id(), some(eq(1)));
    expect_false!(splitter.is_empty());
}

#[gtest]
fn blank_line_split_over_two_chunks_ends_an_event() {
    let mut splitter = Splitter::default();
    expect_that!(splitter.push(b"id: 7\ndata: x\n"), none());
    let whole = splitter.push(b"\n").unwrap();
    expect_that!(&*whole, eq(&b"id: 7\ndata: x\n\n"[..]));
    expect_that!(splitter.last_event_id(), some(eq(7)));
    expect_true!(splitter.is_empty());
}

#[gtest]
fn events_do_not_depend_on_where_the_stream_is_cut() {
    let stream = b"id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\ndata:\n\n";
    for cut in 0..stream.len() {
        let mut splitter = Splitter::default();
        let mut passed = Vec::new();
        for piece in [&stream[..cut], &stream[cut..]] {
            passed.extend(splitter.push(piece).unwrap_or_default());
        }
        expect_that!(&*passed, eq(&stream[..]));
        expect_that!(splitter.last_event_id(), some(eq(3)));
    }
}

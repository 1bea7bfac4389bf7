//! Tests that recorded events are read back, and that a blocked sink does not block recording.

use entity::request::Id;
use googletest::prelude::*;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use timeline::event::{Kind, Value};
use timeline::{Recorder, Sink, Timestamp, reader};

/// A writer that waits for a permit before each write.
struct GatedWriter {
    permits: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for GatedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // An error means that the sender was dropped, after which all writes are permitted.
        let _ = self.permits.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn open(name: &str) -> (Recorder, Sender<()>, Receiver<Vec<u8>>) {
    let (open, permits) = channel();
    let (written, lines) = channel();
    let sink = Sink::Writer(Box::new(GatedWriter { permits, written }));
    (
        Recorder::open(&name.parse().unwrap(), sink).unwrap(),
        open,
        lines,
    )
}

fn read(lines: &Receiver<Vec<u8>>) -> reader::Source {
    let bytes: Vec<u8> = lines.iter().flatten().collect();
    reader::read(&bytes[..]).unwrap()
}

#[gtest]
fn event_is_read_back_with_its_fields() {
    let (recorder, gate, lines) = open("entry-1");
    drop(gate);
    let clock = recorder
        .event(Kind::Routed)
        .request(Id(7))
        .text("upstream", "engine-\"1\"")
        .count("try", 2)
        .number("cost", 0.5)
        .number("bound", f64::NAN)
        .flag("cold", true)
        .record();
    drop(recorder);
    let source = read(&lines);
    expect_that!(source.skipped.is_empty(), eq(true));
    let event = &source.events[0];
    expect_that!(event.clock, eq(clock));
    expect_that!(event.instance.as_str(), eq("entry-1"));
    expect_that!(event.request, some(eq(Id(7))));
    expect_that!(event.kind, eq(Kind::Routed));
    expect_that!(
        event.field("upstream"),
        some(eq(&Value::Text("engine-\"1\"".into())))
    );
    expect_that!(event.field("try"), some(eq(&Value::Count(2))));
    expect_that!(event.field("cost"), some(eq(&Value::Number(0.5))));
    expect_that!(event.field("bound"), some(eq(&Value::Text("NaN".into()))));
    expect_that!(event.field("cold"), some(eq(&Value::Flag(true))));
}

#[gtest]
fn blocked_sink_does_not_block_recording_and_dropped_events_are_reported() {
    const EVENTS: u64 = 20_000;
    let (recorder, gate, lines) = open("entry-1");
    for _ in 0..EVENTS {
        recorder.event(Kind::Arrived).record();
    }
    let dropped = recorder.dropped();
    expect_that!(dropped, all![gt(0), lt(EVENTS)]);
    drop(gate);
    // Waits until the queue has drained, so that the next event fits into it.
    let mut drained = Vec::new();
    while drained.len() < (EVENTS - dropped) as usize {
        drained.push(lines.recv().unwrap());
    }
    recorder.event(Kind::Answered).record();
    drop(recorder);
    let bytes = drained.concat();
    let before = reader::read(&bytes[..]).unwrap();
    expect_that!(before.events.len() as u64, eq(EVENTS - dropped));
    let after = read(&lines);
    expect_that!(after.events[0].kind, eq(Kind::Answered));
    expect_that!(after.events[1].kind, eq(Kind::Dropped));
    expect_that!(
        after.events[1].field("count"),
        some(eq(&Value::Count(dropped)))
    );
}

#[gtest]
fn blocked_sink_does_not_block_shutdown() {
    let (recorder, gate, lines) = open("entry-1");
    recorder.event(Kind::Stopped).record();
    drop(recorder);
    expect_that!(lines.try_recv(), err(anything()));
    drop(gate);
}

#[gtest]
fn effect_of_a_message_has_a_later_timestamp() {
    let (first, second) = (Recorder::disabled(), Recorder::disabled());
    let mut last = Timestamp::default();
    for _ in 0..1000 {
        let sent = first.event(Kind::FrameSent).record();
        expect_that!(sent, gt(last));
        second.observe(sent).unwrap();
        last = second.event(Kind::FrameReceived).record();
        expect_that!(last, gt(sent));
        first.observe(last).unwrap();
    }
}

#[gtest]
fn restarted_process_starts_a_new_line() {
    let path = std::env::temp_dir().join(format!("timeline-{}.jsonl", std::process::id()));
    std::fs::write(&path, "{\"clock\":\"1.0").unwrap();
    let sink = Sink::File(path.clone().into());
    let recorder = Recorder::open(&"entry-1".parse().unwrap(), sink).unwrap();
    recorder.event(Kind::Started).record();
    drop(recorder);
    let (timeline, skipped) = reader::read_files(&[&path]).unwrap();
    std::fs::remove_file(&path).unwrap();
    expect_that!(timeline.events().len(), eq(1));
    expect_that!(skipped.0.len(), eq(1));
    expect_that!(skipped.0[0].place.line, eq(1));
}

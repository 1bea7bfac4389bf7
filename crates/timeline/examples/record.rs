//! Measures the time that recording an event takes, with and without a sink.

use entity::request::Id;
use std::io;
use std::time::Instant;
use timeline::{Kind, Recorder, Sink};

/// Number of events in one burst, which fits into the queue.
const EVENTS_PER_BURST: u32 = 2000;
/// Number of bursts, between which the queue drains.
const BURST_COUNT: u32 = 100;
/// Time between bursts.
const BURST_INTERVAL: std::time::Duration = std::time::Duration::from_millis(30);

fn measure(name: &str, sink: Sink) -> io::Result<()> {
    let instance = "entry-1".parse().expect("a valid name");
    let recorder = Recorder::open(&instance, sink)?;
    let mut nanos = 0;
    for burst in 0..BURST_COUNT {
        let begin = Instant::now();
        for number in 0..EVENTS_PER_BURST {
            recorder
                .event(Kind::Routed)
                .request(Id(u128::from(burst * EVENTS_PER_BURST + number)))
                .text("upstream", "drafting-01")
                .text("version", "advisory-small/2")
                .count("try", 1)
                .record();
        }
        nanos += begin.elapsed().as_nanos();
        std::thread::sleep(BURST_INTERVAL);
    }
    let nanos_per_event = nanos / u128::from(EVENTS_PER_BURST * BURST_COUNT);
    println!(
        "{name}: {nanos_per_event} ns for an event, {} dropped",
        recorder.dropped()
    );
    Ok(())
}

fn main() -> io::Result<()> {
    measure("no sink", Sink::Off)?;
    measure("a sink that discards", Sink::Writer(Box::new(io::sink())))
}

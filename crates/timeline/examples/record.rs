//! Prints what it costs a caller to record an event, with and without a sink.

use entity::request::Id;
use std::io;
use std::time::Instant;
use timeline::{Kind, Recorder, Sink};

/// Events of one burst, which fits into the queue.
const BURST: u32 = 2000;
/// Bursts, between which the queue drains.
const BURSTS: u32 = 100;
/// Pause between bursts.
const PAUSE: std::time::Duration = std::time::Duration::from_millis(30);

fn measure(name: &str, sink: Sink) -> io::Result<()> {
    let instance = "entry-1".parse().expect("a valid name");
    let recorder = Recorder::open(&instance, sink)?;
    let mut nanos = 0;
    for burst in 0..BURSTS {
        let begin = Instant::now();
        for number in 0..BURST {
            recorder
                .event(Kind::Routed)
                .request(Id(u128::from(burst * BURST + number)))
                .text("upstream", "drafting-01")
                .text("version", "advisory-small/2")
                .count("try", 1)
                .record();
        }
        nanos += begin.elapsed().as_nanos();
        std::thread::sleep(PAUSE);
    }
    let each = nanos / u128::from(BURST * BURSTS);
    println!(
        "{name}: {each} ns for an event, {} dropped",
        recorder.dropped()
    );
    Ok(())
}

fn main() -> io::Result<()> {
    measure("no sink", Sink::Off)?;
    measure("a sink that discards", Sink::Writer(Box::new(io::sink())))
}

//! Tests that the hybrid clock orders causes before effects, whatever the wall clocks show.

use entity::name::Instance;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use timeline::clock::{ClockSkew, MAX_CLOCK_SKEW_MS};
use timeline::event::{Event, Field, Kind, Value};
use timeline::{Clock, Timeline, Timestamp};

const PROCESSES: usize = 4;
const EPOCH_MS: u64 = 1_764_795_600_000;

/// A step of a run, at a process whose wall clock may have been set back or forward.
#[derive(Clone, Debug)]
enum Step {
    Local,
    Send,
    /// Receives one of the messages sent so far, possibly for a second time.
    Receive(prop::sample::Index),
}

fn step() -> impl Strategy<Value = (usize, u64, Step)> {
    let kind = prop_oneof![
        Just(Step::Local),
        Just(Step::Send),
        any::<prop::sample::Index>().prop_map(Step::Receive),
    ];
    (0..PROCESSES, 0..MAX_CLOCK_SKEW_MS / 2, kind)
}

/// Events of a run, with the pairs of cause and effect among them.
#[derive(Default)]
struct Run {
    clocks: [Clock; PROCESSES],
    last: [Option<usize>; PROCESSES],
    sent: Vec<(Timestamp, usize)>,
    events: Vec<Event>,
    causes: Vec<(usize, usize)>,
}

impl Run {
    fn event(&mut self, process: usize, now_ms: u64) -> usize {
        let index = self.events.len();
        self.events.push(Event {
            clock: self.clocks[process].tick(now_ms),
            instance: format!("entry-{process}").parse::<Instance>().unwrap(),
            request: None,
            kind: Kind::Arrived,
            fields: vec![Field {
                name: "index".into(),
                value: Value::Count(index as u64),
            }],
        });
        if let Some(before) = self.last[process].replace(index) {
            self.causes.push((before, index));
        }
        index
    }

    fn step(&mut self, process: usize, now_ms: u64, step: &Step) {
        match step {
            Step::Local => {
                self.event(process, now_ms);
            }
            Step::Send => {
                let index = self.event(process, now_ms);
                self.sent.push((self.events[index].clock, index));
            }
            Step::Receive(chosen) => {
                if self.sent.is_empty() {
                    return;
                }
                let (clock, cause) = self.sent[chosen.index(self.sent.len())];
                self.clocks[process].observe(clock, now_ms).unwrap();
                let index = self.event(process, now_ms);
                self.causes.push((cause, index));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_effect_precedes_its_cause(steps in prop::collection::vec(step(), 1..200)) {
        let mut run = Run::default();
        for (process, offset_ms, step) in &steps {
            run.step(*process, EPOCH_MS + offset_ms, step);
        }
        let mut shuffled = run.events.clone();
        shuffled.reverse();
        let merged = Timeline::new(shuffled);
        let mut position = vec![0; run.events.len()];
        for (place, event) in merged.events().iter().enumerate() {
            let Some(Value::Count(index)) = event.field("index") else { panic!("the event has no index") };
            position[*index as usize] = place;
        }
        for (cause, effect) in run.causes {
            prop_assert!(position[cause] < position[effect]);
        }
    }

    #[test]
    fn timestamps_round_trip_through_text_and_bits(bits in any::<u64>()) {
        let timestamp = Timestamp::from_bits(bits);
        prop_assert_eq!(timestamp.to_string().parse(), Ok(timestamp));
        prop_assert_eq!(Timestamp::from_bits(timestamp.to_bits()), timestamp);
    }
}

#[gtest]
fn clock_follows_the_wall_clock() {
    let mut clock = Clock::default();
    expect_that!(clock.tick(EPOCH_MS), eq(Timestamp::from_millis(EPOCH_MS)));
    expect_that!(clock.tick(EPOCH_MS + 7).millis(), eq(EPOCH_MS + 7));
    expect_that!(clock.tick(EPOCH_MS).millis(), eq(EPOCH_MS + 7));
}

#[gtest]
fn full_counter_overflows_into_the_milliseconds() {
    let mut clock = Clock::default();
    let full = Timestamp::from_bits(Timestamp::from_millis(EPOCH_MS).to_bits() | 0xffff);
    clock.observe(full, EPOCH_MS).unwrap();
    expect_that!(clock.tick(EPOCH_MS), gt(full));
}

#[gtest]
fn timestamp_too_far_ahead_is_rejected() {
    let mut clock = Clock::default();
    let before = clock.tick(EPOCH_MS);
    let ahead = Timestamp::from_millis(EPOCH_MS + MAX_CLOCK_SKEW_MS + 1);
    let millis = MAX_CLOCK_SKEW_MS + 1;
    expect_that!(
        clock.observe(ahead, EPOCH_MS),
        err(eq(ClockSkew { millis }))
    );
    expect_that!(clock.tick(EPOCH_MS).millis(), eq(before.millis()));
}

#[gtest]
fn invalid_timestamps_are_rejected() {
    for text in [
        "",
        "1",
        "1.",
        ".1",
        "1.65536",
        "281474976710656.0",
        "1.2.3",
        "-1.0",
    ] {
        expect_that!(text.parse::<Timestamp>(), err(anything()), "{text}");
    }
}

//! What the explorations share: news that instances exchange, and the number of seeds.

use entity::{Moment, Span};
use quarantine::{Crash, Probe, Quarantine, Rebuttal};

/// Seeds that are explored with every run of the tests.
pub const DEFAULT_SEED_COUNT: u64 = 40;

/// Returns the number of seeds to explore, which `QUARANTINE_SEEDS` changes.
pub fn seed_count() -> u64 {
    let count = std::env::var("QUARANTINE_SEEDS");
    count.map_or(DEFAULT_SEED_COUNT, |text| text.parse().expect("a number"))
}

/// What an instance tells, with ages instead of times, as the clocks of instances differ.
#[derive(Clone)]
pub struct News {
    crashes: Vec<(Crash, Span)>,
    rebuttals: Vec<(Rebuttal, Span)>,
    probes: Vec<(Probe, Span)>,
}

impl News {
    pub fn of(quarantine: &Quarantine, now: Moment) -> Self {
        let crashes = quarantine.crashes(now).into_iter();
        let rebuttals = quarantine.rebuttals(now).into_iter();
        let probes = quarantine.probes(now).into_iter();
        Self {
            crashes: crashes.map(|told| (told, now.since(told.at))).collect(),
            rebuttals: rebuttals.map(|told| (told, now.since(told.at))).collect(),
            probes: probes.map(|told| (told, now.since(told.at))).collect(),
        }
    }

    pub fn deliver(self, quarantine: &mut Quarantine, now: Moment) {
        for (rebuttal, age) in self.rebuttals {
            let at = now - age;
            quarantine.receive_rebuttal(Rebuttal { at, ..rebuttal }, now);
        }
        let crashes = self.crashes.into_iter().map(|(crash, age)| Crash {
            at: now - age,
            ..crash
        });
        let crashes: Vec<Crash> = crashes.collect();
        quarantine.receive_crashes(&crashes, now);
        for (probe, age) in self.probes {
            let at = now - age;
            quarantine.receive_probe(Probe { at, ..probe });
        }
    }
}

//! Measures the cost of a configuration change for an instance, by the number of upstreams.

use crate::configuration::text;
use crate::fit::{Line, Spread};
use crate::gauge::thread_cpu;
use ::adoption::{Fold, Id, Page, Publication, Record, Snapshot};
use anyhow::Result;
use entity::{Generation, Moment, Offset};
use quality::Judge;
use routing::{Balancer, Bounds};
use std::net::SocketAddr;

/// Numbers of upstreams to measure.
const UPSTREAM_COUNTS: [usize; 4] = [30, 200, 400, 800];
/// Number of versions in each measurement.
const VERSION_COUNT: usize = 25;
/// Number of repeats of each measurement.
const REPEATS: u64 = 7;
/// Number of changes in one repeat, since the kernel's accounting of a running thread advances only
/// by ticks.
const CHANGES_PER_REPEAT: u64 = 40;

/// Processor time of one change, in milliseconds.
#[derive(Default)]
struct Cost {
    /// Time to decode, parse and fold the record.
    fold: f64,
    /// Time to parse the text, which is part of the fold.
    parse: f64,
    /// Time to configure the balancer and the judge.
    configure: f64,
}

impl Cost {
    /// Returns the cost of one change, given the total of a repeat.
    fn per_change(&self) -> Self {
        Self {
            fold: self.fold / CHANGES_PER_REPEAT as f64,
            parse: self.parse / CHANGES_PER_REPEAT as f64,
            configure: self.configure / CHANGES_PER_REPEAT as f64,
        }
    }
}

fn page(change: u64, record: &[u8]) -> Page<'_> {
    Page {
        first: Offset(1),
        next: Offset(change + 2),
        records: vec![(Offset(change + 1), record)],
    }
}

fn cpu_ms(work: impl FnOnce()) -> f64 {
    let before = thread_cpu();
    work();
    (thread_cpu() - before).as_secs_f64() * 1e3
}

fn addresses(count: usize) -> Vec<SocketAddr> {
    let port = |index| u16::try_from(10_000 + index).unwrap_or(u16::MAX);
    (0..count)
        .map(|index| ([127, 0, 0, 1], port(index)).into())
        .collect()
}

fn publication(text: &str, base: u64) -> Vec<u8> {
    let record = Record::Publication(Publication {
        format: ::adoption::FORMAT,
        id: Id(u128::from(base) + 1),
        base: Generation(base),
        author: "capacity".into(),
        text: text.into(),
    });
    record.encode()
}

fn costs(upstreams: usize) -> Result<(usize, Vec<Cost>)> {
    let addresses = addresses(upstreams);
    let mut fold = Fold::new();
    let own: entity::name::Instance = "entry-1".parse()?;
    let mut balancer = Balancer::new(own, "zone-a".parse()?, Bounds::default(), 1);
    let mut judge = Judge::new(1, "entry-1/1");
    let (mut costs, mut bytes) = (Vec::new(), 0);
    for repeat in 0..REPEATS {
        let mut sum = Cost::default();
        let changes: Vec<_> = (repeat * CHANGES_PER_REPEAT..(repeat + 1) * CHANGES_PER_REPEAT)
            .map(|change| (change, text(&addresses, VERSION_COUNT, change)))
            .collect();
        sum.parse = cpu_ms(|| {
            for (change, text) in &changes {
                drop(Snapshot::parse(Generation(change + 1), "capacity", text));
            }
        });
        let records: Vec<_> = changes
            .iter()
            .map(|(change, text)| (*change, publication(text, *change)))
            .collect();
        bytes = records[0].1.len();
        let mut snapshots = Vec::new();
        sum.fold = cpu_ms(|| {
            for (change, record) in &records {
                let _ = fold.read(&page(*change, record), &mut Vec::new());
                snapshots.extend(fold.in_force().cloned());
            }
        });
        anyhow::ensure!(
            fold.generation() == Generation((repeat + 1) * CHANGES_PER_REPEAT),
            "the fold rejected a change"
        );
        sum.configure = cpu_ms(|| {
            for snapshot in &snapshots {
                let generation = snapshot.generation;
                let now = Moment(generation.0 * 1_000_000);
                balancer.configure(&snapshot.config, generation, now);
                judge.configure(&snapshot.config, generation);
            }
        });
        costs.push(sum.per_change());
    }
    Ok((bytes, costs))
}

/// Measures the cost of changes and prints the results.
///
/// # Errors
///
/// Returns an error if the fold rejects a configuration.
pub fn run() -> Result<()> {
    let (mut sizes, mut folds, mut configures) = (Vec::new(), Vec::new(), Vec::new());
    for upstreams in UPSTREAM_COUNTS {
        let (bytes, costs) = costs(upstreams)?;
        let at = upstreams as f64;
        let fold: Vec<_> = costs.iter().map(|cost| cost.fold).collect();
        let parse: Vec<_> = costs.iter().map(|cost| cost.parse).collect();
        let configure: Vec<_> = costs.iter().map(|cost| cost.configure).collect();
        sizes.push((at, bytes as f64));
        folds.extend(fold.iter().map(|&cost| (at, cost)));
        configures.extend(configure.iter().map(|&cost| (at, cost)));
        for (name, costs) in [("fold", fold), ("parse", parse), ("configure", configure)] {
            if let Some(spread) = Spread::of(&costs) {
                println!("upstreams {upstreams}, record {bytes} B, {name} ms: {spread}");
            }
        }
    }
    for (name, points) in [
        ("B", sizes),
        ("fold ms", folds),
        ("configure ms", configures),
    ] {
        if let Some(line) = Line::fit(&points) {
            println!("a change by upstream, {name}: {line}");
        }
    }
    Ok(())
}

//! What a change of configuration costs an instance, by the number of upstreams.

use crate::fit::{Line, Spread};
use crate::gauge::thread_cpu;
use crate::text::text;
use ::adoption::{Fold, Id, Page, Publication, Record, Snapshot};
use anyhow::Result;
use entity::{Generation, Moment, Offset};
use quality::Judge;
use routing::{Balancer, Bounds};
use std::net::SocketAddr;

/// Upstreams of each size.
const SIZES: [usize; 4] = [30, 200, 400, 800];
/// Versions of all sizes.
const VERSIONS: usize = 25;
/// Repeats of each size.
const REPEATS: u64 = 7;
/// Changes of one repeat, since the kernel's account of a running thread advances by ticks.
const CHANGES: u64 = 40;

/// Processor time of one change, in milliseconds.
#[derive(Default)]
struct Cost {
    /// Decode, parse and fold.
    fold: f64,
    /// Parse alone, which is part of the fold.
    parse: f64,
    /// Take-over by the balancer and the judge.
    configure: f64,
}

impl Cost {
    /// The cost of one change, of the sum over those of a repeat.
    fn of_one(&self) -> Self {
        Self {
            fold: self.fold / CHANGES as f64,
            parse: self.parse / CHANGES as f64,
            configure: self.configure / CHANGES as f64,
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

fn milliseconds(work: impl FnOnce()) -> f64 {
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
        let changes: Vec<_> = (repeat * CHANGES..(repeat + 1) * CHANGES)
            .map(|change| (change, text(&addresses, VERSIONS, change)))
            .collect();
        sum.parse = milliseconds(|| {
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
        sum.fold = milliseconds(|| {
            for (change, record) in &records {
                let _ = fold.read(&page(*change, record), &mut Vec::new());
                snapshots.extend(fold.in_force().cloned());
            }
        });
        anyhow::ensure!(
            fold.generation() == Generation((repeat + 1) * CHANGES),
            "a change was rejected"
        );
        sum.configure = milliseconds(|| {
            for snapshot in &snapshots {
                let generation = snapshot.generation;
                let now = Moment(generation.0 * 1_000_000);
                balancer.configure(&snapshot.config, generation, now);
                judge.configure(&snapshot.config, generation);
            }
        });
        costs.push(sum.of_one());
    }
    Ok((bytes, costs))
}

/// Measures and prints.
///
/// # Errors
///
/// The fold rejected a text.
pub fn run() -> Result<()> {
    let (mut sizes, mut folds, mut configures) = (Vec::new(), Vec::new(), Vec::new());
    for upstreams in SIZES {
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
        if let Some(line) = Line::through(&points) {
            println!("a change by upstream, {name}: {line}");
        }
    }
    Ok(())
}

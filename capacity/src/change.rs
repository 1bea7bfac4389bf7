//! What a change of configuration costs an instance, by the number of upstreams.

use crate::fit::{Line, Spread};
use crate::gauge::thread_cpu;
use crate::text::text;
use ::adoption::{Fold, Id, Page, Publication, Record, Snapshot};
use anyhow::{Context, Result};
use entity::{Generation, Moment, Offset};
use quality::Judge;
use routing::{Balancer, Bounds};
use std::net::SocketAddr;

/// Upstreams of each size.
const SIZES: [usize; 4] = [30, 200, 400, 800];
/// Versions of all sizes.
const VERSIONS: usize = 25;
/// Repeats of each size.
const REPEATS: u64 = 9;

/// Processor time of one change, in milliseconds.
struct Cost {
    /// Decode, parse and fold.
    fold: f64,
    /// Parse alone, which is part of the fold.
    parse: f64,
    /// Take-over by the balancer and the judge.
    configure: f64,
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
    for change in 0..REPEATS {
        let text = text(&addresses, VERSIONS, change);
        let record = publication(&text, change);
        bytes = record.len();
        let generation = Generation(change + 1);
        let parse = milliseconds(|| drop(Snapshot::parse(generation, "capacity", &text)));
        let page = Page {
            first: Offset(1),
            next: Offset(change + 2),
            records: vec![(Offset(change + 1), record.as_slice())],
        };
        let mut steps = Vec::new();
        let mut read = Ok(());
        let folded = milliseconds(|| read = fold.read(&page, &mut steps));
        read.context("the fold")?;
        let snapshot = fold.in_force().context("nothing is in force")?.clone();
        anyhow::ensure!(snapshot.generation == generation, "the change was rejected");
        let now = Moment(change * 1_000_000);
        let configure = milliseconds(|| {
            balancer.configure(&snapshot.config, generation, now);
            judge.configure(&snapshot.config, generation);
        });
        costs.push(Cost {
            fold: folded,
            parse,
            configure,
        });
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

//! An availability zone is taken out under load and comes back with cold engines.
//!
//! `cargo run --release -p routing --example zone`

mod model;

use config::Presence;
use entity::Moment;
use entity::id::{self, Id};
use entity::time::Span;
use model::fleet::{Fleet, Record};
use model::policy::{Baseline, Policy, Product, Rule, config};
use model::{Engine, Load, quantile, spread};

const ZONES: usize = 4;
const ENGINES: usize = 12;
const INSTANCES: usize = 6;

/// Requests a second.
const RATE: f64 = 90.0;

/// Quiet service, then the zone is out, then it is back.
const PHASE: Span = Span::from_secs(60);

/// Seeds to report on; the constants of the score were chosen on others.
const SEEDS: std::ops::Range<u64> = 100..110;

const POLICIES: [(&str, Option<Rule>); 4] = [
    ("citrontrack", None),
    ("round robin", Some(Rule::RoundRobin)),
    ("random", Some(Rule::Random)),
    ("least connections", Some(Rule::LeastConnections)),
];

fn policies(rule: Option<Rule>, seed: u64) -> Vec<Box<dyn Policy>> {
    let policy = |index: usize| -> Box<dyn Policy> {
        let seed = seed * 100 + index as u64;
        match rule {
            None => Box::new(Product::new(index, INSTANCES, ZONES, seed)),
            Some(rule) => Box::new(Baseline::new(rule, ENGINES, seed)),
        }
    };
    (0..INSTANCES).map(policy).collect()
}

fn run(rule: Option<Rule>, seed: u64) -> (Moment, Vec<Record>, u32, usize) {
    let load = Load {
        rates: vec![RATE],
        instances: INSTANCES,
        skew: 0.0,
        prefixes: 400,
        heavy: false,
        deadline: Span::from_secs(30),
    };
    let engines = (0..ENGINES).map(|_| Engine::new(1.0, 60)).collect();
    let config = config(ZONES, ENGINES, &[(1, 0)]);
    let mut fleet = Fleet::new(config, engines, policies(rule, seed), load, seed);
    fleet.settle(Span::from_secs(85));
    fleet.run(PHASE);
    let begun = fleet.now;
    let zone = id::Zone::new(0);
    let mut config = fleet.config.clone();
    config.zones[zone].state = Presence::Out;
    fleet.configure(config.clone());
    fleet.run(PHASE);
    for (index, engine) in fleet.engines.iter_mut().enumerate() {
        if index % ZONES == 0 {
            engine.restart(fleet.now);
        }
    }
    config.zones[zone].state = Presence::In;
    fleet.configure(config);
    fleet.run(PHASE);
    fleet.settle(Span::from_secs(40));
    let fallen = fleet.engines.iter().map(|engine| engine.fallen).sum();
    (begun, fleet.records, fallen, fleet.tries)
}

/// The 99th percentile of first-token times in milliseconds of requests that arrived in a span.
fn slowest(records: &[Record], from: Moment, to: Moment) -> f64 {
    let within = |record: &&Record| record.arrived >= from && record.arrived < to;
    let times = records
        .iter()
        .filter(within)
        .filter_map(|record| record.first_token);
    let mut times: Vec<f64> = times.map(|time| time.as_secs_f64() * 1e3).collect();
    times.sort_by(f64::total_cmp);
    quantile(&times, 0.99)
}

fn main() {
    println!("{ZONES} zones, {ENGINES} engines, {INSTANCES} instances, {RATE} requests/s");
    println!(
        "policy | quiet p99 ms | out p99 ms | back p99 ms | ratio | failed | shed | falls | tries"
    );
    for (name, rule) in POLICIES {
        let mut columns: Vec<Vec<f64>> = vec![Vec::new(); 8];
        for seed in SEEDS {
            let (begun, records, fallen, tries) = run(rule, seed);
            let quiet = slowest(&records, begun - Span::from_secs(40), begun);
            let out = slowest(&records, begun, begun + PHASE);
            let back = slowest(&records, begun + PHASE, begun + PHASE + PHASE);
            let worst = slowest(&records, begun, begun + PHASE + PHASE);
            let failed = records.iter().filter(|record| record.failed).count() as f64;
            let missed = records.iter().filter(|record| record.first_token.is_none());
            let shed = missed.count() as f64 - failed;
            let tries = tries as f64 / records.len() as f64;
            let row = [
                quiet,
                out,
                back,
                worst / quiet,
                failed,
                shed,
                f64::from(fallen),
                tries,
            ];
            for (column, value) in columns.iter_mut().zip(row) {
                column.push(value);
            }
        }
        let cells = columns.iter().map(|column| spread(column));
        let cells: Vec<String> = cells
            .map(|(mean, sd)| format!("{mean:.2} ± {sd:.2}"))
            .collect();
        println!("{name} | {}", cells.join(" | "));
    }
}

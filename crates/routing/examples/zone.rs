//! Latencies while an availability zone is taken out of service under load and returns with cold
//! engines.

mod model;

use config::AdminState;
use entity::Moment;
use entity::id::{self, Id};
use entity::time::Span;
use model::fleet::{Fleet, Record};
use model::policy::{BalancerPolicy, Baseline, Policy, Rule, config};
use model::{Engine, Load, quantile, spread};
use plotters::prelude::*;

const ZONES: usize = 4;
const ENGINES: usize = 12;
const INSTANCES: usize = 6;

/// Requests per second, and number of shared prefixes: about half of the engines' capacity, the
/// same without shared prefixes, and more than the capacity of three zones.
const LOADS: [(f64, usize); 3] = [(90.0, 400), (75.0, 0), (150.0, 400)];

/// Length of each phase: undisturbed service, zone out of service, and zone back in service.
const PHASE: Span = Span::from_secs(60);

/// Seeds of the report; the constants of the score were chosen on others.
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
            None => Box::new(BalancerPolicy::new(index, INSTANCES, ZONES, seed)),
            Some(rule) => Box::new(Baseline::new(rule, ENGINES, seed)),
        }
    };
    (0..INSTANCES).map(policy).collect()
}

fn run(
    (rate, prefixes): (f64, usize),
    rule: Option<Rule>,
    seed: u64,
) -> (Moment, Vec<Record>, u32) {
    let load = Load {
        rates: vec![rate],
        instances: INSTANCES,
        skew: 0.0,
        prefixes,
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
    config.zones[zone].state = AdminState::Out;
    fleet.configure(config.clone());
    fleet.run(PHASE);
    for (index, engine) in fleet.engines.iter_mut().enumerate() {
        if index % ZONES == 0 {
            engine.restart(fleet.now);
        }
    }
    config.zones[zone].state = AdminState::In;
    fleet.configure(config);
    fleet.run(PHASE);
    fleet.settle(Span::from_secs(40));
    let crash_count = fleet.engines.iter().map(|engine| engine.crash_count).sum();
    (begun, fleet.records, crash_count)
}

/// Returns the 99th percentile of first-token times, in milliseconds, of the requests that arrived
/// in a time range.
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

/// Draws the 99th percentile of each 5 s, one line per policy, on a scale from 100 ms to 10 s, with
/// vertical lines where the zone leaves and returns. The plot has no text, so that no font is
/// needed.
fn plot(path: &str) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (720, 360)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .build_cartesian_2d(0.0..180.0, (100.0..10_000.0).log_scale())?;
    for x in [60.0, 120.0] {
        chart.draw_series(LineSeries::new(
            [(x, 100.0), (x, 10_000.0)],
            &BLACK.mix(0.4),
        ))?;
    }
    for y in [100.0, 1000.0, 10_000.0] {
        chart.draw_series(LineSeries::new([(0.0, y), (180.0, y)], &BLACK.mix(0.2)))?;
    }
    let colours = [RED, BLUE, GREEN, MAGENTA];
    for ((_, rule), colour) in POLICIES.into_iter().zip(colours) {
        let (begun, records, ..) = run(LOADS[0], rule, SEEDS.start);
        let start = begun - PHASE;
        let bin = Span::from_secs(5);
        let mut points = Vec::new();
        for index in 0..36 {
            let from = start + Span::from_secs(5 * index);
            points.push((
                5.0 * index as f64 + 2.5,
                slowest(&records, from, from + bin),
            ));
        }
        chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
    }
    area.present()?;
    Ok(())
}

fn main() {
    if let Some(path) = std::env::args().nth(1) {
        plot(&path).expect("the plot is written");
        return;
    }
    println!("{ZONES} zones, {ENGINES} engines, {INSTANCES} instances; p99 of the first token, ms");
    println!("policy | quiet | zone out | zone back | worst to quiet | failed | shed | falls");
    for load in LOADS {
        println!("{} requests/s, {} shared prefixes", load.0, load.1);
        for (name, rule) in POLICIES {
            let rows: Vec<[f64; 7]> = SEEDS.map(|seed| figures(load, rule, seed)).collect();
            let column = |index: usize| -> Vec<f64> { rows.iter().map(|row| row[index]).collect() };
            let cell = |index| spread(&column(index));
            let cells = (0..7)
                .map(cell)
                .map(|(mean, sd)| format!("{mean:.2} ± {sd:.2}"));
            println!("{name} | {}", cells.collect::<Vec<String>>().join(" | "));
        }
    }
}

/// Returns the columns of the table for one run.
fn figures(load: (f64, usize), rule: Option<Rule>, seed: u64) -> [f64; 7] {
    let (begun, records, crash_count) = run(load, rule, seed);
    let back = begun + PHASE;
    let end = back + PHASE;
    let quiet = slowest(&records, begun - Span::from_secs(40), begun);
    let failed = records.iter().filter(|record| record.failed).count() as f64;
    let missed = records
        .iter()
        .filter(|record| record.first_token.is_none())
        .count() as f64;
    [
        quiet,
        slowest(&records, begun, back),
        slowest(&records, back, end),
        slowest(&records, begun, end) / quiet,
        failed,
        missed - failed,
        f64::from(crash_count),
    ]
}

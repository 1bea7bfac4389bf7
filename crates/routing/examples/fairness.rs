//! Latencies of small organisations, one of them with a reserve, while another one sends more
//! requests than the engines can serve.

mod model;

use entity::time::Span;
use model::fleet::{Fleet, Record};
use model::policy::{BalancerPolicy, Policy, config};
use model::{Engine, Load, quantile, spread};

const ZONES: usize = 4;
const ENGINES: usize = 12;
const INSTANCES: usize = 6;

/// Requests per second of each organisation: one that floods, four small ones, and one with a
/// reserve.
const RATES: [f64; 6] = [200.0, 4.0, 4.0, 4.0, 4.0, 30.0];

/// Reserve of the last organisation, in concurrent requests.
const RESERVE: u32 = 48;

const SETTLE: Span = Span::from_secs(85);
const WARM_UP: Span = Span::from_secs(30);
const COUNTED: Span = Span::from_secs(60);
const SEEDS: std::ops::Range<u64> = 100..110;

#[derive(Clone, Copy)]
struct Setup {
    name: &'static str,
    fair: bool,
    reserve: u32,
    flood: bool,
    priorities: bool,
}

const SETUPS: [Setup; 6] = [
    Setup {
        name: "no flood",
        fair: true,
        reserve: RESERVE,
        flood: false,
        priorities: false,
    },
    Setup {
        name: "one queue for all",
        fair: false,
        reserve: 0,
        flood: true,
        priorities: false,
    },
    Setup {
        name: "fair",
        fair: true,
        reserve: 0,
        flood: true,
        priorities: false,
    },
    Setup {
        name: "fair, with reserve",
        fair: true,
        reserve: RESERVE,
        flood: true,
        priorities: false,
    },
    Setup {
        name: "fair, with priorities",
        fair: true,
        reserve: 0,
        flood: true,
        priorities: true,
    },
    Setup {
        name: "fair, with both",
        fair: true,
        reserve: RESERVE,
        flood: true,
        priorities: true,
    },
];

fn run(setup: Setup, seed: u64) -> Vec<Record> {
    let mut rates = RATES.to_vec();
    if !setup.flood {
        rates[0] = 4.0;
    }
    let load = Load {
        rates,
        instances: INSTANCES,
        skew: 0.0,
        prefixes: 0,
        heavy: false,
        deadline: Span::from_secs(30),
    };
    let mut organisations = vec![(1, 0); RATES.len()];
    organisations[RATES.len() - 1].1 = setup.reserve;
    let policy = |index| -> Box<dyn Policy> {
        Box::new(BalancerPolicy::new(
            index,
            INSTANCES,
            ZONES,
            seed * 100 + index as u64,
        ))
    };
    let policies = (0..INSTANCES).map(policy).collect();
    let engines = (0..ENGINES).map(|_| Engine::new(1.0, 60)).collect();
    let config = config(ZONES, ENGINES, &organisations);
    let mut fleet = Fleet::new(config, engines, policies, load, seed);
    fleet.fair = setup.fair;
    fleet.priorities = setup.priorities;
    fleet.settle(SETTLE);
    fleet.run(WARM_UP);
    let from = fleet.now;
    fleet.run(COUNTED);
    fleet.settle(Span::from_secs(40));
    fleet.records.retain(|record| record.arrived > from);
    fleet.records
}

/// Returns the answered share in per cent, and the 99th percentile of first-token times in
/// milliseconds.
fn figures(records: &[Record], organisations: std::ops::Range<usize>) -> [f64; 2] {
    let mut asked = 0;
    let mut times = Vec::new();
    for record in records {
        if !organisations.contains(&record.organisation) {
            continue;
        }
        asked += 1;
        times.extend(record.first_token.map(|time| time.as_secs_f64() * 1e3));
    }
    times.sort_by(f64::total_cmp);
    [
        100.0 * times.len() as f64 / f64::from(asked),
        quantile(&times, 0.99),
    ]
}

fn main() {
    println!("requests/s {RATES:?}; answered % and p99 of the first token in ms, seeds {SEEDS:?}");
    println!("queue | flood | | small | | large, may reserve | ");
    for setup in SETUPS {
        let mut columns: Vec<Vec<f64>> = vec![Vec::new(); 6];
        for seed in SEEDS {
            let records = run(setup, seed);
            let row = [0..1, 1..5, 5..6].map(|range| figures(&records, range));
            for (column, value) in columns.iter_mut().zip(row.concat()) {
                column.push(value);
            }
        }
        let cells = columns.iter().map(|column| spread(column));
        let cells: Vec<String> = cells
            .map(|(mean, sd)| format!("{mean:.1} ± {sd:.1}"))
            .collect();
        println!("{} | {}", setup.name, cells.join(" | "));
    }
}

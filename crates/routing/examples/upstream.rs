//! Comparison of the balancer with round robin, random and least connections, under even and uneven
//! load.

mod model;

use entity::time::Span;
use model::fleet::{Fleet, Record};
use model::policy::{BalancerPolicy, Baseline, Policy, Rule, config};
use model::{Engine, Load, quantile, spread};

const ZONES: usize = 4;
const ENGINES: usize = 12;
const INSTANCES: usize = 6;

/// Time without load, in which the instances discover each other and the engines.
const SETTLE: Span = Span::from_secs(85);

/// Time whose requests are not counted, in which caches fill.
const WARM_UP: Span = Span::from_secs(30);

/// Time whose requests are counted.
const COUNTED: Span = Span::from_secs(120);

/// Seeds of the report; the constants of the score were chosen on seeds 0 to 3.
const SEEDS: std::ops::Range<u64> = 100..110;

const POLICIES: [(&str, Option<Rule>); 4] = [
    ("citrontrack", None),
    ("round robin", Some(Rule::RoundRobin)),
    ("random", Some(Rule::Random)),
    ("least connections", Some(Rule::LeastConnections)),
];

/// One combination of load and fleet.
struct Scenario {
    name: &'static str,
    load: Load,
    /// Number of engines that run at half speed.
    slow: usize,
    instances: usize,
}

fn scenarios() -> Vec<Scenario> {
    let even = Load {
        rates: vec![70.0],
        instances: INSTANCES,
        skew: 0.0,
        prefixes: 0,
        heavy: false,
        deadline: Span::from_secs(30),
    };
    let scenario = |name, load| Scenario {
        name,
        load,
        slow: 0,
        instances: INSTANCES,
    };
    let prefixes = Load {
        rates: vec![90.0],
        prefixes: 400,
        ..even.clone()
    };
    let heavy = Load {
        rates: vec![40.0],
        heavy: true,
        ..even.clone()
    };
    let skewed = Load {
        skew: 0.5,
        ..even.clone()
    };
    vec![
        scenario("even", even.clone()),
        scenario("shared prefixes", prefixes),
        scenario("long prompts", heavy),
        scenario("uneven instances", skewed),
        Scenario {
            name: "slow engines",
            load: even.clone(),
            slow: 3,
            instances: INSTANCES,
        },
        Scenario {
            name: "many instances",
            load: Load {
                instances: 24,
                ..even
            },
            slow: 3,
            instances: 24,
        },
    ]
}

fn run(scenario: &Scenario, rule: Option<Rule>, seed: u64) -> Vec<Record> {
    let policy = |index: usize| -> Box<dyn Policy> {
        let seed = seed * 100 + index as u64;
        match rule {
            None => Box::new(BalancerPolicy::new(index, scenario.instances, ZONES, seed)),
            Some(rule) => Box::new(Baseline::new(rule, ENGINES, seed)),
        }
    };
    let policies = (0..scenario.instances).map(policy).collect();
    let speed = |index: usize| if index < scenario.slow { 0.5 } else { 1.0 };
    let engines = (0..ENGINES)
        .map(|index| Engine::new(speed(index), 60))
        .collect();
    let config = config(ZONES, ENGINES, &[(1, 0)]);
    let mut fleet = Fleet::new(config, engines, policies, scenario.load.clone(), seed);
    fleet.settle(SETTLE);
    fleet.run(WARM_UP);
    let from = fleet.now;
    fleet.run(COUNTED);
    fleet.settle(Span::from_secs(40));
    fleet.records.retain(|record| record.arrived > from);
    fleet.records
}

fn main() {
    println!("{ENGINES} engines; first-token times in ms over seeds {SEEDS:?}");
    println!("load | policy | mean | p50 | p95 | p99 | not answered");
    for scenario in scenarios() {
        for (name, rule) in POLICIES {
            let mut columns: Vec<Vec<f64>> = vec![Vec::new(); 5];
            for seed in SEEDS {
                let records = run(&scenario, rule, seed);
                let times = records.iter().filter_map(|record| record.first_token);
                let mut times: Vec<f64> = times.map(|time| time.as_secs_f64() * 1e3).collect();
                times.sort_by(f64::total_cmp);
                let missing = (records.len() - times.len()) as f64;
                let (mean, _) = spread(&times);
                let at = |share| quantile(&times, share);
                let row = [mean, at(0.5), at(0.95), at(0.99), missing];
                for (column, value) in columns.iter_mut().zip(row) {
                    column.push(value);
                }
            }
            let cells = columns.iter().map(|column| spread(column));
            let cells: Vec<String> = cells
                .map(|(mean, sd)| format!("{mean:.0} ± {sd:.0}"))
                .collect();
            println!("{} | {name} | {}", scenario.name, cells.join(" | "));
        }
    }
}

//! Cost at the quality target: the judge's choice of version and cascades against fixed policies.
//!
//! Model. A run of eight hours with nine instances, which exchange their totals every 10 s. There
//! are two versions, at 0.1 and 1 credits per 1000 tokens; all answers have 400 tokens. Each kind
//! of request is a service of its own, see the module `demand`. A request has a difficulty, uniform
//! on 0 to 1. The small version's probability of a bad answer is proportional to it, and the large
//! one's is 1 % to 4 %. From the third to the fourth hour the small version's probability is higher
//! by 0.3. The rating service is out from hour 5 to hour 5.5. Qualities, ratings and rating delays
//! are those of the module `common`. A complete answer is held for its rating for up to 10 s. An
//! outage is detected after 5 s. Ratings are free of charge.
//!
//! Policies. Always large; always small; a fixed split of all requests whose mean quality over the
//! run, known in advance, just meets the target; the judge; and an oracle, which knows the
//! versions' true distributions at every time and uses the cheapest of small, large and the best
//! cascade that meets the target by itself.
//!
//! The argument `tuning` selects the seeds on which constants were tuned.

#[path = "../common/mod.rs"]
mod common;
mod demand;
mod policy;
mod simulation;

use common::{Spread, each_seed};
use demand::{Demand, VERMEULEN, WADI};
use policy::Kind;
use simulation::{Total, simulate};
use std::ops::Range;

const TUNING: Range<u64> = 0..8;
const REPORT: Range<u64> = 2000..2020;

/// Returns the totals of one policy for one organisation's services over all seeds.
fn totals(demands: &[Demand], kind: Kind, seeds: Range<u64>) -> Vec<Vec<Total>> {
    each_seed(seeds, |seed| {
        let mut totals = Vec::new();
        for (index, demand) in demands.iter().enumerate() {
            totals.push(simulate(demand, kind, seed * 16 + index as u64));
        }
        totals
    })
}

fn cost(totals: &[Total]) -> f64 {
    totals.iter().map(|total| total.cost).sum()
}

fn main() {
    let is_tuning = std::env::args().any(|argument| argument == "tuning");
    let seeds = if is_tuning { TUNING } else { REPORT };
    for (user, demands) in [("Wadi", &WADI[..]), ("Vermeulen", &VERMEULEN[..])] {
        println!("\n## {user}\n");
        println!("| policy | cost, of always large | cost, of the oracle | services | bad |");
        println!("| --- | --- | --- | --- | --- |");
        let large: Vec<f64> = totals(demands, Kind::Large, seeds.clone())
            .iter()
            .map(|all| cost(all))
            .collect();
        let oracle: Vec<f64> = totals(demands, Kind::Oracle, seeds.clone())
            .iter()
            .map(|all| cost(all))
            .collect();
        for kind in Kind::ALL {
            let all = totals(demands, kind, seeds.clone());
            let relative = |others: &[f64]| {
                let ratios: Vec<f64> = all
                    .iter()
                    .zip(others)
                    .map(|(own, other)| cost(own) / other)
                    .collect();
                Spread::of(&ratios)
            };
            let (of_large, of_oracle) = (relative(&large), relative(&oracle));
            let bad: u32 = all.iter().flatten().map(|total| total.bad).sum();
            let answers: u32 = all.iter().flatten().map(|total| total.answers).sum();
            print!(
                "| {kind} | {:.3} ({:.3} to {:.3}) | {:.3} ({:.3} to {:.3}) |",
                of_large.mean,
                of_large.low,
                of_large.high,
                of_oracle.mean,
                of_oracle.low,
                of_oracle.high
            );
            for (index, demand) in demands.iter().enumerate() {
                let means: Vec<f64> = all.iter().map(|totals| totals[index].mean()).collect();
                let least = means.iter().copied().fold(1.0, f64::min);
                let share: Vec<f64> = all.iter().map(|totals| totals[index].cost).collect();
                print!(
                    " {} {:.3}, least {least:.3}, of {:.2}, {:.0} cr;",
                    demand.name,
                    Spread::of(&means).mean,
                    demand.target,
                    Spread::of(&share).mean,
                );
            }
            println!(" | {:.2} % |", 100.0 * f64::from(bad) / f64::from(answers));
        }
    }
}

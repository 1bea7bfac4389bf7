//! A rollout whose candidate version turns bad: the judge against a fixed canary.
//!
//! Model. Nine instances serve one organisation's requests, which arrive as a Poisson process. Wadi
//! has 6 per second: 60 % from waiting residents (streamed, 2 s) and 40 % drafts (complete, 8 s).
//! Vermeulen has 10 per second: 30 % advisers' questions (streamed, 2 s), 40 % renewal drafts
//! (complete, 8 s) and 30 % tags (complete, 1 s). Answers and ratings are those of the module
//! `common`. A healthy version gives 3 % bad answers; one that turned bad gives 60 % (or 35 % in
//! the runs named mild). All answers of the candidate version are rated, under either policy.
//! Ratings reach the instance that gave the answer; in an outage of the rating service they are
//! lost.
//!
//! The judge: instances send all others their tallies every 2 s, which arrive 0.5 s later; a brake
//! reaches the others 1 s later. The configuration has `share = 2%`, `limit = 10%` (or 20 % in the
//! runs that name it) and `false-alarm = 1%`. A complete answer of the candidate version is held
//! for its rating for up to 10 s.
//!
//! The canary: 10 % of requests, braked when the mean of the last `n` ratings is below a threshold.
//! It receives all instances' ratings at once, and its brake reaches all instances 1 s later. `n`
//! and the threshold are tuned on other seeds for the fewest bad answers among the rules with at
//! most 1 % of false alarms, once on a healthy version and once on one that just meets the target,
//! for which the judge guarantees its rate.

mod canary;
#[path = "../common/mod.rs"]
mod common;
mod judged;
mod plot;
mod workload;

use canary::{Canary, Rule};
use common::{Spread, bad_for, each_seed};
use entity::unit::Share;
use judged::JudgePolicy;
use std::ops::Range;
use workload::{Outcome, Policy, Run, User};

const TUNING: Range<u64> = 0..60;
const REPORT: Range<u64> = 1000..1150;

/// Target of the service, as a mean rating.
pub const TARGET: f64 = 0.8;

/// Limit of the judge's share that equals the canary's share.
const NARROW_LIMIT: Share = Share::percent(10);

/// A limit above the canary's share.
const WIDE_LIMIT: Share = Share::percent(20);

/// Fraction of bad answers of a healthy version.
const HEALTHY: f64 = 0.03;

fn outcomes<P: Policy>(
    run: &Run,
    seeds: Range<u64>,
    policy: impl Fn() -> P + Sync,
) -> Vec<Outcome> {
    each_seed(seeds, |seed| run.simulate(seed, policy()))
}

fn passed(outcomes: &[Outcome]) -> Spread {
    let values: Vec<f64> = outcomes
        .iter()
        .map(|outcome| f64::from(outcome.passed))
        .collect();
    Spread::of(&values)
}

/// Returns the fraction of runs that were braked, for a version that was never bad.
fn alarms(outcomes: &[Outcome]) -> f64 {
    let alarms = outcomes.iter().filter(|outcome| outcome.braked.is_some());
    alarms.count() as f64 / outcomes.len() as f64
}

/// Returns the rule with the fewest bad answers passed on among those with at most 1 % of false
/// alarms.
fn tune(user: User, fraction: f64) -> Rule {
    let good = Run::steady(user, fraction);
    let bad = Run::turning(user, HEALTHY, 0.6);
    let mut best: Option<(f64, Rule)> = None;
    for ratings in [3, 5, 8, 12, 20, 30, 50] {
        for threshold in [0.4, 0.45, 0.5, 0.55, 0.6, 0.65, 0.7] {
            let rule = Rule { ratings, threshold };
            if alarms(&outcomes(&good, TUNING, || Canary::new(rule))) > 0.01 {
                continue;
            }
            let mean = passed(&outcomes(&bad, TUNING, || Canary::new(rule))).mean;
            if best.is_none_or(|(least, _)| mean < least) {
                best = Some((mean, rule));
            }
        }
    }
    best.expect("at least one rule has at most 1 % false alarms")
        .1
}

fn report(name: &str, outcomes: &[Outcome], reference: Option<f64>) -> f64 {
    let spread = passed(outcomes);
    let delays: Vec<f64> = outcomes.iter().filter_map(Outcome::delay).collect();
    let delay = if delays.is_empty() {
        f64::NAN
    } else {
        Spread::of(&delays).median
    };
    let ratio = reference.map_or(String::new(), |other| format!("{:.2}", spread.mean / other));
    println!(
        "| {name} | {:.1} ± {:.1} | {:.0} | {:.0} | {delay:.0} s | {} of {} | {ratio} |",
        spread.mean,
        spread.error,
        spread.median,
        spread.high,
        outcomes
            .iter()
            .filter(|outcome| outcome.braked.is_some())
            .count(),
        outcomes.len(),
    );
    spread.mean
}

fn main() {
    for user in [User::Wadi, User::Vermeulen] {
        println!("\n## {user}\n");
        let loose = tune(user, HEALTHY);
        let strict = tune(user, bad_for(TARGET));
        println!("canary tuned on a healthy version: {loose}");
        println!("canary tuned on one that just meets the target: {strict}\n");
        println!(
            "| run and policy | bad passed on, mean | median | 95 % | brake after, median | braked | to the strict canary |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- |");
        let runs = [
            ("turns bad", Run::turning(user, HEALTHY, 0.6)),
            ("turns mildly bad", Run::turning(user, HEALTHY, 0.35)),
            (
                "bad from the start",
                Run::steady(user, 0.6).bad_from_start(),
            ),
            (
                "turns bad, ratings out",
                Run::turning(user, HEALTHY, 0.6).with_outage(),
            ),
        ];
        for (name, run) in &runs {
            let canary = outcomes(run, REPORT, || Canary::new(strict));
            let reference = report(&format!("{name}: strict canary"), &canary, None);
            let canary = outcomes(run, REPORT, || Canary::new(loose));
            report(&format!("{name}: loose canary"), &canary, Some(reference));
            let judged = outcomes(run, REPORT, || JudgePolicy::new(true, NARROW_LIMIT));
            report(&format!("{name}: judge"), &judged, Some(reference));
            let wide = outcomes(run, REPORT, || JudgePolicy::new(true, WIDE_LIMIT));
            report(
                &format!("{name}: judge, limit 20 %"),
                &wide,
                Some(reference),
            );
            let bare = outcomes(run, REPORT, || JudgePolicy::new(false, NARROW_LIMIT));
            report(
                &format!("{name}: judge, answers not held"),
                &bare,
                Some(reference),
            );
        }
        for (name, bad) in [
            ("healthy", HEALTHY),
            ("just meets the target", bad_for(TARGET)),
        ] {
            let run = Run::steady(user, bad);
            let judged = outcomes(&run, REPORT, || JudgePolicy::new(true, NARROW_LIMIT));
            let loose = outcomes(&run, REPORT, || Canary::new(loose));
            let strict = outcomes(&run, REPORT, || Canary::new(strict));
            let served: Vec<f64> = judged
                .iter()
                .map(|outcome| f64::from(outcome.served))
                .collect();
            println!(
                "\nnever bad, {name}: false alarms judge {:.3}, loose canary {:.3}, strict canary {:.3}; the judge gave the new version {:.0} requests of {:.0}",
                alarms(&judged),
                alarms(&loose),
                alarms(&strict),
                Spread::of(&served).mean,
                run.requests(),
            );
        }
    }
    if let Some(path) = std::env::args().nth(1) {
        let run = Run::turning(User::Vermeulen, HEALTHY, 0.6);
        let strict = tune(User::Vermeulen, bad_for(TARGET));
        let canary = outcomes(&run, REPORT, || Canary::new(strict));
        let judged = outcomes(&run, REPORT, || JudgePolicy::new(true, NARROW_LIMIT));
        plot::write(&path, &canary, &judged).expect("the plot can be written");
    }
}

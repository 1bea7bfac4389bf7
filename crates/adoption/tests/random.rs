//! Long randomised runs of the adoption protocol in larger models.
//!
//! `ADOPTION_SEEDS=n` runs the seeds from 0 to n, excluding n; the default is 200.

mod world;

use googletest::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::BTreeMap;
use world::{Action, Fate, Limits, World};

const SEED_COUNT: u64 = 200;
const STEP_COUNT: usize = 300;

const LIMITS: Limits = Limits {
    publishers: 3,
    readers: 4,
    copies: 4,
    publications: 4,
    checkpoints: 24,
    expiries: 80,
    restarts: 4,
    history: 2,
    invalid: true,
};

fn seeds() -> u64 {
    let seeds = std::env::var("ADOPTION_SEEDS").ok();
    seeds
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEED_COUNT)
}

/// Returns the kind of fault that a step injects, if any.
fn fault(action: Action) -> Option<&'static str> {
    match action {
        Action::Append(_, Fate::Lost) => Some("lost replies"),
        Action::Append(_, Fate::Late) => Some("late appends"),
        Action::Drop(_) => Some("dropped appends"),
        Action::Expire => Some("expired records"),
        Action::Replace(_) => Some("replaced readers"),
        _ => None,
    }
}

/// Returns the relative frequency of a step. Expiry is rarer than reading, except in the runs in
/// which records expire faster than publishers read them.
fn weight(action: Action, fast_expiry: bool) -> u32 {
    match action {
        Action::Follow(_) | Action::Land(_) if fast_expiry => 1,
        Action::Expire if fast_expiry => 6,
        Action::Expire | Action::Replace(_) | Action::Drop(_) => 1,
        Action::Append(_, _) | Action::Checkpoint(_) => 2,
        _ => 6,
    }
}

fn draw(actions: &[Action], fast_expiry: bool, rng: &mut ChaCha8Rng) -> Action {
    let total: u32 = actions
        .iter()
        .map(|action| weight(*action, fast_expiry))
        .sum();
    let mut remaining = rng.random_range(0..total);
    for action in actions {
        if remaining < weight(*action, fast_expiry) {
            return *action;
        }
        remaining -= weight(*action, fast_expiry);
    }
    actions[0]
}

#[derive(Default)]
struct Tally {
    faults: BTreeMap<&'static str, u64>,
    outcomes: [usize; 3],
    violations: Vec<(u64, &'static str)>,
}

fn run(seed: u64, tally: &mut Tally) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(LIMITS, None);
    for _ in 0..STEP_COUNT {
        let actions = world.actions();
        if actions.is_empty() {
            break;
        }
        let action = draw(&actions, seed.is_multiple_of(4), &mut rng);
        if let Some(fault) = fault(action) {
            *tally.faults.entry(fault).or_default() += 1;
        }
        world = world.after(action);
    }
    settle(&mut world);
    if world.violation.is_none() && world.is_stuck() {
        world.violation = Some("a publisher has read to the end without a verdict");
    }
    if let Some(violation) = world.violation {
        tally.violations.push((seed, violation));
    }
    for (total, count) in tally.outcomes.iter_mut().zip(world.outcomes()) {
        *total += count;
    }
}

/// Completes all appends in flight and lets every publisher and reader read to the end.
fn settle(world: &mut World) {
    loop {
        let mut actions = world.actions().into_iter();
        let next = actions.find(|action| {
            matches!(
                action,
                Action::Land(_) | Action::Follow(_) | Action::Read(_)
            )
        });
        let Some(action) = next else {
            return;
        };
        *world = world.after(action);
    }
}

#[gtest]
fn no_run_violates_an_invariant() {
    let mut tally = Tally::default();
    let seeds = seeds();
    for seed in 0..seeds {
        run(seed, &mut tally);
    }
    let [accepted, rejected, unknown] = tally.outcomes;
    println!("{seeds} runs; faults {:?}", tally.faults);
    println!("last outcomes: {accepted} accepted, {rejected} rejected, {unknown} unknown");
    println!("violations {:?}", tally.violations);
    expect_that!(tally.violations, eq(&Vec::new()));
    // The runs are significant only if every fault occurred and both verdicts were reported.
    expect_that!(tally.faults.len(), eq(5));
    expect_that!(accepted.min(rejected), gt(0));
}

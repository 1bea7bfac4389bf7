//! Long randomised runs of the adoption protocol in larger worlds.
//!
//! `ADOPTION_SEEDS=n` runs the seeds from 0 to n; without it, 0 to 200.

mod world;

use googletest::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::BTreeMap;
use world::{Action, Fate, Limits, World};

const SEEDS: u64 = 200;
const STEPS: usize = 300;

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
    seeds.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// What fault a step is, if any.
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

/// How often a step is drawn, in relation to the others. Expiry is rarer than reading, but for the
/// runs in which the log forgets faster than publishers read.
fn weight(action: Action, forgetful: bool) -> u32 {
    match action {
        Action::Follow(_) | Action::Land(_) if forgetful => 1,
        Action::Expire if forgetful => 6,
        Action::Expire | Action::Replace(_) | Action::Drop(_) => 1,
        Action::Append(_, _) | Action::Checkpoint(_) => 2,
        _ => 6,
    }
}

fn draw(actions: &[Action], forgetful: bool, rng: &mut ChaCha8Rng) -> Action {
    let total: u32 = actions
        .iter()
        .map(|action| weight(*action, forgetful))
        .sum();
    let mut left = rng.random_range(0..total);
    for action in actions {
        if left < weight(*action, forgetful) {
            return *action;
        }
        left -= weight(*action, forgetful);
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
    for _ in 0..STEPS {
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
        world.violation = Some("a publisher has read to the end and got no answer");
    }
    if let Some(violation) = world.violation {
        tally.violations.push((seed, violation));
    }
    for (total, count) in tally.outcomes.iter_mut().zip(world.outcomes()) {
        *total += count;
    }
}

/// Lets everything under way land and everybody read to the end.
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
    println!("last answers: {accepted} accepted, {rejected} rejected, {unknown} unknown");
    println!("violations {:?}", tally.violations);
    expect_that!(tally.violations, eq(&Vec::new()));
    // The runs mean something only if every fault occurred and publishers were told both answers.
    expect_that!(tally.faults.len(), eq(5));
    expect_that!(accepted.min(rejected), gt(0));
}

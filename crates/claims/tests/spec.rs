//! Exploration of the claims model: exhaustive at a small size, random at a larger size, and with
//! one rule omitted at a time.

mod model;

use googletest::prelude::*;
use model::{Action, Mutation, Spec, State};
use pathfinding::directed::bfs::{bfs, bfs_reach};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of steps in one random run.
const STEPS_PER_RUN: usize = 120;

/// Number of random runs, unless `CLAIMS_SEEDS` is set.
const RUNS: u64 = 200;

const SMALL: Spec = Spec {
    mutation: Mutation::None,
    numbered: true,
    instances: 2,
    attempts: 2,
    resends: 1,
    kills: 1,
    ticks: 0,
};

const AGEING: Spec = Spec {
    resends: 0,
    kills: 0,
    ticks: 3,
    ..SMALL
};

fn successors(spec: &Spec, state: &State) -> Vec<State> {
    let steps = spec.steps(state);
    steps.into_iter().map(|(_, next)| next).collect()
}

fn explore(name: &str, spec: &Spec) -> usize {
    let mut states = 0;
    for state in bfs_reach(spec.start(), |state| successors(spec, state)) {
        states += 1;
        let violation = spec.violation(&state);
        assert!(violation.is_none(), "{name}: {violation:?} in {state:#?}");
    }
    println!("{name}: {states} states, 0 violations");
    states
}

/// Returns the length of the shortest path to a violation, which must exist.
fn shortest_violation(spec: &Spec) -> usize {
    let path = bfs(
        &spec.start(),
        |state| successors(spec, state),
        |state| spec.violation(state).is_some(),
    );
    let path = path.unwrap_or_else(|| panic!("{:?} was not detected", spec.mutation));
    let last = path.last().expect("a path has a start");
    let violation = spec.violation(last);
    println!(
        "{:?}: {violation:?} after {} steps",
        spec.mutation,
        path.len() - 1
    );
    path.len()
}

#[gtest]
fn no_violation_with_lost_replies_and_late_appends() {
    let spec = Spec { kills: 0, ..SMALL };
    expect_that!(explore("numbered, lost replies", &spec), gt(1000));
}

#[gtest]
fn no_violation_after_a_holder_failed() {
    let spec = Spec {
        resends: 0,
        ..SMALL
    };
    expect_that!(explore("numbered, death", &spec), gt(1000));
}

#[gtest]
fn no_violation_if_callers_do_not_number_attempts() {
    let spec = Spec {
        numbered: false,
        kills: 0,
        ..SMALL
    };
    expect_that!(explore("unnumbered, lost replies", &spec), gt(1000));
}

#[gtest]
fn no_violation_while_records_expire() {
    expect_that!(explore("retention", &AGEING), gt(1000));
}

#[gtest]
fn dispatch_before_reading_is_detected() {
    let mutation = Mutation::DispatchUnread;
    expect_that!(shortest_violation(&Spec { mutation, ..SMALL }), gt(1));
}

#[gtest]
fn missing_tombstone_is_detected() {
    let spec = Spec {
        mutation: Mutation::NoTombstone,
        numbered: false,
        ..SMALL
    };
    expect_that!(shortest_violation(&spec), gt(1));
}

#[gtest]
fn ignored_order_is_detected() {
    let mutation = Mutation::OrderIgnored;
    expect_that!(shortest_violation(&Spec { mutation, ..SMALL }), gt(1));
}

#[gtest]
fn not_run_in_an_outage_is_detected() {
    let mutation = Mutation::NotRunInOutage;
    expect_that!(shortest_violation(&Spec { mutation, ..SMALL }), gt(1));
}

#[gtest]
fn not_run_without_excluding_earlier_attempts_is_detected() {
    let mutation = Mutation::NotRunUnexcluded;
    expect_that!(shortest_violation(&Spec { mutation, ..SMALL }), gt(1));
}

#[gtest]
fn admission_of_an_expired_key_is_detected() {
    let mutation = Mutation::ExpiredAdmitted;
    expect_that!(shortest_violation(&Spec { mutation, ..AGEING }), gt(1));
}

#[derive(Default)]
struct Faults {
    lost_replies: usize,
    late_appends: usize,
    outages: usize,
    kills: usize,
    ticks: usize,
    runs: usize,
}

impl Faults {
    fn count(&mut self, action: Action, before: &State) {
        match action {
            Action::LostReply(_) => self.lost_replies += 1,
            Action::Append(_) if before.sent.len() > 1 => self.late_appends += 1,
            Action::Outage(_) => self.outages += 1,
            Action::Kill(_) => self.kills += 1,
            Action::Tick => self.ticks += 1,
            Action::Dispatch(_) => self.runs += 1,
            _ => {}
        }
    }
}

fn is_rare(action: Action) -> bool {
    use Action::{Kill, Outage, Release, Tick};
    matches!(action, Release(_) | Kill(_) | Outage(_) | Tick)
}

fn random_run(spec: &Spec, seed: u64, faults: &mut Faults) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut state = spec.start();
    for step in 0..STEPS_PER_RUN {
        let mut steps = spec.steps(&state);
        // Faults are kept rare, since otherwise hardly any run would reach a dispatch.
        if rng.random_range(0..20) > 0 {
            steps.retain(|(action, _)| !is_rare(*action));
        }
        if steps.is_empty() {
            continue;
        }
        let (action, next) = steps.swap_remove(rng.random_range(0..steps.len()));
        faults.count(action, &state);
        state = next;
        let violation = spec.violation(&state);
        assert!(
            violation.is_none(),
            "seed {seed}, step {step}: {violation:?} in {state:#?}"
        );
    }
}

#[gtest]
fn random_runs_keep_the_invariants() {
    let seeds = std::env::var("CLAIMS_SEEDS").ok();
    let seeds = seeds.map_or(RUNS, |count| count.parse().expect("a number of seeds"));
    let mut faults = Faults::default();
    for seed in 0..seeds {
        let spec = Spec {
            numbered: seed % 2 == 0,
            instances: 3,
            attempts: 5,
            resends: 2,
            kills: 3,
            ticks: 8,
            ..SMALL
        };
        random_run(&spec, seed, &mut faults);
    }
    println!(
        "{seeds} runs, {} dispatches; faults: {} lost replies, {} late appends, {} outages, \
         {} kills, {} ticks of retention; 0 violations",
        faults.runs,
        faults.lost_replies,
        faults.late_appends,
        faults.outages,
        faults.kills,
        faults.ticks
    );
    expect_that!(faults.runs, gt(0));
}

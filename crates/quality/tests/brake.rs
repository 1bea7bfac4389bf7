//! The rollout's sequential test: false alarms, detection, and tallies of several instances.

mod support;

use entity::unit::Share;
use entity::{Generation, Moment, Span, id, id::Id};
use googletest::prelude::*;
use proptest::prelude::*;
use quality::evidence::{Evidence, OPEN_WINDOWS, Tally, WINDOW};
use quality::{Judge, Summary};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::*;

/// Returns a score of 0 or 1 with the given mean: the largest variance that the mean allows.
fn binary_score(rng: &mut impl Rng, mean: f64) -> f64 {
    f64::from(u8::from(rng.random_bool(mean)))
}

/// Returns a score with the given mean of at least 0.5 and a small deviation.
fn narrow_score(rng: &mut impl Rng, mean: f64) -> f64 {
    let spread = 1.0 - mean;
    mean + spread * rng.random_range(-1.0..=1.0)
}

/// Returns a judge with a rollout of `NEW` against a target of 80 %.
fn judge(source: &str, false_alarm: &str, observers: u32) -> Judge {
    let mut judge = Judge::new(1, source);
    judge.set_observers(observers);
    let config = config("80%", false, vec![rollout("5%", "50%", false_alarm)]);
    judge.configure(&config, Generation(1));
    judge
}

fn braked(judge: &Judge) -> bool {
    judge.is_braked(id::Service::new(0), id(NEW))
}

/// Returns the number of ratings up to and including the one that brakes, or `None` if none of them
/// does.
fn ratings_until_brake(
    judge: &mut Judge,
    mut score: impl FnMut(u32) -> f64,
    ratings: u32,
    interval: f64,
) -> Option<u32> {
    for n in 0..ratings {
        rate(judge, NEW, score(n), second(f64::from(n) * interval));
        if braked(judge) {
            return Some(n + 1);
        }
    }
    None
}

/// Returns the number of false alarms that a rate allows over a number of runs, with a margin of
/// three standard deviations.
fn max_false_alarms(rate: f64, runs: u32) -> u32 {
    let mean = rate * f64::from(runs);
    (mean + 3.0 * (mean * (1.0 - rate)).sqrt()).floor() as u32
}

#[gtest]
fn single_observer_stays_within_false_alarm_rate() {
    const RUNS: u32 = 2000;
    for (kind, name) in [(0, "harsh"), (1, "mild")] {
        let mut alarms = 0;
        for seed in 0..RUNS {
            let mut rng = ChaCha8Rng::seed_from_u64(u64::from(seed));
            let score = |_| match kind {
                0 => binary_score(&mut rng, 0.8),
                _ => narrow_score(&mut rng, 0.8),
            };
            let mut judge = judge("i", "5%", 1);
            alarms += u32::from(ratings_until_brake(&mut judge, score, 1000, 1.0).is_some());
        }
        println!("{name}: {alarms} false alarms in {RUNS} runs");
        expect_that!(alarms, le(max_false_alarms(0.05, RUNS)), "{name}");
    }
}

#[gtest]
fn test_alarms_under_null_hypothesis() {
    // A test that never alarms would pass the test above.
    let alarms = (0..1000_u64).filter(|seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(*seed);
        let mut judge = judge("i", "20%", 1);
        ratings_until_brake(&mut judge, |_| binary_score(&mut rng, 0.8), 1000, 1.0).is_some()
    });
    expect_that!(alarms.count(), ge(20));
}

#[gtest]
fn several_observers_together_stay_within_false_alarm_rate() {
    const RUNS: u32 = 400;
    const OBSERVERS: usize = 8;
    let mut alarms = 0;
    for seed in 0..RUNS {
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(seed));
        let mut judges: Vec<_> = (0..OBSERVERS)
            .map(|n| judge(&format!("i{n}"), "5%", OBSERVERS as u32))
            .collect();
        for n in 0..400 {
            let at = second(f64::from(n));
            let seen = rng.random_range(0..OBSERVERS);
            let score = binary_score(&mut rng, 0.8);
            rate(&mut judges[seen], NEW, score, at);
            // In each round a random instance receives tallies from another: late, in any order and
            // often twice.
            let sender = rng.random_range(0..OBSERVERS);
            let receiver = rng.random_range(0..OBSERVERS);
            for summary in judges[sender].summaries(at) {
                judges[receiver].merge(&summary, at);
            }
        }
        alarms += u32::from(judges.iter().any(braked));
    }
    println!("{alarms} runs of {RUNS} with a false alarm at any of {OBSERVERS} observers");
    expect_that!(alarms, le(max_false_alarms(0.05, RUNS)));
}

#[gtest]
fn bad_version_is_braked_within_few_ratings() {
    for (mean, max_ratings) in [(0.2, 25), (0.5, 60), (0.7, 600)] {
        for seed in 0..100 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut judge = judge("i", "1%", 16);
            let braked =
                ratings_until_brake(&mut judge, |_| binary_score(&mut rng, mean), 3000, 1.0);
            expect_that!(
                braked,
                some(le(max_ratings * 2)),
                "mean {mean}, seed {seed}"
            );
        }
    }
}

#[gtest]
fn version_that_turns_bad_late_is_braked() {
    const GOOD: u32 = 5000;
    for seed in 0..30 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let score = |n| binary_score(&mut rng, if n < GOOD { 0.95 } else { 0.3 });
        let mut judge = judge("i", "1%", 16);
        let braked = ratings_until_brake(&mut judge, score, GOOD + 500, 1.0);
        expect_that!(braked, some(all!(gt(GOOD), le(GOOD + 80))), "seed {seed}");
    }
}

#[gtest]
fn weak_evidence_of_many_instances_adds_up_to_brake() {
    let mut judges: Vec<_> = (0..20).map(|n| judge(&format!("i{n}"), "1%", 20)).collect();
    for judge in &mut judges {
        for n in 0..2 {
            rate(judge, NEW, 0.1, second(f64::from(n)));
        }
        expect_false!(braked(judge));
    }
    let at = second(2.0);
    let sent: Vec<Summary> = judges
        .iter()
        .flat_map(|judge| judge.summaries(at))
        .collect();
    let mut last = judges.pop().expect("a judge");
    for summary in &sent {
        last.merge(summary, at);
    }
    expect_true!(braked(&last));
    // The others apply the verdict without the tallies.
    for verdict in last.take_verdicts() {
        for judge in &mut judges {
            expect_true!(judge.apply(&verdict));
            expect_true!(braked(judge));
            expect_false!(judge.apply(&verdict));
        }
    }
}

#[gtest]
fn ratings_of_another_version_do_not_brake() {
    let mut judge = judge("i", "1%", 1);
    for n in 0..1000 {
        rate(&mut judge, SMALL, 0.0, second(f64::from(n)));
    }
    expect_false!(braked(&judge));
    expect_that!(judge.take_verdicts(), is_empty());
}

#[gtest]
fn share_grows_with_good_ratings_up_to_limit() {
    let service = id::Service::new(0);
    let mut judge = judge("i", "1%", 16);
    let mut last = judge.canary_share(service, second(0.0));
    expect_that!(last, eq(share("5%")));
    for n in 0..400 {
        let at = second(f64::from(n));
        rate(&mut judge, NEW, 0.95, at);
        let now = judge.canary_share(service, at);
        expect_that!(now, all!(ge(last), le(share("50%"))));
        last = now;
    }
    expect_that!(last, eq(share("50%")));
    // Without ratings for a long time the share falls back.
    expect_that!(judge.canary_share(service, second(1e6)), eq(share("5%")));
}

#[gtest]
fn share_does_not_grow_without_good_ratings() {
    let service = id::Service::new(0);
    let mut judge = judge("i", "0.01%", 1000);
    for n in 0..60 {
        let at = second(f64::from(n));
        rate(&mut judge, NEW, if n % 4 == 0 { 0.3 } else { 0.9 }, at);
        if !braked(&judge) {
            expect_that!(judge.canary_share(service, at), eq(share("5%")));
        }
    }
    let idle = self::judge("j", "1%", 16);
    expect_that!(idle.canary_share(service, second(1e5)), eq(share("5%")));
}

#[gtest]
fn future_windows_and_invalid_tallies_are_rejected() {
    let mut sender = judge("a", "1%", 1);
    rate(&mut sender, NEW, 0.5, second(1e4));
    let summary = sender.summaries(second(1e4)).pop().expect("a summary");
    let mut judge = judge("b", "1%", 1);
    expect_false!(judge.merge(&summary, second(0.0)));
    let mut broken = summary.clone();
    broken.tally.wealth[0] = f64::NAN;
    expect_false!(judge.merge(&broken, second(1e4)));
    let mut other = summary.clone();
    other.target = Share::percent(70);
    expect_false!(judge.merge(&other, second(1e4)));
    expect_true!(judge.merge(&summary, second(1e4)));
}

/// Computes the test value by its definition, each start by itself.
fn test_value_by_definition(target: f64, ratings: &[(u64, f64)], windows: u64) -> f64 {
    let start_weight = |windows: u64| match windows {
        0 => 0.0,
        windows => 1.0 - 0.5 / (1.0 + (windows as f64).ln()),
    };
    let mut value = 1.0 - start_weight(windows);
    for start in 0..windows {
        let mut tally = Tally::default();
        for (window, score) in ratings {
            if *window >= start {
                tally.add(target, *score, 1.0);
            }
        }
        let mean: f64 = tally.wealth.iter().map(|log| log.exp()).sum::<f64>() / 5.0;
        value += (start_weight(start + 1) - start_weight(start)) * mean;
    }
    value.ln()
}

fn moment(window: u64) -> Moment {
    second(0.0) + Span::from_micros(WINDOW.as_micros() * window)
}

proptest! {
    #![proptest_config(fixed(300))]

    /// Ratings over more windows than stay open give the value of the definition.
    #[test]
    fn closed_windows_keep_their_weight(
        steps in prop::collection::vec((0_u64..OPEN_WINDOWS / 2, 0.0..=1.0_f64), 1..40),
    ) {
        let mut evidence = Evidence::new(0.8);
        let mut window = 0;
        let mut ratings = Vec::new();
        for (step, score) in steps {
            if !ratings.is_empty() {
                window += step;
            }
            evidence.add("i", score, 1.0, moment(window));
            ratings.push((window, score));
        }
        let expected = test_value_by_definition(0.8, &ratings, window + 1);
        prop_assert!((evidence.log_value() - expected).abs() < 1e-6);
    }

    /// Tallies arrive in any order, some twice and some after later ones.
    #[test]
    fn tallies_of_instances_add_up_in_any_order(
        scores in prop::collection::vec((0..3_usize, 0_u64..4, 0.0..=1.0_f64), 1..40),
        order in prop::collection::vec(any::<prop::sample::Index>(), 120),
    ) {
        let sources = ["a", "b", "c"];
        let mut whole = Evidence::new(0.8);
        let mut own = [const { Vec::<(u64, Tally)>::new() }; 3];
        let mut sent = Vec::new();
        whole.merge("start", 0, &Tally { ratings: 1, ..Tally::default() }, moment(0));
        for (source, window, score) in scores {
            let tally = match own[source].iter_mut().find(|(known, _)| *known == window) {
                Some((_, tally)) => tally,
                None => {
                    own[source].push((window, Tally::default()));
                    &mut own[source].last_mut().expect("pushed").1
                }
            };
            tally.add(0.8, score, 1.0);
            sent.push((sources[source], window, *tally));
            whole.merge(sources[source], window, tally, moment(window));
        }
        let mut mixed = Evidence::new(0.8);
        mixed.merge("start", 0, &Tally { ratings: 1, ..Tally::default() }, moment(0));
        for index in &order {
            let (source, window, tally) = index.get(&sent);
            mixed.merge(source, *window, tally, moment(*window));
        }
        for (source, window, tally) in &sent {
            mixed.merge(source, *window, tally, moment(*window));
        }
        prop_assert!((mixed.log_value() - whole.log_value()).abs() < 1e-6);
        prop_assert_eq!(mixed.all().ratings, whole.all().ratings);
    }
}

#[gtest]
fn high_cusum_keeps_only_held_answers_on_candidate() {
    let mut judge = Judge::new(1, "i");
    let config = config("80%", true, vec![rollout("4%", "40%", "1%")]);
    judge.configure(&config, Generation(1));
    for n in 0..200 {
        rate(&mut judge, NEW, 0.95, second(f64::from(n)));
    }
    let candidates = [id(LARGE), id(NEW)];
    let first = |judge: &mut Judge, position: &str, streamed: bool, at: f64| {
        let query = quality::Query {
            streamed,
            ..query(&candidates, share(position), second(at))
        };
        judge.plan(&query).expect("a plan").first == id(NEW)
    };
    expect_true!(first(&mut judge, "39%", true, 200.0));
    expect_true!(first(&mut judge, "39%", false, 200.0));
    for n in 0..3 {
        rate(&mut judge, NEW, 0.1, second(200.0 + f64::from(n)));
    }
    expect_false!(braked(&judge));
    expect_true!(first(&mut judge, "39%", false, 203.0));
    expect_false!(first(&mut judge, "1%", true, 203.0));
    expect_true!(first(&mut judge, "0.9%", true, 203.0));
    // Good ratings lower the CUSUM statistic again.
    for n in 0..10 {
        rate(&mut judge, NEW, 0.95, second(203.0 + f64::from(n)));
    }
    expect_true!(first(&mut judge, "39%", true, 213.0));
    // After a while without ratings the share falls back to the initial one.
    expect_false!(first(&mut judge, "39%", true, 250.0));
    expect_true!(first(&mut judge, "3%", true, 250.0));
}

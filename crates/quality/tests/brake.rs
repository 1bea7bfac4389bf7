//! The roll-out's sequential test: false alarms, detection, and the sums of several instances.

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

/// A score with a mean, all or nothing: the largest variance that a mean allows.
fn harsh(rng: &mut impl Rng, mean: f64) -> f64 {
    f64::from(u8::from(rng.random_bool(mean)))
}

/// A score with a mean of at least 0.5 and a small, skewed deviation.
fn mild(rng: &mut impl Rng, mean: f64) -> f64 {
    let spread = 1.0 - mean;
    mean + spread * rng.random_range(-1.0..=1.0)
}

/// A judge with a roll-out of `NEW` against a target of 80 %.
fn judge(source: &str, false_alarm: &str, viewers: u32) -> Judge {
    let mut judge = Judge::new(1, source);
    judge.set_viewers(viewers);
    let config = config("80%", false, vec![rollout("5%", "50%", false_alarm)]);
    judge.configure(&config, Generation(1));
    judge
}

fn braked(judge: &Judge) -> bool {
    judge.braked(id::Service::new(0), id(NEW))
}

/// Ratings up to and including the one that brakes; none if none of them does.
fn ratings_until_brake(
    judge: &mut Judge,
    mut score: impl FnMut(u32) -> f64,
    ratings: u32,
    apart: f64,
) -> Option<u32> {
    for n in 0..ratings {
        rate(judge, NEW, score(n), second(f64::from(n) * apart));
        if braked(judge) {
            return Some(n + 1);
        }
    }
    None
}

/// False alarms that a rate allows over some runs, with three standard deviations to spare.
fn allowed(rate: f64, runs: u32) -> u32 {
    let mean = rate * f64::from(runs);
    (mean + 3.0 * (mean * (1.0 - rate)).sqrt()).floor() as u32
}

#[gtest]
fn one_viewer_keeps_to_the_rate_of_false_alarms() {
    const RUNS: u32 = 2000;
    for (kind, name) in [(0, "harsh"), (1, "mild")] {
        let mut alarms = 0;
        for seed in 0..RUNS {
            let mut rng = ChaCha8Rng::seed_from_u64(u64::from(seed));
            let score = |_| match kind {
                0 => harsh(&mut rng, 0.8),
                _ => mild(&mut rng, 0.8),
            };
            let mut judge = judge("i", "5%", 1);
            alarms += u32::from(ratings_until_brake(&mut judge, score, 1000, 1.0).is_some());
        }
        println!("{name}: {alarms} false alarms in {RUNS} runs");
        expect_that!(alarms, le(allowed(0.05, RUNS)), "{name}");
    }
}

#[gtest]
fn the_test_is_not_idle_under_the_null() {
    // A test that never alarms would pass the test above.
    let alarms = (0..1000_u64).filter(|seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(*seed);
        let mut judge = judge("i", "20%", 1);
        ratings_until_brake(&mut judge, |_| harsh(&mut rng, 0.8), 1000, 1.0).is_some()
    });
    expect_that!(alarms.count(), ge(20));
}

#[gtest]
fn several_viewers_together_keep_to_the_rate_of_false_alarms() {
    const RUNS: u32 = 400;
    const VIEWERS: usize = 8;
    let mut alarms = 0;
    for seed in 0..RUNS {
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(seed));
        let mut judges: Vec<_> = (0..VIEWERS)
            .map(|n| judge(&format!("i{n}"), "5%", VIEWERS as u32))
            .collect();
        for n in 0..400 {
            let at = second(f64::from(n));
            let seen = rng.random_range(0..VIEWERS);
            let score = harsh(&mut rng, 0.8);
            rate(&mut judges[seen], NEW, score, at);
            // Each round some instance hears some other: late, in any order and often twice.
            let teller = rng.random_range(0..VIEWERS);
            let hearer = rng.random_range(0..VIEWERS);
            for summary in judges[teller].summaries(at) {
                judges[hearer].merge(&summary, at);
            }
        }
        alarms += u32::from(judges.iter().any(braked));
    }
    println!("{alarms} runs of {RUNS} with a false alarm at any of {VIEWERS} viewers");
    expect_that!(alarms, le(allowed(0.05, RUNS)));
}

#[gtest]
fn a_bad_version_is_braked_within_few_ratings() {
    for (mean, most) in [(0.2, 25), (0.5, 60), (0.7, 600)] {
        for seed in 0..100 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut judge = judge("i", "1%", 16);
            let braked = ratings_until_brake(&mut judge, |_| harsh(&mut rng, mean), 3000, 1.0);
            expect_that!(braked, some(le(most * 2)), "mean {mean}, seed {seed}");
        }
    }
}

#[gtest]
fn a_version_that_turns_bad_late_is_braked_as_well() {
    const GOOD: u32 = 5000;
    for seed in 0..30 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let score = |n| harsh(&mut rng, if n < GOOD { 0.95 } else { 0.3 });
        let mut judge = judge("i", "1%", 16);
        let braked = ratings_until_brake(&mut judge, score, GOOD + 500, 1.0);
        expect_that!(braked, some(all!(gt(GOOD), le(GOOD + 80))), "seed {seed}");
    }
}

#[gtest]
fn weak_evidence_of_many_instances_adds_up() {
    let mut judges: Vec<_> = (0..20).map(|n| judge(&format!("i{n}"), "1%", 20)).collect();
    for judge in &mut judges {
        for n in 0..2 {
            rate(judge, NEW, 0.1, second(f64::from(n)));
        }
        expect_false!(braked(judge));
    }
    let at = second(2.0);
    let told: Vec<Summary> = judges
        .iter()
        .flat_map(|judge| judge.summaries(at))
        .collect();
    let mut last = judges.pop().expect("a judge");
    for summary in &told {
        last.merge(summary, at);
    }
    expect_true!(braked(&last));
    // The others learn of it from the verdict alone.
    for verdict in last.take_verdicts() {
        for judge in &mut judges {
            expect_true!(judge.apply(&verdict));
            expect_true!(braked(judge));
            expect_false!(judge.apply(&verdict));
        }
    }
}

#[gtest]
fn ratings_that_are_missing_or_of_another_version_brake_nothing() {
    let mut judge = judge("i", "1%", 1);
    for n in 0..1000 {
        rate(&mut judge, SMALL, 0.0, second(f64::from(n)));
    }
    expect_false!(braked(&judge));
    expect_that!(judge.take_verdicts(), is_empty());
}

#[gtest]
fn the_share_grows_with_good_ratings_up_to_its_limit() {
    let service = id::Service::new(0);
    let mut judge = judge("i", "1%", 16);
    let mut last = judge.share(service, second(0.0));
    expect_that!(last, eq(share("5%")));
    for n in 0..400 {
        let at = second(f64::from(n));
        rate(&mut judge, NEW, 0.95, at);
        let now = judge.share(service, at);
        expect_that!(now, all!(ge(last), le(share("50%"))));
        last = now;
    }
    expect_that!(last, eq(share("50%")));
    // Without ratings for long it goes back.
    expect_that!(judge.share(service, second(1e6)), eq(share("5%")));
}

#[gtest]
fn the_share_does_not_grow_without_ratings_or_on_poor_ones() {
    let service = id::Service::new(0);
    let mut judge = judge("i", "0.01%", 1000);
    for n in 0..60 {
        let at = second(f64::from(n));
        rate(&mut judge, NEW, if n % 4 == 0 { 0.3 } else { 0.9 }, at);
        if !braked(&judge) {
            expect_that!(judge.share(service, at), eq(share("5%")));
        }
    }
    let idle = self::judge("j", "1%", 16);
    expect_that!(idle.share(service, second(1e5)), eq(share("5%")));
}

#[gtest]
fn a_window_from_the_future_and_broken_sums_are_refused() {
    let mut teller = judge("a", "1%", 1);
    rate(&mut teller, NEW, 0.5, second(1e4));
    let summary = teller.summaries(second(1e4)).pop().expect("a summary");
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

/// The value of the test worked out from its definition: each start by itself.
fn by_definition(target: f64, ratings: &[(u64, f64)], windows: u64) -> f64 {
    let started = |windows: u64| match windows {
        0 => 0.0,
        windows => 1.0 - 0.5 / (1.0 + (windows as f64).ln()),
    };
    let mut value = 1.0 - started(windows);
    for start in 0..windows {
        let mut tally = Tally::default();
        for (window, score) in ratings {
            if *window >= start {
                tally.add(target, *score, 1.0);
            }
        }
        let mean: f64 = tally.wealth.iter().map(|log| log.exp()).sum::<f64>() / 5.0;
        value += (started(start + 1) - started(start)) * mean;
    }
    value.ln()
}

fn moment(window: u64) -> Moment {
    second(0.0) + Span::from_micros(WINDOW.as_micros() * window)
}

proptest! {
    #![proptest_config(fixed(300))]

    /// Ratings over more windows than stay open give the value by definition.
    #[test]
    fn settled_windows_keep_their_weight(
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
        let expected = by_definition(0.8, &ratings, window + 1);
        prop_assert!((evidence.log_value() - expected).abs() < 1e-6);
    }

    /// Sums arrive in any order, some twice and some overtaken by later ones.
    #[test]
    fn sums_of_instances_add_up_in_any_order(
        scores in prop::collection::vec((0..3_usize, 0_u64..4, 0.0..=1.0_f64), 1..40),
        order in prop::collection::vec(any::<prop::sample::Index>(), 120),
    ) {
        let sources = ["a", "b", "c"];
        let mut whole = Evidence::new(0.8);
        let mut own = [const { Vec::<(u64, Tally)>::new() }; 3];
        let mut told = Vec::new();
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
            told.push((sources[source], window, *tally));
            whole.merge(sources[source], window, tally, moment(window));
        }
        let mut mixed = Evidence::new(0.8);
        mixed.merge("start", 0, &Tally { ratings: 1, ..Tally::default() }, moment(0));
        for index in &order {
            let (source, window, tally) = index.get(&told);
            mixed.merge(source, *window, tally, moment(*window));
        }
        for (source, window, tally) in &told {
            mixed.merge(source, *window, tally, moment(*window));
        }
        prop_assert!((mixed.log_value() - whole.log_value()).abs() < 1e-6);
        prop_assert_eq!(mixed.all().ratings, whole.all().ratings);
    }
}

#[gtest]
fn under_suspicion_only_answers_that_are_held_go_on() {
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
    // Good ratings take the suspicion back.
    for n in 0..10 {
        rate(&mut judge, NEW, 0.95, second(203.0 + f64::from(n)));
    }
    expect_true!(first(&mut judge, "39%", true, 213.0));
    // Without ratings for a while nothing is known any more.
    expect_false!(first(&mut judge, "39%", true, 250.0));
    expect_true!(first(&mut judge, "3%", true, 250.0));
}

//! Verdicts: generations, duplicates, order of arrival, and encoding as records.

mod support;

use config::model::Config;
use entity::unit::Share;
use entity::{Generation, id, id::Id};
use googletest::prelude::*;
use proptest::prelude::*;
use quality::evidence::Finding;
use quality::verdict::{Brake, Lift, Rollout, Verdict};
use quality::verdict_set::VerdictSet;
use quality::{Judge, Query};
use support::*;

fn configuration(first: &str) -> Config {
    config("80%", false, vec![rollout(first, "50%", "1%")])
}

fn judge(first: &str, generation: u64) -> Judge {
    let mut judge = Judge::new(1, "i");
    judge.configure(&configuration(first), Generation(generation));
    judge
}

fn is_candidate_braked(judge: &Judge) -> bool {
    judge.is_braked(id::Service::new(0), id(NEW))
}

/// Returns the brake that a judge reaches at a generation.
fn brake(first: &str, generation: u64) -> Verdict {
    let mut judge = judge(first, generation);
    for n in 0..30 {
        rate(&mut judge, NEW, 0.1, second(f64::from(n)));
    }
    judge.take_verdicts().pop().expect("a brake")
}

#[gtest]
fn brake_survives_configurations_with_unchanged_rollout() {
    let mut judge = judge("5%", 3);
    judge.apply(&brake("5%", 3));
    for generation in 4..50 {
        judge.configure(&configuration("5%"), Generation(generation));
        expect_true!(is_candidate_braked(&judge));
    }
    expect_that!(judge.take_verdicts(), is_empty());
}

#[gtest]
fn new_instance_with_later_configuration_applies_brake() {
    let mut judge = judge("5%", 40);
    expect_true!(judge.apply(&brake("5%", 3)));
    expect_true!(is_candidate_braked(&judge));
}

#[gtest]
fn changed_rollout_voids_brake_permanently() {
    let old = brake("5%", 3);
    let mut judge = judge("5%", 3);
    judge.apply(&old);
    judge.configure(&configuration("6%"), Generation(4));
    expect_false!(is_candidate_braked(&judge));
    let lift = Verdict::Lift(Lift {
        service: service(),
        generation: Generation(4),
    });
    expect_that!(judge.take_verdicts(), elements_are![eq(&lift)]);
    // The old statement is restored: the old brake stays void, and a new one applies.
    judge.configure(&configuration("5%"), Generation(5));
    expect_false!(judge.apply(&old));
    expect_false!(is_candidate_braked(&judge));
    expect_true!(judge.apply(&brake("5%", 5)));
    expect_true!(is_candidate_braked(&judge));
}

#[gtest]
fn brake_of_older_generation_is_void_in_any_order() {
    let lift = Verdict::Lift(Lift {
        service: service(),
        generation: Generation(4),
    });
    let old = brake("5%", 3);
    for verdicts in [[&lift, &old], [&old, &lift]] {
        let mut judge = judge("5%", 5);
        for verdict in verdicts {
            judge.apply(verdict);
        }
        expect_false!(is_candidate_braked(&judge));
    }
}

#[gtest]
fn lagging_instance_stays_braked_until_it_adopts_later_configuration() {
    let mut judge = judge("5%", 3);
    judge.apply(&brake("5%", 3));
    judge.apply(&Verdict::Lift(Lift {
        service: service(),
        generation: Generation(4),
    }));
    expect_true!(is_candidate_braked(&judge));
    judge.configure(&configuration("6%"), Generation(4));
    expect_false!(is_candidate_braked(&judge));
}

#[gtest]
fn instance_with_older_configuration_does_not_lift() {
    // This instance lags behind the one that braked, so its configuration says nothing about the
    // later one.
    let mut judge = judge("4%", 2);
    judge.apply(&brake("5%", 5));
    judge.configure(&configuration("4%"), Generation(3));
    expect_that!(judge.take_verdicts(), is_empty());
    judge.configure(&configuration("5%"), Generation(5));
    expect_true!(is_candidate_braked(&judge));
}

#[gtest]
fn removed_rollout_lifts_its_brake() {
    let mut judge = judge("5%", 3);
    judge.apply(&brake("5%", 3));
    judge.configure(&config("80%", false, vec![]), Generation(4));
    expect_false!(is_candidate_braked(&judge));
    expect_that!(judge.take_verdicts(), len(eq(1)));
}

#[gtest]
fn session_on_braked_version_gets_another() {
    let mut judge = judge("5%", 3);
    judge.apply(&brake("5%", 3));
    let candidates = [id(LARGE), id(NEW), id(SMALL)];
    for position in [0, 1, 49_999, 50_000, 999_999] {
        let query = Query {
            streamed: true,
            ..query(&candidates, Share::from_ppm(position), second(1e3))
        };
        for _ in 0..200 {
            let plan = judge.plan(&query).expect("a plan");
            expect_that!(plan.first, not(eq(id(NEW))));
        }
    }
}

#[gtest]
fn invalid_record_is_an_error() {
    for record in [
        "",
        "{}",
        r#"{"verdict":"pause"}"#,
        r#"{"verdict":"lift","service":"a b"}"#,
    ] {
        expect_that!(
            Verdict::from_record(record.as_bytes()),
            err(anything()),
            "{record}"
        );
    }
}

fn any_verdict() -> impl Strategy<Value = Verdict> {
    let brake = (0..3_u32, 1..6_u64, 0..3_u64, 0..200_u32, 0..20_000_u32).prop_map(
        |(percent, generation, at, ratings, thousandths)| {
            Verdict::Brake(Brake {
                rollout: Rollout {
                    service: service(),
                    from: version(LARGE),
                    to: version(NEW),
                    share: Share::percent(percent),
                    limit: Share::percent(50),
                    false_alarm: Share::percent(1),
                },
                generation: Generation(generation),
                at: second(at as f64),
                evidence: Finding {
                    ratings,
                    mean: Share::from_ppm(ratings * 1000),
                    log_value: f64::from(thousandths) / 1e3,
                    log_limit: 7.378,
                },
            })
        },
    );
    let lift = (1..6_u64).prop_map(|generation| {
        Verdict::Lift(Lift {
            service: service(),
            generation: Generation(generation),
        })
    });
    prop_oneof![3 => brake, 1 => lift]
}

proptest! {
    #![proptest_config(fixed(500))]

    /// Instances that received the same verdicts hold the same set, for any order and with
    /// duplicates.
    #[test]
    fn verdicts_converge(
        verdicts in prop::collection::vec(any_verdict(), 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 20),
    ) {
        let mut first = judge("1%", 4);
        let mut second = judge("1%", 4);
        for verdict in &verdicts {
            first.apply(verdict);
        }
        for index in &order {
            second.apply(index.get(&verdicts));
        }
        for verdict in verdicts.iter().rev() {
            second.apply(verdict);
            prop_assert!(!second.apply(verdict));
        }
        prop_assert_eq!(first.verdicts_digest(), second.verdicts_digest());
        prop_assert_eq!(first.verdicts(), second.verdicts());
        prop_assert_eq!(is_candidate_braked(&first), is_candidate_braked(&second));
    }

    /// A set that is forwarded as verdicts is reproduced by its receiver.
    #[test]
    fn forwarded_verdicts_reproduce_set(
        verdicts in prop::collection::vec(any_verdict(), 1..12),
    ) {
        let mut first = VerdictSet::default();
        for verdict in &verdicts {
            first.apply(verdict);
        }
        let mut second = VerdictSet::default();
        for verdict in first.all() {
            prop_assert!(second.apply(&verdict));
        }
        prop_assert_eq!(first.all(), second.all());
    }

    /// Decoding a record restores the verdict bit by bit, which the comparison of digests requires.
    #[test]
    fn verdicts_survive_encoding(verdict in any_verdict()) {
        let record = verdict.to_record();
        prop_assert!(record.len() < 1024);
        prop_assert_eq!(Verdict::from_record(&record).expect("a verdict"), verdict);
    }
}

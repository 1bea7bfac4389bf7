//! Verdicts: generations, duplicates, order and records.

mod support;

use config::model::Config;
use entity::unit::Share;
use entity::{Generation, id, id::Id};
use googletest::prelude::*;
use proptest::prelude::*;
use quality::evidence::Finding;
use quality::standing::Standing;
use quality::verdict::{Brake, Lift, Rollout, Verdict};
use quality::{Judge, Query};
use support::*;

fn text(first: &str) -> Config {
    config("80%", false, vec![rollout(first, "50%", "1%")])
}

fn judge(first: &str, generation: u64) -> Judge {
    let mut judge = Judge::new(1, "i");
    judge.configure(&text(first), Generation(generation));
    judge
}

fn braked(judge: &Judge) -> bool {
    judge.braked(id::Service::new(0), id(NEW))
}

/// The brake that a judge reaches at a generation.
fn brake(first: &str, generation: u64) -> Verdict {
    let mut judge = judge(first, generation);
    for n in 0..30 {
        rate(&mut judge, NEW, 0.1, second(f64::from(n)));
    }
    judge.take_verdicts().pop().expect("a brake")
}

#[gtest]
fn a_brake_outlasts_texts_that_leave_the_rollout_alone() {
    let mut judge = judge("5%", 3);
    judge.apply(&brake("5%", 3));
    for generation in 4..50 {
        judge.configure(&text("5%"), Generation(generation));
        expect_true!(braked(&judge));
    }
    expect_that!(judge.take_verdicts(), is_empty());
}

#[gtest]
fn a_fresh_instance_at_a_later_text_takes_the_brake_over() {
    let mut judge = judge("5%", 40);
    expect_true!(judge.apply(&brake("5%", 3)));
    expect_true!(braked(&judge));
}

#[gtest]
fn a_later_text_with_another_rollout_undoes_the_brake_for_good() {
    let old = brake("5%", 3);
    let mut judge = judge("5%", 3);
    judge.apply(&old);
    judge.configure(&text("6%"), Generation(4));
    expect_false!(braked(&judge));
    let lift = Verdict::Lift(Lift {
        service: service(),
        generation: Generation(4),
    });
    expect_that!(judge.take_verdicts(), elements_are![eq(&lift)]);
    // The old statement comes back: the old brake doesn't, and a new one holds.
    judge.configure(&text("5%"), Generation(5));
    expect_false!(judge.apply(&old));
    expect_false!(braked(&judge));
    expect_true!(judge.apply(&brake("5%", 5)));
    expect_true!(braked(&judge));
}

#[gtest]
fn a_brake_of_an_old_generation_is_ignored_whatever_the_order() {
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
        expect_false!(braked(&judge));
    }
}

#[gtest]
fn an_instance_that_lags_stays_braked_until_it_adopts_the_later_text() {
    let mut judge = judge("5%", 3);
    judge.apply(&brake("5%", 3));
    judge.apply(&Verdict::Lift(Lift {
        service: service(),
        generation: Generation(4),
    }));
    expect_true!(braked(&judge));
    judge.configure(&text("6%"), Generation(4));
    expect_false!(braked(&judge));
}

#[gtest]
fn a_lift_of_an_instance_with_an_older_text_is_not_made() {
    // This instance lags behind the one that braked: its text says nothing about the later one.
    let mut judge = judge("4%", 2);
    judge.apply(&brake("5%", 5));
    judge.configure(&text("4%"), Generation(3));
    expect_that!(judge.take_verdicts(), is_empty());
    judge.configure(&text("5%"), Generation(5));
    expect_true!(braked(&judge));
}

#[gtest]
fn a_removed_rollout_lifts_its_brake() {
    let mut judge = judge("5%", 3);
    judge.apply(&brake("5%", 3));
    judge.configure(&config("80%", false, vec![]), Generation(4));
    expect_false!(braked(&judge));
    expect_that!(judge.take_verdicts(), len(eq(1)));
}

#[gtest]
fn a_session_on_a_braked_version_gets_another() {
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
fn a_record_of_another_form_is_an_error() {
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

    /// Instances that heard the same verdicts know the same, whatever the order and repeats.
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
        prop_assert_eq!(first.digest(), second.digest());
        prop_assert_eq!(first.verdicts(), second.verdicts());
        prop_assert_eq!(braked(&first), braked(&second));
    }

    /// What is told on is worth what was heard.
    #[test]
    fn verdicts_that_are_told_on_lose_nothing(
        verdicts in prop::collection::vec(any_verdict(), 1..12),
    ) {
        let mut first = Standing::default();
        for verdict in &verdicts {
            first.apply(verdict);
        }
        let mut second = Standing::default();
        for verdict in first.all() {
            prop_assert!(second.apply(&verdict));
        }
        prop_assert_eq!(first.all(), second.all());
    }

    /// A record gives back the verdict to the last bit, as digests need.
    #[test]
    fn records_give_back_their_verdict(verdict in any_verdict()) {
        let record = verdict.to_record();
        prop_assert!(record.len() < 1024);
        prop_assert_eq!(Verdict::from_record(&record).expect("a verdict"), verdict);
    }
}

//! Cascades, outages of the rating service, and ratings that other instances tell.

mod support;

use entity::unit::{Share, Tokens};
use entity::{Generation, Span, id, id::Id};
use googletest::prelude::*;
use proptest::prelude::*;
use quality::{Class, Judge, Plan, Query, Rating, Reason, Telling};
use support::*;

/// A judge with cascades that knows the large version as good, and of the small one as many good
/// answers as poor ones.
fn mixed(quality: &str) -> Judge {
    let mut judge = Judge::new(3, "i");
    judge.configure(&config(quality, true, vec![]), Generation(1));
    for n in 0..200 {
        let at = second(f64::from(n));
        rate(&mut judge, LARGE, 0.95, at);
        rate(&mut judge, SMALL, if n % 2 == 0 { 0.95 } else { 0.2 }, at);
    }
    judge
}

/// The plan for a request without exploration.
fn plan(judge: &mut Judge, change: impl Fn(&mut Query<'_>)) -> Plan {
    let candidates = [id(LARGE), id(SMALL)];
    loop {
        let mut query = query(&candidates, Share::NONE, second(200.0));
        change(&mut query);
        let plan = judge.plan(&query).expect("a plan");
        if plan.reason != Reason::Exploration {
            return plan;
        }
    }
}

#[gtest]
fn a_whole_answer_is_escalated_between_poor_and_good() {
    let plan = plan(&mut mixed("80%"), |_| ());
    expect_that!(plan.first, eq(id(SMALL)));
    let escalation = plan.escalate.expect("an escalation");
    expect_that!(escalation.version, eq(id(LARGE)));
    expect_that!(escalation.threshold, all!(gt(0.2), le(0.95)));
}

#[gtest]
fn without_the_rating_service_nothing_is_held() {
    let mut judge = mixed("80%");
    judge.set_ratings_out(true);
    let out = plan(&mut judge, |_| ());
    expect_that!(out.first, eq(id(LARGE)));
    expect_that!(out.escalate, none());
    judge.set_ratings_out(false);
    expect_that!(plan(&mut judge, |_| ()).first, eq(id(SMALL)));
}

#[gtest]
fn a_streamed_answer_is_never_escalated() {
    for class in [Class::Interactive, Class::Batch] {
        let plan = plan(&mut mixed("80%"), |query| {
            query.streamed = true;
            query.class = class;
        });
        expect_that!(plan.first, eq(id(LARGE)));
        expect_that!(plan.escalate, none());
    }
}

#[gtest]
fn a_caller_on_the_line_gets_a_cascade_only_within_known_times() {
    let line = |query: &mut Query<'_>| query.class = Class::Interactive;
    let mut judge = mixed("80%");
    expect_that!(plan(&mut judge, line).escalate, none());
    for _ in 0..100 {
        judge.measure(&service(), &version(SMALL), Span::from_secs(1), Tokens(400));
        judge.measure(&service(), &version(LARGE), Span::from_secs(3), Tokens(400));
    }
    expect_that!(plan(&mut judge, line).escalate, some(anything()));
    let hurried = plan(&mut judge, |query| {
        line(query);
        query.budget = Span::from_secs(4);
    });
    expect_that!(hurried.first, eq(id(LARGE)));
    expect_that!(hurried.escalate, none());
}

#[gtest]
fn a_target_out_of_reach_of_a_cascade_is_served_directly() {
    let plan = plan(&mut mixed("96%"), |_| ());
    expect_that!(plan.first, eq(id(LARGE)));
    expect_that!(plan.escalate, none());
}

#[gtest]
fn in_an_outage_of_ratings_the_uncertainty_grows_and_the_best_known_serves() {
    let mut judge = Judge::new(3, "i");
    judge.configure(&config("80%", false, vec![]), Generation(1));
    for n in 0..300 {
        let at = second(f64::from(n));
        rate(&mut judge, LARGE, 0.97, at);
        rate(&mut judge, SMALL, 0.88, at);
    }
    let record = judge.record(&service(), &version(SMALL)).expect("a record");
    let mut last = record.posterior.error(second(300.0));
    for hour in 1..48 {
        let now = second(300.0 + 3600.0 * f64::from(hour));
        let error = record.posterior.error(now);
        expect_that!(error, ge(last));
        last = error;
    }
    let mut of = |at: f64| plan(&mut judge, |query| query.now = second(at)).first;
    expect_that!(of(300.0), eq(id(SMALL)));
    expect_that!(of(1e7), eq(id(LARGE)));
}

#[gtest]
fn an_unrated_version_gets_no_more_than_the_exploration() {
    let mut judge = Judge::new(3, "i");
    judge.configure(&config("80%", true, vec![]), Generation(1));
    for n in 0..4 {
        rate(&mut judge, SMALL, 1.0, second(f64::from(n)));
    }
    let candidates = [id(LARGE), id(SMALL)];
    // In an outage of ratings nothing is learnt, whatever is served.
    let mut small = 0;
    for n in 0..20_000 {
        let now = second(f64::from(n) * 10.0);
        let plan = judge
            .plan(&query(&candidates, Share::NONE, now))
            .expect("a plan");
        small += u32::from(plan.first == id(SMALL));
    }
    expect_that!(small, le(900));
}

#[gtest]
fn escalated_answers_do_not_count_as_first_ones() {
    let mut judge = mixed("80%");
    let before = judge
        .record(&service(), &version(LARGE))
        .expect("a record")
        .posterior;
    for n in 0..50 {
        judge.rate(&Rating {
            service: &service(),
            version: &version(LARGE),
            escalated: true,
            score: 0.3,
            weight: 1.0,
            at: second(200.0 + f64::from(n)),
        });
    }
    let record = judge.record(&service(), &version(LARGE)).expect("a record");
    expect_that!(record.posterior, eq(before));
    // Escalation to a version that is poor at hard requests is not worth it.
    expect_that!(plan(&mut judge, |_| ()).escalate, none());
}

#[gtest]
fn what_one_instance_rated_serves_the_others() {
    let mut teller = Judge::new(1, "a");
    let mut hearer = Judge::new(2, "b");
    for judge in [&mut teller, &mut hearer] {
        judge.configure(&config("80%", false, vec![]), Generation(1));
    }
    for n in 0..100 {
        let at = second(f64::from(n));
        rate(&mut teller, LARGE, 0.95, at);
        rate(&mut teller, SMALL, 0.9, at);
        if n % 20 == 19 {
            for telling in teller.tell(1) {
                expect_true!(hearer.hear(&telling, at));
            }
        }
    }
    for telling in teller.tell(8) {
        expect_true!(hearer.hear(&telling, second(100.0)));
    }
    expect_that!(teller.tell(8), is_empty());
    expect_that!(plan(&mut hearer, |_| ()).first, eq(id(SMALL)));
}

#[gtest]
fn a_long_past_counts_for_little_at_first_hearing() {
    let mut teller = Judge::new(1, "a");
    let mut hearer = Judge::new(2, "b");
    for judge in [&mut teller, &mut hearer] {
        judge.configure(&config("80%", false, vec![]), Generation(1));
    }
    for n in 0..5000 {
        rate(&mut teller, SMALL, 0.9, second(f64::from(n)));
    }
    for telling in teller.tell(8) {
        hearer.hear(&telling, second(5000.0));
    }
    let record = hearer
        .record(&service(), &version(SMALL))
        .expect("a record");
    expect_that!(record.posterior.count(second(5000.0)), le(50.0));
}

proptest! {
    #![proptest_config(fixed(300))]

    /// Totals that are lost, repeated and overtaken count each rating once.
    #[test]
    fn each_rating_told_counts_once(
        scores in prop::collection::vec(0.0..=1.0_f64, 1..45),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let mut teller = Judge::new(1, "a");
        let mut hearer = Judge::new(2, "b");
        for judge in [&mut teller, &mut hearer] {
            judge.configure(&config("80%", false, vec![]), Generation(1));
        }
        let at = second(0.0);
        let mut told: Vec<Telling> = Vec::new();
        for score in &scores {
            rate(&mut teller, SMALL, *score, at);
            told.extend(teller.tell(1));
        }
        for index in &order {
            hearer.hear(index.get(&told), at);
        }
        hearer.hear(told.last().expect("a telling"), at);
        for telling in &told {
            prop_assert!(!hearer.hear(telling, at));
        }
        let count = |judge: &Judge| {
            let record = judge.record(&service(), &version(SMALL)).expect("a record");
            (record.posterior.count(at), record.posterior.mean(at))
        };
        let (own, heard) = (count(&teller), count(&hearer));
        prop_assert!((own.0 - heard.0).abs() < 0.01, "{own:?} {heard:?}");
        prop_assert!((own.1 - heard.1).abs() < 0.05, "{own:?} {heard:?}");
    }

    /// A plan names candidates only, and never the same version twice.
    #[test]
    fn a_plan_keeps_to_the_candidates(
        ratings in prop::collection::vec((0..3_usize, 0.0..=1.0_f64), 0..80),
        mask in 1..8_usize,
        position in 0..1_000_000_u32,
        streamed: bool,
    ) {
        let mut judge = Judge::new(1, "i");
        let rollouts = vec![rollout("5%", "50%", "1%")];
        judge.configure(&config("80%", true, rollouts), Generation(1));
        for (n, (of, score)) in ratings.iter().enumerate() {
            rate(&mut judge, *of, *score, second(n as f64));
        }
        let candidates: Vec<_> = (0..3).filter(|n| mask & (1 << n) != 0).map(id).collect();
        for _ in 0..50 {
            let query = Query {
                streamed,
                ..query(&candidates, Share::from_ppm(position), second(100.0))
            };
            let Some(plan) = judge.plan(&query) else {
                // Only a braked version by itself has no plan.
                prop_assert_eq!(&candidates, &[id(NEW)]);
                prop_assert!(judge.braked(id::Service::new(0), id(NEW)));
                continue;
            };
            prop_assert!(candidates.contains(&plan.first));
            prop_assert!(!judge.braked(id::Service::new(0), plan.first));
            if let Some(escalation) = plan.escalate {
                prop_assert!(!streamed);
                prop_assert!(candidates.contains(&escalation.version));
                prop_assert!(escalation.version != plan.first);
            }
        }
    }
}

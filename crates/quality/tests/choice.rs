//! Cascades, outages of the rating service, and totals received from peers.

mod support;

use entity::unit::{Share, Tokens};
use entity::{Generation, Span, id, id::Id};
use googletest::prelude::*;
use proptest::prelude::*;
use quality::{Class, Judge, Plan, Query, Rating, Reason, TotalsUpdate};
use support::*;

/// Returns a judge with cascades that has only good ratings of the large version, and as many good
/// as poor ones of the small version.
fn judge_with_mixed_ratings(quality: &str) -> Judge {
    let mut judge = Judge::new(3, "i");
    judge.configure(&config(quality, true, vec![]), Generation(1));
    for n in 0..200 {
        let at = second(f64::from(n));
        rate(&mut judge, LARGE, 0.95, at);
        rate(&mut judge, SMALL, if n % 2 == 0 { 0.95 } else { 0.2 }, at);
    }
    judge
}

/// Returns the plan for a request that is not chosen for exploration.
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
fn complete_answer_is_escalated_below_threshold() {
    let plan = plan(&mut judge_with_mixed_ratings("80%"), |_| ());
    expect_that!(plan.first, eq(id(SMALL)));
    let escalation = plan.escalate.expect("an escalation");
    expect_that!(escalation.version, eq(id(LARGE)));
    expect_that!(escalation.threshold, all!(gt(0.2), le(0.95)));
}

#[gtest]
fn nothing_is_held_during_rating_outage() {
    let mut judge = judge_with_mixed_ratings("80%");
    judge.set_rating_outage(true);
    let out = plan(&mut judge, |_| ());
    expect_that!(out.first, eq(id(LARGE)));
    expect_that!(out.escalate, none());
    judge.set_rating_outage(false);
    expect_that!(plan(&mut judge, |_| ()).first, eq(id(SMALL)));
}

#[gtest]
fn streamed_answer_is_never_escalated() {
    for class in [Class::Interactive, Class::Batch] {
        let plan = plan(&mut judge_with_mixed_ratings("80%"), |query| {
            query.streamed = true;
            query.class = class;
        });
        expect_that!(plan.first, eq(id(LARGE)));
        expect_that!(plan.escalate, none());
    }
}

#[gtest]
fn interactive_request_needs_measured_latencies_for_cascade() {
    let interactive = |query: &mut Query<'_>| query.class = Class::Interactive;
    let mut judge = judge_with_mixed_ratings("80%");
    expect_that!(plan(&mut judge, interactive).escalate, none());
    for _ in 0..100 {
        judge.measure(&service(), &version(SMALL), Span::from_secs(1), Tokens(400));
        judge.measure(&service(), &version(LARGE), Span::from_secs(3), Tokens(400));
    }
    expect_that!(plan(&mut judge, interactive).escalate, some(anything()));
    let short_budget = plan(&mut judge, |query| {
        interactive(query);
        query.budget = Span::from_secs(4);
    });
    expect_that!(short_budget.first, eq(id(LARGE)));
    expect_that!(short_budget.escalate, none());
}

#[gtest]
fn target_beyond_cascade_is_served_directly() {
    let plan = plan(&mut judge_with_mixed_ratings("96%"), |_| ());
    expect_that!(plan.first, eq(id(LARGE)));
    expect_that!(plan.escalate, none());
}

#[gtest]
fn uncertainty_grows_during_rating_outage_until_best_version_serves() {
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
fn unrated_version_gets_at_most_exploration_share() {
    let mut judge = Judge::new(3, "i");
    judge.configure(&config("80%", true, vec![]), Generation(1));
    for n in 0..4 {
        rate(&mut judge, SMALL, 1.0, second(f64::from(n)));
    }
    let candidates = [id(LARGE), id(SMALL)];
    // During an outage of the rating service no version gains ratings, whichever serves.
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
fn ratings_of_escalated_answers_do_not_count_as_first_answers() {
    let mut judge = judge_with_mixed_ratings("80%");
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
    // Escalation to a version that is poor at hard requests does not pay.
    expect_that!(plan(&mut judge, |_| ()).escalate, none());
}

#[gtest]
fn received_totals_change_version_choice() {
    let mut sender = Judge::new(1, "a");
    let mut receiver = Judge::new(2, "b");
    for judge in [&mut sender, &mut receiver] {
        judge.configure(&config("80%", false, vec![]), Generation(1));
    }
    for n in 0..100 {
        let at = second(f64::from(n));
        rate(&mut sender, LARGE, 0.95, at);
        rate(&mut sender, SMALL, 0.9, at);
        if n % 20 == 19 {
            for update in sender.take_unsent_totals(1) {
                expect_true!(receiver.receive(&update, at));
            }
        }
    }
    for update in sender.take_unsent_totals(8) {
        expect_true!(receiver.receive(&update, second(100.0)));
    }
    expect_that!(sender.take_unsent_totals(8), is_empty());
    expect_that!(plan(&mut receiver, |_| ()).first, eq(id(SMALL)));
}

#[gtest]
fn first_update_of_source_counts_for_few_ratings() {
    let mut sender = Judge::new(1, "a");
    let mut receiver = Judge::new(2, "b");
    for judge in [&mut sender, &mut receiver] {
        judge.configure(&config("80%", false, vec![]), Generation(1));
    }
    for n in 0..5000 {
        rate(&mut sender, SMALL, 0.9, second(f64::from(n)));
    }
    for update in sender.take_unsent_totals(8) {
        receiver.receive(&update, second(5000.0));
    }
    let record = receiver
        .record(&service(), &version(SMALL))
        .expect("a record");
    expect_that!(record.posterior.count(second(5000.0)), le(50.0));
}

proptest! {
    #![proptest_config(fixed(300))]

    /// Each rating counts once when updates are lost, duplicated and reordered.
    #[test]
    fn each_rating_sent_counts_once(
        scores in prop::collection::vec(0.0..=1.0_f64, 1..45),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let mut sender = Judge::new(1, "a");
        let mut receiver = Judge::new(2, "b");
        for judge in [&mut sender, &mut receiver] {
            judge.configure(&config("80%", false, vec![]), Generation(1));
        }
        let at = second(0.0);
        let mut sent: Vec<TotalsUpdate> = Vec::new();
        for score in &scores {
            rate(&mut sender, SMALL, *score, at);
            sent.extend(sender.take_unsent_totals(1));
        }
        for index in &order {
            receiver.receive(index.get(&sent), at);
        }
        receiver.receive(sent.last().expect("an update"), at);
        for update in &sent {
            prop_assert!(!receiver.receive(update, at));
        }
        let count = |judge: &Judge| {
            let record = judge.record(&service(), &version(SMALL)).expect("a record");
            (record.posterior.count(at), record.posterior.mean(at))
        };
        let (own, received) = (count(&sender), count(&receiver));
        prop_assert!((own.0 - received.0).abs() < 0.01, "{own:?} {received:?}");
        prop_assert!((own.1 - received.1).abs() < 0.05, "{own:?} {received:?}");
    }

    /// A plan contains only candidates, and never the same version twice.
    #[test]
    fn plan_contains_only_candidates(
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
                // A plan is missing only if the single candidate is braked.
                prop_assert_eq!(&candidates, &[id(NEW)]);
                prop_assert!(judge.is_braked(id::Service::new(0), id(NEW)));
                continue;
            };
            prop_assert!(candidates.contains(&plan.first));
            prop_assert!(!judge.is_braked(id::Service::new(0), plan.first));
            if let Some(escalation) = plan.escalate {
                prop_assert!(!streamed);
                prop_assert!(candidates.contains(&escalation.version));
                prop_assert!(escalation.version != plan.first);
            }
        }
    }
}

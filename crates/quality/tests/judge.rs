//! The judge as request handling uses it.

mod support;

use entity::unit::Share;
use entity::{Generation, id, id::Id};
use googletest::prelude::*;
use quality::{Judge, Reason, Verdict};
use support::*;

const BOTH: [usize; 2] = [LARGE, SMALL];

fn ids(of: &[usize]) -> Vec<id::Version> {
    of.iter().copied().map(id).collect()
}

/// Plans 1000 requests and counts how many each version gets first.
fn count_first(
    judge: &mut Judge,
    candidates: &[id::Version],
    position: Share,
    at: f64,
) -> [u32; 3] {
    let mut counts = [0; 3];
    for _ in 0..1000 {
        let plan = judge.plan(&query(candidates, position, second(at)));
        counts[plan.expect("a plan").first.index()] += 1;
    }
    counts
}

#[gtest]
fn most_expensive_version_serves_without_ratings_except_for_exploration() {
    let mut judge = Judge::new(1, "i");
    judge.configure(&config("80%", false, vec![]), Generation(1));
    let counts = count_first(&mut judge, &ids(&BOTH), Share::NONE, 0.0);
    expect_that!(counts[SMALL], all!(gt(20), lt(70)));
    expect_that!(counts[LARGE], gt(930));
}

#[gtest]
fn cheapest_version_that_meets_target_serves() {
    let mut judge = Judge::new(1, "i");
    judge.configure(&config("80%", false, vec![]), Generation(1));
    for n in 0..100 {
        rate(&mut judge, LARGE, 0.95, second(f64::from(n)));
        rate(&mut judge, SMALL, 0.9, second(f64::from(n)));
    }
    let counts = count_first(&mut judge, &ids(&BOTH), Share::NONE, 100.0);
    expect_that!(counts[SMALL], gt(930));
}

#[gtest]
fn poor_cheap_version_serves_only_bounded_exploration() {
    // The expensive version's margin over the target allows 4 % in the first case and 1 % in the
    // second.
    for (expensive, least, most) in [(0.95, 20, 65), (0.82, 1, 25)] {
        let mut judge = Judge::new(1, "i");
        judge.configure(&config("80%", false, vec![]), Generation(1));
        for n in 0..100 {
            rate(&mut judge, LARGE, expensive, second(f64::from(n)));
            rate(&mut judge, SMALL, 0.5, second(f64::from(n)));
        }
        let candidates = ids(&BOTH);
        let mut count = 0;
        for _ in 0..1000 {
            let plan = judge.plan(&query(&candidates, Share::NONE, second(100.0)));
            let plan = plan.expect("a plan");
            if plan.first == id(SMALL) {
                expect_that!(plan.reason, eq(Reason::Exploration));
                count += 1;
            }
        }
        expect_that!(
            count,
            all!(ge(least), le(most)),
            "expensive version at {expensive}"
        );
    }
}

#[gtest]
fn rollout_gets_its_share_of_sessions_until_braked() {
    let mut judge = Judge::new(1, "i");
    let config = config("80%", false, vec![rollout("5%", "50%", "1%")]);
    judge.configure(&config, Generation(1));
    let all = ids(&[LARGE, NEW, SMALL]);
    let below = share("4.9999%");
    let plan = judge
        .plan(&query(&all, below, second(0.0)))
        .expect("a plan");
    expect_that!(plan.first, eq(id(NEW)));
    expect_that!(plan.reason, eq(Reason::Rollout));
    let above = count_first(&mut judge, &all, share("5%"), 0.0);
    expect_that!(above[NEW], eq(0));
    for n in 0..20 {
        rate(&mut judge, NEW, 0.2, second(f64::from(n)));
    }
    expect_true!(judge.is_braked(id::Service::new(0), id(NEW)));
    expect_that!(count_first(&mut judge, &all, below, 20.0)[NEW], eq(0));
    expect_that!(
        judge.canary_share(id::Service::new(0), second(20.0)),
        eq(Share::NONE)
    );
    let verdicts = judge.take_verdicts();
    expect_that!(verdicts, elements_are![matches_pattern!(Verdict::Brake(_))]);
    expect_that!(judge.take_verdicts(), is_empty());
}

#[gtest]
fn braked_version_alone_gets_no_plan() {
    let mut judge = Judge::new(1, "i");
    let config = config("80%", false, vec![rollout("5%", "50%", "1%")]);
    judge.configure(&config, Generation(1));
    for n in 0..20 {
        rate(&mut judge, NEW, 0.2, second(f64::from(n)));
    }
    expect_that!(
        judge.plan(&query(&ids(&[NEW]), Share::NONE, second(20.0))),
        none()
    );
}

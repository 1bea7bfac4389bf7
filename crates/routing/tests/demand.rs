//! Tests of the comparison of engines by their pending work.

mod common;

use common::{START, config, query};
use config::Registration;
use entity::{Moment, Span, name};
use googletest::prelude::*;
use routing::demand::{Demand, Work};
use routing::{Balancer, Choice, Members, Outcome, Query};

/// Returns a balancer with engines that registered themselves, of which some are cold.
fn balancer(engines: usize, cold: &[usize]) -> Balancer {
    let mut config = config(engines);
    for (id, upstream) in config.upstreams.iter_mut() {
        let index = entity::id::Id::index(id);
        let until = if cold.contains(&index) {
            START + Span::from_secs(3)
        } else {
            Moment(0)
        };
        upstream.registration = Some(Registration {
            incarnation: 1,
            cold_until: until,
            cold_rate: 40,
            memory: None,
        });
    }
    common::balancer(&config, 7)
}

fn query_for(demand: Demand, prefix: Option<u64>) -> Query<'static> {
    Query {
        demand: Some(demand),
        prefix,
        ..query(START)
    }
}

fn long_prompt() -> Demand {
    Demand {
        own: 6000,
        shared: 5000,
        weight: 1.0,
        output: None,
    }
}

fn short_prompt() -> Demand {
    Demand {
        own: 600,
        shared: 200,
        weight: 0.07,
        output: None,
    }
}

fn choose(balancer: &mut Balancer, demand: Demand) -> Choice {
    balancer.choose(&query_for(demand, None), START).unwrap()
}

/// A burst of long prompts must not go to one engine.
#[gtest]
fn a_burst_of_long_prompts_is_spread() {
    let mut balancer = balancer(6, &[]);
    let mut used: Vec<name::Upstream> = Vec::new();
    for _ in 0..6 {
        used.push(choose(&mut balancer, long_prompt()).upstream);
    }
    used.sort();
    used.dedup();
    expect_that!(used.len(), eq(6));
}

/// Peers announce long prompts at one of two engines.
#[gtest]
fn engines_with_work_of_peers_are_avoided() {
    let mut balancer = balancer(2, &[]);
    let first = choose(&mut balancer, short_prompt());
    let busy = first.upstream.clone();
    balancer.finish(first, Outcome::Cancelled, START);
    let work = Work {
        pending: 9000.0,
        running: 3.0,
    };
    let loads = vec![(busy.clone(), work)];
    balancer.record_peer_loads(&"north-2".parse().unwrap(), loads, 1, START);
    for _ in 0..5 {
        let choice = choose(&mut balancer, short_prompt());
        expect_that!(choice.upstream, not(eq(&busy)));
        balancer.finish(choice, Outcome::Cancelled, START);
    }
}

/// Callers return in a burst after an outage, and the estimate must follow at once.
#[gtest]
fn a_burst_raises_the_least_pending_work_at_once() {
    let mut balancer = balancer(2, &[]);
    let idle = balancer
        .least_pending_work(&query_for(short_prompt(), None), START)
        .unwrap();
    let mut running = Vec::new();
    for _ in 0..2 {
        running.push(choose(&mut balancer, long_prompt()));
    }
    // A long prompt waits at each of the two engines, which have room for one request of each
    // instance.
    let full = balancer.least_pending_work(&query_for(short_prompt(), None), START);
    expect_that!(full.unwrap_err().reason, eq(routing::Reason::Full));
    for choice in &running {
        balancer.remove_pending(&choice.upstream, choice.ticket());
    }
    balancer.finish(running.remove(0), Outcome::Cancelled, START);
    let work = Work {
        pending: 9000.0,
        running: 1.0,
    };
    let loads = ["engine-000", "engine-001"].map(|name| (name.parse().unwrap(), work));
    balancer.record_peer_loads(&"north-2".parse().unwrap(), loads.to_vec(), 1, START);
    let busy = balancer
        .least_pending_work(&query_for(short_prompt(), None), START)
        .unwrap();
    expect_that!(busy, gt(idle + 9000.0));
}

#[gtest]
fn announced_loads_expire() {
    let mut balancer = balancer(1, &[]);
    let work = Work {
        pending: 9000.0,
        running: 3.0,
    };
    let loads = vec![("engine-000".parse().unwrap(), work)];
    balancer.record_peer_loads(&"north-2".parse().unwrap(), loads, 1, START);
    expect_that!(balancer.loads().len(), eq(0));
    let later = START + Span::from_secs(5);
    expect_true!(
        balancer
            .choose(&query_for(short_prompt(), None), later)
            .is_ok()
    );
}

/// A hot key, whose prompts share a long part.
#[gtest]
fn a_prompt_follows_its_cached_prefix_until_that_engine_is_busy() {
    let mut balancer = balancer(6, &[]);
    let first = balancer
        .choose(&query_for(long_prompt(), Some(42)), START)
        .unwrap();
    let home = first.upstream.clone();
    balancer.finish(first, Outcome::Done { first_token: None }, START);
    let second = balancer
        .choose(&query_for(long_prompt(), Some(42)), START)
        .unwrap();
    expect_that!(second.upstream, eq(&home));
    // The work of the earlier choice is still pending there, so another engine reads the whole
    // prompt sooner.
    let mut elsewhere = false;
    for _ in 0..3 {
        let next = balancer
            .choose(&query_for(long_prompt(), Some(42)), START)
            .unwrap();
        elsewhere |= next.upstream != home;
    }
    expect_true!(elsewhere);
}

/// Returns a balancer that shares 40 engines in two zones with 99 other instances.
fn balancer_with_many_peers() -> Balancer {
    let mut balancer = balancer(40, &[]);
    let members = Members::new(1, (0..100).map(common::instance).collect());
    balancer.set_members(members, START, START);
    balancer
}

/// Makes `count` choices one after another and returns how many were in the local zone.
fn count_local_choices(balancer: &mut Balancer, count: usize) -> usize {
    let mut local_count = 0;
    for _ in 0..count {
        let choice = choose(balancer, short_prompt());
        // Engines alternate between the two zones, starting with the local one.
        let number: usize = choice.upstream.as_str()[7..].parse().unwrap();
        local_count += usize::from(number.is_multiple_of(2));
        balancer.finish(choice, Outcome::Cancelled, START);
    }
    local_count
}

/// Under ordinary load requests stay in the local zone, as traffic between zones is billed.
#[gtest]
fn many_instances_prefer_the_local_zone() {
    expect_that!(
        count_local_choices(&mut balancer_with_many_peers(), 400),
        gt(380)
    );
}

/// All callers have moved to one zone.
#[gtest]
fn requests_go_to_another_zone_when_the_local_one_is_busy() {
    let mut balancer = balancer_with_many_peers();
    let work = Work {
        pending: 9000.0,
        running: 3.0,
    };
    let local_engines = (0..40).step_by(2).map(common::engine);
    let loads = local_engines.map(|name| (name, work)).collect();
    balancer.record_peer_loads(&"north-2".parse().unwrap(), loads, 1, START);
    // 2 of the 3 compared engines are local, so half of the choices of the third one are in the
    // other zone.
    expect_that!(count_local_choices(&mut balancer, 400), lt(240));
}

#[gtest]
fn prompt_work_is_pending_until_the_first_event() {
    let mut balancer = balancer(1, &[]);
    let choice = choose(&mut balancer, long_prompt());
    expect_that!(balancer.loads()[0].1.pending, gt(6000.0));
    balancer.remove_pending(&choice.upstream.clone(), choice.ticket());
    expect_that!(balancer.loads()[0].1.pending, eq(0.0));
    expect_that!(balancer.loads()[0].1.running, eq(1.0));
    balancer.finish(choice, Outcome::Done { first_token: None }, START);
    expect_that!(balancer.loads().len(), eq(0));
}

/// A zone returns to service with some cold engines.
#[gtest]
fn a_cold_engine_is_not_used_while_a_warm_one_has_room() {
    let mut balancer = balancer(3, &[0, 1]);
    for _ in 0..3 {
        let choice = choose(&mut balancer, short_prompt());
        expect_that!(choice.upstream.as_str(), eq("engine-002"));
        balancer.finish(choice, Outcome::Done { first_token: None }, START);
    }
}

/// All engines return to service cold at the same time.
#[gtest]
fn cold_engines_are_rate_limited_when_none_is_warm() {
    let mut balancer = balancer(2, &[0, 1]);
    let mut sent = 0;
    for _ in 0..40 {
        if let Ok(choice) = balancer.choose(&query_for(short_prompt(), None), START) {
            sent += 1;
            balancer.finish(choice, Outcome::Done { first_token: None }, START);
        }
    }
    // Before the instance list is known, a sixteenth of the rate is assumed to be this instance's.
    expect_that!(sent, eq(2));
    let warm = START + Span::from_secs(3);
    expect_true!(
        balancer
            .choose(&query_for(short_prompt(), None), warm)
            .is_ok()
    );
}

#[gtest]
fn a_request_stays_within_its_regions() {
    let mut balancer = balancer(2, &[]);
    let elsewhere: [name::Region; 1] = ["irbid".parse().unwrap()];
    let query = Query {
        regions: Some(&elsewhere),
        ..query_for(short_prompt(), None)
    };
    let refusal = balancer.choose(&query, START).unwrap_err();
    expect_that!(refusal.reason, eq(routing::Reason::Region));
    let here: [name::Region; 1] = ["amman".parse().unwrap()];
    let query = Query {
        regions: Some(&here),
        ..query_for(short_prompt(), None)
    };
    expect_true!(balancer.choose(&query, START).is_ok());
}

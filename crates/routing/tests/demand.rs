//! Tests of the comparison of engines by their pending work.

mod common;

use common::{START, config, query};
use config::Registration;
use entity::{Moment, Span, name};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::demand::{Demand, Work};
use routing::score::Affinity;
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

/// Returns the number in the name of an engine.
fn number(engine: &name::Upstream) -> usize {
    engine.as_str()[7..].parse().unwrap()
}

/// Returns the numbers of the engines that a balancer chooses from.
fn used_engines(balancer: &mut Balancer) -> Vec<usize> {
    let mut excluded = Vec::new();
    loop {
        let query = Query {
            excluded: &excluded,
            ..query_for(short_prompt(), None)
        };
        let Ok(choice) = balancer.choose(&query, START) else {
            return excluded.iter().map(number).collect();
        };
        let engine = choice.upstream.clone();
        balancer.finish(choice, Outcome::Cancelled, START);
        excluded.push(engine);
    }
}

/// Makes `count` choices one after another and returns how many were in the local zone.
fn count_local_choices(balancer: &mut Balancer, count: usize) -> usize {
    let mut local_count = 0;
    for _ in 0..count {
        let choice = choose(balancer, short_prompt());
        // Engines alternate between the two zones, starting with the local one.
        local_count += usize::from(number(&choice.upstream).is_multiple_of(2));
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
    // One of the compared engines is picked from both zones, so half of the choices are in the other
    // one.
    expect_that!(count_local_choices(&mut balancer, 400), lt(240));
}

/// A peer that names an engine again and again, with more than it takes, counts once and for no more than
/// the engine takes. Otherwise a single one could keep all others away from it.
#[gtest]
fn a_peer_counts_once_for_an_engine_and_for_what_it_takes_at_most() {
    let ahead = |running: f64, times: usize| {
        let mut balancer = balancer_with_many_peers();
        let work = Work {
            pending: 0.0,
            running,
        };
        let engines = (0..40).map(common::engine);
        let loads = engines.flat_map(|name| vec![(name, work); times]).collect();
        balancer.record_peer_loads(&"north-2".parse().unwrap(), loads, 1, START);
        choose(&mut balancer, short_prompt()).ahead
    };
    // Each engine takes eight requests.
    let full = ahead(8.0, 1);
    expect_that!(full, gt(ahead(1.0, 1)));
    expect_that!(ahead(1e6, 5), eq(full));
}

/// Requests to other zones are billed, but no caller may wait longer for it: the mean work ahead is no
/// more than with one engine picked of all and two of the local zone, however the work is spread.
#[gtest]
fn requests_that_stay_in_the_zone_wait_no_longer() {
    type Spread = fn(usize) -> f64;
    let spreads: [(&str, Spread); 4] = [
        ("even", |_| 0.0),
        ("every engine differs", |engine| {
            (engine * 7919 % 40) as f64 * 60.0
        }),
        ("local zone busy", |engine| {
            if engine.is_multiple_of(2) {
                3000.0
            } else {
                0.0
            }
        }),
        ("a few are busy", |engine| {
            if engine % 5 == 0 { 6000.0 } else { 200.0 }
        }),
    ];
    for (name, pending) in spreads {
        let mut balancer = balancer_with_many_peers();
        let used = used_engines(&mut balancer);
        let local: Vec<usize> = used
            .iter()
            .copied()
            .filter(|one| one.is_multiple_of(2))
            .collect();
        let mut loads = Vec::new();
        for engine in 0..40 {
            let work = Work {
                pending: pending(engine),
                running: 0.0,
            };
            loads.push((common::engine(engine), work));
        }
        balancer.record_peer_loads(&"north-2".parse().unwrap(), loads, 1, START);
        let mut ahead = 0.0;
        for _ in 0..4000 {
            let choice = choose(&mut balancer, short_prompt());
            ahead += choice.ahead.unwrap() / 4000.0;
            balancer.finish(choice, Outcome::Cancelled, START);
        }
        let own = short_prompt().work(Affinity::None);
        let mut random = ChaCha8Rng::seed_from_u64(3);
        let mut usual = own;
        for _ in 0..4000 {
            let mut pick = |engines: &[usize]| engines[random.random_range(0..engines.len())];
            let picked = [pick(&used), pick(&local), pick(&local)];
            let score = |engine: &usize| {
                pending(*engine) + if engine.is_multiple_of(2) { 0.0 } else { 400.0 }
            };
            let picked = picked.into_iter();
            let best = picked.min_by(|left, right| score(left).total_cmp(&score(right)));
            usual += pending(best.unwrap()) / 4000.0;
        }
        // Sampling error of the two means.
        expect_that!(ahead, le(usual * 1.03), "{name}");
    }
}

/// Without a known prompt there is no work to compare by, and idle upstreams are equal.
#[gtest]
fn plain_requests_to_idle_upstreams_stay_in_the_zone() {
    for seed in 0..100 {
        let mut balancer = common::balancer(&config(40), seed);
        let members = Members::new(1, (0..100).map(common::instance).collect());
        balancer.set_members(members, START, START);
        common::warm_all(&mut balancer, 40, START);
        let choice = balancer.choose(&query(START), START).unwrap();
        expect_true!(number(&choice.upstream).is_multiple_of(2));
    }
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

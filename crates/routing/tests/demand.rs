//! Engines compared by the work that waits there.

mod common;

use common::{START, config, query};
use config::Registration;
use entity::{Moment, Span, name};
use googletest::prelude::*;
use routing::demand::{Demand, Work};
use routing::{Balancer, Choice, Members, Outcome, Query};

/// A balancer before registered engines.
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
            born: 1,
            cold_until: until,
            cold_rate: 40,
        });
    }
    common::balancer(&config, 7)
}

fn asking(demand: Demand, prefix: Option<u64>) -> Query<'static> {
    Query {
        demand: Some(demand),
        prefix,
        ..query(START)
    }
}

fn long() -> Demand {
    Demand {
        own: 6000,
        shared: 5000,
        weight: 1.0,
    }
}

fn short() -> Demand {
    Demand {
        own: 600,
        shared: 200,
        weight: 0.07,
    }
}

fn choose(balancer: &mut Balancer, demand: Demand) -> Choice {
    balancer.choose(&asking(demand, None), START).unwrap()
}

/// Pattern: a clump of long prompts.
#[gtest]
fn a_clump_of_long_prompts_is_spread() {
    let mut balancer = balancer(6, &[]);
    let mut used: Vec<name::Upstream> = Vec::new();
    for _ in 0..6 {
        used.push(choose(&mut balancer, long()).upstream);
    }
    used.sort();
    used.dedup();
    expect_that!(used.len(), eq(6));
}

/// Pattern: long prompts of other instances.
#[gtest]
fn work_that_other_instances_sent_is_avoided() {
    let mut balancer = balancer(2, &[]);
    let first = choose(&mut balancer, short());
    let busy = first.upstream.clone();
    balancer.finish(first, Outcome::Cancelled, START);
    let work = Work {
        pending: 9000.0,
        running: 3.0,
    };
    let loads = vec![(busy.clone(), work)];
    balancer.hear_loads(&"north-2".parse().unwrap(), loads, 1, START);
    for _ in 0..5 {
        let choice = choose(&mut balancer, short());
        expect_that!(choice.upstream, not(eq(&busy)));
        balancer.finish(choice, Outcome::Cancelled, START);
    }
}

/// Pattern: callers that come back together after an outage.
#[gtest]
fn a_clump_is_seen_in_the_outlook_at_once() {
    let mut balancer = balancer(2, &[]);
    let idle = balancer.outlook(&asking(short(), None), START).unwrap();
    let mut running = Vec::new();
    for _ in 0..2 {
        running.push(choose(&mut balancer, long()));
    }
    // A long prompt waits at each of the two engines, which have room for one of each instance.
    let full = balancer.outlook(&asking(short(), None), START);
    expect_that!(full.unwrap_err().reason, eq(routing::Reason::Full));
    for choice in &running {
        balancer.started(&choice.upstream, choice.ticket());
    }
    balancer.finish(running.remove(0), Outcome::Cancelled, START);
    let work = Work {
        pending: 9000.0,
        running: 1.0,
    };
    let loads = ["engine-000", "engine-001"].map(|name| (name.parse().unwrap(), work));
    balancer.hear_loads(&"north-2".parse().unwrap(), loads.to_vec(), 1, START);
    let busy = balancer.outlook(&asking(short(), None), START).unwrap();
    expect_that!(busy, gt(idle + 9000.0));
}

#[gtest]
fn what_another_instance_told_is_forgotten() {
    let mut balancer = balancer(1, &[]);
    let work = Work {
        pending: 9000.0,
        running: 3.0,
    };
    let loads = vec![("engine-000".parse().unwrap(), work)];
    balancer.hear_loads(&"north-2".parse().unwrap(), loads, 1, START);
    expect_that!(balancer.loads().len(), eq(0));
    let later = START + Span::from_secs(5);
    expect_true!(balancer.choose(&asking(short(), None), later).is_ok());
}

/// Pattern: a hot key, whose prompts share a long part.
#[gtest]
fn a_prompt_follows_what_is_kept_of_it_until_that_engine_is_busy() {
    let mut balancer = balancer(6, &[]);
    let first = balancer.choose(&asking(long(), Some(42)), START).unwrap();
    let home = first.upstream.clone();
    balancer.finish(first, Outcome::Done { first_token: None }, START);
    let second = balancer.choose(&asking(long(), Some(42)), START).unwrap();
    expect_that!(second.upstream, eq(&home));
    // Its work still waits there: another engine reads the whole prompt sooner.
    let mut elsewhere = false;
    for _ in 0..3 {
        let next = balancer.choose(&asking(long(), Some(42)), START).unwrap();
        elsewhere |= next.upstream != home;
    }
    expect_true!(elsewhere);
}

/// A balancer that shares 40 engines of two zones with 99 others.
fn crowded() -> Balancer {
    let mut balancer = balancer(40, &[]);
    let members = Members::new(1, (0..100).map(common::instance).collect());
    balancer.members(members, START, START);
    balancer
}

/// Choices of a prompt each, none of which has been finished, by whether they are in the own zone.
fn nearby(balancer: &mut Balancer, count: usize) -> usize {
    let mut near = 0;
    for _ in 0..count {
        let choice = choose(balancer, short());
        // Engines stand in the two zones in turn, the first one in the own.
        let number: usize = choice.upstream.as_str()[7..].parse().unwrap();
        near += usize::from(number.is_multiple_of(2));
        balancer.finish(choice, Outcome::Cancelled, START);
    }
    near
}

/// Pattern: an ordinary day, on which bytes between zones are paid for.
#[gtest]
fn many_instances_keep_to_their_own_zone() {
    expect_that!(nearby(&mut crowded(), 400), gt(380));
}

/// Pattern: callers who have moved to one zone.
#[gtest]
fn work_spills_to_another_zone_when_the_own_one_is_busy() {
    let mut balancer = crowded();
    let work = Work {
        pending: 9000.0,
        running: 3.0,
    };
    let near = (0..40).step_by(2).map(common::engine);
    let loads = near.map(|name| (name, work)).collect();
    balancer.hear_loads(&"north-2".parse().unwrap(), loads, 1, START);
    // Two of the three that are compared are near, so that half of the third ones are elsewhere.
    expect_that!(nearby(&mut balancer, 400), lt(240));
}

#[gtest]
fn work_counts_until_the_first_event() {
    let mut balancer = balancer(1, &[]);
    let choice = choose(&mut balancer, long());
    expect_that!(balancer.loads()[0].1.pending, gt(6000.0));
    balancer.started(&choice.upstream.clone(), choice.ticket());
    expect_that!(balancer.loads()[0].1.pending, eq(0.0));
    expect_that!(balancer.loads()[0].1.running, eq(1.0));
    balancer.finish(choice, Outcome::Done { first_token: None }, START);
    expect_that!(balancer.loads().len(), eq(0));
}

/// Pattern: a zone's return, some of whose engines are cold.
#[gtest]
fn a_cold_engine_is_left_alone_while_a_warm_one_has_room() {
    let mut balancer = balancer(3, &[0, 1]);
    for _ in 0..3 {
        let choice = choose(&mut balancer, short());
        expect_that!(choice.upstream.as_str(), eq("engine-002"));
        balancer.finish(choice, Outcome::Done { first_token: None }, START);
    }
}

/// Pattern: all engines come back cold at once.
#[gtest]
fn cold_engines_are_paced_where_there_is_no_warm_one() {
    let mut balancer = balancer(2, &[0, 1]);
    let mut sent = 0;
    for _ in 0..40 {
        if let Ok(choice) = balancer.choose(&asking(short(), None), START) {
            sent += 1;
            balancer.finish(choice, Outcome::Done { first_token: None }, START);
        }
    }
    // A sixteenth of the rate is assumed to be this instance's before it knows the others.
    expect_that!(sent, eq(2));
    let warm = START + Span::from_secs(3);
    expect_true!(balancer.choose(&asking(short(), None), warm).is_ok());
}

#[gtest]
fn a_request_stays_within_its_regions() {
    let mut balancer = balancer(2, &[]);
    let elsewhere: [name::Region; 1] = ["irbid".parse().unwrap()];
    let query = Query {
        regions: Some(&elsewhere),
        ..asking(short(), None)
    };
    let refusal = balancer.choose(&query, START).unwrap_err();
    expect_that!(refusal.reason, eq(routing::Reason::Region));
    let here: [name::Region; 1] = ["amman".parse().unwrap()];
    let query = Query {
        regions: Some(&here),
        ..asking(short(), None)
    };
    expect_true!(balancer.choose(&query, START).is_ok());
}

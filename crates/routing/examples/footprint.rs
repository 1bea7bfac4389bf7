//! State and computing time of one instance with many upstreams, for 25 versions in 5 zones.

mod model;

use entity::id::{self, Id};
use entity::time::Span;
use entity::unit::Bytes;
use entity::{Generation, Moment, name};
use model::policy;
use routing::state::State;
use routing::{Balancer, Bounds, Load, Members, Outcome, Priority, Query};
use std::sync::Arc;
use std::time::Instant;

const VERSIONS: usize = 25;
const ZONES: usize = 5;
const CHOICES: u32 = 100_000;

fn instance(index: usize) -> name::Instance {
    format!("entry-{index}").parse().unwrap()
}

fn config(upstreams: usize) -> config::Config {
    let mut config = policy::config(ZONES, upstreams, &[(1, 0)]);
    let template = config.versions.values()[0].clone();
    let mut versions = vec![template; VERSIONS];
    for (index, version) in versions.iter_mut().enumerate() {
        version.name = format!("draft/{index:02}").parse().unwrap();
    }
    config.versions = entity::Map::new(versions);
    let all: Vec<id::Version> = config.versions.keys().collect();
    config.services[id::Service::new(0)]
        .versions
        .clone_from(&all);
    config.organisations[id::Organisation::new(0)].versions = all;
    for (id, upstream) in config.upstreams.iter_mut() {
        upstream.versions = vec![id::Version::new(id.index() / ZONES % VERSIONS)];
    }
    config
}

fn main() {
    println!(
        "a state takes {} bytes without its name and lists",
        size_of::<State>()
    );
    println!("instances | upstreams | with state | of which reporting | new list us | choice us");
    for (instances, upstreams) in [(9, 25), (80, 200), (160, 400), (320, 800), (320, 1600)] {
        let config = Arc::new(config(upstreams));
        let zone = "zone-0".parse().unwrap();
        let mut balancer = Balancer::new(instance(0), zone, Bounds::default(), 1);
        let now = Moment(1_000_000_000);
        balancer.configure(&config, Generation(1), now);
        let live = (0..instances).map(instance).collect();
        balancer.set_members(Members::new(1, live), now, now);
        let begun = Instant::now();
        let live = (1..=instances)
            .map(|index| instance(index % instances))
            .collect();
        balancer.set_members(Members::new(2, live), now, now + Span::from_secs(10));
        let rebuilt = begun.elapsed();
        let now = now + Span::from_secs(10);
        let watched = balancer.watched();
        for &id in &watched {
            let load = Load {
                as_of: now,
                ..Load::default()
            };
            balancer.record_load(&config.upstreams[id].name, load, now);
        }
        let begun = Instant::now();
        for index in 0..CHOICES {
            let query = Query {
                generation: Generation(1),
                service: id::Service::new(0),
                version: Some(id::Version::new(
                    index as usize % VERSIONS.min(upstreams / ZONES),
                )),
                organisation: id::Organisation::new(0),
                prompt: Bytes(4096),
                prefix: Some(u64::from(index)),
                demand: None,
                priority: Priority(0),
                excluded: &[],
                regions: None,
                deadline: now + Span::from_secs(30),
                is_repeatable: true,
            };
            let choice = balancer.choose(&query, now).unwrap();
            balancer.finish(choice, Outcome::Cancelled, now);
        }
        let each = begun.elapsed().as_secs_f64() * 1e6 / f64::from(CHOICES);
        println!(
            "{instances} | {upstreams} | {} | {} | {} | {each:.2}",
            balancer.tracked_count(),
            watched.len(),
            rebuilt.as_micros(),
        );
    }
}

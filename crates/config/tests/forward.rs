//! Tests of routes for forwarded requests: prefix match and weighted split.

use config::forward::{Destination, Forward, Repeat, find};
use entity::Span;
use entity::id::{self, Id};
use googletest::prelude::*;

fn route(host: &str, prefix: &str) -> Forward {
    Forward {
        host: host.into(),
        prefix: prefix.into(),
        name: prefix.into(),
        repeat: Repeat::Safe,
        timeout: Span::from_secs(1),
        objective: Span::from_millis(150),
        max_event_gap: None,
        max_runs: 2,
        priority: 2,
        models: Vec::new(),
        destinations: vec![Destination {
            service: id::Service::new(0),
            weight: 1,
        }],
        public: false,
        regions: Vec::new(),
    }
}

fn routes() -> Vec<Forward> {
    vec![
        route("a.example", "/"),
        route("a.example", "/one/"),
        route("a.example", "/one/two/"),
        route("b.example", "/one/"),
    ]
}

fn found_prefix<'a>(routes: &'a [Forward], host: &str, path: &str) -> Option<&'a str> {
    find(routes, host, path).map(|route| &*route.prefix)
}

#[gtest]
fn the_longest_prefix_of_the_host_wins() {
    let routes = routes();
    expect_that!(
        found_prefix(&routes, "a.example", "/one/two/x"),
        some(eq("/one/two/"))
    );
    expect_that!(
        found_prefix(&routes, "a.example", "/one/two"),
        some(eq("/one/"))
    );
    expect_that!(
        found_prefix(&routes, "a.example", "/oneself"),
        some(eq("/"))
    );
    expect_that!(
        found_prefix(&routes, "b.example", "/one/"),
        some(eq("/one/"))
    );
}

#[gtest]
fn a_path_without_a_matching_prefix_has_no_route() {
    let routes = routes();
    expect_that!(found_prefix(&routes, "b.example", "/two/"), none());
    expect_that!(found_prefix(&routes, "c.example", "/one/"), none());
    expect_that!(found_prefix(&routes, "a.example", "one"), none());
}

#[gtest]
fn a_split_follows_its_weights() {
    let mut split = route("a.example", "/");
    split.destinations = vec![
        Destination {
            service: id::Service::new(0),
            weight: 90,
        },
        Destination {
            service: id::Service::new(1),
            weight: 10,
        },
    ];
    let second = (0..1000).filter(|&position| split.service(position) == id::Service::new(1));
    expect_that!(second.count(), eq(100));
}

#[gtest]
fn a_split_of_zero_weights_uses_the_first_service() {
    let mut split = route("a.example", "/");
    split.destinations[0].weight = 0;
    expect_that!(split.service(7), eq(id::Service::new(0)));
}

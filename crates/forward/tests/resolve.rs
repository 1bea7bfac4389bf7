//! Resolution of the catalog into a configuration with dense ids.

use config::forward::{Limits, Repeat};
use config::{AdminState, Key};
use entity::{Era, Moment, Offset, Span};
use forward::catalog::{
    Destination, Entry, Organisation, Publication, Registration, Route, Service, State,
};
use forward::source::{Item, Listing, Position, Topic};
use forward::{Fold, PUBLIC, ZoneRegions, resolve};
use googletest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const NOW: Moment = Moment(1_000_000_000);

fn service(name: &str) -> Service {
    Service {
        name: name.parse().unwrap(),
        connections: 100,
        cold_rate: 18.0,
        memory: None,
        models: Vec::new(),
    }
}

fn route(prefix: &str, service: &str) -> Route {
    Route {
        name: prefix.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        repeat: Repeat::Never,
        timeout: Span::from_secs(2),
        objective: Span::from_millis(150),
        max_event_gap: None,
        max_runs: 1,
        priority: 2,
        models: Vec::new(),
        destinations: vec![Destination {
            service: service.parse().unwrap(),
            weight: 1,
        }],
        public: false,
        regions: Vec::new(),
    }
}

fn publication() -> Publication {
    let key = Key::generate("first", "secret", &mut ChaCha8Rng::seed_from_u64(1));
    Publication {
        version: 1,
        routes: vec![
            route("/two/", "lookup"),
            route("/one/", "advice"),
            route("/x/", "nowhere"),
        ],
        services: vec![service("lookup"), service("advice")],
        organisations: Some(vec![Organisation {
            name: "clinics".parse().unwrap(),
            keys: vec![key],
            priority: Some(1),
            regions: Vec::new(),
        }]),
        limits: Limits::default(),
    }
}

fn fold(publication: Publication, upstreams: &[(&str, &str, &str)]) -> Fold {
    let mut fold = Fold::default();
    let list = |fold: &mut Fold, topic, items| {
        let end = Offset(9);
        fold.apply_listing(
            topic,
            &Listing {
                items,
                end,
                era: Era::default(),
            },
            NOW,
            false,
        );
    };
    let item = |key: &str, entry| Item {
        key: key.into(),
        position: Position {
            offset: Offset(1),
            ..Position::default()
        },
        entry: Ok(Some(entry)),
        value: Box::default(),
    };
    list(
        &mut fold,
        Topic::Operator,
        vec![item("config", Entry::Publication(publication))],
    );
    let mut items = Vec::new();
    for (name, service, zone) in upstreams {
        let registration = Registration {
            service: service.parse().unwrap(),
            address: "10.0.0.1:8000".parse().unwrap(),
            zone: zone.parse().unwrap(),
            release: "v1".into(),
            slots: 6,
            state: State::Ready,
            cold: Span::ZERO,
            incarnation: 7,
        };
        items.push(item(
            name,
            Entry::Registration(name.parse().unwrap(), registration),
        ));
    }
    list(&mut fold, Topic::Upstreams, items);
    fold
}

fn zone_regions() -> ZoneRegions {
    ZoneRegions {
        zones: vec![("north-a".parse().unwrap(), "north".parse().unwrap())],
    }
}

#[gtest]
fn nothing_is_resolved_before_a_publication() {
    expect_true!(resolve(&Fold::default(), &zone_regions()).is_none());
}

#[gtest]
fn references_resolve_to_dense_ids() {
    let fold = fold(
        publication(),
        &[("i-2", "lookup", "north-a"), ("i-1", "advice", "north-a")],
    );
    let config = resolve(&fold, &zone_regions()).unwrap();
    let advice = config.service("advice").unwrap();
    let first = config.upstream("i-1").unwrap();
    expect_that!(config.upstreams[first].services, container_eq([advice]));
    expect_that!(config.services[advice].versions.len(), eq(1));
    let version = config.services[advice].versions[0];
    let clinics = config.organisation("clinics").unwrap();
    expect_true!(config.allows(clinics, advice, version));
    expect_that!(config.organisations[clinics].priority, some(eq(1)));
}

#[gtest]
fn route_to_an_unknown_service_is_left_out() {
    let config = resolve(&fold(publication(), &[]), &zone_regions()).unwrap();
    let prefixes: Vec<&str> = config.forwards.iter().map(|route| &*route.prefix).collect();
    expect_that!(prefixes, container_eq(["/one/", "/two/"]));
}

#[gtest]
fn upstream_of_an_unknown_service_is_left_out() {
    let fold = fold(publication(), &[("i-1", "elsewhere", "north-a")]);
    let config = resolve(&fold, &zone_regions()).unwrap();
    expect_true!(config.upstreams.is_empty());
}

#[gtest]
fn zone_without_a_region_in_the_settings_is_in_service() {
    let fold = fold(publication(), &[("i-1", "advice", "north-z")]);
    let config = resolve(&fold, &zone_regions()).unwrap();
    let upstream = config.upstream("i-1").unwrap();
    expect_true!(config.is_in_service(upstream));
}

#[gtest]
fn evacuated_zone_is_out_of_service() {
    let mut fold = fold(publication(), &[("i-1", "advice", "north-a")]);
    let item = Item {
        key: "evacuate/north-a".into(),
        position: Position {
            offset: Offset(9),
            ..Position::default()
        },
        entry: Ok(Some(Entry::Evacuation("north-a".parse().unwrap()))),
        value: Box::default(),
    };
    let page = forward::source::Page {
        items: vec![item],
        next: Offset(10),
        end: Offset(10),
        era: Era::default(),
    };
    fold.apply_page(Topic::Operator, &page, NOW, false);
    let config = resolve(&fold, &zone_regions()).unwrap();
    let zone = config.zone("north-a").unwrap();
    expect_that!(config.zones[zone].state, eq(AdminState::Out));
    expect_false!(config.is_in_service(config.upstream("i-1").unwrap()));
}

#[gtest]
fn every_route_is_public_without_organisations() {
    let open = Publication {
        organisations: None,
        ..publication()
    };
    let config = resolve(&fold(open, &[]), &zone_regions()).unwrap();
    expect_true!(config.forwards.iter().all(|route| route.public));
    expect_true!(config.organisation(PUBLIC).is_some());
}

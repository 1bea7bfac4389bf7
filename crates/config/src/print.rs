//! Prints a configuration as text.

use crate::model::{
    AdminState, Config, Fencing, Kind, Organisation, Repeat, Rollout, Route, Service, Stage,
    Upstream,
};
use entity::id::Id;
use entity::map::Map;
use std::fmt::{Display, Write};

/// Writes a configuration as a text that [`parse`](crate::parse) reads back as an equal one.
///
/// All keys are written, including those with their default value. The versions of organisations are
/// listed by name, since the model does not record whether the text had `*`.
pub fn print(config: &Config) -> String {
    let mut printer = Printer(String::new());
    for zone in config.zones.values() {
        printer.section(format_args!("zone {}", zone.name));
        printer.key("region", &zone.region);
        printer.key("state", admin_state(zone.state, "out"));
    }
    for service in config.services.values() {
        printer.service(config, service);
    }
    for version in config.versions.values() {
        printer.section(format_args!("version {}", version.name));
        printer.key("model", &version.model);
        printer.key("price-in", version.price_in);
        printer.key("price-out", version.price_out);
        printer.key("state", stage(version.stage));
    }
    for upstream in config.upstreams.values() {
        printer.upstream(config, upstream);
    }
    for organisation in config.organisations.values() {
        printer.organisation(config, organisation);
    }
    for route in &config.routes {
        printer.route(config, route);
    }
    for rollout in &config.rollouts {
        printer.rollout(config, rollout);
    }
    printer.0
}

struct Printer(String);

impl Printer {
    fn section(&mut self, header: impl Display) {
        if !self.0.is_empty() {
            self.0.push('\n');
        }
        writeln!(self.0, "[{header}]").expect("writing to a string is infallible");
    }

    fn key(&mut self, key: &str, value: impl Display) {
        writeln!(self.0, "{key} = {value}").expect("writing to a string is infallible");
    }

    fn list(&mut self, key: &str, items: impl Iterator<Item = String>) {
        let items: Vec<_> = items.collect();
        if !items.is_empty() {
            self.key(key, items.join(", "));
        }
    }

    fn service(&mut self, config: &Config, service: &Service) {
        self.section(format_args!("service {}", service.name));
        self.key("kind", kind(service.kind));
        let depends = service.depends.iter();
        self.list(
            "depends",
            depends.map(|id| config.services[*id].name.to_string()),
        );
        if service.kind == Kind::Chat {
            let versions = service.versions.iter();
            self.list(
                "versions",
                versions.map(|id| config.versions[*id].name.to_string()),
            );
            self.key("quality", service.quality);
            self.key("cascade", if service.cascade { "yes" } else { "no" });
        }
        self.key("deadline", service.deadline);
    }

    fn upstream(&mut self, config: &Config, upstream: &Upstream) {
        self.section(format_args!("upstream {}", upstream.name));
        self.key("zone", &config.zones[upstream.zone].name);
        self.key("address", upstream.address);
        self.list(
            "versions",
            names(&config.versions, &upstream.versions, |v| &v.name),
        );
        self.list(
            "services",
            names(&config.services, &upstream.services, |s| &s.name),
        );
        self.key("warm", upstream.warm);
        self.key("cold", upstream.cold);
        self.key("fencing", fencing(upstream.fencing));
        self.key("state", admin_state(upstream.state, "leaving"));
    }

    fn organisation(&mut self, config: &Config, organisation: &Organisation) {
        self.section(format_args!("organisation {}", organisation.name));
        self.list(
            "services",
            names(&config.services, &organisation.services, |s| &s.name),
        );
        self.list(
            "versions",
            names(&config.versions, &organisation.versions, |v| &v.name),
        );
        self.key("weight", organisation.weight);
        self.key("reserve", organisation.reserve);
        self.list("keys", organisation.keys.iter().map(ToString::to_string));
    }

    fn route(&mut self, config: &Config, route: &Route) {
        let service = &config.services[route.service].name;
        self.section(format_args!(
            "route {service} {} {}",
            route.method, route.path
        ));
        self.key("repeat", repeat(route.repeat));
        self.key("price", route.price);
    }

    fn rollout(&mut self, config: &Config, rollout: &Rollout) {
        let service = &config.services[rollout.service].name;
        self.section(format_args!("rollout {service}"));
        self.key("from", &config.versions[rollout.from].name);
        self.key("to", &config.versions[rollout.to].name);
        self.key("share", rollout.share);
        self.key("limit", rollout.limit);
        self.key("false-alarm", rollout.false_alarm);
    }
}

fn names<'c, K: Id, V, N: Display + 'c>(
    entities: &'c Map<K, V>,
    ids: &'c [K],
    name: impl Fn(&'c V) -> &'c N + 'c,
) -> impl Iterator<Item = String> + 'c {
    ids.iter().map(move |id| name(&entities[*id]).to_string())
}

fn admin_state(state: AdminState, out: &'static str) -> &'static str {
    match state {
        AdminState::In => "in",
        AdminState::Out => out,
    }
}

fn kind(kind: Kind) -> &'static str {
    match kind {
        Kind::Chat => "chat",
        Kind::Plain => "plain",
    }
}

fn stage(stage: Stage) -> &'static str {
    match stage {
        Stage::Active => "active",
        Stage::Withdrawn => "withdrawn",
    }
}

fn fencing(fencing: Fencing) -> &'static str {
    match fencing {
        Fencing::Checked => "checked",
        Fencing::Ignored => "ignored",
    }
}

fn repeat(repeat: Repeat) -> &'static str {
    match repeat {
        Repeat::Safe => "safe",
        Repeat::Never => "never",
    }
}

//! Checks across keys and sections.
//!
//! A check looks only at sections that were read without a finding, so that one mistake is reported
//! once and not again as its consequences.

use crate::key::Key;
use crate::model::{Config, Kind, Stage};
use crate::outline::Outline;
use crate::parse::{Clean, section};
use entity::id;
use entity::{Findings, name};

/// A configuration whose sections have been read but not checked against each other.
#[derive(Debug, Default)]
pub(crate) struct Draft<'a> {
    pub(crate) config: Config,
    pub(crate) clean: Clean,
    pub(crate) outline: Outline<'a>,
}

/// Adds the findings of all checks.
pub(crate) fn verify(draft: &Draft<'_>, findings: &mut Findings) {
    rollouts(draft, findings);
    upstreams(draft, findings);
    addresses(draft, findings);
    routes(draft, findings);
    cycles(draft, findings);
    organisations(draft, findings);
    keys(draft, findings);
}

fn rollouts(draft: &Draft<'_>, findings: &mut Findings) {
    for (index, rollout) in draft.config.rollouts.iter().enumerate() {
        if !draft.clean.rollouts[index] {
            continue;
        }
        let section = &draft.outline.rollouts[index].section;
        let service = &draft.config.services[rollout.service];
        if rollout.from == rollout.to {
            findings.add(
                section.place("to"),
                "a roll-out to the same version",
                "give another",
            );
        }
        if rollout.share > rollout.limit {
            let problem = format!(
                "a share of {} over the limit of {}",
                rollout.share, rollout.limit
            );
            let remedy = format!("at most {}, or raise the limit", rollout.limit);
            findings.add(section.place("share"), problem, remedy);
        }
        if !draft.clean.services[rollout.service] {
            continue;
        }
        if service.kind == Kind::Plain {
            let problem = format!("{} is a plain service", service.name);
            findings.add(
                section.place(""),
                problem,
                "only chat services have roll-outs",
            );
            continue;
        }
        for (key, version) in [("from", rollout.from), ("to", rollout.to)] {
            if service.versions.contains(&version) {
                continue;
            }
            let name = &draft.config.versions[version].name;
            let problem = format!("{name} is no version of service {}", service.name);
            let remedy = format!("one of {}", versions(&draft.config, &service.versions));
            findings.add(section.place(key), problem, remedy);
        }
    }
}

fn versions(config: &Config, versions: &[id::Version]) -> String {
    let names: Vec<_> = versions
        .iter()
        .map(|version| config.versions[*version].name.as_str())
        .collect();
    names.join(", ")
}

fn upstreams(draft: &Draft<'_>, findings: &mut Findings) {
    for (id, upstream) in draft.config.upstreams.iter() {
        if !draft.clean.upstreams[id] {
            continue;
        }
        let section = section(&draft.outline.upstreams, id);
        if upstream.cold > upstream.warm {
            let problem = format!("cold {} over warm {}", upstream.cold, upstream.warm);
            findings.add(
                section.place("cold"),
                problem,
                format!("at most {}", upstream.warm),
            );
        }
        if upstream.warm == 0 {
            findings.add(
                section.place("warm"),
                "it could never run a request",
                "at least 1",
            );
        }
        if upstream.versions.is_empty() && upstream.services.is_empty() {
            let remedy = "list its versions or its plain services";
            findings.add(section.place("versions"), "it has nothing to run", remedy);
        }
        for service in &upstream.services {
            let service = &draft.config.services[*service];
            if service.kind == Kind::Chat {
                let problem = format!("{} is a chat service", service.name);
                let remedy = "list the versions that it runs under versions";
                findings.add(section.place("services"), problem, remedy);
            }
        }
    }
}

fn addresses(draft: &Draft<'_>, findings: &mut Findings) {
    let mut seen = Vec::new();
    for (id, upstream) in draft.config.upstreams.iter() {
        if !draft.clean.upstreams[id] {
            continue;
        }
        seen.push((upstream.address, id));
    }
    seen.sort_unstable();
    for pair in seen.windows(2) {
        let [(address, first), (other, second)] = pair else {
            continue;
        };
        if address != other {
            continue;
        }
        let first = &draft.config.upstreams[*first].name;
        let problem = format!("upstream {first} has the address {address} too");
        let place = section(&draft.outline.upstreams, *second).place("address");
        findings.add(place, problem, "an address for each upstream");
    }
}

fn routes(draft: &Draft<'_>, findings: &mut Findings) {
    for (index, route) in draft.config.routes.iter().enumerate() {
        let section = &draft.outline.routes[index].section;
        let service = &draft.config.services[route.service];
        if draft.clean.services[route.service] && service.kind == Kind::Chat {
            let problem = format!("{} is a chat service", service.name);
            findings.add(
                section.place(""),
                problem,
                "only plain services have routes",
            );
        }
        if !route.method.bytes().all(|byte| byte.is_ascii_uppercase()) {
            let problem = format!("{} is no method", route.method);
            findings.add(
                section.place(""),
                problem,
                "a method in capitals, such as GET",
            );
        }
        let stem = route.path.strip_suffix('*').unwrap_or(&route.path);
        if !stem.starts_with('/') || stem.contains(['*', '?', '#']) {
            let problem = format!("{} is no path", route.path);
            let remedy = "a path from / on, with * only as its last character";
            findings.add(section.place(""), problem, remedy);
        }
    }
}

fn cycles(draft: &Draft<'_>, findings: &mut Findings) {
    let settled = settled(&draft.config);
    let mut walked = entity::Map::filled(false, draft.config.services.len());
    for start in draft.config.services.keys() {
        let mut path: Vec<id::Service> = Vec::new();
        let mut next = Some(start).filter(|start| !settled[*start]);
        // Every service that is not settled needs another such one, so that a walk along these
        // ends where it meets itself, which is a cycle, or an earlier walk.
        while let Some(service) = next {
            if let Some(first) = path.iter().position(|earlier| *earlier == service) {
                cycle(draft, &path[first..], findings);
                break;
            }
            if walked[service] {
                break;
            }
            walked[service] = true;
            path.push(service);
            let depends = &draft.config.services[service].depends;
            next = depends.iter().find(|needed| !settled[**needed]).copied();
        }
    }
}

/// The services of which no dependency, direct or indirect, is part of a cycle.
fn settled(config: &Config) -> entity::Map<id::Service, bool> {
    let mut settled = entity::Map::filled(false, config.services.len());
    let mut changed = true;
    while changed {
        changed = false;
        for (id, service) in config.services.iter() {
            if settled[id] || !service.depends.iter().all(|needed| settled[*needed]) {
                continue;
            }
            settled[id] = true;
            changed = true;
        }
    }
    settled
}

fn cycle(draft: &Draft<'_>, cycle: &[id::Service], findings: &mut Findings) {
    let mut names = Vec::new();
    for service in cycle.iter().chain(&cycle[..1]) {
        names.push(draft.config.services[*service].name.as_str());
    }
    let last = cycle[cycle.len() - 1];
    let place = section(&draft.outline.services, last).place("depends");
    let problem = format!("circular dependency: {}", names.join(" needs "));
    findings.add(place, problem, "remove one of these dependencies");
}

fn organisations(draft: &Draft<'_>, findings: &mut Findings) {
    for (id, organisation) in draft.config.organisations.iter() {
        if !draft.clean.organisations[id] {
            continue;
        }
        let section = section(&draft.outline.organisations, id);
        if organisation.weight == 0 {
            findings.add(section.place("weight"), "a weight of 0", "at least 1");
        }
        for service in &organisation.services {
            dependencies(draft, id, *service, findings);
            if let Some((problem, remedy)) = unreachable(draft, id, *service) {
                findings.add(section.place("services"), problem, remedy);
            }
        }
    }
}

/// A bearer key of two organisations could not be billed to the right one.
fn keys(draft: &Draft<'_>, findings: &mut Findings) {
    let mut seen: Vec<(&Key, &name::Organisation)> = Vec::new();
    for (id, organisation) in draft.config.organisations.iter() {
        for key in &organisation.keys {
            let mut earlier = seen.iter();
            let Some((_, owner)) = earlier.find(|(other, _)| key.same_hash(other)) else {
                seen.push((key, &organisation.name));
                continue;
            };
            let place = section(&draft.outline.organisations, id).place("keys");
            let problem = format!("{owner} has the same key");
            findings.add(place, problem, "a key for each organisation");
        }
    }
}

fn dependencies(
    draft: &Draft<'_>,
    organisation: id::Organisation,
    service: id::Service,
    findings: &mut Findings,
) {
    let allowed = &draft.config.organisations[organisation].services;
    let service = &draft.config.services[service];
    for needed in &service.depends {
        if allowed.binary_search(needed).is_ok() {
            continue;
        }
        let needed = &draft.config.services[*needed].name;
        let problem = format!("{} needs {needed}, which it may not use", service.name);
        let place = section(&draft.outline.organisations, organisation).place("services");
        findings.add(
            place,
            problem,
            format!("add {needed}, or remove {}", service.name),
        );
    }
}

/// Why an organisation could never run a service, if so.
fn unreachable(
    draft: &Draft<'_>,
    organisation: id::Organisation,
    id: id::Service,
) -> Option<(String, String)> {
    if !draft.clean.services[id] {
        return None;
    }
    let service = &draft.config.services[id];
    if service.kind == Kind::Plain {
        return unreachable_plain(draft, id);
    }
    let organisation = &draft.config.organisations[organisation];
    let mut unclean = false;
    let mut usable = Vec::new();
    for version in &service.versions {
        unclean |= !draft.clean.versions[*version];
        let allowed = organisation.versions.binary_search(version).is_ok();
        if allowed && draft.config.versions[*version].stage == Stage::Active {
            usable.push(*version);
        }
    }
    if usable.is_empty() {
        let problem = format!("no active version of {} is allowed", service.name);
        let remedy = format!(
            "allow one of {}",
            versions(&draft.config, &service.versions)
        );
        return (!unclean).then_some((problem, remedy));
    }
    for (id, upstream) in draft.config.upstreams.iter() {
        unclean |= !draft.clean.upstreams[id];
        if usable
            .iter()
            .any(|version| upstream.versions.contains(version))
        {
            return None;
        }
    }
    let names = versions(&draft.config, &usable);
    let problem = format!("{} could never run: no upstream has {names}", service.name);
    let remedy = "list one of these versions at an upstream".to_owned();
    (!unclean).then_some((problem, remedy))
}

fn unreachable_plain(draft: &Draft<'_>, id: id::Service) -> Option<(String, String)> {
    let name = &draft.config.services[id].name;
    if !draft.config.routes.iter().any(|route| route.service == id) {
        let problem = format!("{name} could never run: it has no route");
        return Some((problem, format!("add [route {name} METHOD PATH]")));
    }
    for (upstream, value) in draft.config.upstreams.iter() {
        if value.services.contains(&id) || !draft.clean.upstreams[upstream] {
            return None;
        }
    }
    let problem = format!("{name} could never run: no upstream has it");
    Some((problem, "list it under services of an upstream".to_owned()))
}

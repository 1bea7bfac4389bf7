//! Checks across keys and sections.
//!
//! Checks use only sections that were read without a finding, so that an error is reported once and
//! not again through its consequences.

use crate::key::Key;
use crate::model::{Config, Kind, Stage};
use crate::outline::Outline;
use crate::parse::{Clean, section};
use entity::id;
use entity::{Findings, name};

/// A configuration whose sections have been read but not yet checked against each other.
#[derive(Debug, Default)]
pub(crate) struct Draft<'a> {
    pub(crate) config: Config,
    pub(crate) clean: Clean,
    pub(crate) outline: Outline<'a>,
}

/// Runs all checks and adds their findings.
pub(crate) fn verify(draft: &Draft<'_>, findings: &mut Findings) {
    check_rollouts(draft, findings);
    check_upstreams(draft, findings);
    check_addresses(draft, findings);
    check_routes(draft, findings);
    check_cycles(draft, findings);
    check_organisations(draft, findings);
    check_keys(draft, findings);
}

fn check_rollouts(draft: &Draft<'_>, findings: &mut Findings) {
    for (index, rollout) in draft.config.rollouts.iter().enumerate() {
        if !draft.clean.rollouts[index] {
            continue;
        }
        let section = &draft.outline.rollouts[index].section;
        let service = &draft.config.services[rollout.service];
        if rollout.from == rollout.to {
            findings.add(
                section.place("to"),
                "a rollout to the same version",
                "give another version",
            );
        }
        if rollout.share > rollout.limit {
            let problem = format!(
                "the share {} exceeds the limit {}",
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
                "only chat services have rollouts",
            );
            continue;
        }
        for (key, version) in [("from", rollout.from), ("to", rollout.to)] {
            if service.versions.contains(&version) {
                continue;
            }
            let name = &draft.config.versions[version].name;
            let problem = format!("{name} is not a version of service {}", service.name);
            let remedy = format!(
                "use one of {}",
                version_names(&draft.config, &service.versions)
            );
            findings.add(section.place(key), problem, remedy);
        }
    }
}

fn version_names(config: &Config, versions: &[id::Version]) -> String {
    let names: Vec<_> = versions
        .iter()
        .map(|version| config.versions[*version].name.as_str())
        .collect();
    names.join(", ")
}

fn check_upstreams(draft: &Draft<'_>, findings: &mut Findings) {
    for (id, upstream) in draft.config.upstreams.iter() {
        if !draft.clean.upstreams[id] {
            continue;
        }
        let section = section(&draft.outline.upstreams, id);
        if upstream.cold > upstream.warm {
            let problem = format!("cold ({}) exceeds warm ({})", upstream.cold, upstream.warm);
            findings.add(
                section.place("cold"),
                problem,
                format!("at most {}", upstream.warm),
            );
        }
        if upstream.warm == 0 {
            findings.add(
                section.place("warm"),
                "the upstream could never run a request",
                "at least 1",
            );
        }
        if upstream.versions.is_empty() && upstream.services.is_empty() {
            let remedy = "list its versions or its plain services";
            findings.add(
                section.place("versions"),
                "the upstream has nothing to run",
                remedy,
            );
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

fn check_addresses(draft: &Draft<'_>, findings: &mut Findings) {
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
        let problem = format!("upstream {first} has the same address, {address}");
        let place = section(&draft.outline.upstreams, *second).place("address");
        findings.add(place, problem, "give each upstream its own address");
    }
}

fn check_routes(draft: &Draft<'_>, findings: &mut Findings) {
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
            let problem = format!("{} is not an HTTP method in capitals", route.method);
            findings.add(section.place(""), problem, "write a method such as GET");
        }
        let stem = route.path.strip_suffix('*').unwrap_or(&route.path);
        if !stem.starts_with('/') || stem.contains(['*', '?', '#']) {
            let problem = format!("{} is not a valid path", route.path);
            let remedy = "write a path that starts with / and has * only as its last character";
            findings.add(section.place(""), problem, remedy);
        }
    }
}

fn check_cycles(draft: &Draft<'_>, findings: &mut Findings) {
    let acyclic = acyclic(&draft.config);
    let mut visited = entity::Map::filled(false, draft.config.services.len());
    for start in draft.config.services.keys() {
        let mut path: Vec<id::Service> = Vec::new();
        let mut next = Some(start).filter(|start| !acyclic[*start]);
        // Every service that depends on a cycle has a dependency that does so too. A walk along
        // these therefore ends at a service of its own path, which is a cycle, or of an earlier
        // walk.
        while let Some(service) = next {
            if let Some(first) = path.iter().position(|earlier| *earlier == service) {
                add_cycle(draft, &path[first..], findings);
                break;
            }
            if visited[service] {
                break;
            }
            visited[service] = true;
            path.push(service);
            let depends = &draft.config.services[service].depends;
            next = depends.iter().find(|needed| !acyclic[**needed]).copied();
        }
    }
}

/// Returns for each service whether its dependencies, direct and indirect, are free of cycles.
fn acyclic(config: &Config) -> entity::Map<id::Service, bool> {
    let mut acyclic = entity::Map::filled(false, config.services.len());
    let mut changed = true;
    while changed {
        changed = false;
        for (id, service) in config.services.iter() {
            if acyclic[id] || !service.depends.iter().all(|needed| acyclic[*needed]) {
                continue;
            }
            acyclic[id] = true;
            changed = true;
        }
    }
    acyclic
}

fn add_cycle(draft: &Draft<'_>, cycle: &[id::Service], findings: &mut Findings) {
    let mut names = Vec::new();
    for service in cycle.iter().chain(&cycle[..1]) {
        names.push(draft.config.services[*service].name.as_str());
    }
    let last = cycle[cycle.len() - 1];
    let place = section(&draft.outline.services, last).place("depends");
    let problem = format!("circular dependency: {}", names.join(" needs "));
    findings.add(place, problem, "remove one of these dependencies");
}

fn check_organisations(draft: &Draft<'_>, findings: &mut Findings) {
    for (id, organisation) in draft.config.organisations.iter() {
        if !draft.clean.organisations[id] {
            continue;
        }
        let section = section(&draft.outline.organisations, id);
        if organisation.weight == 0 {
            findings.add(section.place("weight"), "the weight is 0", "at least 1");
        }
        for service in &organisation.services {
            check_dependencies(draft, id, *service, findings);
            if let Some((problem, remedy)) = unserved(draft, id, *service) {
                findings.add(section.place("services"), problem, remedy);
            }
        }
    }
}

/// Checks that no two organisations share a bearer key: its requests could not be billed to the right
/// one.
fn check_keys(draft: &Draft<'_>, findings: &mut Findings) {
    let mut seen: Vec<(&Key, &name::Organisation)> = Vec::new();
    for (id, organisation) in draft.config.organisations.iter() {
        for key in &organisation.keys {
            let mut earlier = seen.iter();
            let Some((_, owner)) = earlier.find(|(other, _)| key.has_same_hash(other)) else {
                seen.push((key, &organisation.name));
                continue;
            };
            let place = section(&draft.outline.organisations, id).place("keys");
            let problem = format!("{owner} has the same key");
            findings.add(place, problem, "give each organisation its own key");
        }
    }
}

fn check_dependencies(
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

/// Returns the problem and remedy if no request of an organisation to a service could ever run.
fn unserved(
    draft: &Draft<'_>,
    organisation: id::Organisation,
    id: id::Service,
) -> Option<(String, String)> {
    if !draft.clean.services[id] {
        return None;
    }
    let service = &draft.config.services[id];
    if service.kind == Kind::Plain {
        return unserved_plain(draft, id);
    }
    let organisation = &draft.config.organisations[organisation];
    let mut has_unclean = false;
    let mut usable = Vec::new();
    for version in &service.versions {
        has_unclean |= !draft.clean.versions[*version];
        let allowed = organisation.versions.binary_search(version).is_ok();
        if allowed && draft.config.versions[*version].stage == Stage::Active {
            usable.push(*version);
        }
    }
    if usable.is_empty() {
        let problem = format!("no active version of {} is allowed", service.name);
        let remedy = format!(
            "allow one of {}",
            version_names(&draft.config, &service.versions)
        );
        return (!has_unclean).then_some((problem, remedy));
    }
    for (id, upstream) in draft.config.upstreams.iter() {
        has_unclean |= !draft.clean.upstreams[id];
        if usable
            .iter()
            .any(|version| upstream.versions.contains(version))
        {
            return None;
        }
    }
    let names = version_names(&draft.config, &usable);
    let problem = format!("{} could never run: no upstream has {names}", service.name);
    let remedy = "list one of these versions at an upstream".to_owned();
    (!has_unclean).then_some((problem, remedy))
}

fn unserved_plain(draft: &Draft<'_>, id: id::Service) -> Option<(String, String)> {
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

//! The sections of a configuration text by kind and name, before their keys are read.

use crate::document::{Document, Section};
use entity::id::{self, Id};
use entity::{Findings, Place, name};
use std::borrow::Borrow;
use std::fmt::Display;
use std::str::FromStr;

/// A section together with the name in its header.
#[derive(Clone, Debug)]
pub(crate) struct Named<'a, N> {
    /// The name.
    pub(crate) name: N,
    /// The section.
    pub(crate) section: Section<'a>,
}

/// A `[route SERVICE METHOD PATH]` section.
#[derive(Clone, Debug)]
pub(crate) struct Route<'a> {
    pub(crate) service: id::Service,
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) section: Section<'a>,
}

/// A `[rollout SERVICE]` section.
#[derive(Clone, Debug)]
pub(crate) struct Rollout<'a> {
    pub(crate) service: id::Service,
    pub(crate) section: Section<'a>,
}

/// All sections, sorted, so that the index of a section is the dense id of its entity.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outline<'a> {
    pub(crate) zones: Vec<Named<'a, name::Zone>>,
    pub(crate) services: Vec<Named<'a, name::Service>>,
    pub(crate) versions: Vec<Named<'a, name::Version>>,
    pub(crate) upstreams: Vec<Named<'a, name::Upstream>>,
    pub(crate) organisations: Vec<Named<'a, name::Organisation>>,
    pub(crate) routes: Vec<Route<'a>>,
    pub(crate) rollouts: Vec<Rollout<'a>>,
}

const KINDS: &str = "the sections are [zone NAME], [service NAME], [version NAME], \
    [upstream NAME], [organisation NAME], [route SERVICE METHOD PATH] and [rollout SERVICE]";

/// The id of a name, by binary search.
pub(crate) fn find<I: Id, N: Borrow<str>>(sorted: &[Named<'_, N>], name: &str) -> Option<I> {
    let found = sorted.binary_search_by(|named| named.name.borrow().cmp(name));
    found.ok().map(I::new)
}

impl<'a> Outline<'a> {
    /// Sorts the sections and adds a finding for each header that is unknown, malformed or double.
    pub(crate) fn new(document: Document<'a>, findings: &mut Findings) -> Self {
        let mut outline = Self::default();
        let mut later = Vec::new();
        for section in document.sections {
            match section.words().as_slice() {
                ["zone", name] => insert(&mut outline.zones, name, section, findings),
                ["service", name] => insert(&mut outline.services, name, section, findings),
                ["version", name] => insert(&mut outline.versions, name, section, findings),
                ["upstream", name] => insert(&mut outline.upstreams, name, section, findings),
                ["organisation", name] => {
                    insert(&mut outline.organisations, name, section, findings);
                }
                ["route", _, _, _] | ["rollout", _] => later.push(section),
                _ => unknown(&section, findings),
            }
        }
        // Routes and roll-outs refer to services, which are complete only now.
        for section in later {
            outline.referring(section, findings);
        }
        outline
    }

    fn referring(&mut self, section: Section<'a>, findings: &mut Findings) {
        let words = section.words();
        let name = words[1];
        let Some(service) = find(&self.services, name) else {
            let remedy = format!("add [service {name}] or correct the name");
            findings.add(
                place(&section),
                format!("there is no service {name}"),
                remedy,
            );
            return;
        };
        if let [_, _, method, path] = words.as_slice() {
            self.route(service, method, path, section, findings);
            return;
        }
        let found = self
            .rollouts
            .binary_search_by_key(&service, |rollout| rollout.service);
        match found {
            Ok(first) => double(&section, self.rollouts[first].section.line, findings),
            Err(position) => self.rollouts.insert(position, Rollout { service, section }),
        }
    }

    fn route(
        &mut self,
        service: id::Service,
        method: &'a str,
        path: &'a str,
        section: Section<'a>,
        findings: &mut Findings,
    ) {
        let key = (service, method, path);
        let found = self
            .routes
            .binary_search_by_key(&key, |route| (route.service, route.method, route.path));
        match found {
            Ok(first) => double(&section, self.routes[first].section.line, findings),
            Err(position) => {
                let route = Route {
                    service,
                    method,
                    path,
                    section,
                };
                self.routes.insert(position, route);
            }
        }
    }
}

fn insert<'a, N: Borrow<str> + FromStr<Err: Display>>(
    sorted: &mut Vec<Named<'a, N>>,
    name: &str,
    section: Section<'a>,
    findings: &mut Findings,
) {
    let name: N = match name.parse() {
        Ok(name) => name,
        Err(error) => {
            findings.add(place(&section), error.to_string(), "correct the name");
            return;
        }
    };
    match sorted.binary_search_by(|named| named.name.borrow().cmp(name.borrow())) {
        Ok(first) => double(&section, sorted[first].section.line, findings),
        Err(position) => sorted.insert(position, Named { name, section }),
    }
}

fn place(section: &Section<'_>) -> Place {
    Place {
        line: section.line,
        section: section.header.into(),
        key: "".into(),
    }
}

fn unknown(section: &Section<'_>, findings: &mut Findings) {
    findings.add(place(section), "unknown section", KINDS);
}

fn double(section: &Section<'_>, first: u32, findings: &mut Findings) {
    let problem = format!("the section is there already, in line {first}");
    findings.add(place(section), problem, "keep one of the two");
}

//! The sections of a configuration text, sorted by kind and name, before their keys are read.

use crate::document::{Document, Section, truncate};
use entity::id::{self, Id};
use entity::{Findings, Place, name};
use std::borrow::Borrow;
use std::cmp::Ordering;
use std::fmt::Display;
use std::str::FromStr;

/// A section with the parsed name of its header.
#[derive(Clone, Debug)]
pub(crate) struct Named<'a, N> {
    /// Name in the header.
    pub(crate) name: N,
    /// Section with that header.
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

/// All sections by kind. Each list is sorted, so that the index of a section is the dense id of its
/// entity.
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

const SECTIONS_REMEDY: &str = "the sections are [zone NAME], [service NAME], [version NAME], \
    [upstream NAME], [organisation NAME], [route SERVICE METHOD PATH] and [rollout SERVICE]";

/// Returns the id of a name, by binary search.
pub(crate) fn find<I: Id, N: Borrow<str>>(sorted: &[Named<'_, N>], name: &str) -> Option<I> {
    let found = sorted.binary_search_by(|named| named.name.borrow().cmp(name));
    found.ok().map(I::new)
}

impl<'a> Outline<'a> {
    /// Sorts the sections and adds a finding for each header that is unknown, malformed or a
    /// duplicate.
    pub(crate) fn new(document: Document<'a>, findings: &mut Findings) -> Self {
        let mut outline = Self::default();
        let mut referring = Vec::new();
        for section in document.sections {
            match section.words().as_slice() {
                ["zone", name] => push(&mut outline.zones, name, section, findings),
                ["service", name] => push(&mut outline.services, name, section, findings),
                ["version", name] => push(&mut outline.versions, name, section, findings),
                ["upstream", name] => push(&mut outline.upstreams, name, section, findings),
                ["organisation", name] => {
                    push(&mut outline.organisations, name, section, findings);
                }
                ["route", _, _, _] | ["rollout", _] => referring.push(section),
                _ => add_unknown(&section, findings),
            }
        }
        sort(&mut outline.zones, by_name, findings);
        sort(&mut outline.services, by_name, findings);
        sort(&mut outline.versions, by_name, findings);
        sort(&mut outline.upstreams, by_name, findings);
        sort(&mut outline.organisations, by_name, findings);
        // Routes and rollouts refer to services, whose list is complete only now.
        for section in referring {
            outline.push_referring(section, findings);
        }
        sort(&mut outline.routes, Route::cmp, findings);
        sort(&mut outline.rollouts, Rollout::cmp, findings);
        outline
    }

    fn push_referring(&mut self, section: Section<'a>, findings: &mut Findings) {
        let words = section.words();
        let name = words[1];
        let Some(service) = find(&self.services, name) else {
            let problem = format!("there is no service {}", truncate(name));
            let remedy = format!("add [service {}] or correct the name", truncate(name));
            findings.add(place(&section), problem, remedy);
            return;
        };
        if let [_, _, method, path] = words[..] {
            self.routes.push(Route {
                service,
                method,
                path,
                section,
            });
            return;
        }
        self.rollouts.push(Rollout { service, section });
    }
}

/// An entry of the outline, which holds a section.
trait Entry<'a> {
    fn section(&self) -> &Section<'a>;
}

impl<'a, N> Entry<'a> for Named<'a, N> {
    fn section(&self) -> &Section<'a> {
        &self.section
    }
}

impl<'a> Entry<'a> for Route<'a> {
    fn section(&self) -> &Section<'a> {
        &self.section
    }
}

impl<'a> Entry<'a> for Rollout<'a> {
    fn section(&self) -> &Section<'a> {
        &self.section
    }
}

impl Route<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let ours = (self.service, self.method, self.path);
        ours.cmp(&(other.service, other.method, other.path))
    }
}

impl Rollout<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.service.cmp(&other.service)
    }
}

fn by_name<N: Ord>(a: &Named<'_, N>, b: &Named<'_, N>) -> Ordering {
    a.name.cmp(&b.name)
}

fn push<'a, N: FromStr<Err: Display>>(
    named: &mut Vec<Named<'a, N>>,
    name: &str,
    section: Section<'a>,
    findings: &mut Findings,
) {
    match name.parse() {
        Ok(name) => named.push(Named { name, section }),
        Err(error) => findings.add(place(&section), error.to_string(), "correct the name"),
    }
}

/// Sorts entries; of equal ones it keeps the first in the text and reports the others.
fn sort<'a, E: Entry<'a>>(
    entries: &mut Vec<E>,
    compare: impl Fn(&E, &E) -> Ordering,
    findings: &mut Findings,
) {
    entries.sort_by(&compare);
    entries.dedup_by(|later, first| {
        let equal = compare(later, first).is_eq();
        if equal {
            add_duplicate(later.section(), first.section().line, findings);
        }
        equal
    });
}

fn place(section: &Section<'_>) -> Place {
    Place {
        line: section.line,
        section: section.header.into(),
        key: "".into(),
    }
}

fn add_unknown(section: &Section<'_>, findings: &mut Findings) {
    findings.add(place(section), "unknown section", SECTIONS_REMEDY);
}

fn add_duplicate(section: &Section<'_>, first: u32, findings: &mut Findings) {
    let problem = format!("duplicate section, first in line {first}");
    findings.add(place(section), problem, "keep one of the two");
}

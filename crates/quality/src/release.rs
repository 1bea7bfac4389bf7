//! Which release of a service runs a request, by the operators' orders.
//!
//! Releases are versions of services that register themselves. Without an order, a service stays on
//! the release that it is on. Sessions keep their release through the first half of a [`Trial`].

use crate::trial::{Answer, Evidence, Ruling, Side, Trial};
use config::{Config, Move, Progress};
use entity::id;
use entity::name;
use entity::unit::Share;
use entity::{Moment, Span};

/// What a new request is assigned by.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    /// The service.
    pub service: id::Service,
    /// The hash of its session, if it belongs to one.
    pub session: Option<u64>,
    /// Where it falls in the split, the same at all instances: a hash of its session or its id.
    pub position: u64,
}

/// What other instances are told of a trial.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The service.
    pub service: name::Service,
    /// The release that the order names.
    pub target: name::Version,
    /// How long ago the order was read first.
    pub age: Span,
    /// How it ended, if it has.
    pub ruling: Option<Ruling>,
    /// Whether the ruling is on the store.
    pub written: bool,
    /// What each life of an instance has counted.
    pub evidence: Vec<(name::Instance, Evidence)>,
    /// Sessions on the old release that would begin on the new one, by hash: an instance to which their
    /// callers move must not take them for new ones.
    pub kept: Vec<u64>,
    /// The same of others that told this instance: in a large deployment each tells only some.
    pub passed_on: Vec<u64>,
    /// Whether the old release may be stopped now.
    pub complete: bool,
}

#[derive(Debug)]
struct Service {
    name: name::Service,
    /// The release in service.
    current: Option<name::Version>,
    trial: Option<Trial>,
}

/// A session, the release that it is on, and when it was last seen.
#[derive(Debug)]
struct Session {
    hash: u64,
    position: u64,
    version: name::Version,
    seen: Moment,
    origin: Origin,
}

/// Where a session is known from, the closest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Origin {
    /// It was seen here.
    Own,
    /// The instance that saw it told.
    Told,
    /// Another instance passed that on.
    PassedOn,
}

/// The releases of all services at one instance.
#[derive(Debug)]
pub struct Releases {
    /// Names this life of this instance.
    own: name::Instance,
    /// Sorted by name.
    services: Vec<Service>,
    /// Sorted by hash.
    sessions: Vec<Session>,
    /// Longest time between two requests of one session.
    session_gap: Span,
    exposure: Share,
    begun: Moment,
    pruned: Moment,
}

impl Releases {
    /// No service yet. `exposure` is the share of its service's requests that a bad release may get.
    pub fn new(own: name::Instance, session_gap: Span, exposure: Share, now: Moment) -> Self {
        Self {
            own,
            services: Vec::new(),
            sessions: Vec::new(),
            session_gap,
            exposure,
            begun: now,
            pruned: now,
        }
    }

    /// Takes over a configuration.
    pub fn configure(&mut self, config: &Config) {
        for (id, service) in config.services.iter() {
            let index = self.service(&service.name).unwrap_or_else(|index| {
                let new = Service {
                    name: service.name.clone(),
                    current: None,
                    trial: None,
                };
                self.services.insert(index, new);
                index
            });
            let order = config.moves.iter().find(|order| order.service == id);
            self.services[index].follow(config, id, order, self.exposure);
        }
    }

    /// The release that runs a request; none where the service has no upstream.
    pub fn assign(&mut self, config: &Config, query: Query, now: Moment) -> Option<id::Version> {
        self.prune(now);
        let name = &config.services[query.service].name;
        let index = self.service(name).ok()?;
        let young = now.since(self.begun) < self.session_gap;
        let service = &self.services[index];
        let pinned = query.session.and_then(|hash| self.pinned(hash, now));
        let version = match &service.trial {
            None => service.current.clone()?,
            Some(trial) => {
                // An instance that has just started can't know whether a session is new.
                let unknown = query.session.is_some() && pinned.is_none() && young;
                assigned(trial, config, query, pinned, unknown, now)
            }
        };
        let id = config.version(version.as_str())?;
        if let Some(hash) = query.session {
            self.remember(Session {
                hash,
                position: query.position,
                version,
                seen: now,
                origin: Origin::Own,
            });
        }
        Some(id)
    }

    /// Counts an answer.
    pub fn answered(&mut self, service: &name::Service, version: &name::Version, answer: Noted) {
        let Some(trial) = self.trial(service) else {
            return;
        };
        let side = match version {
            version if *version == trial.new => Side::New,
            version if *version == trial.old => Side::Old,
            _ => return,
        };
        trial.note(Answer {
            kind: answer.kind,
            side,
            failed: answer.failed,
            time: answer.time,
        });
        if trial.condemned() {
            trial.rule(Ruling::Bad);
        }
    }

    /// Takes in what another instance tells of its trials.
    pub fn hear(&mut self, reports: Vec<Report>, now: Moment) {
        let own = self.own.clone();
        for report in reports {
            let Some(trial) = self.trial(&report.service) else {
                continue;
            };
            if trial.new != report.target {
                continue;
            }
            trial.known_since(now - report.age);
            for (life, evidence) in report.evidence {
                if life != own {
                    trial.hear(life, evidence);
                }
            }
            trial.written |= report.written;
            if let Some(ruling) = report.ruling {
                trial.rule(ruling);
            }
            if trial.condemned() {
                trial.rule(Ruling::Bad);
            }
            let old = trial.old.clone();
            for hash in report.kept {
                self.keep(hash, &old, Origin::Told, now);
            }
            for hash in report.passed_on {
                self.keep(hash, &old, Origin::PassedOn, now);
            }
        }
    }

    /// What to tell other instances.
    pub fn reports(&self, now: Moment) -> Vec<Report> {
        let mut reports = Vec::new();
        for service in &self.services {
            let Some(trial) = &service.trial else {
                continue;
            };
            reports.push(Report {
                service: service.name.clone(),
                target: trial.new.clone(),
                age: now.since(trial.started()),
                ruling: trial.ruling(),
                written: trial.written,
                evidence: trial.evidence(&self.own),
                kept: self.kept(trial, Origin::Own, now),
                passed_on: self.kept(trial, Origin::Told, now),
                complete: trial.complete(now),
            });
        }
        reports
    }

    /// Ends the trial of a service, whose ruling is on the store.
    pub fn written(&mut self, service: &name::Service, target: &name::Version, ruling: Ruling) {
        if let Some(trial) = self.trial(service)
            && trial.new == *target
        {
            trial.rule(ruling);
            trial.written = true;
        }
    }

    /// The position of a service, or where it belongs.
    fn service(&self, name: &name::Service) -> Result<usize, usize> {
        self.services.binary_search_by(|known| known.name.cmp(name))
    }

    /// The position of a session, or where it belongs.
    fn session(&self, hash: u64) -> Result<usize, usize> {
        self.sessions
            .binary_search_by_key(&hash, |known| known.hash)
    }

    fn trial(&mut self, service: &name::Service) -> Option<&mut Trial> {
        let index = self.service(service).ok()?;
        self.services[index].trial.as_mut()
    }

    fn pinned(&self, hash: u64, now: Moment) -> Option<&name::Version> {
        let session = &self.sessions[self.session(hash).ok()?];
        (now.since(session.seen) <= self.session_gap).then_some(&session.version)
    }

    fn remember(&mut self, session: Session) {
        match self.session(session.hash) {
            Ok(index) => self.sessions[index] = session,
            Err(index) => self.sessions.insert(index, session),
        }
    }

    /// Takes in a session on the old release of which another instance told.
    fn keep(&mut self, hash: u64, version: &name::Version, origin: Origin, now: Moment) {
        if let Ok(index) = self.session(hash) {
            let known = &self.sessions[index];
            let valid = now.since(known.seen) <= self.session_gap;
            if known.origin == Origin::Own || valid && known.origin < origin {
                return;
            }
        }
        self.remember(Session {
            hash,
            position: 0,
            version: version.clone(),
            seen: now,
            origin,
        });
    }

    /// Sessions on the old release that would begin on the new one, of one origin.
    fn kept(&self, trial: &Trial, origin: Origin, now: Moment) -> Vec<u64> {
        if trial.ruling().is_some() {
            return Vec::new();
        }
        let mut kept = Vec::new();
        for session in &self.sessions {
            let old = session.origin == origin && session.version == trial.old;
            let recent = now.since(session.seen) <= self.session_gap;
            // Who told of a session has found that it would begin on the new release.
            let moves = origin != Origin::Own || drawn(trial, session.position, now);
            if old && recent && moves {
                kept.push(session.hash);
            }
        }
        kept
    }

    fn prune(&mut self, now: Moment) {
        if now.since(self.pruned) < self.session_gap {
            return;
        }
        self.pruned = now;
        let gap = self.session_gap;
        self.sessions
            .retain(|session| now.since(session.seen) <= gap);
    }
}

/// An answer of a release, as far as it matters to a trial.
#[derive(Clone, Copy, Debug)]
pub struct Noted {
    /// The kind of request.
    pub kind: u64,
    /// Whether it is a failure of the release's own.
    pub failed: bool,
    /// How long it took to its first event, or to its end where it has no events.
    pub time: Option<Span>,
}

fn assigned(
    trial: &Trial,
    config: &Config,
    query: Query,
    pinned: Option<&name::Version>,
    unknown: bool,
    now: Moment,
) -> name::Version {
    let new = match (trial.ruling(), pinned) {
        (Some(Ruling::Good), _) => true,
        (Some(Ruling::Bad), _) => false,
        (None, Some(version)) if *version == trial.new => true,
        (None, Some(_)) => trial.moves_sessions(now),
        (None, None) => {
            drawn(trial, query.position, now) && !unknown && is_served(config, &trial.new, now)
        }
    };
    if new {
        trial.new.clone()
    } else {
        trial.old.clone()
    }
}

/// Whether a position in the split falls to the new release.
fn drawn(trial: &Trial, position: u64, now: Moment) -> bool {
    position % 1_000_000 < u64::from(trial.share(now).ppm())
}

/// Whether a release has an upstream in service that is warm.
fn is_served(config: &Config, version: &name::Version, now: Moment) -> bool {
    let Some(version) = config.version(version.as_str()) else {
        return false;
    };
    config.upstreams.iter().any(|(id, upstream)| {
        let registration = upstream.registration.as_ref();
        upstream.versions.contains(&version)
            && config.in_service(id)
            && registration.is_none_or(|one| one.cold_until <= now)
    })
}

impl Service {
    fn follow(&mut self, config: &Config, id: id::Service, order: Option<&Move>, exposure: Share) {
        let Some(order) = order else {
            self.trial = None;
            self.stay(config, id, None);
            return;
        };
        let target = config.versions[order.target].name.clone();
        match order.progress {
            Some(Progress::Completed) => {
                self.end(&target, Ruling::Good);
                self.current = Some(target);
            }
            Some(Progress::RolledBack) => {
                self.end(&target, Ruling::Bad);
                self.stay(config, id, Some(&target));
            }
            Some(Progress::Running) | None => {
                if self.trial.as_ref().is_some_and(|trial| trial.new == target) {
                    return;
                }
                self.stay(config, id, Some(&target));
                let Some(old) = self.current.clone() else {
                    // Nothing else serves it: there is nothing to compare with.
                    self.current = Some(target);
                    return;
                };
                let releases = (old, target);
                let trial = Trial::new(releases, order.read, order.duration, exposure);
                self.trial = Some(trial);
            }
        }
    }

    fn end(&mut self, target: &name::Version, ruling: Ruling) {
        if let Some(trial) = &mut self.trial
            && trial.new == *target
        {
            trial.rule(ruling);
        }
    }

    /// Keeps the release in service while any upstream has it, and else takes the one that most
    /// upstreams have; never the one to leave out.
    fn stay(&mut self, config: &Config, id: id::Service, leave_out: Option<&name::Version>) {
        let mut counts: Vec<(u32, id::Version)> = Vec::new();
        for &version in &config.services[id].versions {
            if leave_out == Some(&config.versions[version].name) {
                continue;
            }
            let with = config.upstreams.values().iter();
            let count = with.filter(|upstream| upstream.versions.contains(&version));
            counts.push((count.count() as u32, version));
        }
        let named = |version: &id::Version| &config.versions[*version].name;
        let kept = counts
            .iter()
            .any(|(count, version)| *count > 0 && self.current.as_ref() == Some(named(version)));
        if kept {
            return;
        }
        let most = counts.iter().max_by_key(|(count, _)| *count);
        if let Some((_, version)) = most.filter(|(count, _)| *count > 0) {
            self.current = Some(named(version).clone());
        } else if self.current.as_ref() == leave_out {
            self.current = None;
        }
    }
}

//! Assigns requests to releases of a service according to the operators' orders.
//!
//! Releases are versions of services that register themselves. Without an order, a service stays on
//! its current release. Sessions keep their release through the first half of a [`Trial`].

use crate::trial::{Answer, Evidence, Measure, Ruling, Side, Tally, Trial};
use config::{Config, Move, Progress};
use entity::id;
use entity::name;
use entity::unit::Share;
use entity::{Era, Moment, Span, work};
use std::fmt;

/// Number of peers whose evidence one report has.
const REPORTED_PEER_COUNT: usize = 23;

/// The properties of a request that decide its release.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    /// The service.
    pub service: id::Service,
    /// Hash of the request's session, if it belongs to one.
    pub session: Option<u64>,
    /// Position of the request in the split, the same at all instances: a hash of its session or
    /// its id.
    pub position: u64,
}

/// State of a trial, as sent to peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The service.
    pub service: name::Service,
    /// The release that the order names.
    pub target: name::Version,
    /// Time since the order was first read.
    pub age: Span,
    /// The ruling, if there is one.
    pub ruling: Option<Ruling>,
    /// Era of the store in which the ruling was last written; none if it wasn't. A store that came
    /// back from a copy may have lost it.
    pub ruling_era: Option<Era>,
    /// Evidence by incarnation of an instance, the sender's first.
    pub evidence: Vec<(name::Instance, Evidence)>,
    /// Hashes of sessions on the old release that would start on the new one. An instance to which
    /// their callers move must not treat them as new sessions.
    pub kept_sessions: Vec<u64>,
    /// Hashes of such sessions that were reported by other instances to this one. In a large
    /// deployment each instance reports to only some of the others.
    pub relayed_sessions: Vec<u64>,
    /// Whether the trial can be completed, so that the old release may be stopped.
    pub can_complete: bool,
    /// Share of the requests without a session that go to the new release.
    pub share: Share,
    /// Sum of the evidence of all instances that this one knows.
    pub sum: Tally,
}

#[derive(Debug)]
struct Service {
    name: name::Service,
    /// The release in service.
    current: Option<name::Version>,
    trial: Option<Trial>,
}

/// A session with its release and the time of its last request.
#[derive(Debug)]
struct Session {
    hash: u64,
    position: u64,
    version: name::Version,
    seen: Moment,
    origin: Origin,
}

/// What is known here of a session.
#[derive(Clone, Debug, PartialEq)]
pub struct Sighting {
    /// The release that ran its last known request.
    pub version: name::Version,
    /// Source of the information.
    pub origin: Origin,
    /// Time since the request, or since the last report of it.
    pub age: Span,
}

/// What the release of a request in a trial depends on, as known at one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Basis {
    /// What is known of the request's session; `None` without a session, or if nothing is known.
    pub sighting: Option<Sighting>,
    /// Share of the requests without a known session that go to the new release.
    pub share: Share,
    /// Time since the order.
    pub order_age: Span,
    /// The ruling, if there is one.
    pub ruling: Option<Ruling>,
    /// Whether the instance started too recently to have seen all sessions.
    pub recently_started: bool,
}

/// Source of the information about a session, in order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// This instance received a request of the session.
    Local,
    /// An instance that received a request of the session reported it.
    Reported,
    /// Another instance relayed a report of the session.
    Relayed,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Local => "own",
            Self::Reported => "peer",
            Self::Relayed => "relayed",
        })
    }
}

/// The releases of all services at one instance.
#[derive(Debug)]
pub struct Releases {
    /// Name of this incarnation of the instance.
    own: name::Instance,
    /// Services, sorted by name.
    services: Vec<Service>,
    /// Sessions, sorted by hash.
    sessions: Vec<Session>,
    /// Maximum time between two requests of one session.
    session_gap: Span,
    exposure: Share,
    started_at: Moment,
    last_prune: Moment,
}

impl Releases {
    /// Returns the state of an instance that has no services yet. `exposure` bounds the share of
    /// its service's requests that a bad release may receive.
    pub fn new(own: name::Instance, session_gap: Span, exposure: Share, now: Moment) -> Self {
        Self {
            own,
            services: Vec::new(),
            sessions: Vec::new(),
            session_gap,
            exposure,
            started_at: now,
            last_prune: now,
        }
    }

    /// Adopts a configuration.
    pub fn configure(&mut self, config: &Config) {
        for (id, service) in config.services.iter() {
            let index = self.service_index(&service.name).unwrap_or_else(|index| {
                let new = Service {
                    name: service.name.clone(),
                    current: None,
                    trial: None,
                };
                self.services.insert(index, new);
                index
            });
            let order = config.moves.iter().find(|order| order.service == id);
            self.services[index].apply_order(config, id, order, self.exposure);
        }
    }

    /// Returns the release that runs a request, or `None` if the service has no upstream.
    pub fn assign(&mut self, config: &Config, query: Query, now: Moment) -> Option<id::Version> {
        self.prune(now);
        let name = &config.services[query.service].name;
        let index = self.service_index(name).ok()?;
        if let Some(trial) = &mut self.services[index].trial {
            trial.keep_steps(now);
        }
        let recently_started = self.is_recently_started(now);
        let service = &self.services[index];
        let pinned = query.session.and_then(|hash| self.pinned(hash, now));
        let version = match &service.trial {
            None => service.current.clone()?,
            Some(trial) => {
                // An instance that has just started can't determine whether a session is new.
                let may_be_old = query.session.is_some() && pinned.is_none() && recently_started;
                assigned_version(trial, config, query, pinned, may_be_old, now)
            }
        };
        let id = config.version(version.as_str())?;
        if let Some(hash) = query.session {
            self.insert_session(Session {
                hash,
                position: query.position,
                version,
                seen: now,
                origin: Origin::Local,
            });
        }
        Some(id)
    }

    /// Returns what the release of a request depends on; `None` if its service has no trial.
    pub fn basis(&self, config: &Config, query: Query, now: Moment) -> Option<Basis> {
        let name = &config.services[query.service].name;
        let trial = self.services[self.service_index(name).ok()?]
            .trial
            .as_ref()?;
        let found = query.session.and_then(|hash| self.session_index(hash).ok());
        let session = found.map(|index| &self.sessions[index]);
        Some(Basis {
            sighting: session.map(|session| Sighting {
                version: session.version.clone(),
                origin: session.origin,
                age: now.since(session.seen),
            }),
            share: trial.share(now),
            order_age: now.since(trial.started_at()),
            ruling: trial.ruling(),
            recently_started: self.is_recently_started(now),
        })
    }

    /// Counts an answer, and ends the trial if the new release turns out to be bad.
    pub fn record_answer(
        &mut self,
        service: &name::Service,
        version: &name::Version,
        answer: AnswerOutcome,
    ) {
        let Some(trial) = self.trial(service) else {
            return;
        };
        let side = match version {
            version if *version == trial.new => Side::New,
            version if *version == trial.old => Side::Old,
            _ => return,
        };
        trial.record(Answer {
            kind: answer.kind,
            side,
            failed: answer.failed,
            time: answer.time,
            measure: answer.measure,
        });
        if trial.is_bad() {
            trial.set_ruling(Ruling::Bad);
        }
    }

    /// Merges the reports of a peer.
    pub fn receive(&mut self, reports: Vec<Report>, now: Moment) {
        let own = self.own.clone();
        for report in reports {
            let Some(trial) = self.trial(&report.service) else {
                continue;
            };
            if trial.new != report.target {
                continue;
            }
            trial.start_no_later_than(now - report.age);
            for (incarnation, evidence) in report.evidence {
                if incarnation != own {
                    trial.receive(incarnation, evidence);
                }
            }
            trial.ruling_era = trial.ruling_era.max(report.ruling_era);
            if let Some(ruling) = report.ruling {
                trial.set_ruling(ruling);
            }
            if trial.is_bad() {
                trial.set_ruling(Ruling::Bad);
            }
            let old = trial.old.clone();
            for hash in report.kept_sessions {
                self.receive_session(hash, &old, Origin::Reported, now);
            }
            for hash in report.relayed_sessions {
                self.receive_session(hash, &old, Origin::Relayed, now);
            }
        }
    }

    /// Returns the reports on all trials, to be sent to peers.
    pub fn reports(&mut self, now: Moment) -> Vec<Report> {
        let mut reports = Vec::new();
        for index in 0..self.services.len() {
            let Some(trial) = &mut self.services[index].trial else {
                continue;
            };
            trial.keep_steps(now);
            let evidence = trial.evidence(&self.own, REPORTED_PEER_COUNT);
            let service = &self.services[index];
            let Some(trial) = &service.trial else {
                continue;
            };
            reports.push(Report {
                service: service.name.clone(),
                target: trial.new.clone(),
                age: now.since(trial.started_at()),
                ruling: trial.ruling(),
                ruling_era: trial.ruling_era,
                evidence,
                kept_sessions: self.sessions_to_report(trial, Origin::Local, now),
                relayed_sessions: self.sessions_to_report(trial, Origin::Reported, now),
                can_complete: trial.can_complete(now),
                share: trial.share(now),
                sum: trial.sum(),
            });
        }
        reports
    }

    /// Records that the ruling on a service's trial has been written to the store in an era, and ends
    /// the trial.
    pub fn record_written_ruling(
        &mut self,
        service: &name::Service,
        target: &name::Version,
        ruling: Ruling,
        era: Era,
    ) {
        if let Some(trial) = self.trial(service)
            && trial.new == *target
        {
            trial.set_ruling(ruling);
            trial.ruling_era = trial.ruling_era.max(Some(era));
        }
    }

    fn is_recently_started(&self, now: Moment) -> bool {
        now.since(self.started_at) < self.session_gap
    }

    /// Returns the index of a service, or the index at which to insert it.
    fn service_index(&self, name: &name::Service) -> Result<usize, usize> {
        self.services
            .binary_search_by(|service| service.name.cmp(name))
    }

    /// Returns the index of a session, or the index at which to insert it.
    fn session_index(&self, hash: u64) -> Result<usize, usize> {
        self.sessions
            .binary_search_by_key(&hash, |session| session.hash)
    }

    fn trial(&mut self, service: &name::Service) -> Option<&mut Trial> {
        let index = self.service_index(service).ok()?;
        self.services[index].trial.as_mut()
    }

    fn pinned(&self, hash: u64, now: Moment) -> Option<&name::Version> {
        let session = &self.sessions[self.session_index(hash).ok()?];
        (now.since(session.seen) <= self.session_gap).then_some(&session.version)
    }

    fn insert_session(&mut self, session: Session) {
        match self.session_index(session.hash) {
            Ok(index) => self.sessions[index] = session,
            Err(index) => self.sessions.insert(index, session),
        }
    }

    /// Records a session on the old release that a peer reported, unless it is known from an
    /// origin that takes precedence.
    fn receive_session(&mut self, hash: u64, version: &name::Version, origin: Origin, now: Moment) {
        if let Ok(index) = self.session_index(hash) {
            let existing = &self.sessions[index];
            let valid = now.since(existing.seen) <= self.session_gap;
            if existing.origin == Origin::Local || valid && existing.origin < origin {
                return;
            }
        }
        self.insert_session(Session {
            hash,
            position: 0,
            version: version.clone(),
            seen: now,
            origin,
        });
    }

    /// Returns the hashes of sessions of one origin that are on the old release and would start on
    /// the new one.
    fn sessions_to_report(&self, trial: &Trial, origin: Origin, now: Moment) -> Vec<u64> {
        if trial.ruling().is_some() {
            return Vec::new();
        }
        let share = trial.share(now);
        let mut hashes = Vec::new();
        work::count(self.sessions.len());
        for session in &self.sessions {
            let old = session.origin == origin && session.version == trial.old;
            let recent = now.since(session.seen) <= self.session_gap;
            // The instance that reported a session has checked that it would start on the new
            // release.
            let is_moving = origin != Origin::Local || is_in_share(share, session.position);
            if old && recent && is_moving {
                hashes.push(session.hash);
            }
        }
        hashes
    }

    fn prune(&mut self, now: Moment) {
        if now.since(self.last_prune) < self.session_gap {
            return;
        }
        self.last_prune = now;
        let gap = self.session_gap;
        self.sessions
            .retain(|session| now.since(session.seen) <= gap);
    }
}

/// The properties of an answer that matter to a trial.
#[derive(Clone, Copy, Debug)]
pub struct AnswerOutcome {
    /// Kind of the request.
    pub kind: u64,
    /// Whether the answer is a failure that the release itself caused.
    pub failed: bool,
    /// Time of the answer.
    pub time: Option<Span>,
    /// What the time is.
    pub measure: Measure,
}

fn assigned_version(
    trial: &Trial,
    config: &Config,
    query: Query,
    pinned: Option<&name::Version>,
    may_be_old: bool,
    now: Moment,
) -> name::Version {
    let new = match (trial.ruling(), pinned) {
        (Some(Ruling::Good), _) => true,
        (Some(Ruling::Bad), _) => false,
        (None, Some(version)) if *version == trial.new => true,
        (None, Some(_)) => trial.can_move_sessions(now),
        (None, None) => {
            is_in_share(trial.share(now), query.position)
                && !may_be_old
                && is_served(config, &trial.new, now)
        }
    };
    if new {
        trial.new.clone()
    } else {
        trial.old.clone()
    }
}

/// Returns whether a position in the split falls into the share of the new release.
fn is_in_share(share: Share, position: u64) -> bool {
    position % 1_000_000 < u64::from(share.ppm())
}

/// Returns whether a release has an upstream that is in service and warm.
fn is_served(config: &Config, version: &name::Version, now: Moment) -> bool {
    let Some(version) = config.version(version.as_str()) else {
        return false;
    };
    config.upstreams.iter().any(|(id, upstream)| {
        let registration = upstream.registration.as_ref();
        upstream.versions.contains(&version)
            && config.is_in_service(id)
            && registration.is_none_or(|one| one.cold_until <= now)
    })
}

impl Service {
    fn apply_order(
        &mut self,
        config: &Config,
        id: id::Service,
        order: Option<&Move>,
        exposure: Share,
    ) {
        let Some(order) = order else {
            self.adopt_ruling();
            self.trial = None;
            self.update_current(config, id, None);
            return;
        };
        let target = config.versions[order.target].name.clone();
        match order.progress {
            Some(Progress::Completed) => {
                self.end_trial(&target, Ruling::Good);
                self.current = Some(target);
            }
            Some(Progress::RolledBack) => {
                self.end_trial(&target, Ruling::Bad);
                self.update_current(config, id, Some(&target));
            }
            Some(Progress::Running) | None => {
                if self.trial.as_ref().is_some_and(|trial| trial.new == target) {
                    return;
                }
                self.adopt_ruling();
                self.update_current(config, id, Some(&target));
                let Some(old) = self.current.clone() else {
                    // No other release serves the service, so there is no baseline to compare with.
                    self.current = Some(target);
                    return;
                };
                let releases = (old, target);
                let trial = Trial::new(releases, order.read, order.duration, exposure);
                self.trial = Some(trial);
            }
        }
    }

    /// Puts the new release in service if the trial ended well. Registrations of the old one may
    /// outlast it.
    fn adopt_ruling(&mut self) {
        if let Some(trial) = &self.trial
            && trial.ruling() == Some(Ruling::Good)
        {
            self.current = Some(trial.new.clone());
        }
    }

    fn end_trial(&mut self, target: &name::Version, ruling: Ruling) {
        if let Some(trial) = &mut self.trial
            && trial.new == *target
        {
            trial.set_ruling(ruling);
        }
    }

    /// Keeps the current release while any upstream has it, and otherwise selects the release that
    /// most upstreams have, but never `excluded`.
    fn update_current(
        &mut self,
        config: &Config,
        id: id::Service,
        excluded: Option<&name::Version>,
    ) {
        let mut counts: Vec<(u32, id::Version)> = Vec::new();
        for &version in &config.services[id].versions {
            if excluded == Some(&config.versions[version].name) {
                continue;
            }
            let with = config.upstreams.values().iter();
            let count = with.filter(|upstream| upstream.versions.contains(&version));
            counts.push((count.count() as u32, version));
        }
        let name_of = |version: &id::Version| &config.versions[*version].name;
        let has_upstream = counts
            .iter()
            .any(|(count, version)| *count > 0 && self.current.as_ref() == Some(name_of(version)));
        if has_upstream {
            return;
        }
        let most = counts.iter().max_by_key(|(count, _)| *count);
        if let Some((_, version)) = most.filter(|(count, _)| *count > 0) {
            self.current = Some(name_of(version).clone());
        } else if self.current.as_ref() == excluded {
            self.current = None;
        }
    }
}

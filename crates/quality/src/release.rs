//! Assigns requests to releases of a service according to the operators' orders.
//!
//! Releases are versions of services that register themselves. Without an order, a service stays on
//! its current release. The release of a session depends on its position in the split and on the
//! [`Trial`], not on what is known of its earlier requests: another instance may have served these.

use crate::hearing::Heard;
use crate::trial::{Answer, Evidence, Measure, Ruling, Side, Tally, Trial};
use config::{Config, Move, Progress};
use entity::id;
use entity::name;
use entity::unit::Share;
use entity::{Era, Moment, Span};

/// Number of peers whose evidence one report has.
const REPORTED_PEER_COUNT: usize = 23;
/// Time for which a report on an order that isn't read yet is kept. A later order may name the same
/// release.
const EARLY_REPORT_LIFETIME: Span = Span::from_secs(5);
/// Number of services of which such a report is kept. An instance that has just started knows none yet.
const MAX_EARLY_REPORTS: usize = 64;

/// The properties of a request that decide its release.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    /// The service.
    pub service: id::Service,
    /// Whether the request belongs to a session.
    pub in_session: bool,
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
    /// Ages of the order from which each step of the share holds.
    pub schedule: Vec<Span>,
    /// Whether the trial can be completed, so that the old release may be stopped.
    pub can_complete: bool,
    /// Share of the sessions that are on the new release.
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
    /// The release that the store last named as the target of a completed order.
    completed: Option<name::Version>,
}

/// What the release of a request in a trial depends on, as known at one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Basis {
    /// Share of the requests that go to the new release: of sessions, or of requests without one.
    pub share: Share,
    /// Position of the request in the split.
    pub position: Share,
    /// Time since the order.
    pub order_age: Span,
    /// Number of steps of the share that are announced.
    pub announced: usize,
    /// The release that is in service without the trial.
    pub old: name::Version,
    /// The ruling, if there is one.
    pub ruling: Option<Ruling>,
}

/// The releases of all services at one instance.
#[derive(Debug)]
pub struct Releases {
    /// Name of this incarnation of the instance.
    own: name::Instance,
    /// Services, sorted by name.
    services: Vec<Service>,
    /// The last report on an order of each service that this instance hasn't read yet, and the time of
    /// its receipt, sorted by service.
    early: Vec<(name::Service, (Report, Moment))>,
    exposure: Share,
}

impl Releases {
    /// Returns the state of an instance that has no services yet. `exposure` bounds the share of
    /// its service's requests that a bad release may receive.
    pub fn new(own: name::Instance, exposure: Share) -> Self {
        Self {
            own,
            services: Vec::new(),
            early: Vec::new(),
            exposure,
        }
    }

    /// Adopts a configuration.
    pub fn configure(&mut self, config: &Config, now: Moment) {
        self.early
            .retain(|(_, (_, at))| now.since(*at) < EARLY_REPORT_LIFETIME);
        for (id, service) in config.services.iter() {
            let index = self.service_index(&service.name).unwrap_or_else(|index| {
                let new = Service {
                    name: service.name.clone(),
                    current: None,
                    trial: None,
                    completed: None,
                };
                self.services.insert(index, new);
                index
            });
            let order = config.moves.iter().find(|order| order.service == id);
            self.services[index].apply_order(config, id, order, self.exposure);
            self.services[index].adopt_completed(config.completed(id), config);
            self.merge_early(index);
        }
    }

    /// Merges the early report on the order of a service, if there is one.
    fn merge_early(&mut self, index: usize) {
        let service = &mut self.services[index];
        let found = self.early.iter().position(|(name, (report, _))| {
            let trial = service.trial.as_ref();
            *name == service.name && trial.is_some_and(|trial| trial.new == report.target)
        });
        if let (Some(early), Some(trial)) = (found, &mut service.trial) {
            let (_, (report, at)) = self.early.remove(early);
            merge(trial, report, &self.own, at);
        }
    }

    /// Returns the release that runs a request, or `None` if the service has no upstream.
    pub fn assign(&self, config: &Config, query: Query, now: Moment) -> Option<id::Version> {
        let service = self.service(config, query.service)?;
        let version = match &service.trial {
            None => service.current.as_ref()?,
            Some(trial) => assigned_version(trial, config, query, now),
        };
        config.version(version.as_str())
    }

    /// Returns what the release of a request depends on; `None` if its service has no trial.
    pub fn basis(&self, config: &Config, query: Query, now: Moment) -> Option<Basis> {
        let trial = self.service(config, query.service)?.trial.as_ref()?;
        Some(Basis {
            share: share(trial, query, now),
            position: split_position(query.position),
            order_age: now.since(trial.started_at()),
            announced: trial.schedule().len(),
            old: trial.old.clone(),
            ruling: trial.ruling(),
        })
    }

    fn service(&self, config: &Config, id: id::Service) -> Option<&Service> {
        let index = self.service_index(&config.services[id].name).ok()?;
        Some(&self.services[index])
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

    /// Merges the reports of a peer. Returns whether they bring a step or a ruling that the peers of this
    /// instance have to know soon.
    pub fn receive(&mut self, reports: Vec<Report>, now: Moment) -> bool {
        let own = self.own.clone();
        let mut has_news = false;
        for report in reports {
            match self.trial(&report.service) {
                Some(trial) if trial.new == report.target => {
                    has_news |= merge(trial, report, &own, now);
                }
                _ => self.keep_early(report, now),
            }
        }
        has_news
    }

    /// Keeps a report on an order that may not be read yet.
    fn keep_early(&mut self, report: Report, now: Moment) {
        let found = self
            .early
            .binary_search_by(|(name, _)| name.cmp(&report.service));
        match found {
            Ok(index) => self.early[index].1 = (report, now),
            Err(_) if self.early.len() == MAX_EARLY_REPORTS => {}
            Err(index) => {
                let service = report.service.clone();
                self.early.insert(index, (service, (report, now)));
            }
        }
    }

    /// Returns the reports on all trials, to be sent to peers, and announces steps that are due, `lead`
    /// ahead. `lead` is a time within which a report reaches all instances, and `heard` what the messages of
    /// peers show.
    pub fn reports(
        &mut self,
        config: &Config,
        lead: Span,
        heard: Heard,
        now: Moment,
    ) -> Vec<Report> {
        let mut reports = Vec::new();
        for service in &mut self.services {
            let Some(trial) = &mut service.trial else {
                continue;
            };
            let is_served = has_upstream(config, &trial.new, Some(now));
            trial.announce_steps(lead, is_served, heard, now);
            let evidence = trial.evidence(&self.own, REPORTED_PEER_COUNT);
            reports.push(Report {
                service: service.name.clone(),
                target: trial.new.clone(),
                age: now.since(trial.started_at()),
                ruling: trial.ruling(),
                ruling_era: trial.ruling_era,
                evidence,
                schedule: trial.schedule().ages().to_vec(),
                can_complete: trial.can_complete(heard, now),
                share: trial.session_share(now),
                sum: trial.sum(),
            });
        }
        reports
    }

    /// Records that the ruling on a service's trial is in the store in an era, and ends the trial.
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
            trial.adopt(ruling);
            trial.ruling_era = trial.ruling_era.max(Some(era));
        }
    }

    /// Returns the index of a service, or the index at which to insert it.
    fn service_index(&self, name: &name::Service) -> Result<usize, usize> {
        self.services
            .binary_search_by(|service| service.name.cmp(name))
    }

    fn trial(&mut self, service: &name::Service) -> Option<&mut Trial> {
        let index = self.service_index(service).ok()?;
        self.services[index].trial.as_mut()
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

/// Merges the report of a peer that was received at `at`. Returns whether it brings a step or a ruling.
fn merge(trial: &mut Trial, report: Report, own: &name::Instance, at: Moment) -> bool {
    trial.start_no_later_than(at - report.age);
    let mut has_news = trial.receive_schedule(&report.schedule);
    for (incarnation, evidence) in report.evidence {
        if incarnation != *own {
            trial.receive(incarnation, evidence);
        }
    }
    trial.ruling_era = trial.ruling_era.max(report.ruling_era);
    // A good ruling is told only once it is in the store.
    if let Some(ruling) = report.ruling {
        has_news |= trial.adopt(ruling);
    }
    if trial.is_bad() {
        has_news |= trial.set_ruling(Ruling::Bad);
    }
    has_news
}

fn assigned_version<'a>(
    trial: &'a Trial,
    config: &Config,
    query: Query,
    now: Moment,
) -> &'a name::Version {
    if trial.ruling() == Some(Ruling::Good) {
        return &trial.new;
    }
    // The first step is announced once the new release has a warm upstream. From then on all instances
    // have to agree, whatever they see of upstreams that start.
    let warm_at = trial.schedule().is_empty().then_some(now);
    let is_in_share = split_position(query.position) < share(trial, query, now);
    if is_in_share && has_upstream(config, &trial.new, warm_at) {
        &trial.new
    } else {
        &trial.old
    }
}

/// Returns the share of requests like this one that go to the new release.
fn share(trial: &Trial, query: Query, now: Moment) -> Share {
    if query.in_session {
        trial.session_share(now)
    } else {
        trial.share(now)
    }
}

/// Returns the position in the split as a share.
fn split_position(position: u64) -> Share {
    Share::from_ppm((position % 1_000_000) as u32)
}

/// Returns whether a release has an upstream that is in service, and warm at a time if one is given.
fn has_upstream(config: &Config, version: &name::Version, warm_at: Option<Moment>) -> bool {
    let Some(version) = config.version(version.as_str()) else {
        return false;
    };
    config.upstreams.iter().any(|(id, upstream)| {
        let cold_until = upstream.registration.as_ref().map(|one| one.cold_until);
        let is_warm = |until| warm_at.is_none_or(|at| until <= at);
        upstream.versions.contains(&version)
            && config.is_in_service(id)
            && cold_until.is_none_or(is_warm)
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

    /// Puts the release in service that the store names as the target of a completed order, once it is
    /// first read. An order may have begun before.
    fn adopt_completed(&mut self, completed: Option<id::Version>, config: &Config) {
        let completed = completed.map(|version| config.versions[version].name.clone());
        if completed.is_none() || completed == self.completed {
            return;
        }
        self.completed.clone_from(&completed);
        self.current.clone_from(&completed);
        if let (Some(trial), Some(completed)) = (&mut self.trial, completed)
            && trial.new != completed
        {
            trial.old = completed;
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
            trial.adopt(ruling);
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

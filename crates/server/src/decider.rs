//! The task that chooses versions and upstreams.
//!
//! Requests send it messages, so that each decision is made on one consistent state and no lock is
//! needed.

mod handle;

use crate::clock::Clock;
use crate::waiting::{Reply, WaitQueues, routing_query};
use adoption::Snapshot;
use entity::unit::{Bytes, Share, Tokens};
use entity::{Era, Generation, Moment, Span, id, name, sorted};
use quality::governor::{Governor, Observation};
use quality::hearing::Heard;
use quality::release::{self, Releases};
use quality::totals::TotalsUpdate;
use quality::trial::Ruling;
use quality::{Judge, Plan, Rating, Summary, Verdict};
use routing::allowance::{Allowance, Bound};
use routing::completion::Basis;
use routing::demand::{Demand, Loads};
use routing::estimate::pace::Pace;
use routing::judgement;
use routing::limit::Limit;
use routing::reserve;
use routing::restriction::Incarnation;
use routing::slots::DrainNotice;
use routing::{Balancer, Bounds, Choice, Load, Members, Outcome, Priority, Suspicion};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Interval of the scans of the wait queues, besides those when an upstream becomes free.
const QUEUE_SCAN_INTERVAL: Duration = Duration::from_millis(20);
/// Largest number of totals that go into one message to a peer.
const MAX_TOTALS_PER_MESSAGE: usize = 4;
/// Capacity of the channel to the task, in messages.
const MESSAGE_CAPACITY: usize = 4096;

/// A request for which a version is chosen.
#[derive(Clone, Debug)]
pub struct VersionQuery {
    /// Generation of the configuration that issued the ids.
    pub generation: Generation,
    /// Service that the request is for.
    pub service: id::Service,
    /// Versions that the organisation may use and that are active.
    pub candidates: Vec<id::Version>,
    /// Latency class: interactive or batch.
    pub class: quality::Class,
    /// Whether the answer is streamed.
    pub streamed: bool,
    /// Estimated length of the prompt, in tokens.
    pub prompt: Tokens,
    /// Remaining time budget.
    pub budget: Span,
    /// Position of the session in the traffic split of a rollout, from 0 to 1.
    pub position: Share,
}

/// A request for which an upstream is chosen.
#[derive(Clone, Debug)]
pub struct UpstreamQuery {
    /// Generation of the configuration that issued the ids.
    pub generation: Generation,
    /// Service that the request is for.
    pub service: id::Service,
    /// Version that is to run the request; none for a plain service.
    pub version: Option<id::Version>,
    /// Organisation of the caller.
    pub organisation: id::Organisation,
    /// Size of the prompt or body, in bytes.
    pub prompt: Bytes,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Estimated load on an engine; none where only the size of the prompt or body is known.
    pub demand: Option<Demand>,
    /// Priority in the wait queues.
    pub priority: Priority,
    /// Upstreams that are excluded because of earlier tries of this request.
    pub excluded: Vec<name::Upstream>,
    /// Regions that the request may be sent to, sorted; none if it may go to all.
    pub regions: Option<Box<[name::Region]>>,
    /// Deadline of the whole answer.
    pub deadline: Moment,
    /// Whether the request may be sent again after it may have run.
    pub is_repeatable: bool,
}

/// The score that the rating service gave to an answer.
#[derive(Clone, Debug)]
pub struct RatedAnswer {
    /// Service that the request was for.
    pub service: name::Service,
    /// The version that gave the answer.
    pub version: name::Version,
    /// Whether the request had been escalated to it.
    pub escalated: bool,
    /// Score from 0 to 1.
    pub score: f64,
}

/// The decisions and measurements that a digest announces to peers.
#[derive(Clone, Debug, Default)]
pub struct DigestContent {
    /// Upstreams that are suspected to be in cold start.
    pub suspicions: Vec<Suspicion>,
    /// Verdicts on rollouts.
    pub verdicts: Vec<Verdict>,
    /// Services whose rollout is braked.
    pub braked: Vec<name::Service>,
    /// Sums of the ratings that this instance collected.
    pub summaries: Vec<Summary>,
    /// Slots on which an instance that is leaving still runs requests; none while it stays.
    pub drain_notice: Option<DrainNotice>,
}

/// An update received in the digest of a peer or read from the log.
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// Upstreams that are suspected to be in cold start.
    pub suspicions: Vec<Suspicion>,
    /// Verdicts on rollouts.
    pub verdicts: Vec<Verdict>,
    /// Sums of the ratings that the peer collected.
    pub summaries: Vec<Summary>,
    /// Totals of the ratings that the peer collected.
    pub totals: Vec<TotalsUpdate>,
    /// Slots on which an instance that is leaving still runs requests; none while it stays.
    pub drain_notice: Option<DrainNotice>,
}

enum Message {
    Configure(Arc<Snapshot>),
    SetMembers(Members, Moment, Moment),
    RecordLoad(name::Upstream, Load),
    Plan(VersionQuery, oneshot::Sender<Result<Option<Plan>, Stale>>),
    IsUsable(
        id::Service,
        id::Version,
        Generation,
        oneshot::Sender<Result<bool, Stale>>,
    ),
    Choose(
        Box<UpstreamQuery>,
        oneshot::Sender<Result<Choice, routing::Refusal>>,
    ),
    Finish(Choice, Outcome),
    ScheduleRetry(u32, Moment, oneshot::Sender<Option<Span>>),
    RecordRating(RatedAnswer),
    RecordLatency(name::Service, name::Version, Span, Tokens),
    SamplingShare(id::Service, id::Version, Generation, oneshot::Sender<Share>),
    ApplyUpdate(Box<Update>),
    DigestContent(oneshot::Sender<DigestContent>),
    Watched(oneshot::Sender<Vec<name::Upstream>>),
    SetRatingOutage(bool),
    TakeUnsentTotals(oneshot::Sender<Vec<TotalsUpdate>>),
    Reserves(oneshot::Sender<Vec<reserve::Usage>>),
    Leave,
    Close,
    Forward(ForwardMessage),
}

/// Messages that only the forwarding front sends.
enum ForwardMessage {
    AssignRelease(
        release::Query,
        Generation,
        oneshot::Sender<Result<Assignment, Stale>>,
    ),
    RecordAnswer(name::Service, name::Version, release::AnswerOutcome),
    ObserveFirstEvent(name::Service, Observation),
    Governor(name::Service, oneshot::Sender<Governor>),
    LeastPendingWork(
        Box<UpstreamQuery>,
        oneshot::Sender<Result<f64, routing::Refusal>>,
    ),
    Reports(Span, Heard, oneshot::Sender<Vec<release::Report>>),
    MergeReports(Vec<release::Report>, oneshot::Sender<bool>),
    EndTrial(name::Service, name::Version, Ruling, Era),
    RecordRequest(name::Service),
    TryRepeat(name::Service, u32, oneshot::Sender<bool>),
    FirstEvent(name::Upstream, u64),
    Paces(oneshot::Sender<Vec<Pace>>),
    RecordPeerPaces(name::Instance, Vec<Pace>),
    Loads(oneshot::Sender<Loads>),
    RecordPeerLoads(name::Instance, Loads, usize),
    RecordLeaving(Incarnation),
    RecordRest(Incarnation, Moment),
    RecordLimit(Incarnation, Limit),
    Limits(oneshot::Sender<Vec<(Incarnation, Limit)>>),
    Evidence(bool, oneshot::Sender<judgement::News>),
    RecordEvidence(judgement::Word),
}

/// A handle that sends messages to the task.
#[derive(Clone, Debug)]
pub struct Handle {
    messages: mpsc::Sender<Message>,
}

/// The release of a request, and what it was chosen by.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The release; `None` if the service has no upstream.
    pub version: Option<id::Version>,
    /// What it was chosen by; `None` if the service has no trial.
    pub basis: Option<release::Basis>,
}

/// The error of a message whose ids belong to another configuration than the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the configuration changed")]
pub struct Stale;

/// The error after the task has ended because the instance is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the instance is closing")]
pub struct Closed;

/// Identity of the instance, and bounds that are the same at all instances.
pub struct Parts {
    /// Name of the instance.
    pub own: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
    /// Identifier of this incarnation of the instance.
    pub incarnation: Box<str>,
    /// Bounds of the slot protocol.
    pub bounds: Bounds,
    /// Seed of the random choices.
    pub seed: u64,
    /// Largest number of requests that may wait for one pool of upstreams.
    pub queue: usize,
    /// The clock.
    pub clock: Clock,
    /// Channel for the verdicts that this instance reaches.
    pub verdicts: mpsc::UnboundedSender<Verdict>,
    /// Bound on repeats, for services whose upstreams agreed on one.
    pub repeats: Bound,
    /// Largest share of a service's requests that a bad release may receive.
    pub exposure: Share,
    /// Whether the instance restarted, so that callers may already be waiting.
    pub restarted: bool,
    /// By what registered engines are compared.
    pub basis: Basis,
}

/// Starts the task.
pub fn spawn(parts: Parts, cancel: CancellationToken) -> Handle {
    let (messages, queue) = mpsc::channel(MESSAGE_CAPACITY);
    let mut balancer = Balancer::new(parts.own.clone(), parts.zone, parts.bounds, parts.seed);
    balancer.set_basis(parts.basis);
    let task = Task {
        waiting: WaitQueues::new(parts.own, parts.queue),
        balancer,
        judge: Judge::new(parts.seed, &parts.incarnation),
        snapshot: None,
        clock: parts.clock,
        verdicts: parts.verdicts,
        repeats: parts.repeats,
        releases: Releases::new(incarnation_name(&parts.incarnation), parts.exposure),
        allowances: Vec::new(),
        governors: Vec::new(),
        restarted: parts.restarted,
    };
    tokio::spawn(async move {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = task.run(queue) => {}
        }
    });
    Handle { messages }
}

/// Parses an incarnation as a name; one that isn't a valid name becomes `unknown`, which belongs to
/// no instance.
fn incarnation_name(incarnation: &str) -> name::Instance {
    incarnation
        .parse()
        .unwrap_or_else(|_| "unknown".parse().expect("a valid name"))
}

struct Task {
    waiting: WaitQueues,
    balancer: Balancer,
    judge: Judge,
    snapshot: Option<Arc<Snapshot>>,
    clock: Clock,
    verdicts: mpsc::UnboundedSender<Verdict>,
    repeats: Bound,
    releases: Releases,
    /// Sorted by service.
    allowances: Vec<(name::Service, Allowance)>,
    /// Sorted by service.
    governors: Vec<(name::Service, Governor)>,
    restarted: bool,
}

impl Task {
    async fn run(mut self, mut queue: mpsc::Receiver<Message>) {
        let mut ticks = tokio::time::interval(QUEUE_SCAN_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = queue.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = ticks.tick(), if self.waiting.len() > 0 => {
                    self.waiting.drain(&mut self.balancer, self.clock.now());
                }
            }
            for verdict in self.judge.take_verdicts() {
                let _ = self.verdicts.send(verdict);
            }
        }
    }

    fn allowance(&mut self, service: &name::Service) -> &mut Allowance {
        let repeats = self.repeats;
        sorted::entry(&mut self.allowances, service, || Allowance::new(repeats))
    }

    fn governor(&mut self, service: &name::Service, now: Moment) -> &mut Governor {
        let restarted = self.restarted;
        let new = || Governor::new(restarted, now);
        sorted::entry(&mut self.governors, service, new)
    }

    fn generation(&self) -> Generation {
        self.snapshot
            .as_ref()
            .map_or(Generation(0), |snapshot| snapshot.generation)
    }

    fn handle(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Configure(snapshot) => self.configure(snapshot, now),
            Message::SetMembers(members, begun, ended) => self.set_members(members, begun, ended),
            Message::RecordLoad(upstream, load) => {
                self.balancer.record_load(&upstream, load, now);
                self.waiting.drain(&mut self.balancer, now);
            }
            Message::Plan(query, reply) => {
                let _ = reply.send(self.plan(&query, now));
            }
            Message::IsUsable(service, version, generation, reply) => {
                let current = generation == self.generation();
                let usable = || !self.judge.is_braked(service, version);
                let _ = reply.send(if current { Ok(usable()) } else { Err(Stale) });
            }
            Message::Choose(query, reply) => self.choose(query, now, reply),
            Message::Finish(choice, outcome) => {
                self.waiting.record_end(&choice, now);
                self.balancer.finish(choice, outcome, now);
                self.waiting.drain(&mut self.balancer, now);
            }
            Message::ScheduleRetry(retry, deadline, reply) => {
                let _ = reply.send(self.balancer.schedule_retry(retry, deadline, now));
            }
            Message::RecordRating(rated) => self.record_rating(&rated, now),
            Message::RecordLatency(service, version, latency, output) => {
                self.judge.measure(&service, &version, latency, output);
            }
            Message::SamplingShare(service, version, generation, reply) => {
                let current = generation == self.generation();
                let share = if current {
                    self.judge.sampling_share(service, version, now)
                } else {
                    Share::NONE
                };
                let _ = reply.send(share);
            }
            Message::ApplyUpdate(update) => self.apply_update(&update, now),
            Message::DigestContent(reply) => {
                let _ = reply.send(self.digest_content(now));
            }
            Message::Watched(reply) => {
                let _ = reply.send(self.watched());
            }
            Message::TakeUnsentTotals(reply) => {
                let _ = reply.send(self.judge.take_unsent_totals(MAX_TOTALS_PER_MESSAGE));
            }
            Message::SetRatingOutage(out) => self.judge.set_rating_outage(out),
            Message::Reserves(reply) => {
                let _ = reply.send(self.waiting.reserve_usages(now));
            }
            Message::Forward(message) => self.handle_forward(message, now),
            Message::Leave => self.balancer.leave(now),
            Message::Close => self.waiting.close(),
        }
    }

    fn handle_forward(&mut self, message: ForwardMessage, now: Moment) {
        match message {
            ForwardMessage::AssignRelease(query, generation, reply) => {
                let _ = reply.send(self.assign_release(query, generation, now));
            }
            ForwardMessage::RecordAnswer(service, version, outcome) => {
                self.releases.record_answer(&service, &version, outcome);
            }
            ForwardMessage::ObserveFirstEvent(service, first) => {
                self.governor(&service, now).observe(first, now);
            }
            ForwardMessage::LeastPendingWork(query, reply) => {
                let _ = reply.send(
                    self.balancer
                        .least_pending_work(&routing_query(&query), now),
                );
            }
            ForwardMessage::Governor(service, reply) => {
                let _ = reply.send(self.governor(&service, now).clone());
            }
            ForwardMessage::Reports(lead, heard, reply) => {
                let _ = reply.send(self.release_reports(lead, heard, now));
            }
            ForwardMessage::MergeReports(reports, reply) => {
                let _ = reply.send(self.releases.receive(reports, now));
            }
            ForwardMessage::EndTrial(service, target, ruling, era) => {
                self.releases
                    .record_written_ruling(&service, &target, ruling, era);
            }
            ForwardMessage::RecordRequest(service) => self.allowance(&service).record_request(now),
            ForwardMessage::TryRepeat(service, reserve, reply) => {
                let _ = reply.send(self.allowance(&service).try_repeat(reserve, now));
            }
            ForwardMessage::FirstEvent(name, ticket) => {
                self.balancer.record_first_event(&name, ticket, now);
            }
            ForwardMessage::Paces(reply) => {
                let _ = reply.send(self.balancer.paces(now));
            }
            ForwardMessage::RecordPeerPaces(instance, paces) => {
                self.balancer.record_peer_paces(&instance, &paces, now);
            }
            ForwardMessage::Loads(reply) => {
                let _ = reply.send(self.balancer.loads());
            }
            ForwardMessage::RecordLeaving(incarnation) => {
                self.balancer.record_leaving(incarnation, now);
            }
            ForwardMessage::RecordRest(incarnation, until) => {
                self.balancer.record_rest(&incarnation, until, now);
            }
            ForwardMessage::RecordLimit(incarnation, limit) => {
                self.balancer.record_limit(&incarnation, limit, now);
                self.waiting.drain(&mut self.balancer, now);
            }
            ForwardMessage::Limits(reply) => {
                let _ = reply.send(self.balancer.limits(now));
            }
            ForwardMessage::Evidence(is_cut_off, reply) => {
                let _ = reply.send(self.balancer.evidence(is_cut_off, now));
            }
            ForwardMessage::RecordEvidence(word) => self.balancer.record_evidence(word, now),
            ForwardMessage::RecordPeerLoads(instance, loads, others) => {
                self.balancer
                    .record_peer_loads(&instance, loads, others, now);
            }
        }
    }

    fn configure(&mut self, snapshot: Arc<Snapshot>, now: Moment) {
        self.balancer
            .configure(&snapshot.config, snapshot.generation, now);
        self.judge.configure(&snapshot.config, snapshot.generation);
        self.waiting.configure(&snapshot.config, now);
        self.releases.configure(&snapshot.config, now);
        self.snapshot = Some(snapshot);
    }

    fn assign_release(
        &mut self,
        query: release::Query,
        generation: Generation,
        now: Moment,
    ) -> Result<Assignment, Stale> {
        let snapshot = self.snapshot.as_ref();
        let current = snapshot.filter(|snapshot| snapshot.generation == generation);
        let config = &current.ok_or(Stale)?.config;
        let basis = self.releases.basis(config, query, now);
        let version = self.releases.assign(config, query, now);
        Ok(Assignment { version, basis })
    }

    fn release_reports(&mut self, lead: Span, heard: Heard, now: Moment) -> Vec<release::Report> {
        let Some(snapshot) = &self.snapshot else {
            return Vec::new();
        };
        self.releases.reports(&snapshot.config, lead, heard, now)
    }

    fn set_members(&mut self, members: Members, begun: Moment, ended: Moment) {
        let live = u32::try_from(members.live.len()).unwrap_or(u32::MAX).max(1);
        self.judge
            .set_observers(live.max(quality::judge::DEFAULT_OBSERVERS));
        self.waiting.set_members(members.live.clone(), ended);
        self.balancer.set_members(members, begun, ended);
    }

    fn plan(&mut self, query: &VersionQuery, now: Moment) -> Result<Option<Plan>, Stale> {
        if query.generation != self.generation() {
            return Err(Stale);
        }
        Ok(self.judge.plan(&quality::Query {
            service: query.service,
            candidates: &query.candidates,
            class: query.class,
            streamed: query.streamed,
            prompt: query.prompt,
            budget: query.budget,
            position: query.position,
            now,
        }))
    }

    fn choose(&mut self, query: Box<UpstreamQuery>, now: Moment, reply: Reply) {
        if query.excluded.is_empty() {
            self.balancer.record_request(now);
        }
        self.waiting.choose(query, reply, &mut self.balancer, now);
    }

    fn record_rating(&mut self, rated: &RatedAnswer, now: Moment) {
        self.judge.rate(&Rating {
            service: &rated.service,
            version: &rated.version,
            escalated: rated.escalated,
            score: rated.score,
            weight: 1.0,
            at: now,
        });
    }

    fn apply_update(&mut self, update: &Update, now: Moment) {
        for suspicion in &update.suspicions {
            self.balancer.record_suspicion(suspicion);
        }
        for verdict in &update.verdicts {
            self.judge.apply(verdict);
        }
        for summary in &update.summaries {
            self.judge.merge(summary, now);
        }
        for total in &update.totals {
            self.judge.receive(total, now);
        }
        if let Some(drain_notice) = &update.drain_notice {
            self.balancer.record_drain(drain_notice.clone(), now);
        }
    }

    fn digest_content(&self, now: Moment) -> DigestContent {
        DigestContent {
            suspicions: self.balancer.suspicions(),
            verdicts: self.judge.verdicts(),
            braked: self.braked(),
            summaries: self.judge.summaries(now),
            drain_notice: self.balancer.drain_notice(),
        }
    }

    fn braked(&self) -> Vec<name::Service> {
        let Some(snapshot) = &self.snapshot else {
            return Vec::new();
        };
        let config = &snapshot.config;
        let rollouts = config.rollouts.iter();
        let braked = rollouts.filter(|rollout| self.judge.is_braked(rollout.service, rollout.to));
        braked
            .map(|rollout| config.services[rollout.service].name.clone())
            .collect()
    }

    fn watched(&self) -> Vec<name::Upstream> {
        let Some(snapshot) = &self.snapshot else {
            return Vec::new();
        };
        let watched = self.balancer.watched();
        watched
            .into_iter()
            .map(|id| snapshot.config.upstreams[id].name.clone())
            .collect()
    }
}

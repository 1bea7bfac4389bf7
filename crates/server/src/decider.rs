//! The task that owns the decisions on versions and upstreams.
//!
//! Requests ask by message, so that each decision is made on one state, and nothing is locked.

use crate::clock::Clock;
use crate::waiting::{Reply, Waiting, query};
use adoption::Snapshot;
use entity::unit::{Bytes, Share, Tokens};
use entity::{Generation, Moment, Span, id, name, sorted};
use quality::governor::{Observation, Governor};
use quality::release::{self, Releases};
use quality::totals::TotalsUpdate;
use quality::trial::Ruling;
use quality::{Judge, Plan, Rating, Summary, Verdict};
use routing::allowance::{Allowance, Bound};
use routing::demand::{Demand, Loads};
use routing::reserve;
use routing::slots::DrainNotice;
use routing::{Balancer, Bounds, Choice, Load, Members, Outcome, Priority, Suspicion};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Time between two looks at requests that wait, beside those when an upstream becomes free.
const TICK: Duration = Duration::from_millis(20);
/// Totals that are told at once.
const TOLD_TOTALS: usize = 4;
/// Messages that may wait.
const QUEUE: usize = 4096;

/// What a version is wanted for.
#[derive(Clone, Debug)]
pub struct Wish {
    /// The configuration that issued the ids.
    pub generation: Generation,
    /// The service.
    pub service: id::Service,
    /// Versions that are allowed and active.
    pub candidates: Vec<id::Version>,
    /// How soon the answer is needed.
    pub class: quality::Class,
    /// Whether it is streamed.
    pub streamed: bool,
    /// Estimated length of the prompt.
    pub prompt: Tokens,
    /// Time that is left.
    pub budget: Span,
    /// Where the session falls in the split of a roll-out.
    pub position: Share,
}

/// What an upstream is wanted for.
#[derive(Clone, Debug)]
pub struct Want {
    /// The configuration that issued the ids.
    pub generation: Generation,
    /// The service.
    pub service: id::Service,
    /// The version; none for a plain service.
    pub version: Option<id::Version>,
    /// The organisation.
    pub organisation: id::Organisation,
    /// Size of the prompt or body.
    pub prompt: Bytes,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// What it asks of an engine; none where only the size of its prompt or body is known.
    pub demand: Option<Demand>,
    /// How urgent it is.
    pub priority: Priority,
    /// Upstreams that were tried before.
    pub excluded: Vec<name::Upstream>,
    /// Regions that the request may go to, sorted; none for all.
    pub regions: Option<Box<[name::Region]>>,
    /// When the whole answer is due.
    pub deadline: Moment,
}

/// What a rating said of an answer.
#[derive(Clone, Debug)]
pub struct Rated {
    /// The service.
    pub service: name::Service,
    /// The version that gave it.
    pub version: name::Version,
    /// Whether the request had been escalated to it.
    pub escalated: bool,
    /// From 0 to 1.
    pub score: f64,
}

/// What goes into a digest.
#[derive(Clone, Debug, Default)]
pub struct Knowledge {
    /// Upstreams that are believed to be cold.
    pub suspicions: Vec<Suspicion>,
    /// Verdicts on roll-outs.
    pub verdicts: Vec<Verdict>,
    /// Services whose roll-out is braked.
    pub braked: Vec<name::Service>,
    /// This instance's sums of ratings.
    pub summaries: Vec<Summary>,
    /// What a leaving instance says of its slots.
    pub drain_notice: Option<DrainNotice>,
}

/// What a digest of a fellow says.
#[derive(Clone, Debug, Default)]
pub struct News {
    /// Upstreams that are believed to be cold.
    pub suspicions: Vec<Suspicion>,
    /// Verdicts on roll-outs.
    pub verdicts: Vec<Verdict>,
    /// Sums of ratings.
    pub summaries: Vec<Summary>,
    /// Totals of a fellow's ratings.
    pub totals: Vec<TotalsUpdate>,
    /// What a leaving instance says of its slots.
    pub drain_notice: Option<DrainNotice>,
}

enum Message {
    Configure(Arc<Snapshot>),
    Members(Members, Moment, Moment),
    Load(name::Upstream, Load),
    Plan(Wish, oneshot::Sender<Result<Option<Plan>, Stale>>),
    Usable(
        id::Service,
        id::Version,
        Generation,
        oneshot::Sender<Result<bool, Stale>>,
    ),
    Choose(Box<Want>, oneshot::Sender<Result<Choice, routing::Refusal>>),
    Finish(Choice, Outcome),
    Retry(u32, Moment, oneshot::Sender<Option<Span>>),
    Rated(Rated),
    Measured(name::Service, name::Version, Span, Tokens),
    Sampling(id::Service, id::Version, Generation, oneshot::Sender<Share>),
    News(Box<News>),
    Knowledge(oneshot::Sender<Knowledge>),
    Watched(oneshot::Sender<Vec<name::Upstream>>),
    RatingsOut(bool),
    Totals(oneshot::Sender<Vec<TotalsUpdate>>),
    Reserves(oneshot::Sender<Vec<reserve::Usage>>),
    Leave,
    Forwarded(Forwarded),
}

/// Messages that only requests which are passed on need.
enum Forwarded {
    Release(
        release::Query,
        Generation,
        oneshot::Sender<Result<Option<id::Version>, Stale>>,
    ),
    Answered(name::Service, name::Version, release::AnswerOutcome),
    FirstEvent(name::Service, Observation),
    Governor(name::Service, oneshot::Sender<Governor>),
    Outlook(Box<Want>, oneshot::Sender<Result<f64, routing::Refusal>>),
    Reports(oneshot::Sender<Vec<release::Report>>),
    HearReports(Vec<release::Report>),
    Written(name::Service, name::Version, Ruling),
    Request(name::Service),
    Repeat(name::Service, u32, oneshot::Sender<bool>),
    FirstEventOf(name::Upstream, u64),
    Loads(oneshot::Sender<Loads>),
    HearLoads(name::Instance, Loads, usize),
}

/// Asks the task.
#[derive(Clone, Debug)]
pub struct Handle {
    messages: mpsc::Sender<Message>,
}

/// The question is about another configuration than the one that decisions go by now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the configuration changed")]
pub struct Stale;

/// The task has ended, because the instance is being shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the instance is closing")]
pub struct Closed;

impl Handle {
    async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Result<T, Closed> {
        let (reply, answer) = oneshot::channel();
        self.messages
            .send(message(reply))
            .await
            .map_err(|_| Closed)?;
        answer.await.map_err(|_| Closed)
    }

    async fn tell(&self, message: Message) {
        // The task ends only with the instance; then nobody needs what it would do.
        let _ = self.messages.send(message).await;
    }

    /// Puts a configuration in force.
    pub async fn configure(&self, snapshot: Arc<Snapshot>) {
        self.tell(Message::Configure(snapshot)).await;
    }

    /// Takes in the instance list.
    pub async fn members(&self, members: Members, begun: Moment, ended: Moment) {
        self.tell(Message::Members(members, begun, ended)).await;
    }

    /// Takes in a load report.
    pub async fn load(&self, upstream: name::Upstream, load: Load) {
        self.tell(Message::Load(upstream, load)).await;
    }

    /// The versions that serve a request; none if no candidate may.
    ///
    /// # Errors
    ///
    /// The outer one: the instance is closing. The inner one: the ids are of another configuration.
    pub async fn plan(&self, wish: Wish) -> Result<Result<Option<Plan>, Stale>, Closed> {
        self.ask(|reply| Message::Plan(wish, reply)).await
    }

    /// Whether a version is not braked for a service.
    ///
    /// # Errors
    ///
    /// The outer one: the instance is closing. The inner one: the ids are of another configuration.
    pub async fn usable(
        &self,
        service: id::Service,
        version: id::Version,
        generation: Generation,
    ) -> Result<Result<bool, Stale>, Closed> {
        self.ask(|reply| Message::Usable(service, version, generation, reply))
            .await
    }

    /// Chooses an upstream; the choice must be given back to [`Handle::finish`].
    ///
    /// # Errors
    ///
    /// The outer one: the instance is closing. The inner one: no upstream can take it now.
    pub async fn choose(&self, want: Want) -> Result<Result<Choice, routing::Refusal>, Closed> {
        self.ask(|reply| Message::Choose(Box::new(want), reply))
            .await
    }

    /// Gives a choice back.
    pub async fn finish(&self, choice: Choice, outcome: Outcome) {
        self.tell(Message::Finish(choice, outcome)).await;
    }

    /// Notes that the first event of a choice has come.
    pub async fn started(&self, choice: &Choice) {
        let message = Message::Forwarded(Forwarded::FirstEventOf(
            choice.upstream.clone(),
            choice.ticket(),
        ));
        self.tell(message).await;
    }

    /// What this instance has running at each upstream.
    ///
    /// # Errors
    ///
    /// The instance is closing.
    pub async fn loads(&self) -> Result<Loads, Closed> {
        self.ask(|reply| Message::Forwarded(Forwarded::Loads(reply)))
            .await
    }

    /// Takes in what another instance has running, one of so many others.
    pub async fn record_peer_loads(&self, instance: name::Instance, loads: Loads, others: usize) {
        self.tell(Message::Forwarded(Forwarded::HearLoads(
            instance, loads, others,
        )))
        .await;
    }

    /// The delay before a retry; none if it may not be retried.
    ///
    /// # Errors
    ///
    /// The instance is closing.
    pub async fn retry(&self, retry: u32, deadline: Moment) -> Result<Option<Span>, Closed> {
        self.ask(|reply| Message::Retry(retry, deadline, reply))
            .await
    }

    /// Counts a request of a service whose repeats are bounded.
    pub async fn request(&self, service: name::Service) {
        self.tell(Message::Forwarded(Forwarded::Request(service)))
            .await;
    }

    /// The release that runs a request of a service whose upstreams register themselves; none where
    /// it has no upstream.
    ///
    /// # Errors
    ///
    /// The outer one: the instance is closing. The inner one: the ids are of another configuration.
    pub async fn release(
        &self,
        query: release::Query,
        generation: Generation,
    ) -> Result<Result<Option<id::Version>, Stale>, Closed> {
        self.ask(|reply| Message::Forwarded(Forwarded::Release(query, generation, reply)))
            .await
    }

    /// Counts an answer of a release.
    pub async fn answered(
        &self,
        service: name::Service,
        version: name::Version,
        noted: release::AnswerOutcome,
    ) {
        self.tell(Message::Forwarded(Forwarded::Answered(
            service, version, noted,
        )))
        .await;
    }

    /// Takes in the first event of an answer of a service.
    pub async fn first_event(&self, service: name::Service, first: Observation) {
        self.tell(Message::Forwarded(Forwarded::FirstEvent(service, first)))
            .await;
    }

    /// The least work that would be before a request's first event at an upstream, in tokens.
    ///
    /// # Errors
    ///
    /// The outer one: the instance is closing. The inner one: no upstream can take it now.
    pub async fn least_pending_work(&self, want: Want) -> Result<Result<f64, routing::Refusal>, Closed> {
        self.ask(|reply| Message::Forwarded(Forwarded::Outlook(Box::new(want), reply)))
            .await
    }

    /// How much of the engines' time better answers of a service may take now.
    ///
    /// # Errors
    ///
    /// The instance is closing.
    pub async fn governor(&self, service: name::Service) -> Result<Governor, Closed> {
        self.ask(|reply| Message::Forwarded(Forwarded::Governor(service, reply)))
            .await
    }

    /// What to tell other instances of trials of releases.
    ///
    /// # Errors
    ///
    /// The instance is closing.
    pub async fn reports(&self) -> Result<Vec<release::Report>, Closed> {
        self.ask(|reply| Message::Forwarded(Forwarded::Reports(reply)))
            .await
    }

    /// Takes in what another instance told of trials of releases.
    pub async fn hear_reports(&self, reports: Vec<release::Report>) {
        self.tell(Message::Forwarded(Forwarded::HearReports(reports)))
            .await;
    }

    /// Ends the trial of a release, whose ruling is on the store.
    pub async fn written(&self, service: name::Service, target: name::Version, ruling: Ruling) {
        self.tell(Message::Forwarded(Forwarded::Written(
            service, target, ruling,
        )))
        .await;
    }

    /// Whether a request of a service may be sent once more within the bound on repeats, which
    /// leaves a `reserve` of them to others.
    ///
    /// # Errors
    ///
    /// The instance is closing.
    pub async fn repeat(&self, service: name::Service, reserve: u32) -> Result<bool, Closed> {
        self.ask(|reply| Message::Forwarded(Forwarded::Repeat(service, reserve, reply)))
            .await
    }

    /// Takes in a rating.
    pub async fn rated(&self, rated: Rated) {
        self.tell(Message::Rated(rated)).await;
    }

    /// Takes in how long a whole answer took.
    pub async fn measured(
        &self,
        service: name::Service,
        version: name::Version,
        latency: Span,
        output: Tokens,
    ) {
        self.tell(Message::Measured(service, version, latency, output))
            .await;
    }

    /// The share of a version's answers to rate.
    ///
    /// # Errors
    ///
    /// The instance is closing.
    pub async fn sampling(
        &self,
        service: id::Service,
        version: id::Version,
        generation: Generation,
    ) -> Result<Share, Closed> {
        self.ask(|reply| Message::Sampling(service, version, generation, reply))
            .await
    }

    /// Takes in what a fellow or the log told.
    pub async fn news(&self, news: News) {
        self.tell(Message::News(Box::new(news))).await;
    }

    /// What to tell fellows.
    ///
    /// # Errors
    ///
    /// The instance is closing.
    pub async fn knowledge(&self) -> Result<Knowledge, Closed> {
        self.ask(Message::Knowledge).await
    }

    /// Upstreams whose load reports are needed.
    ///
    /// # Errors
    ///
    /// The instance is closing.
    pub async fn watched(&self) -> Result<Vec<name::Upstream>, Closed> {
        self.ask(Message::Watched).await
    }

    /// Totals of this instance's ratings that have news, each told once.
    ///
    /// # Errors
    ///
    /// The instance is closing.
    pub async fn totals(&self) -> Result<Vec<TotalsUpdate>, Closed> {
        self.ask(Message::Totals).await
    }

    /// Takes in whether the rating service counts as out.
    pub async fn ratings_out(&self, out: bool) {
        self.tell(Message::RatingsOut(out)).await;
    }

    /// What became of each organisation's reserve at this instance since it started.
    ///
    /// # Errors
    ///
    /// The instance is closing.
    pub async fn reserves(&self) -> Result<Vec<reserve::Usage>, Closed> {
        self.ask(Message::Reserves).await
    }

    /// Gives up all slots of cold upstreams, at the begin of a shutdown.
    pub async fn leave(&self) {
        self.tell(Message::Leave).await;
    }
}

/// Who this instance is, and the bounds that all instances agree on.
pub struct Parts {
    /// Its name.
    pub own: name::Instance,
    /// Its zone.
    pub zone: name::Zone,
    /// Names this life of it.
    pub life: Box<str>,
    /// Bounds of the slot protocol.
    pub bounds: Bounds,
    /// Seed of its random choices.
    pub seed: u64,
    /// Most requests that wait for one pool of upstreams.
    pub queue: usize,
    /// The clock.
    pub clock: Clock,
    /// Takes verdicts that were reached here.
    pub verdicts: mpsc::UnboundedSender<Verdict>,
    /// The bound on repeats, for services that agreed on one.
    pub repeats: Bound,
    /// Longest time between two requests of one session.
    pub session_gap: Span,
    /// Share of a service's requests that a release that turns out bad may get.
    pub exposure: Share,
    /// Whether the instance starts again, so that callers may be waiting.
    pub restarted: bool,
}

/// Starts the task.
pub fn spawn(parts: Parts, cancel: CancellationToken) -> Handle {
    let (messages, queue) = mpsc::channel(QUEUE);
    let task = Task {
        waiting: Waiting::new(parts.own.clone(), parts.queue),
        balancer: Balancer::new(parts.own, parts.zone, parts.bounds, parts.seed),
        judge: Judge::new(parts.seed, &parts.life),
        snapshot: None,
        clock: parts.clock,
        verdicts: parts.verdicts,
        repeats: parts.repeats,
        releases: Releases::new(
            life(&parts.life),
            parts.session_gap,
            parts.exposure,
            parts.clock.now(),
        ),
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

/// A life as a name; one that can't be a name is no instance's.
fn life(life: &str) -> name::Instance {
    life.parse()
        .unwrap_or_else(|_| "unknown".parse().expect("a name"))
}

struct Task {
    waiting: Waiting,
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
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = queue.recv() => match message {
                    Some(message) => self.take(message),
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

    fn take(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Configure(snapshot) => self.configure(snapshot, now),
            Message::Members(members, begun, ended) => self.members(members, begun, ended),
            Message::Load(upstream, load) => {
                self.balancer.load(&upstream, load, now);
                self.waiting.drain(&mut self.balancer, now);
            }
            Message::Plan(wish, reply) => {
                let _ = reply.send(self.plan(&wish, now));
            }
            Message::Usable(service, version, generation, reply) => {
                let current = generation == self.generation();
                let usable = || !self.judge.braked(service, version);
                let _ = reply.send(if current { Ok(usable()) } else { Err(Stale) });
            }
            Message::Choose(want, reply) => self.choose(want, now, reply),
            Message::Finish(choice, outcome) => {
                self.waiting.ended(&choice, now);
                self.balancer.finish(choice, outcome, now);
                self.waiting.drain(&mut self.balancer, now);
            }
            Message::Retry(retry, deadline, reply) => {
                let _ = reply.send(self.balancer.retry(retry, deadline, now));
            }
            Message::Rated(rated) => self.rated(&rated, now),
            Message::Measured(service, version, latency, output) => {
                self.judge.measure(&service, &version, latency, output);
            }
            Message::Sampling(service, version, generation, reply) => {
                let current = generation == self.generation();
                let share = if current {
                    self.judge.sampling(service, version, now)
                } else {
                    Share::NONE
                };
                let _ = reply.send(share);
            }
            Message::News(news) => self.news(&news, now),
            Message::Knowledge(reply) => {
                let _ = reply.send(self.knowledge(now));
            }
            Message::Watched(reply) => {
                let _ = reply.send(self.watched());
            }
            Message::Totals(reply) => {
                let _ = reply.send(self.judge.tell(TOLD_TOTALS));
            }
            Message::RatingsOut(out) => self.judge.set_rating_outage(out),
            Message::Reserves(reply) => {
                let _ = reply.send(self.waiting.reserves(now));
            }
            Message::Forwarded(message) => self.take_forwarded(message, now),
            Message::Leave => self.balancer.leave(now),
        }
    }

    fn take_forwarded(&mut self, message: Forwarded, now: Moment) {
        match message {
            Forwarded::Release(query, generation, reply) => {
                let _ = reply.send(self.release(query, generation, now));
            }
            Forwarded::Answered(service, version, noted) => {
                self.releases.answered(&service, &version, noted);
            }
            Forwarded::FirstEvent(service, first) => {
                self.governor(&service, now).observe(first, now);
            }
            Forwarded::Outlook(want, reply) => {
                let _ = reply.send(self.balancer.least_pending_work(&query(&want), now));
            }
            Forwarded::Governor(service, reply) => {
                let _ = reply.send(self.governor(&service, now).clone());
            }
            Forwarded::Reports(reply) => {
                let _ = reply.send(self.releases.reports(now));
            }
            Forwarded::HearReports(reports) => self.releases.receive(reports, now),
            Forwarded::Written(service, target, ruling) => {
                self.releases.written(&service, &target, ruling);
            }
            Forwarded::Request(service) => self.allowance(&service).request(now),
            Forwarded::Repeat(service, reserve, reply) => {
                let _ = reply.send(self.allowance(&service).repeat(reserve, now));
            }
            Forwarded::FirstEventOf(upstream, ticket) => self.balancer.started(&upstream, ticket),
            Forwarded::Loads(reply) => {
                let _ = reply.send(self.balancer.loads());
            }
            Forwarded::HearLoads(instance, loads, others) => {
                self.balancer.record_peer_loads(&instance, loads, others, now);
            }
        }
    }

    fn configure(&mut self, snapshot: Arc<Snapshot>, now: Moment) {
        self.balancer
            .configure(&snapshot.config, snapshot.generation, now);
        self.judge.configure(&snapshot.config, snapshot.generation);
        self.waiting.configure(&snapshot.config, now);
        self.releases.configure(&snapshot.config);
        self.snapshot = Some(snapshot);
    }

    fn release(
        &mut self,
        query: release::Query,
        generation: Generation,
        now: Moment,
    ) -> Result<Option<id::Version>, Stale> {
        let snapshot = self.snapshot.as_ref();
        let current = snapshot.filter(|snapshot| snapshot.generation == generation);
        let config = &current.ok_or(Stale)?.config;
        Ok(self.releases.assign(config, query, now))
    }

    fn members(&mut self, members: Members, begun: Moment, ended: Moment) {
        let live = u32::try_from(members.live.len()).unwrap_or(u32::MAX).max(1);
        self.judge
            .set_observers(live.max(quality::judge::DEFAULT_OBSERVERS));
        self.waiting.members(members.live.clone(), ended);
        self.balancer.members(members, begun, ended);
    }

    fn plan(&mut self, wish: &Wish, now: Moment) -> Result<Option<Plan>, Stale> {
        if wish.generation != self.generation() {
            return Err(Stale);
        }
        Ok(self.judge.plan(&quality::Query {
            service: wish.service,
            candidates: &wish.candidates,
            class: wish.class,
            streamed: wish.streamed,
            prompt: wish.prompt,
            budget: wish.budget,
            position: wish.position,
            now,
        }))
    }

    fn choose(&mut self, want: Box<Want>, now: Moment, reply: Reply) {
        if want.excluded.is_empty() {
            self.balancer.request(now);
        }
        self.waiting.choose(want, reply, &mut self.balancer, now);
    }

    fn rated(&mut self, rated: &Rated, now: Moment) {
        self.judge.rate(&Rating {
            service: &rated.service,
            version: &rated.version,
            escalated: rated.escalated,
            score: rated.score,
            weight: 1.0,
            at: now,
        });
    }

    fn news(&mut self, news: &News, now: Moment) {
        for suspicion in &news.suspicions {
            self.balancer.suspect(suspicion);
        }
        for verdict in &news.verdicts {
            self.judge.apply(verdict);
        }
        for summary in &news.summaries {
            self.judge.merge(summary, now);
        }
        for telling in &news.totals {
            self.judge.receive(telling, now);
        }
        if let Some(drain_notice) = &news.drain_notice {
            self.balancer.record_drain(drain_notice.clone(), now);
        }
    }

    fn knowledge(&self, now: Moment) -> Knowledge {
        Knowledge {
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
        let braked = rollouts.filter(|one| self.judge.braked(one.service, one.to));
        braked
            .map(|one| config.services[one.service].name.clone())
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

//! A running instance: its tasks, its listeners, and its graceful shutdown.

use crate::answers::Answers;
use crate::clock::Clock;
use crate::contact::Tracker;
use crate::context::{Context, Told};
use crate::decider::{self, Knowledge, Rated};
use crate::front::{Desk, Front};
use crate::links::Links;
use crate::replica::Fellows;
use crate::writers::{self, Writers};
use crate::{configuration, digest, gossip, loads, members, reserves, verdicts};
use adoption::Step;
use anyhow::{Context as _, Result, ensure};
use arc_swap::ArcSwap;
use caller::{Handler, Limits, Server};
use claims::window::Window;
use entity::{Generation, Span, name};
use instances::State;
use journal::{claimer, committer, usage};
use quality::Verdict;
use rand::Rng;
use routing::{Bounds, Members};
use serde::Serialize;
use session::Signer;
use settings::{Settings, Sink};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use timeline::{Kind, Metric, Recorder};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Longest time for a body of a caller to arrive.
const READ_LIMIT: Span = Span::from_secs(10);
/// How long an idle connection of a caller is kept; balancers keep theirs for about a minute.
const IDLE_LIMIT: Span = Span::from_secs(75);
/// Longest wait for the rating of an answer that is held back.
const RATING_LIMIT: Span = Span::from_secs(2);
/// How long callers' clocks may be ahead of the log's.
const KEY_SKEW: Span = Span::from_secs(60);
/// How long a claim is awaited at most.
const CLAIM_PATIENCE: Span = Span::from_secs(3);
/// When callers come back while the log is out.
const LOG_WAIT: Span = Span::from_secs(5);
/// Reads of the instance list within the time that an instance goes by one of them.
const READS_FRESH: u64 = 3;
/// Time between two looks at whether the rating service is out.
const RATING_PERIOD: Duration = Duration::from_millis(500);
/// Scores that may wait.
const SCORES: usize = 256;
/// How long an instance that is shut down answers with its readiness before it stops to listen.
const NOTICE: Duration = Duration::from_millis(500);

/// Where an instance listens.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For other instances.
    pub fellow: SocketAddr,
    /// For operators, if there is such a listener.
    pub operator: Option<SocketAddr>,
}

/// A running instance.
pub struct Instance {
    context: Arc<Context>,
    fellows: Arc<Fellows>,
    front: Server,
    desk: Option<Server>,
    fellow: fellow::Server,
    addresses: Addresses,
    /// Stops the listener for callers.
    closing: CancellationToken,
    /// Stops everything else.
    stopping: CancellationToken,
}

/// Channels between tasks, made before the tasks.
struct Wiring {
    verdicts: mpsc::UnboundedReceiver<Verdict>,
    scores: mpsc::Receiver<rating::Score>,
    wake: mpsc::Sender<Option<name::Instance>>,
    woken: mpsc::Receiver<Option<name::Instance>>,
    committer: committer::Handle,
    log: logs::Client,
}

impl Instance {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or the time line can't be opened.
    pub async fn open(settings: Settings) -> Result<Self> {
        let (closing, stopping) = (CancellationToken::new(), CancellationToken::new());
        let (context, fellows, wiring) = assemble(settings, &stopping)?;
        let Wiring {
            verdicts,
            scores,
            wake,
            woken,
            committer,
            log,
        } = wiring;
        let own = &context.settings.instance;
        let secret = fellow::Secret::new(own.secret.as_bytes());
        let answers = Arc::new(Answers::new(context.clone(), wake.clone()));
        let fellow =
            fellow::Server::bind(own.fellow_address, secret, answers, stopping.clone()).await;
        let fellow = fellow.with_context(|| format!("fellow-address {}", own.fellow_address))?;
        let front = listen(
            &context,
            own.caller_address,
            Front::new(context.clone()),
            &closing,
        );
        let front = front
            .await
            .with_context(|| format!("caller-address {}", own.caller_address))?;
        let desk = match own.operator_address {
            None => None,
            Some(address) => {
                let desk = listen(&context, address, Desk::new(context.clone()), &stopping).await;
                Some(desk.with_context(|| format!("operator-address {address}"))?)
            }
        };
        let addresses = Addresses {
            caller: front.address(),
            fellow: fellow.address(),
            operator: desk.as_ref().map(Server::address),
        };
        gossip::spawn(context.clone(), woken, stopping.clone());
        let parts = verdicts::Parts {
            context: context.clone(),
            log,
            committer: committer.clone(),
            reached: verdicts,
            wake,
        };
        verdicts::spawn(parts, &stopping);
        let loads = loads::Parts {
            pool: context.pool.clone(),
            decider: context.decider.clone(),
            in_force: context.configuration.in_force.clone(),
            clock: context.clock,
            asked: context.loads_asked.clone(),
        };
        loads::spawn(loads, stopping.clone());
        spawn_couplings(&context, committer, scores, &stopping);
        context
            .recorder
            .event(Kind::Started)
            .text("caller", addresses.caller)
            .record();
        Ok(Self {
            context,
            fellows,
            front,
            desk,
            fellow,
            addresses,
            closing,
            stopping,
        })
    }

    /// Where it listens.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// The generation in force here; 0 where none is.
    pub fn generation(&self) -> Generation {
        self.context.generation()
    }

    /// Shuts down: no new connection, every request answered, usage on the log or with fellows.
    /// Returns whether all of it was done within the time to drain.
    pub async fn shutdown(self) -> bool {
        let end = Instant::now() + self.context.settings.limits.drain.duration();
        self.context.draining.store(true, Ordering::Relaxed);
        self.context.recorder.event(Kind::Draining).record();
        self.context.decider.leave().await;
        // The balancer sees that the instance is not ready before connections are refused.
        tokio::time::sleep(NOTICE).await;
        self.closing.cancel();
        let answered = async {
            self.front.closed().await;
            self.context.streams.close();
            self.context.streams.wait().await;
        };
        let answered = tokio::time::timeout_at(end, answered).await.is_ok();
        let settled = self.settle_usage(end).await;
        self.context
            .recorder
            .event(Kind::Stopped)
            .flag("whole", answered && settled)
            .record();
        self.stopping.cancel();
        if let Some(desk) = &self.desk {
            let _ = tokio::time::timeout(NOTICE, desk.closed()).await;
        }
        let _ = tokio::time::timeout(NOTICE, self.fellow.closed()).await;
        answered && settled
    }

    /// Waits until the log has every usage record, or, where it is out, until fellows hold them.
    async fn settle_usage(&self, end: Instant) -> bool {
        loop {
            let Ok(stats) = self.context.usage.stats().await else {
                return false;
            };
            if stats.open == 0 && stats.held == 0 {
                return true;
            }
            let grace = Instant::now() + Duration::from_secs(2) > end;
            if stats.unsafe_now == 0 && (grace || self.log_is_out()) {
                self.fellows.orphan().await;
                return stats.held == 0 || self.context.members.borrow().list.instances.len() > 2;
            }
            if Instant::now() >= end {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn log_is_out(&self) -> bool {
        let limit = self.context.settings.limits.isolation;
        self.context.contact.log_age().is_none_or(|age| age > limit)
    }
}

async fn listen(
    context: &Context,
    address: SocketAddr,
    handler: impl Handler,
    cancel: &CancellationToken,
) -> std::io::Result<Server> {
    let own = &context.settings.limits;
    let limits = Limits {
        body: own.body,
        header: own.header,
        read: READ_LIMIT,
        idle: IDLE_LIMIT,
    };
    Server::bind(address, limits, handler, cancel.clone()).await
}

/// Bounds of the slot protocol. A list that is read rarely has to be gone by for longer, so that
/// settings of the list are the same at all instances.
fn bounds(settings: &Settings) -> Bounds {
    let reads = Span::from_micros(READS_FRESH * settings.instances.poll.as_micros());
    let default = Bounds::default();
    Bounds {
        lag: settings.instances.lag,
        fresh: default.fresh.max(reads),
        ..default
    }
}

/// Starts the tasks that the context holds handles of.
fn assemble(
    settings: Settings,
    stopping: &CancellationToken,
) -> Result<(Arc<Context>, Arc<Fellows>, Wiring)> {
    let own = settings.instance.clone();
    let recorder = open_recorder(&settings)?;
    let metric = Metric::open(&own.name, settings.statsd).context("metrics")?;
    let clock = Clock::start();
    let contact = Arc::new(Tracker::new(clock, settings.limits.isolation));
    let log = logs::Client::new(settings.log.address, settings.log.timeout);
    let configuration = follow_configuration(&settings, &log, clock, &contact, &recorder, stopping);
    let list = instances::Client::new(settings.instances.address, settings.instances.poll);
    let members = members::spawn(list, settings.instances.poll, clock, stopping.clone());
    let (reached, verdicts) = mpsc::unbounded_channel();
    let decider = spawn_decider(&settings, clock, reached, stopping);
    let secret = fellow::Secret::new(own.secret.as_bytes());
    let links = Arc::new(Links::new(secret, stopping.clone()));
    let fellows = Arc::new(Fellows {
        own: own.name.clone(),
        members: members.clone(),
        links: links.clone(),
    });
    let writers = Writers::new(
        log.clone(),
        own.name.clone(),
        members.clone(),
        links.clone(),
    );
    let committer = committer::spawn(writers, commit_policy(&settings), stopping.clone());
    let usage = usage::open(
        committer.clone(),
        fellows.clone(),
        own.zone.clone(),
        usage::Policy::default(),
        stopping.clone(),
    );
    let claims = open_claims(&settings, &log, &committer, stopping)?;
    let (scores, scored) = mpsc::channel(SCORES);
    let rating = settings
        .rating
        .map(|address| rating::Client::open(address, RATING_LIMIT, stopping.clone()));
    let none = Knowledge::default();
    let digest = digest::write(&own.name, &own.zone, Generation(0), &none, clock);
    let told = ArcSwap::from_pointee(Told {
        digest,
        verdicts: Vec::new(),
        braked: Vec::new(),
    });
    let bounds = bounds(&settings);
    let context = Arc::new(Context {
        clock,
        contact,
        configuration,
        decider,
        members,
        links,
        claims,
        usage,
        committer: committer.clone(),
        streams: TaskTracker::new(),
        bounds,
        rating,
        scores,
        pool: upstream::Pool::new(),
        signer: Signer::new(own.secret.as_bytes()),
        recorder,
        metric,
        draining: AtomicBool::new(false),
        loads_asked: Arc::default(),
        told,
        settings,
    });
    let (wake, woken) = mpsc::channel(16);
    let wiring = Wiring {
        verdicts,
        scores: scored,
        wake,
        woken,
        committer,
        log,
    };
    Ok((context, fellows, wiring))
}

fn open_recorder(settings: &Settings) -> Result<Recorder> {
    let sink = match &settings.timeline {
        Sink::Stderr => timeline::Sink::Writer(Box::new(std::io::stderr())),
        Sink::File(path) => timeline::Sink::File(path.clone()),
    };
    Recorder::open(&settings.instance.name, sink).context("time line")
}

fn commit_policy(settings: &Settings) -> committer::Policy {
    committer::Policy {
        linger: settings.limits.usage_delay,
        ..committer::Policy::default()
    }
}

fn open_claims(
    settings: &Settings,
    log: &logs::Client,
    committer: &committer::Handle,
    stopping: &CancellationToken,
) -> Result<claimer::Handle<logs::Client>> {
    // A key lives for less than the retention by more than the clocks may differ.
    let margin = Span::from_micros(2 * KEY_SKEW.as_micros());
    let retention = settings.log.retention;
    ensure!(
        margin < retention,
        "[log] retention = {retention} is too short: claims on keys need more than {margin}"
    );
    let policy = claimer::Policy {
        window: Window::new(retention, margin, KEY_SKEW),
        patience: CLAIM_PATIENCE,
        retry_after: LOG_WAIT,
    };
    let own = settings.instance.name.clone();
    Ok(claimer::open(
        log.clone(),
        committer.clone(),
        own,
        policy,
        stopping.clone(),
    ))
}

fn follow_configuration(
    settings: &Settings,
    log: &logs::Client,
    clock: Clock,
    contact: &Arc<Tracker>,
    recorder: &Recorder,
    stopping: &CancellationToken,
) -> configuration::Handle {
    let recorder = recorder.clone();
    let parts = configuration::Parts {
        log: log.clone(),
        poll: settings.log.poll,
        retention: settings.log.retention,
        clock,
        contact: contact.clone(),
        notes: Box::new(move |step| note(&recorder, step)),
    };
    configuration::spawn(parts, stopping.clone())
}

fn note(recorder: &Recorder, step: &Step) {
    match step {
        Step::Rejected { offset, author, .. } => {
            let draft = recorder.event(Kind::Rejected).count("offset", offset.0);
            draft.text("author", author).record();
        }
        Step::Checkpoint { offset } => {
            recorder
                .event(Kind::Checkpointed)
                .count("offset", offset.0)
                .record();
        }
        Step::Conflict { generation } => {
            let draft = recorder
                .event(Kind::Failed)
                .count("generation", generation.0);
            draft
                .text("failure", "two sources disagree about a generation")
                .record();
        }
        Step::Restarted { first } => {
            let draft = recorder.event(Kind::Outage).count("first", first.0);
            draft
                .text("failure", "records of the configuration expired unread")
                .record();
        }
        Step::Malformed { offset } => {
            let draft = recorder.event(Kind::Rejected).count("offset", offset.0);
            draft.text("failure", "not a record").record();
        }
        // What is in force is recorded when it changes, whoever told it.
        Step::Accepted { .. } | Step::Started { .. } => {}
    }
}

fn spawn_decider(
    settings: &Settings,
    clock: Clock,
    reached: mpsc::UnboundedSender<Verdict>,
    stopping: &CancellationToken,
) -> decider::Handle {
    let seed = rand::rng().next_u64();
    let own = &settings.instance;
    let parts = decider::Parts {
        own: own.name.clone(),
        zone: own.zone.clone(),
        life: format!("{}/{seed:016x}", own.name).into(),
        bounds: bounds(settings),
        queue: settings.limits.queue as usize,
        seed,
        clock,
        verdicts: reached,
    };
    decider::spawn(parts, stopping.clone())
}

/// Passes on what one task learns to those that need it.
fn spawn_couplings(
    context: &Arc<Context>,
    committer: committer::Handle,
    scores: mpsc::Receiver<rating::Score>,
    stopping: &CancellationToken,
) {
    let run = |task| tokio::spawn(stopping.clone().run_until_cancelled_owned(task));
    run(Box::pin(couple_configuration(context.clone())) as Task);
    run(Box::pin(couple_members(context.clone(), committer)) as Task);
    run(Box::pin(couple_scores(context.clone(), scores)) as Task);
    run(Box::pin(reserves::report(context.clone())) as Task);
    run(Box::pin(couple_ratings(context.clone())) as Task);
}

type Task = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;

async fn couple_configuration(context: Arc<Context>) {
    let mut in_force = context.configuration.in_force.clone();
    loop {
        let snapshot = in_force.borrow_and_update().clone();
        if let Some(snapshot) = snapshot {
            let draft = context.recorder.event(Kind::Adopted);
            draft
                .count("generation", snapshot.generation.0)
                .text("author", &snapshot.author)
                .record();
            context.decider.configure(snapshot).await;
            context.refresh_digest().await;
        }
        if in_force.changed().await.is_err() {
            return;
        }
    }
}

async fn couple_members(context: Arc<Context>, committer: committer::Handle) {
    let mut readings = context.members.clone();
    while readings.changed().await.is_ok() {
        let reading = readings.borrow_and_update().clone();
        let live = reading
            .list
            .instances
            .iter()
            .filter(|one| one.state == State::Live);
        let live: Vec<_> = live.map(|instance| instance.name.clone()).collect();
        let count = live.len().max(1);
        context
            .contact
            .listed(u32::try_from(count).unwrap_or(u32::MAX));
        committer.set_rate(writers::rate(&context.settings.instance.name, &live));
        let members = Members {
            version: reading.list.version,
            live: live.into(),
        };
        context
            .decider
            .members(members, reading.begun, reading.ended)
            .await;
    }
}

async fn couple_scores(context: Arc<Context>, mut scores: mpsc::Receiver<rating::Score>) {
    while let Some(score) = scores.recv().await {
        context
            .recorder
            .event(Kind::Rated)
            .request(score.request)
            .number("score", score.score)
            .record();
        let rated = Rated {
            service: score.service,
            version: score.version,
            escalated: false,
            score: score.score,
        };
        context.decider.rated(rated).await;
    }
}

/// Tells the decider whether ratings come, so that no answer is held back for one in vain.
async fn couple_ratings(context: Arc<Context>) {
    let Some(rating) = &context.rating else {
        return;
    };
    let mut out = false;
    loop {
        tokio::time::sleep(RATING_PERIOD).await;
        if rating.is_out() != out {
            out = rating.is_out();
            context.decider.ratings_out(out).await;
        }
    }
}

//! Puts the tasks of an instance together.

use crate::clock::Clock;
use crate::contact::Tracker;
use crate::context::{Context, Told};
use crate::core::Core;
use crate::decider::{self, Knowledge};
use crate::links::Links;
use crate::replica::Fellows;
use crate::writers::Writers;
use crate::{configuration, digest, members};
use adoption::Step;
use anyhow::{Context as _, Result, ensure};
use arc_swap::ArcSwap;
use claims::window::Window;
use entity::unit::Share;
use entity::{Generation, Span, name};
use journal::{claimer, committer, usage};
use quality::Verdict;
use rand::Rng;
use routing::Bounds;
use routing::allowance::Bound;
use session::Signer;
use settings::{Settings, Sink};
use std::sync::Arc;
use timeline::{Kind, Metric, Recorder};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Longest wait for the rating of an answer that is held back.
const RATING_LIMIT: Span = Span::from_secs(2);
/// How long callers' clocks may be ahead of the log's.
const KEY_SKEW: Span = Span::from_secs(60);
/// How long a claim is awaited at most.
const CLAIM_PATIENCE: Span = Span::from_secs(3);
/// When callers come back while the log is out.
const LOG_WAIT: Span = Span::from_secs(5);
/// Scores that may wait.
const SCORES: usize = 256;
/// Reads of the instance list within the time that an instance goes by one of them.
const READS_FRESH: u64 = 3;

/// The bound on repeats of services whose upstreams agreed on none: that of the retry budget.
const REPEATS: Bound = Bound {
    share: 0.1,
    window: Span::from_secs(10),
    burst: 5,
};

/// Channels between tasks, made before the tasks.
pub struct Wiring {
    /// Verdicts that were reached here.
    pub verdicts: mpsc::UnboundedReceiver<Verdict>,
    /// Scores of answers rated in the background.
    pub scores: mpsc::Receiver<rating::Score>,
    /// Makes the gossip task begin a round.
    pub wake: mpsc::Sender<Option<name::Instance>>,
    /// The other end of it.
    pub woken: mpsc::Receiver<Option<name::Instance>>,
    /// Appends of this instance.
    pub committer: committer::Handle,
    /// The log.
    pub log: logs::Client,
}

/// Bounds of the slot protocol. A list that is read rarely has to be gone by for longer, so that
/// settings of the list are the same at all instances.
fn bounds(settings: &Settings) -> Bounds {
    let reads = Span::from_micros(READS_FRESH * settings.instances.poll.as_micros());
    let default = Bounds::default();
    Bounds {
        lag: settings.instances.lag,
        max_list_age: default.max_list_age.max(reads),
        ..default
    }
}

/// Starts the tasks that the context holds handles of.
///
/// # Errors
///
/// The time line or the metrics can't be opened, or the settings don't fit together.
pub fn assemble(
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
    let observed = (clock, recorder, metric);
    let in_force = configuration.in_force.clone();
    let core = Core::new(observed, in_force, decider, bounds(&settings).slack);
    let context = Arc::new(Context {
        core,
        contact,
        configuration,
        members,
        links,
        claims,
        usage,
        committer: committer.clone(),
        rating,
        scores,
        pool: upstream::Pool::new(),
        signer: Signer::new(own.secret.as_bytes()),
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
        repeats: REPEATS,
        session_gap: Span::ZERO,
        exposure: Share::NONE,
        restarted: true,
    };
    decider::spawn(parts, stopping.clone())
}

//! Assembles the tasks of an instance.

use crate::clock::Clock;
use crate::contact::Tracker;
use crate::context::{Announcement, Context};
use crate::core::Core;
use crate::decider::{self, DigestContent};
use crate::links::Links;
use crate::replica::Peers;
use crate::writers::Writers;
use crate::{build, configuration, digest, members};
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
use routing::completion::Basis;
use session::Signer;
use settings::{Settings, Sink};
use std::sync::Arc;
use timeline::{Kind, Metrics, Recorder};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Longest time for which an answer is held back for its rating.
const RATING_TIMEOUT: Span = Span::from_secs(2);
/// Largest lead of callers' clocks over the clock of the log.
const MAX_CALLER_CLOCK_LEAD: Span = Span::from_secs(60);
/// Longest wait for the outcome of a claim.
const CLAIM_TIMEOUT: Span = Span::from_secs(3);
/// Delay after which callers may retry while the log is unavailable.
const LOG_OUTAGE_RETRY_AFTER: Span = Span::from_secs(5);
/// Capacity of the channel for scores of answers, in scores.
const SCORE_CAPACITY: usize = 256;
/// Number of reads of the instance list within the time that one of them counts as fresh.
const READS_PER_FRESHNESS: u64 = 3;

/// Bound on repeats of services whose upstreams agreed on none; equal to the retry budget.
const DEFAULT_REPEAT_BOUND: Bound = Bound {
    share: 0.1,
    window: Span::from_secs(10),
    burst: 5,
};

/// Channels and handles that connect the tasks, created before the tasks.
pub struct Wiring {
    /// Verdicts that this instance reached.
    pub verdicts: mpsc::UnboundedReceiver<Verdict>,
    /// Scores of answers rated in the background.
    pub scores: mpsc::Receiver<rating::Score>,
    /// Sender that makes the gossip task begin a round.
    pub wake: mpsc::Sender<Option<name::Instance>>,
    /// Receiver of the gossip task for `wake`.
    pub woken: mpsc::Receiver<Option<name::Instance>>,
    /// Handle of the task that commits appends of this instance.
    pub committer: committer::Handle,
    /// Client of the log.
    pub log: logs::Client,
}

/// Returns the bounds of the slot protocol. An instance list that is read rarely has to count as
/// fresh for longer, which is why all instances need the same settings of the list.
fn bounds(settings: &Settings) -> Bounds {
    let reads = Span::from_micros(READS_PER_FRESHNESS * settings.instances.poll.as_micros());
    let default = Bounds::default();
    Bounds {
        lag: settings.instances.lag,
        max_list_age: default.max_list_age.max(reads),
        ..default
    }
}

/// Starts the tasks whose handles the context holds.
///
/// # Errors
///
/// The event log or the metrics can't be opened, or the settings don't fit together.
pub fn assemble(
    settings: Settings,
    stopping: &CancellationToken,
) -> Result<(Arc<Context>, Arc<Peers>, Wiring)> {
    let own = settings.instance.clone();
    let recorder = open_recorder(&settings)?;
    let metric = Metrics::open(&own.name, settings.statsd).context("metrics")?;
    metric.set_build(build::VERSION, build::COMMIT);
    let clock = Clock::start();
    let contact = Arc::new(Tracker::new(clock, settings.limits.isolation));
    let log = logs::Client::new(settings.log.address, settings.log.timeout);
    let configuration = follow_configuration(&settings, &log, clock, &contact, &recorder, stopping);
    let list = instances::Client::new(settings.instances.address, settings.instances.poll);
    let members = members::spawn(list, settings.instances.poll, clock, stopping.clone());
    let (reached, verdicts) = mpsc::unbounded_channel();
    let decider = spawn_decider(&settings, clock, reached, stopping);
    let secret = peer::Secret::new(own.secret.as_bytes());
    let links = Arc::new(Links::new(secret, stopping.clone()));
    let peers = Arc::new(Peers {
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
        peers.clone(),
        own.zone.clone(),
        usage::Policy::default(),
        stopping.clone(),
    );
    let claims = open_claims(&settings, &log, &committer, stopping)?;
    let (scores, scored) = mpsc::channel(SCORE_CAPACITY);
    let rating = settings
        .rating
        .map(|address| rating::Client::open(address, RATING_TIMEOUT, stopping.clone()));
    let content = DigestContent::default();
    let digest = digest::encode(&own.name, &own.zone, Generation(0), &content, clock);
    let announcement = ArcSwap::from_pointee(Announcement {
        digest,
        verdicts: Vec::new(),
        braked: Vec::new(),
    });
    let observed = (clock, recorder, Arc::new(metric));
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
        loads_requested: Arc::default(),
        announcement,
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
    Ok((context, peers, wiring))
}

fn open_recorder(settings: &Settings) -> Result<Recorder> {
    let sink = match &settings.timeline {
        Sink::Stderr => timeline::Sink::Writer(Box::new(std::io::stderr())),
        Sink::File(path) => timeline::Sink::File(path.clone()),
    };
    Recorder::open(&settings.instance.name, sink).context("event log")
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
    // A key expires before the retention of the log ends, by more than the clocks may differ.
    let margin = Span::from_micros(2 * MAX_CALLER_CLOCK_LEAD.as_micros());
    let retention = settings.log.retention;
    ensure!(
        margin < retention,
        "[log] retention = {retention} is too short: claims on keys need more than {margin}"
    );
    let policy = claimer::Policy {
        window: Window::new(retention, margin, MAX_CALLER_CLOCK_LEAD),
        claim_timeout: CLAIM_TIMEOUT,
        retry_after: LOG_OUTAGE_RETRY_AFTER,
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
        on_step: Box::new(move |step| record_step(&recorder, step)),
    };
    configuration::spawn(parts, stopping.clone())
}

fn record_step(recorder: &Recorder, step: &Step) {
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
                .text("failure", "conflicting configurations for one generation")
                .record();
        }
        Step::Restarted { first } => {
            let draft = recorder.event(Kind::Outage).count("first", first.0);
            draft
                .text(
                    "failure",
                    "configuration records expired before they were read",
                )
                .record();
        }
        Step::Malformed { offset } => {
            let draft = recorder.event(Kind::Rejected).count("offset", offset.0);
            draft.text("failure", "malformed record").record();
        }
        // The configuration in force is recorded when it changes, whatever its source.
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
        incarnation: format!("{}/{seed:016x}", own.name).into(),
        bounds: bounds(settings),
        queue: settings.limits.queue as usize,
        seed,
        clock,
        verdicts: reached,
        repeats: DEFAULT_REPEAT_BOUND,
        exposure: Share::NONE,
        restarted: true,
        basis: Basis::Prompt,
    };
    decider::spawn(parts, stopping.clone())
}

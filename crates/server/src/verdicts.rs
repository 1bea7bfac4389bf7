//! Verdicts on rollouts: appended to the log, announced to peers, and received from both.

use crate::context::Context;
use crate::decider::Update;
use entity::{Offset, Span};
use journal::{committer, follower};
use quality::Verdict;
use rand::RngExt;
use std::sync::Arc;
use timeline::Kind;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Stream of the log that holds verdicts.
pub const STREAM: &str = "verdicts";
/// Number of times that known verdicts are appended again within the retention of the log.
const APPENDS_PER_RETENTION: u64 = 4;

/// The dependencies of the tasks.
pub struct Parts {
    /// Shared state of the instance.
    pub context: Arc<Context>,
    /// Client of the log.
    pub log: logs::Client,
    /// Handle of the task that commits appends of this instance.
    pub committer: committer::Handle,
    /// Verdicts that this instance reached.
    pub reached: mpsc::UnboundedReceiver<Verdict>,
    /// Sender that makes the gossip task begin a round.
    pub wake: mpsc::Sender<Option<entity::name::Instance>>,
}

/// Starts the tasks.
pub fn spawn(parts: Parts, cancel: &CancellationToken) {
    let Parts {
        context,
        log,
        committer,
        reached,
        wake,
    } = parts;
    let follower = follower::spawn(log, STREAM.into(), Offset(1), cancel);
    tokio::spawn(follow(context.clone(), follower));
    tokio::spawn(cancel.clone().run_until_cancelled_owned(publish(
        context.clone(),
        committer.clone(),
        reached,
        wake,
    )));
    tokio::spawn(
        cancel
            .clone()
            .run_until_cancelled_owned(reappend(context, committer)),
    );
}

/// Applies the verdicts on the log. Peers announce verdicts too, so that a gap in the log loses
/// none.
async fn follow(context: Arc<Context>, mut follower: follower::Follower) {
    while let Some(event) = follower.next().await {
        let (follower::Event::Records(page) | follower::Event::Gap { page, .. }) = event else {
            continue;
        };
        let mut verdicts = Vec::new();
        for record in &page.records {
            // A record of another release is skipped; instances of that release read it.
            let Ok(batch) = serde_json::from_slice::<Vec<Verdict>>(record.data()) else {
                continue;
            };
            verdicts.extend(batch);
        }
        context
            .core
            .decider
            .apply_update(Update {
                verdicts,
                ..Update::default()
            })
            .await;
        context.refresh_digest().await;
    }
}

/// Publishes the verdicts that this instance reaches: to peers at once, and to the log as soon as
/// it accepts them.
async fn publish(
    context: Arc<Context>,
    committer: committer::Handle,
    mut reached: mpsc::UnboundedReceiver<Verdict>,
    wake: mpsc::Sender<Option<entity::name::Instance>>,
) {
    while let Some(verdict) = reached.recv().await {
        let record = verdict.to_record();
        let text = String::from_utf8_lossy(&record).into_owned();
        context
            .core
            .recorder
            .event(Kind::Judged)
            .text("verdict", text)
            .record();
        context.refresh_digest().await;
        let _ = wake.try_send(None);
        let committer = committer.clone();
        tokio::spawn(async move { committer.append(STREAM, record.into()).await });
    }
}

/// Appends the known verdicts again before they expire, so that a new instance can read them from
/// the log alone. With `n` instances, a verdict is appended about `n` times in a quarter of the
/// retention, which is days.
async fn reappend(context: Arc<Context>, committer: committer::Handle) {
    let period = context.settings.log.retention.as_micros() / APPENDS_PER_RETENTION;
    loop {
        let jitter = rand::rng().random_range(0.5..1.0);
        let pause = Span::from_micros((period as f64 * jitter) as u64);
        tokio::time::sleep(pause.duration()).await;
        for verdict in context.verdicts() {
            let _ = committer.append(STREAM, verdict.to_record().into()).await;
        }
    }
}

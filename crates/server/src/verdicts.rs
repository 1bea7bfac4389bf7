//! Verdicts on roll-outs: appended to the log, told to fellows, and read from both.

use crate::context::Context;
use crate::decider::News;
use entity::{Offset, Span};
use journal::{committer, follower};
use quality::Verdict;
use rand::RngExt;
use std::sync::Arc;
use timeline::Kind;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// The stream that holds verdicts.
pub const STREAM: &str = "verdicts";
/// Verdicts are written again this many times within the log's retention.
const REPEATS_PER_RETENTION: u64 = 4;

/// What the tasks need.
pub struct Parts {
    /// What the instance shares.
    pub context: Arc<Context>,
    /// The log.
    pub log: logs::Client,
    /// Appends for this instance.
    pub committer: committer::Handle,
    /// Verdicts that were reached here.
    pub reached: mpsc::UnboundedReceiver<Verdict>,
    /// Makes the gossip task begin a round.
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
    tokio::spawn(cancel.clone().run_until_cancelled_owned(tell(
        context.clone(),
        committer.clone(),
        reached,
        wake,
    )));
    tokio::spawn(
        cancel
            .clone()
            .run_until_cancelled_owned(repeat(context, committer)),
    );
}

/// Takes in what the log holds. Verdicts are told by fellows too, so that a gap is no loss.
async fn follow(context: Arc<Context>, mut follower: follower::Follower) {
    while let Some(event) = follower.next().await {
        let (follower::Event::Records(page) | follower::Event::Gap { page, .. }) = event else {
            continue;
        };
        let mut verdicts = Vec::new();
        for record in &page.records {
            // A record of another release is left to instances that can read it.
            let Ok(batch) = serde_json::from_slice::<Vec<Verdict>>(record.data()) else {
                continue;
            };
            verdicts.extend(batch);
        }
        context
            .core
            .decider
            .news(News {
                verdicts,
                ..News::default()
            })
            .await;
        context.refresh_digest().await;
    }
}

/// Passes on what was reached here: to fellows at once, and to the log as soon as it takes it.
async fn tell(
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

/// Writes the known verdicts again before they expire, so that a fresh instance learns them from
/// the log alone. With `n` instances a verdict is written about `n` times in a quarter of the
/// retention, which is days.
async fn repeat(context: Arc<Context>, committer: committer::Handle) {
    let period = context.settings.log.retention.as_micros() / REPEATS_PER_RETENTION;
    loop {
        let jitter = rand::rng().random_range(0.5..1.0);
        let pause = Span::from_micros((period as f64 * jitter) as u64);
        tokio::time::sleep(pause.duration()).await;
        for verdict in context.verdicts() {
            let _ = committer.append(STREAM, verdict.to_record().into()).await;
        }
    }
}

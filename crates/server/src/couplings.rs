//! Tasks that forward the updates of one part of an instance to the parts that need them.

use crate::context::Context;
use crate::decider::RatedAnswer;
use crate::{reserves, writers};
use instances::State;
use journal::committer;
use routing::Members;
use std::sync::Arc;
use std::time::Duration;
use timeline::Kind;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Interval of the checks whether the rating service is out.
const RATING_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the tasks that forward updates.
pub fn spawn(
    context: &Arc<Context>,
    committer: committer::Handle,
    scores: mpsc::Receiver<rating::Score>,
    stopping: &CancellationToken,
) {
    let run = |task| tokio::spawn(stopping.clone().run_until_cancelled_owned(task));
    run(Box::pin(forward_configuration(context.clone())) as Task);
    run(Box::pin(forward_members(context.clone(), committer)) as Task);
    run(Box::pin(forward_scores(context.clone(), scores)) as Task);
    run(Box::pin(reserves::report(context.clone())) as Task);
    run(Box::pin(forward_rating_outages(context.clone())) as Task);
}

type Task = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;

async fn forward_configuration(context: Arc<Context>) {
    let mut in_force = context.configuration.in_force.clone();
    loop {
        let snapshot = in_force.borrow_and_update().clone();
        if let Some(snapshot) = snapshot {
            let draft = context.core.recorder.event(Kind::Adopted);
            draft
                .count("generation", snapshot.generation.0)
                .text("author", &snapshot.author)
                .record();
            context.core.decider.configure(snapshot).await;
            context.refresh_digest().await;
        }
        if in_force.changed().await.is_err() {
            return;
        }
    }
}

async fn forward_members(context: Arc<Context>, committer: committer::Handle) {
    let mut readings = context.members.clone();
    while readings.changed().await.is_ok() {
        let reading = readings.borrow_and_update().clone();
        let live = reading
            .list
            .instances
            .iter()
            .filter(|instance| instance.state == State::Live);
        let live: Vec<_> = live.map(|instance| instance.name.clone()).collect();
        let count = live.len().max(1);
        context
            .contact
            .set_listed(u32::try_from(count).unwrap_or(u32::MAX));
        committer.set_rate(writers::rate(&context.settings.instance.name, &live));
        let members = Members {
            version: reading.list.version,
            live: live.into(),
        };
        context
            .core
            .decider
            .set_members(members, reading.begun, reading.ended)
            .await;
    }
}

async fn forward_scores(context: Arc<Context>, mut scores: mpsc::Receiver<rating::Score>) {
    while let Some(score) = scores.recv().await {
        context
            .core
            .recorder
            .event(Kind::Rated)
            .request(score.request)
            .number("score", score.score)
            .record();
        let rated = RatedAnswer {
            service: score.service,
            version: score.version,
            escalated: false,
            score: score.score,
        };
        context.core.decider.record_rating(rated).await;
    }
}

/// Reports outages of the rating service to the decider, so that no answer is held back for a
/// rating that will not arrive.
async fn forward_rating_outages(context: Arc<Context>) {
    let Some(rating) = &context.rating else {
        return;
    };
    let mut out = false;
    loop {
        tokio::time::sleep(RATING_CHECK_INTERVAL).await;
        if rating.is_unavailable() != out {
            out = rating.is_unavailable();
            context.core.decider.set_rating_outage(out).await;
        }
    }
}

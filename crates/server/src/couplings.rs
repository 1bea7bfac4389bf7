//! Tasks that pass on what one part of an instance learns to those that need it.

use crate::context::Context;
use crate::decider::Rated;
use crate::{reserves, writers};
use instances::State;
use journal::committer;
use routing::Members;
use std::sync::Arc;
use std::time::Duration;
use timeline::Kind;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Time between two looks at whether the rating service is out.
const RATING_PERIOD: Duration = Duration::from_millis(500);

/// Passes on what one task learns to those that need it.
pub fn spawn(
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
            .core
            .decider
            .members(members, reading.begun, reading.ended)
            .await;
    }
}

async fn couple_scores(context: Arc<Context>, mut scores: mpsc::Receiver<rating::Score>) {
    while let Some(score) = scores.recv().await {
        context
            .core
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
        context.core.decider.rated(rated).await;
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
            context.core.decider.ratings_out(out).await;
        }
    }
}

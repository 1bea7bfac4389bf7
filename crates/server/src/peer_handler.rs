//! Answers the messages of peers.

use crate::assignments::Assignments;
use crate::context::Context;
use crate::decider::Update;
use crate::{digest, gossip, writers};
use adoption::FORMAT;
use billing::usage::Record;
use entity::{Generation, name};
use peer::Handler;
use peer::message::{
    self, Append, Appended, Assigned, Body, Digest, Done, Evidence, Hold, Orphan, Refusal, Text,
    Verdicts,
};
use quality::Verdict;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Longest time for appending a peer's batch; shorter than the time that the peer waits for an
/// answer.
const APPEND_TIMEOUT: Duration = Duration::from_millis(600);

/// Handler of peers' messages.
pub struct PeerHandler {
    context: Arc<Context>,
    assignments: Assignments,
    wake: mpsc::Sender<Option<name::Instance>>,
}

fn done(count: usize) -> Body {
    Body::Done(Done::new(count as i32))
}

/// Decodes records; those that another release of the router wrote in an unknown form are left out.
fn read_all<T: DeserializeOwned>(records: &[Vec<u8>]) -> Vec<T> {
    let read = records.iter().map(|record| serde_json::from_slice(record));
    read.filter_map(Result::ok).collect()
}

fn refusal(reason: &str) -> Body {
    Body::Refusal(Refusal::new(reason.to_owned()))
}

impl PeerHandler {
    /// Creates the handler. A name sent on `wake` makes the gossip task exchange digests with that
    /// peer.
    pub fn new(context: Arc<Context>, wake: mpsc::Sender<Option<name::Instance>>) -> Self {
        Self {
            context,
            assignments: Assignments::default(),
            wake,
        }
    }

    /// Spawns work that must not delay the answer.
    fn spawn_work(&self, work: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(work);
    }

    fn digest(&self, theirs: &Digest) -> Body {
        let own = self.context.digest();
        let Some(received) = digest::decode(theirs, self.context.core.clock.now()) else {
            return refusal("not a digest");
        };
        let behind = received.generation > self.context.generation();
        if behind {
            // The peer has a newer configuration: it is asked for it in return.
            let _ = self.wake.try_send(Some(received.instance.clone()));
        }
        let context = self.context.clone();
        self.spawn_work(async move { context.apply_digest(received).await });
        Body::Digest(own)
    }

    fn text(&self, newer_than: i64) -> Body {
        let snapshot = self.context.snapshot();
        let newer_than = Generation(newer_than.max(0) as u64);
        match snapshot.filter(|snapshot| snapshot.generation > newer_than) {
            None => done(0),
            Some(snapshot) => Body::Text(Text::new(
                snapshot.generation.0 as i64,
                FORMAT as i32,
                snapshot.author.to_string(),
                snapshot.text.to_string(),
            )),
        }
    }

    fn verdicts(&self, theirs: &Verdicts) -> Body {
        let update = gossip::decode_verdicts(theirs);
        let context = self.context.clone();
        self.spawn_work(async move {
            context.core.decider.apply_update(update).await;
            context.refresh_digest().await;
        });
        let records = self
            .context
            .verdicts()
            .iter()
            .map(Verdict::to_record)
            .collect();
        Body::Verdicts(Verdicts::new(records))
    }

    fn evidence(&self, evidence: &Evidence) -> Body {
        let summaries: Vec<_> = read_all(&evidence.summaries);
        let totals: Vec<_> = read_all(&evidence.totals);
        let count = summaries.len() + totals.len();
        let update = Update {
            summaries,
            totals,
            ..Update::default()
        };
        let context = self.context.clone();
        self.spawn_work(async move { context.core.decider.apply_update(update).await });
        done(count)
    }
}

impl PeerHandler {
    /// Appends a batch for a peer. An append that takes too long is abandoned, so that the retries
    /// of its sender don't fill the queue during an outage; the batch may be on the log
    /// nevertheless.
    async fn append(&self, append: Append) -> Body {
        let Some(entries) = writers::entries(append.batch) else {
            return refusal("not a batch");
        };
        let appended = self.context.committer.append(&append.stream, entries);
        match tokio::time::timeout(APPEND_TIMEOUT, appended).await {
            Ok(Ok(offset)) => Body::Appended(Appended::new(offset.0 as i64)),
            Ok(Err(_)) | Err(_) => refusal("not appended in time"),
        }
    }

    /// Stores usage records for a peer, either all of them or none.
    async fn hold(&self, hold: &Hold) -> Body {
        let Some(owner) = hold.records.first().map(|held| held.owner.as_str()) else {
            return done(0);
        };
        let Ok(owner) = owner.parse() else {
            return refusal("not the name of an instance");
        };
        let mut records = Vec::new();
        for held in &hold.records {
            let Ok(record) = serde_json::from_slice::<Record>(&held.record) else {
                return refusal("not a usage record of this release");
            };
            records.push(record);
        }
        let count = records.len();
        match self.context.usage.hold(owner, records).await {
            Ok(()) => done(count),
            Err(error) => refusal(&error.to_string()),
        }
    }

    async fn drop_held(&self, drop: &message::Drop) -> Body {
        let requests = drop
            .requests
            .iter()
            .filter_map(|request| request.parse().ok());
        let requests: Vec<_> = requests.collect();
        let count = requests.len();
        match self.context.usage.drop_held(requests).await {
            Ok(()) => done(count),
            Err(error) => refusal(&error.to_string()),
        }
    }

    async fn orphan(&self, orphan: &Orphan) -> Body {
        let Ok(owner) = orphan.owner.parse() else {
            return refusal("not the name of an instance");
        };
        match self.context.usage.orphan(owner).await {
            Ok(()) => done(0),
            Err(error) => refusal(&error.to_string()),
        }
    }
}

impl Handler for PeerHandler {
    async fn answer(&self, body: Body) -> Body {
        match body {
            Body::Digest(digest) => self.digest(&digest),
            Body::Pull(pull) => self.text(pull.newer_than),
            Body::Verdicts(verdicts) => self.verdicts(&verdicts),
            Body::Evidence(evidence) => self.evidence(&evidence),
            Body::Assign(assign) => {
                let version = self
                    .assignments
                    .assign(&assign, self.context.core.clock.now());
                Body::Assigned(Assigned::new(version.into_string()))
            }
            Body::Hold(hold) => self.hold(&hold).await,
            Body::Drop(drop) => self.drop_held(&drop).await,
            Body::Orphan(orphan) => self.orphan(&orphan).await,
            Body::Append(append) => self.append(append).await,
            Body::Appended(_)
            | Body::Text(_)
            | Body::Done(_)
            | Body::Refusal(_)
            | Body::Assigned(_) => refusal("not a question"),
        }
    }
}

//! What this instance answers its fellows.

use crate::assignments::Assignments;
use crate::context::Context;
use crate::decider::Update;
use crate::{digest, gossip, writers};
use adoption::FORMAT;
use billing::usage::Record;
use entity::{Generation, name};
use fellow::Handler;
use fellow::message::{
    self, Append, Appended, Assigned, Body, Digest, Done, Evidence, Hold, Orphan, Refusal, Text,
    Verdicts,
};
use quality::Verdict;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Longest time for an append for a fellow; below the time that it waits for an answer.
const APPEND_LIMIT: Duration = Duration::from_millis(600);

/// Answers fellows.
pub struct Answers {
    context: Arc<Context>,
    assignments: Assignments,
    wake: mpsc::Sender<Option<name::Instance>>,
}

fn done(count: usize) -> Body {
    Body::Done(Done::new(count as i32))
}

/// Records that can be read; those of another release are left out.
fn read_all<T: DeserializeOwned>(records: &[Vec<u8>]) -> Vec<T> {
    let read = records.iter().map(|record| serde_json::from_slice(record));
    read.filter_map(Result::ok).collect()
}

fn refusal(reason: &str) -> Body {
    Body::Refusal(Refusal::new(reason.to_owned()))
}

impl Answers {
    /// Answers with what the context knows; `wake` makes the gossip task ask a fellow back.
    pub fn new(context: Arc<Context>, wake: mpsc::Sender<Option<name::Instance>>) -> Self {
        Self {
            context,
            assignments: Assignments::default(),
            wake,
        }
    }

    /// Does something that waits, after the answer was given.
    fn later(&self, work: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(work);
    }

    fn digest(&self, theirs: &Digest) -> Body {
        let own = self.context.digest();
        let Some(heard) = digest::read(theirs, self.context.core.clock.now()) else {
            return refusal("not a digest");
        };
        let behind = heard.generation > self.context.generation();
        if behind {
            // The asker has what is newer: it is asked in return.
            let _ = self.wake.try_send(Some(heard.instance.clone()));
        }
        let context = self.context.clone();
        self.later(async move { context.apply_digest(heard).await });
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
        let update = gossip::read_verdicts(theirs);
        let context = self.context.clone();
        self.later(async move {
            context.core.decider.update(update).await;
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
        self.later(async move { context.core.decider.update(update).await });
        done(count)
    }
}

impl Answers {
    /// Appends a batch for a fellow. One that takes too long is given up, so that its sender, which
    /// tries again, does not fill the queue in an outage; it may be on the log all the same.
    async fn append(&self, append: Append) -> Body {
        let Some(entries) = writers::entries(append.batch) else {
            return refusal("not a batch");
        };
        let appended = self.context.committer.append(&append.stream, entries);
        match tokio::time::timeout(APPEND_LIMIT, appended).await {
            Ok(Ok(offset)) => Body::Appended(Appended::new(offset.0 as i64)),
            Ok(Err(_)) | Err(_) => refusal("not appended in time"),
        }
    }

    /// Holds records, all of them or none.
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

impl Handler for Answers {
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

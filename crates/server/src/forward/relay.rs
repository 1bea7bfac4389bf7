//! A stream on its way from an upstream to a caller.

use crate::forward::open::{Begun, Opened};
use crate::forward::run::Run;
use crate::tries::{self, History, Accepted};
use bytes::Bytes;
use caller::forward::Piece;
use config::forward::Repeat;
use entity::{Span, name};
use routing::{Choice, Outcome};
use std::sync::Arc;
use std::time::Duration;
use timeline::{Counter, Kind};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use upstream::{Failure, Reason};

/// Passes a stream on, and goes on with it at another upstream where it breaks off.
pub struct Relay {
    /// The request.
    pub run: Arc<Run>,
    /// When the whole answer is due.
    pub end: Instant,
    /// Whether the stream can be resumed.
    pub repeat: Repeat,
    /// The model that answers, where the router picked it.
    pub model: Option<name::Model>,
    /// What became of the tries so far.
    pub history: History,
    /// The last whole event that was passed on.
    pub last: Option<u64>,
    /// Longest silence of an upstream within its answer.
    pub stall: Duration,
    /// Goes to the caller.
    pub pieces: mpsc::Sender<Piece>,
}

/// How the stream of one upstream ended.
enum Ended {
    /// All of it was passed on.
    Whole,
    /// The caller has gone, or the answer is due.
    Given,
    /// It broke off.
    Broken(Failure),
}

impl Relay {
    /// Passes the stream on to its end.
    pub async fn run(mut self, begun: Begun, choice: Choice) {
        let (mut begun, mut choice) = (begun, choice);
        loop {
            let ended = self.pass_on(&mut begun).await;
            let core = &self.run.shared.core;
            let outcome = match &ended {
                Ended::Whole => Outcome::Done { first_token: None },
                Ended::Given => Outcome::Cancelled,
                Ended::Broken(_) => Outcome::Failed,
            };
            let upstream = choice.upstream.clone();
            core.decider.finish(choice, outcome).await;
            let failure = match ended {
                Ended::Whole => {
                    core.recorder
                        .event(Kind::Answered)
                        .request(self.run.id)
                        .text("upstream", &upstream)
                        .count("events", self.last.unwrap_or_default())
                        .text("took", Span::from(self.run.arrival.at.elapsed()))
                        .record();
                    begun.answered.finish();
                    // A caller that has gone by now needs no end.
                    let _ = self.pieces.send(Piece::End).await;
                    return;
                }
                Ended::Given => {
                    core.recorder
                        .event(Kind::Cancelled)
                        .request(self.run.id)
                        .record();
                    return;
                }
                Ended::Broken(failure) => failure,
            };
            core.recorder
                .event(Kind::Failed)
                .request(self.run.id)
                .text("upstream", &upstream)
                .text("failure", &failure)
                .count("event", self.last.unwrap_or_default())
                .record();
            self.history.count_broken(upstream);
            drop(begun);
            let Some(next) = self.resume().await else {
                // The channel closes without an end, which breaks the caller's connection off.
                return;
            };
            (begun, choice) = next;
        }
    }

    async fn pass_on(&mut self, begun: &mut Begun) -> Ended {
        if let Err(ended) = self.send(std::mem::take(&mut begun.first)).await {
            return ended;
        }
        self.last = begun.splitter.last().or(self.last);
        while !begun.ended {
            let piece = tokio::select! {
                piece = begun.answered.next() => piece,
                () = tokio::time::sleep(self.stall) => Err(Failure::maybe(Reason::Timeout)),
                () = self.pieces.closed() => return Ended::Given,
                () = tokio::time::sleep_until(self.end) => return Ended::Given,
            };
            let whole = match piece {
                Err(failure) => return Ended::Broken(failure),
                Ok(None) => {
                    begun.ended = true;
                    continue;
                }
                Ok(Some(bytes)) => begun.splitter.push(&bytes),
            };
            let Some(whole) = whole else {
                continue;
            };
            if let Err(ended) = self.send(whole).await {
                return ended;
            }
            self.last = begun.splitter.last().or(self.last);
        }
        if begun.splitter.is_empty() {
            Ended::Whole
        } else {
            Ended::Broken(Failure::maybe(Reason::Early))
        }
    }

    async fn send(&self, bytes: Bytes) -> Result<(), Ended> {
        if bytes.is_empty() {
            return Ok(());
        }
        let sent = tokio::time::timeout_at(self.end, self.pieces.send(Piece::Data(bytes))).await;
        match sent {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Ended::Given),
        }
    }

    /// The rest of the stream from another upstream; none where there can't be one.
    async fn resume(&mut self) -> Option<(Begun, Choice)> {
        if self.repeat != Repeat::Resumable {
            return None;
        }
        let run = self.run.clone();
        let pieces = self.pieces.clone();
        let resolved = run.resolve_again().await?;
        let mut open = run.open(&resolved, self.model.as_ref());
        open.last_event = self.last;
        let gone = CancellationToken::new();
        let mut job = run.job(&resolved, self.model.as_ref());
        job.gone = gone.clone();
        let core = &run.shared.core;
        // A caller that leaves cancels the tries, which give their choice back; they are not dropped.
        let watch = async {
            pieces.closed().await;
            gone.cancel();
            std::future::pending().await
        };
        let resumed = tokio::select! {
            resumed = tries::resume(core, &job, &mut self.history, &open) => resumed,
            never = watch => never,
        };
        let Accepted { value, choice, .. } = resumed.ok()?;
        let Opened::Stream(begun) = value else {
            core.decider.finish(choice, Outcome::Cancelled).await;
            return None;
        };
        core.metric.count(Counter::Retries);
        Some((*begun, choice))
    }
}

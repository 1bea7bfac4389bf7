//! Relays a stream from an upstream to the caller.

use crate::forward::aftermath;
use crate::forward::dispatcher::{Answer, OpenStream};
use crate::forward::holds;
use crate::forward::place::{self, Place, Sought};
use crate::forward::run::{Resolved, Run};
use crate::tries::{self, Accepted, History};
use bytes::Bytes;
use caller::forward::Piece;
use config::forward::Repeat;
use entity::{Moment, Span, name};
use forward::handover::{self, Silence, Step};
use quality::pace::Pace;
use quality::release::AnswerOutcome;
use quality::trial::Measure;
use quarantine::{Extent, Progress};
use routing::{Choice, Outcome};
use std::pin::Pin;
use std::sync::Arc;
use timeline::Kind;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use upstream::{Failure, Reason};

/// Relays a stream, and resumes it at another upstream if it breaks off.
pub struct Relay {
    /// The request.
    pub run: Arc<Run>,
    /// Deadline of the whole answer.
    pub end: Instant,
    /// Repeat policy of the route, which says whether the stream can be resumed.
    pub repeat: Repeat,
    /// Model that answers, if the router chose it.
    pub model: Option<name::Model>,
    /// Results of the tries so far.
    pub history: History,
    /// Id of the last complete event that was sent to the caller.
    pub last_event: Option<u64>,
    /// Time without a whole event after which the stream is handed over to another upstream; none if it
    /// can't be resumed.
    pub patience: Option<Span>,
    /// Kind of the request, of which a trial compares the answers of two releases.
    pub kind: u64,
    /// Sends pieces of the body to the caller.
    pub pieces: mpsc::Sender<Piece>,
}

/// A search for a place at another upstream.
type Seeking = Pin<Box<dyn Future<Output = Sought> + Send>>;

/// The run whose events are relayed.
struct Active {
    stream: OpenStream,
    /// Its upstream; the choice must be finished.
    choice: Choice,
    silence: Silence,
    /// Whether the events before were those of another run.
    is_rest: bool,
}

/// Why the stream of one upstream ended.
enum StreamEnd {
    /// All of it was sent to the caller.
    Whole,
    /// The caller has disconnected, or the deadline has passed.
    Abandoned,
    /// It broke off.
    Broken(Failure),
    /// It is silent, and another upstream has a place for it.
    Silent(Box<Place>),
}

impl Relay {
    /// Relays the stream to its end.
    pub async fn run(mut self, stream: OpenStream, choice: Choice) {
        let mut active = Active {
            stream,
            choice,
            silence: Silence::start(self.patience, self.now()),
            // The rest of a stream that was resumed doesn't tell the length of the whole answer.
            is_rest: self.last_event.is_some(),
        };
        loop {
            let next = match self.forward_pieces(&mut active).await {
                StreamEnd::Whole => return self.finish(active).await,
                StreamEnd::Abandoned => return self.cancel(active.choice).await,
                StreamEnd::Broken(failure) => {
                    self.record_broken(active, &failure).await;
                    self.resume().await
                }
                StreamEnd::Silent(place) => self.hand_over(active, *place).await,
            };
            let Some(next) = next else {
                // The channel closes without an end marker, which aborts the caller's connection.
                self.record("the stream can't be resumed");
                return;
            };
            active = next;
        }
    }

    /// Ends a stream of which the caller was sent everything.
    async fn finish(self, active: Active) {
        let Active {
            stream,
            mut choice,
            is_rest,
            ..
        } = active;
        if !is_rest {
            choice.generated = u32::try_from(stream.splitter.count()).ok();
        }
        let core = &self.run.shared.core;
        let upstream = choice.upstream.clone();
        let outcome = Outcome::Done { first_token: None };
        if !is_rest {
            self.record_sound();
            aftermath::follow(&self.run, &choice, stream.begun, stream.response.watch());
        }
        core.decider.finish(choice, outcome).await;
        core.recorder
            .event(Kind::Answered)
            .request(self.run.id)
            .text("upstream", &upstream)
            .count("events", self.last_event.unwrap_or_default())
            .text("took", Span::from(self.run.arrival.at.elapsed()))
            .record();
        stream.response.finish();
        // The result is ignored, since the caller may have disconnected by now.
        let _ = self.pieces.send(Piece::End).await;
    }

    async fn cancel(&self, choice: Choice) {
        let core = &self.run.shared.core;
        core.decider.finish(choice, Outcome::Cancelled).await;
        let draft = core.recorder.event(Kind::Cancelled);
        draft.request(self.run.id).record();
    }

    /// Records a run that broke off, and counts it.
    async fn record_broken(&mut self, active: Active, failure: &Failure) {
        let Active { stream, choice, .. } = active;
        if failure.is_lost_answer() {
            let progress = Progress::Begun {
                since_head: Span::from(stream.begun.elapsed()),
                delivered: true,
            };
            self.run.record_lost_answer(&choice, progress);
        }
        let upstream = choice.upstream.clone();
        self.record_failed(choice, failure).await;
        self.history.count_broken(upstream);
    }

    async fn record_failed(&self, choice: Choice, failure: &Failure) {
        let core = &self.run.shared.core;
        core.recorder
            .event(Kind::Failed)
            .request(self.run.id)
            .text("upstream", &choice.upstream)
            .text("failure", failure)
            .count("event", self.last_event.unwrap_or_default())
            .record();
        core.decider.finish(choice, Outcome::Failed).await;
    }

    async fn forward_pieces(&mut self, active: &mut Active) -> StreamEnd {
        let Active {
            stream,
            choice,
            silence,
            is_rest,
        } = active;
        if let Err(ended) = self.send(std::mem::take(&mut stream.first)).await {
            return ended;
        }
        self.last_event = stream.splitter.last_event_id().or(self.last_event);
        let mut pace = Pace::start(stream.splitter.count(), self.now());
        let mut seeking: Option<Seeking> = None;
        while !stream.ended {
            let wake = match silence.step(self.now()) {
                Step::Keep => None,
                Step::Wait(until) => Some(until),
                Step::Seek => {
                    seeking.get_or_insert_with(|| Box::pin(self.seek(choice)));
                    None
                }
            };
            let piece = tokio::select! {
                biased;
                piece = stream.response.next() => piece,
                sought = found(&mut seeking) => {
                    seeking = None;
                    match sought {
                        Sought::Found(place) => return StreamEnd::Silent(place),
                        Sought::NoPlace => silence.record_no_place(self.now()),
                        Sought::Last => silence.record_last(),
                    }
                    continue;
                }
                () = self.sleep_until(wake) => continue,
                () = self.pieces.closed() => return StreamEnd::Abandoned,
                () = tokio::time::sleep_until(self.end) => return StreamEnd::Abandoned,
            };
            let events = match piece {
                Err(failure) => return StreamEnd::Broken(failure),
                Ok(None) => {
                    stream.ended = true;
                    continue;
                }
                Ok(Some(bytes)) => stream.splitter.push(&bytes),
            };
            if stream.splitter.is_oversized() {
                return StreamEnd::Broken(Failure::may_have_run(Reason::Malformed));
            }
            // An upstream that is stuck may still send a byte now and then.
            let Some(events) = events else {
                continue;
            };
            // A place that is found later goes back.
            seeking = None;
            let count = stream.splitter.count();
            if let Some(time) = pace.observe(count, self.now()) {
                self.record_pace(choice, time).await;
            }
            if let Err(ended) = self.send(events).await {
                return ended;
            }
            self.last_event = stream.splitter.last_event_id().or(self.last_event);
            silence.record_event(self.now());
            if !*is_rest && !stream.is_sound && holds::is_sound(stream.begun) {
                stream.is_sound = true;
                self.record_sound();
            }
        }
        if let Some(time) = pace.finish() {
            self.record_pace(choice, time).await;
        }
        if stream.splitter.is_empty() {
            StreamEnd::Whole
        } else {
            StreamEnd::Broken(Failure::may_have_run(Reason::Truncated))
        }
    }

    /// Waits until a time; for ever if there is none.
    async fn sleep_until(&self, time: Option<Moment>) {
        match time {
            Some(time) => {
                let time = self.run.shared.core.clock.instant(time);
                tokio::time::sleep_until(time).await;
            }
            None => std::future::pending().await,
        }
    }

    /// Seeks a place at another upstream than that of a choice.
    fn seek(&self, choice: &Choice) -> impl Future<Output = Sought> + Send + 'static {
        let mut history = self.history.clone();
        history.count_broken(choice.upstream.clone());
        place::seek(self.run.clone(), self.model.clone(), history)
    }

    /// Goes on with a silent stream at a place that was found. The silent run is kept until the other upstream
    /// answers, but not for long, and goes on if that one refuses soon.
    async fn hand_over(&mut self, active: Active, place: Place) -> Option<Active> {
        let Place {
            resolved,
            mut history,
            reserved,
        } = place;
        let mut silent = Some(active);
        let next = {
            let attempt = self.attempt(&resolved, &mut history, reserved.take());
            tokio::pin!(attempt);
            let soon = tokio::time::timeout(handover::MAX_OVERLAP.duration(), &mut attempt).await;
            match soon {
                Ok(next) => next,
                Err(_) => {
                    self.end_silent(silent.take()).await;
                    attempt.await
                }
            }
        };
        self.history = history;
        if next.is_some() {
            self.end_silent(silent).await;
            return next;
        }
        let mut silent = silent?;
        silent.silence.record_no_place(self.now());
        Some(silent)
    }

    /// Ends a run that is silent, if it was kept until now.
    async fn end_silent(&self, active: Option<Active>) {
        if let Some(Active { choice, .. }) = active {
            let failure = Failure::may_have_run(Reason::Timeout);
            self.record_failed(choice, &failure).await;
        }
    }

    fn now(&self) -> Moment {
        self.run.shared.core.clock.now()
    }

    /// Records the time between events for the release that answered.
    async fn record_pace(&self, choice: &Choice, time: Span) {
        let (service, Some(version), _) = choice.names() else {
            return;
        };
        let outcome = AnswerOutcome {
            kind: self.kind,
            failed: false,
            time: Some(time),
            measure: Measure::Pace,
        };
        let decider = &self.run.shared.core.decider;
        decider
            .record_answer(service.clone(), version.clone(), outcome)
            .await;
    }

    /// Records that an answer went on from its beginning, so that its request doesn't end upstreams. The rest of
    /// one that broke off may lack what ended the upstream.
    fn record_sound(&self) {
        let shared = &self.run.shared;
        let (subject, extent) = (self.run.subject(), Extent::Begun);
        shared.holds.record_sound(&shared.core, subject, extent);
    }

    async fn send(&self, bytes: Bytes) -> Result<(), StreamEnd> {
        if bytes.is_empty() {
            return Ok(());
        }
        let sent = tokio::time::timeout_at(self.end, self.pieces.send(Piece::Data(bytes))).await;
        match sent {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(StreamEnd::Abandoned),
        }
    }

    /// Opens the rest of a stream that broke off at another upstream; `None` if it can't be resumed.
    async fn resume(&mut self) -> Option<Active> {
        if self.repeat != Repeat::Resumable {
            return None;
        }
        let run = self.run.clone();
        let resolved = run.resolve_again().await?;
        let job = run.job(&resolved, self.model.as_ref());
        if !self.history.can_try(&job) {
            return None;
        }
        let core = &run.shared.core;
        let delay = tries::retry_delay(core, &job, &self.history, true).await;
        if !matches!(delay, Ok(Some(_))) {
            self.record("the stream broke off, and no repeat is left");
            return None;
        }
        let mut history = std::mem::take(&mut self.history);
        let next = self.attempt(&resolved, &mut history, None).await;
        self.history = history;
        next
    }

    /// Opens the rest of the stream, first at the chosen upstream if there is one; `None` if no upstream goes on
    /// with it.
    async fn attempt(
        &self,
        resolved: &Resolved,
        history: &mut History,
        chosen: Option<Choice>,
    ) -> Option<Active> {
        let (run, core) = (&self.run, &self.run.shared.core);
        let mut dispatcher = run.dispatcher(resolved, self.model.as_ref());
        dispatcher.last_event = self.last_event;
        let cancellation = CancellationToken::new();
        let mut job = run.job(resolved, self.model.as_ref());
        job.cancellation = cancellation.clone();
        // A caller that leaves cancels the tries instead of dropping them, so that they return
        // their choice to the decider.
        let watch = async {
            self.pieces.closed().await;
            cancellation.cancel();
            std::future::pending().await
        };
        let resumed = tokio::select! {
            resumed = tries::resume_with(core, &job, history, &dispatcher, chosen) => resumed,
            never = watch => never,
        };
        let Accepted { value, choice, .. } = resumed.ok()?;
        let Answer::Stream(stream) = value else {
            core.decider.finish(choice, Outcome::Cancelled).await;
            return None;
        };
        Some(Active {
            stream: *stream,
            choice,
            silence: Silence::start(self.patience, self.now()),
            is_rest: true,
        })
    }

    /// Records why the stream doesn't go on.
    fn record(&self, why: &str) {
        let core = &self.run.shared.core;
        let draft = core.recorder.event(Kind::Refused).request(self.run.id);
        draft
            .text("why", why)
            .count("event", self.last_event.unwrap_or_default())
            .record();
    }
}

/// Waits for a search, if there is one; for ever if there is none.
async fn found(seeking: &mut Option<Seeking>) -> Sought {
    match seeking {
        Some(seeking) => seeking.await,
        None => std::future::pending().await,
    }
}

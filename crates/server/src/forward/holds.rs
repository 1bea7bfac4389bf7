//! Requests that must not be sent, because they, or a part of their prompts, end the upstreams which
//! run them.

use crate::core::Core;
use caller::Refusal;
use entity::{Moment, Span};
use hyper::StatusCode;
use quarantine::{
    Closing, Closings, Crash, Extent, Hold, Part, Policy, Probe, Progress, Quarantine, Rebuttal,
    SOUND_TIME, Victim,
};
use routing::hash;
use routing::restriction::Incarnation;
use std::sync::{Mutex, MutexGuard, PoisonError};
use timeline::{Counter, EventBuilder, Kind};
use tokio::sync::watch;
use tokio::time::Instant;

/// What is known of parts of prompts and of whole requests, by own requests and by peers.
#[derive(Debug)]
pub struct Holds {
    known: Mutex<Known>,
    /// Number of times that something was held back.
    count: watch::Sender<u64>,
}

#[derive(Debug)]
struct Known {
    parts: Quarantine,
    requests: Quarantine,
    closings: Closings,
}

impl Known {
    /// Records that an upstream ended. Returns what is held back by it and was not before.
    fn record_end(
        &mut self,
        subject: Subject<'_>,
        victim: Victim,
        progress: Progress,
        now: Moment,
    ) -> Vec<(Held, Part)> {
        let requests = &mut self.requests;
        let request = subject
            .fingerprint
            .filter(|&one| requests.record_end(one, victim, progress, now));
        let parts = self
            .parts
            .record_crash(subject.parts, victim, progress, now);
        let request = request.map(|one| (Held::Request, one));
        let parts = parts.into_iter().map(|part| (Held::Part, part));
        request.into_iter().chain(parts).collect()
    }

    /// Records that closings by an upstream were part of its end. Returns what is held back by it and was not
    /// before.
    fn confirm_closings(&mut self, victim: Victim, now: Moment) -> Vec<(Held, Part)> {
        let mut held = Vec::new();
        for closing in self.closings.record_end(victim, now) {
            let since_head = closing.since_head;
            let progress = Progress::Whole { since_head };
            let subject = Subject::of(&closing);
            held.extend(self.record_end(subject, victim, progress, closing.at));
        }
        held
    }
}

/// By what a request may be held back.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// Parts of its prompt that other requests can share.
    pub parts: &'a [Part],
    /// What all repeats of it share; none while its payer is not known.
    pub fingerprint: Option<Part>,
}

impl<'a> Subject<'a> {
    fn of(closing: &'a Closing) -> Self {
        Self {
            parts: &closing.parts,
            fingerprint: closing.fingerprint,
        }
    }

    /// Adds the subject to an event.
    pub fn describe(self, draft: EventBuilder<'_>) -> EventBuilder<'_> {
        let parts: Vec<String> = self.parts.iter().map(Part::to_string).collect();
        let fingerprint = self.fingerprint.map(|one| one.to_string());
        draft
            .text("fingerprint", fingerprint.unwrap_or_default())
            .text("parts", parts.join(","))
    }

    fn request(&self) -> &[Part] {
        self.fingerprint.as_slice()
    }
}

/// What is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Held {
    Part,
    Request,
}

impl Held {
    /// Returns the key of a part in the log.
    fn key(self) -> &'static str {
        match self {
            Self::Part => "part",
            Self::Request => "fingerprint",
        }
    }
}

/// News for peers about parts of prompts, or about requests.
#[derive(Debug, Default)]
pub struct News {
    /// Ends of upstreams, of the same part one after the other.
    pub crashes: Vec<Crash>,
    /// Held parts that were tried again.
    pub probes: Vec<Probe>,
    /// Parts that are sound.
    pub rebuttals: Vec<Rebuttal>,
}

impl News {
    fn of(quarantine: &Quarantine, now: Moment) -> Self {
        Self {
            crashes: quarantine.crashes(now),
            probes: quarantine.probes(now),
            rebuttals: quarantine.rebuttals(now),
        }
    }
}

impl Default for Holds {
    fn default() -> Self {
        let known = Known {
            parts: Quarantine::new(Policy::PARTS),
            requests: Quarantine::new(Policy::REQUESTS),
            closings: Closings::default(),
        };
        Self {
            known: Mutex::new(known),
            count: watch::Sender::default(),
        }
    }
}

impl Holds {
    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a request may be sent now.
    ///
    /// # Errors
    ///
    /// Returns the refusal for its caller if it may not.
    pub fn check(&self, core: &Core, subject: Subject<'_>) -> Result<(), Refusal> {
        let now = core.clock.now();
        let known = self.known();
        if let Some(hold) = known.requests.find(subject.request(), now) {
            return Err(refusal(Held::Request, hold, now));
        }
        match known.parts.find(subject.parts, now) {
            None => Ok(()),
            Some(hold) => Err(refusal(Held::Part, hold, now)),
        }
    }

    /// Waits until a request is held back for the first time or again, and returns the refusal for its
    /// caller. A probe is not refused.
    pub async fn wait_for_hold(&self, core: &Core, subject: Subject<'_>) -> Refusal {
        let mut count = self.count.subscribe();
        while count.changed().await.is_ok() {
            if let Err(refusal) = self.check(core, subject) {
                return refusal;
            }
        }
        // The sender is a field of this value.
        std::future::pending().await
    }

    /// Records that a request is sent to an upstream. Returns whether it is suspected, so that the
    /// answer must be read.
    pub fn record_dispatch(&self, core: &Core, subject: Subject<'_>) -> bool {
        let now = core.clock.now();
        let mut known = self.known();
        let is_suspected = known.requests.record_dispatch(subject.request(), now);
        known.parts.record_dispatch(subject.parts, now) || is_suspected
    }

    /// Records that an upstream closed its connection before its answer was complete.
    pub fn record_lost(
        &self,
        core: &Core,
        subject: Subject<'_>,
        incarnation: &Incarnation,
        progress: Progress,
    ) {
        let victim = victim(incarnation);
        let now = core.clock.now();
        let mut known = self.known();
        let mut held = known.record_end(subject, victim, progress, now);
        held.extend(known.confirm_closings(victim, now));
        drop(known);
        self.record_holds(core, &held, "answer");
    }

    /// Records that an upstream closed its connection right after a whole answer, which is evidence once it is
    /// known that it ended.
    pub fn record_closing(&self, closing: Closing) {
        self.known().closings.add(closing);
    }

    /// Records that an upstream has ended, as nothing or another one is at its address.
    pub fn record_gone(&self, core: &Core, incarnation: &Incarnation) {
        let now = core.clock.now();
        let held = self.known().confirm_closings(victim(incarnation), now);
        self.record_holds(core, &held, "end of the upstream");
    }

    /// Records that an upstream answered a request that was sent at `sent_at`.
    pub fn record_alive(&self, core: &Core, incarnation: &Incarnation, sent_at: Moment) {
        let mut known = self.known();
        let outlived = known.closings.record_answer(victim(incarnation), sent_at);
        drop(known);
        for closing in outlived {
            self.record_sound(core, Subject::of(&closing), Extent::Outlived);
        }
    }

    /// Records how far the answer to a request came, of which the upstream didn't end.
    pub fn record_sound(&self, core: &Core, subject: Subject<'_>, extent: Extent) {
        let now = core.clock.now();
        let mut known = self.known();
        let requests = subject.request();
        let requests = known.requests.record_sound(requests, extent, now);
        let parts = known.parts.record_sound(subject.parts, extent, now);
        drop(known);
        for request in requests {
            record_release(core, Held::Request, request, "answer");
        }
        for part in parts {
            record_release(core, Held::Part, part, "answer");
        }
    }

    /// Records what a peer told of parts of prompts, and of requests.
    pub fn receive(&self, core: &Core, parts: &News, requests: &News) {
        self.receive_news(core, Held::Part, parts);
        self.receive_news(core, Held::Request, requests);
    }

    fn receive_news(&self, core: &Core, kind: Held, news: &News) {
        let now = core.clock.now();
        let mut known = self.known();
        let quarantine = match kind {
            Held::Part => &mut known.parts,
            Held::Request => &mut known.requests,
        };
        let mut cleared = Vec::new();
        for rebuttal in &news.rebuttals {
            if quarantine.receive_rebuttal(*rebuttal, now) {
                cleared.push(rebuttal.part);
            }
        }
        let held = quarantine.receive_crashes(&news.crashes, now);
        for probe in &news.probes {
            quarantine.receive_probe(*probe);
        }
        let mut held: Vec<(Held, Part)> = held.into_iter().map(|part| (kind, part)).collect();
        for crash in &news.crashes {
            held.extend(known.confirm_closings(crash.victim, now));
        }
        drop(known);
        for part in cleared {
            record_release(core, kind, part, "peer");
        }
        self.record_holds(core, &held, "peer");
    }

    /// Returns what is to be told to peers of parts of prompts, and of requests.
    pub fn news(&self, core: &Core) -> (News, News) {
        let now = core.clock.now();
        let known = self.known();
        (News::of(&known.parts, now), News::of(&known.requests, now))
    }

    /// Sets the rank of this instance among those that try again what is held.
    pub fn set_rank(&self, rank: Option<usize>) {
        let mut known = self.known();
        known.parts.set_rank(rank);
        known.requests.set_rank(rank);
    }

    fn record_holds(&self, core: &Core, held: &[(Held, Part)], by: &'static str) {
        for (kind, part) in held {
            self.record_hold(core, *kind, *part, by);
        }
    }

    fn record_hold(&self, core: &Core, kind: Held, part: Part, by: &'static str) {
        core.metric.count(match kind {
            Held::Part => Counter::HeldParts,
            Held::Request => Counter::HeldRequests,
        });
        let draft = core.recorder.event(Kind::Quarantined);
        draft
            .text(kind.key(), part)
            .text("why", "ends upstreams")
            .text("by", by)
            .record();
        self.count.send_modify(|count| *count += 1);
    }
}

/// Returns the hash of an incarnation of an upstream.
pub fn victim(incarnation: &Incarnation) -> Victim {
    let name = hash::text(incarnation.upstream.as_str());
    Victim(hash::part(name, incarnation.number))
}

fn record_release(core: &Core, kind: Held, part: Part, by: &'static str) {
    let draft = core.recorder.event(Kind::Quarantined);
    draft
        .text(kind.key(), part)
        .text("why", "an answer went on")
        .text("by", by)
        .record();
}

/// Returns whether an answer has gone on for long enough to show that its request is sound.
pub fn is_sound(begun: Instant) -> bool {
    begun.elapsed() >= SOUND_TIME.duration()
}

fn refusal(kind: Held, hold: Hold, now: Moment) -> Refusal {
    let wait: Span = hold.until.since(now);
    let (code, what) = match kind {
        Held::Part => ("prompt-held", "part"),
        Held::Request => ("request-held", "request"),
    };
    let message = format!(
        "{what} {} ended {} upstreams, last {} ago",
        hold.part,
        hold.victims,
        now.since(hold.last)
    );
    let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, code, message);
    refusal.with_retry_after(wait)
}

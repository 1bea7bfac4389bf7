//! Requests that must not be sent, because they, or a part of their prompts, end the upstreams which
//! run them.

use crate::core::Core;
use caller::Refusal;
use entity::{Moment, Span};
use hyper::StatusCode;
use quarantine::{
    Crash, Hold, Part, Policy, Probe, Progress, Quarantine, Rebuttal, SOUND_TIME, Victim,
};
use routing::hash;
use routing::restriction::Incarnation;
use std::sync::{Mutex, MutexGuard, PoisonError};
use timeline::{Counter, Kind};
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
}

/// By what a request may be held back.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// Parts of its prompt that other requests can share.
    pub parts: &'a [Part],
    /// What all repeats of it share; none while its payer is not known.
    pub fingerprint: Option<Part>,
}

impl Subject<'_> {
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
        let name = hash::text(incarnation.upstream.as_str());
        let victim = Victim(hash::part(name, incarnation.number));
        let now = core.clock.now();
        let mut known = self.known();
        let fingerprint = subject.fingerprint;
        let held = fingerprint.filter(|&one| known.requests.record_end(one, victim, progress, now));
        let mut parts = Vec::new();
        if let Progress::Begun {
            since_head,
            delivered,
        } = progress
        {
            let beginning = (since_head, delivered);
            let shared = subject.parts;
            parts = known.parts.record_crash(shared, victim, beginning, now);
        }
        drop(known);
        if let Some(request) = held {
            self.record_hold(core, Held::Request, request, "answer");
        }
        for part in parts {
            self.record_hold(core, Held::Part, part, "answer");
        }
    }

    /// Records that the answer to a request went on.
    pub fn record_sound(&self, core: &Core, subject: Subject<'_>) {
        let now = core.clock.now();
        let mut known = self.known();
        let requests = known.requests.record_sound(subject.request(), now);
        let parts = known.parts.record_sound(subject.parts, now);
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
        drop(known);
        for part in cleared {
            record_release(core, kind, part, "peer");
        }
        for part in held {
            self.record_hold(core, kind, part, "peer");
        }
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

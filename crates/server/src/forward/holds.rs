//! Prompts that must not be sent, because a part of theirs ends the upstreams which run them.

use crate::core::Core;
use caller::Refusal;
use entity::Span;
use hyper::StatusCode;
use quarantine::{Crash, Hold, Part, Probe, Quarantine, Rebuttal, SOUND_TIME, Victim};
use routing::hash;
use routing::restriction::Incarnation;
use std::sync::{Mutex, MutexGuard, PoisonError};
use timeline::{Counter, Kind};
use tokio::sync::watch;
use tokio::time::Instant;

/// What is known of the parts of prompts, by own requests and by peers.
#[derive(Debug, Default)]
pub struct Prompts {
    quarantine: Mutex<Quarantine>,
    /// Number of times that a part was held back.
    holds: watch::Sender<u64>,
}

/// How an upstream ended an answer that had begun.
#[derive(Clone, Copy, Debug)]
pub struct LostAnswer {
    /// Time at which the head of the answer arrived.
    pub begun: Instant,
    /// Whether anything of its body had arrived.
    pub delivered: bool,
}

/// News for peers.
#[derive(Debug, Default)]
pub struct News {
    /// Ends of upstreams, of the same part one after the other.
    pub crashes: Vec<Crash>,
    /// Held parts that were tried again.
    pub probes: Vec<Probe>,
    /// Parts that are sound.
    pub rebuttals: Vec<Rebuttal>,
}

impl Prompts {
    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a prompt with the shared `parts` may be sent now.
    ///
    /// # Errors
    ///
    /// Returns the refusal for its caller if it may not.
    pub fn check(&self, core: &Core, parts: &[Part]) -> Result<(), Refusal> {
        let now = core.clock.now();
        match self.quarantine().find(parts, now) {
            None => Ok(()),
            Some(hold) => Err(refusal(hold, hold.until.since(now))),
        }
    }

    /// Waits until a prompt with the shared `parts` is held back for the first time or again, and
    /// returns the refusal for its caller. A probe of a held part is not refused.
    pub async fn wait_for_hold(&self, core: &Core, parts: &[Part]) -> Refusal {
        let mut holds = self.holds.subscribe();
        while holds.changed().await.is_ok() {
            if let Err(refusal) = self.check(core, parts) {
                return refusal;
            }
        }
        // The sender is a field of this value.
        std::future::pending().await
    }

    /// Records that a prompt with the shared `parts` is sent to an upstream. Returns whether one of
    /// them is suspected, so that the answer must be read.
    pub fn record_dispatch(&self, core: &Core, parts: &[Part]) -> bool {
        self.quarantine().record_dispatch(parts, core.clock.now())
    }

    /// Records that an upstream closed its connection before an answer that had begun was complete.
    pub fn record_lost(
        &self,
        core: &Core,
        parts: &[Part],
        incarnation: &Incarnation,
        lost: LostAnswer,
    ) {
        let since_head = Span::from(lost.begun.elapsed());
        let name = hash::text(incarnation.upstream.as_str());
        let victim = Victim(hash::part(name, incarnation.number));
        let now = core.clock.now();
        let beginning = (since_head, lost.delivered);
        let held = self
            .quarantine()
            .record_crash(parts, victim, beginning, now);
        for part in held {
            self.record_hold(core, part, "answer");
        }
    }

    /// Records that an answer to a prompt with the shared `parts` went on.
    pub fn record_sound(&self, core: &Core, parts: &[Part]) {
        if parts.is_empty() {
            return;
        }
        let cleared = self.quarantine().record_sound(parts, core.clock.now());
        for part in cleared {
            record_release(core, part, "answer");
        }
    }

    /// Records what a peer told.
    pub fn receive(&self, core: &Core, news: &News) {
        let now = core.clock.now();
        for rebuttal in &news.rebuttals {
            let is_cleared = self.quarantine().receive_rebuttal(*rebuttal, now);
            if is_cleared {
                record_release(core, rebuttal.part, "peer");
            }
        }
        let held = self.quarantine().receive_crashes(&news.crashes, now);
        for part in held {
            self.record_hold(core, part, "peer");
        }
        for probe in &news.probes {
            self.quarantine().receive_probe(*probe);
        }
    }

    /// Returns what is to be told to peers.
    pub fn news(&self, core: &Core) -> News {
        let now = core.clock.now();
        let quarantine = self.quarantine();
        News {
            crashes: quarantine.crashes(now),
            probes: quarantine.probes(now),
            rebuttals: quarantine.rebuttals(now),
        }
    }

    /// Sets the rank of this instance among those that try held parts again.
    pub fn set_rank(&self, rank: Option<usize>) {
        self.quarantine().set_rank(rank);
    }

    fn record_hold(&self, core: &Core, part: Part, by: &'static str) {
        core.metric.count(Counter::HeldParts);
        let draft = core.recorder.event(Kind::Quarantined);
        draft
            .text("part", part)
            .text("why", "ends upstreams")
            .text("by", by)
            .record();
        self.holds.send_modify(|count| *count += 1);
    }
}

fn record_release(core: &Core, part: Part, by: &'static str) {
    let draft = core.recorder.event(Kind::Quarantined);
    draft
        .text("part", part)
        .text("why", "an answer went on")
        .text("by", by)
        .record();
}

/// Returns whether an answer has gone on for long enough to show that its prompt is sound.
pub fn is_sound(begun: Instant) -> bool {
    begun.elapsed() >= SOUND_TIME.duration()
}

fn refusal(hold: Hold, wait: Span) -> Refusal {
    let message = format!(
        "part {} of the prompt ended {} upstreams",
        hold.part, hold.victims
    );
    let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "prompt-held", message);
    refusal.with_retry_after(wait)
}

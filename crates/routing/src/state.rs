//! What an instance knows about one upstream.

use crate::breaker::Breaker;
use crate::demand::Work;
use crate::filter::Grant;
use crate::load::Load;
use crate::pace::Pace;
use crate::query::Outcome;
use crate::slots::Ledger;
use config::Registration;
use entity::Moment;
use entity::name;
use entity::time::Span;

/// How long a load report counts; without a newer one the upstream is unknown.
pub const REPORT_LIFE: Span = Span::from_secs(5);

/// How much later than a suspicion a report has to be to settle it: the clocks of instances and
/// engines may differ by this much.
pub const CLOCK_SKEW: Span = Span::from_millis(500);

/// How long an upstream's limit grows after cold start, from a tenth to the whole.
pub const RAMP: Span = Span::from_secs(10);

/// How long an engine is expected to keep a prefix: prefixes that are asked for more often stay, as
/// the least recently used give way.
const KEPT: Span = Span::from_secs(20);

/// How long a suspicion lasts for an upstream that reports no load.
pub const SUSPICION_LIFE: Span = Span::from_secs(10);

/// A refusal is a sign of cold start if the load was below this share of the limit.
const UNEXPLAINED: f64 = 0.8;

/// Refusals in a row that are a sign of cold start at an upstream that reports no load, so that no
/// report can settle the suspicion.
const SILENT_REFUSALS: u32 = 2;

/// A first token this many times slower than usual, without load to explain it, is a sign of cold
/// start.
const SLOW: f64 = 6.0;

/// First-token time that is assumed before the first answer, in milliseconds.
const FIRST_TOKEN_MS: f64 = 200.0;

/// How long a sent prompt counts: the time constant of its decay, in usual first-token times.
const MEMORY: f64 = 3.0;

/// Weight of the newest first-token time in the moving average.
const NEWEST: f64 = 0.05;

/// Whether an upstream can bear full load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// In cold start, or nothing recent is known, which counts as cold.
    Cold,
    /// Warm since the moment.
    Warm {
        /// When it became warm for this instance.
        since: Moment,
    },
}

/// What an instance knows about one upstream.
#[derive(Clone, Debug)]
pub struct State {
    /// The upstream.
    pub name: name::Upstream,
    /// Choices of this instance that are not finished.
    pub running: u32,
    /// Its slots in cold start.
    pub slots: Ledger,
    /// The circuit breaker.
    pub breaker: Breaker,
    /// What it was sent in cold start, where it has a rate instead of slots.
    pub pace: Pace,
    /// When it started and until when it is cold, by its own word.
    registered: Option<(u64, Moment)>,
    /// Whether it reports its load; plain services don't.
    reports: bool,
    known_since: Moment,
    load: Option<Load>,
    running_at_load: u32,
    warm_since: Option<Moment>,
    /// Whether it was in cold start, or might have been, before it became warm.
    recovered: bool,
    suspected: Option<Moment>,
    first_token_ms: Option<f64>,
    /// Work of choices whose first event is still to come, by ticket.
    pending: Vec<(u64, f64)>,
    /// Prefixes that this instance sent there, and when; the oldest first.
    prefixes: Vec<(u64, Moment)>,
    /// Refusals in a row.
    refusals: u32,
    /// Requests sent lately, each counting for less as time goes by.
    sent: f64,
    sent_at: Moment,
}

impl State {
    /// An upstream about which nothing is known.
    pub fn new(name: name::Upstream, reports: bool, now: Moment) -> Self {
        Self {
            name,
            reports,
            known_since: now,
            running: 0,
            slots: Ledger::default(),
            breaker: Breaker::default(),
            pace: Pace::default(),
            registered: None,
            load: None,
            running_at_load: 0,
            warm_since: None,
            recovered: false,
            suspected: None,
            first_token_ms: None,
            pending: Vec::new(),
            prefixes: Vec::new(),
            refusals: 0,
            sent: 0.0,
            sent_at: now,
        }
    }

    /// Takes in what the upstream says of itself. One that started again has lost what it held.
    pub fn register(&mut self, registration: &Registration, now: Moment) {
        let known = self.registered.map(|(born, _)| born);
        if known.is_some_and(|born| born != registration.born) {
            self.reset(now);
            self.sent = 0.0;
            self.prefixes.clear();
        }
        self.registered = Some((registration.born, registration.cold_until));
    }

    /// Whether it can bear full load, as far as is known.
    ///
    /// An upstream that reports its load is cold until a report says otherwise. One that doesn't is
    /// cold only for a while after a sign of it.
    pub fn readiness(&self, now: Moment) -> Readiness {
        if let Some((_, since)) = self.registered {
            return if now < since {
                Readiness::Cold
            } else {
                Readiness::Warm { since }
            };
        }
        if !self.reports {
            let since = match self.suspected {
                Some(suspected) => suspected + SUSPICION_LIFE,
                None => self.known_since,
            };
            return if now < since {
                Readiness::Cold
            } else {
                Readiness::Warm { since }
            };
        }
        let Some(load) = &self.load else {
            return Readiness::Cold;
        };
        match self.warm_since {
            Some(since) if now.since(load.as_of) <= REPORT_LIFE => Readiness::Warm { since },
            _ => Readiness::Cold,
        }
    }

    /// The share of its warm limit that it may be given: after cold start it grows from a tenth to
    /// one, and one that was warm when it was first heard of has all of it.
    pub fn ramp(&self, now: Moment) -> f64 {
        let Readiness::Warm { since } = self.readiness(now) else {
            return 0.0;
        };
        if !self.recovered {
            return 1.0;
        }
        let grown = now.since(since).as_secs_f64() / RAMP.as_secs_f64();
        (0.1 + 0.9 * grown).min(1.0)
    }

    /// Requests that are believed to run or wait there, of all instances.
    pub fn total(&self) -> u32 {
        let Some(load) = &self.load else {
            return self.running;
        };
        let begun = self.running.saturating_sub(self.running_at_load);
        let ended = self.running_at_load.saturating_sub(self.running);
        (load.total() + begun)
            .saturating_sub(ended)
            .max(self.running)
    }

    /// Prompts that this instance sent lately, in mean prompts: an estimate of those whose first
    /// token is still to come. Each counts for less as time goes by, the slower the upstream is.
    pub fn sent(&self, now: Moment) -> f64 {
        let usual = self.first_token_ms.unwrap_or(FIRST_TOKEN_MS);
        let elapsed = now.since(self.sent_at).as_secs_f64() * 1e3;
        self.sent * (-elapsed / (MEMORY * usual.max(1.0))).exp()
    }

    /// Requests of this instance that were begun since the newest load report, less those ended.
    pub fn begun(&self) -> u32 {
        self.running.saturating_sub(self.running_at_load)
    }

    /// Requests of all instances in the newest load report.
    pub fn reported(&self) -> u32 {
        self.load.as_ref().map_or(0, Load::total)
    }

    /// Whether its cache held a prefix by the newest report.
    pub fn caches(&self, prefix: u64) -> bool {
        self.load
            .as_ref()
            .is_some_and(|load| load.prefixes.contains(&prefix))
    }

    /// Whether this instance sent it a prefix lately.
    pub fn was_sent(&self, prefix: u64, now: Moment) -> bool {
        let lately = |&&(known, at): &&(u64, Moment)| known == prefix && now.since(at) < KEPT;
        self.prefixes.iter().find(lately).is_some()
    }

    /// This instance's work there.
    pub fn work(&self) -> Work {
        Work {
            pending: self.pending.iter().map(|(_, work)| work).sum(),
            running: f64::from(self.running),
        }
    }

    /// Counts the work of a choice until its first event.
    pub fn expect(&mut self, ticket: u64, work: f64, prefix: Option<u64>, now: Moment) {
        self.pending.push((ticket, work));
        if let Some(prefix) = prefix {
            self.prefixes
                .retain(|&(known, at)| known != prefix && now.since(at) < KEPT);
            self.prefixes.push((prefix, now));
        }
    }

    /// Notes the first event of a choice.
    pub fn started(&mut self, ticket: u64) {
        self.pending.retain(|&(known, _)| known != ticket);
    }

    /// The suspicion that it turned cold, if it is not settled.
    pub fn suspected(&self) -> Option<Moment> {
        self.suspected
    }

    /// Takes in a load report; one that is no newer than the last is ignored.
    pub fn report(&mut self, load: Load, now: Moment) {
        if self
            .load
            .as_ref()
            .is_some_and(|known| load.as_of <= known.as_of)
        {
            return;
        }
        let stale = self.readiness(now) == Readiness::Cold;
        if load.cold {
            self.warm_since = None;
            self.recovered = true;
            self.suspected = None;
        } else if self.settles(&load) {
            self.suspected = None;
            if stale {
                self.warm_since = Some(now);
            }
        }
        self.load = Some(load);
        self.running_at_load = self.running;
    }

    fn settles(&self, load: &Load) -> bool {
        self.suspected
            .is_none_or(|since| load.as_of > since + CLOCK_SKEW)
    }

    /// Takes in a suspicion that it turned cold; a newer warm report settles it. Returns whether
    /// it is news.
    pub fn suspect(&mut self, since: Moment) -> bool {
        if self.registered.is_some() {
            return false;
        }
        let known = self.suspected.is_some_and(|suspected| since <= suspected);
        let settled = self
            .load
            .as_ref()
            .is_some_and(|load| load.as_of > since + CLOCK_SKEW);
        if known || settled {
            return false;
        }
        self.suspected = Some(since);
        self.warm_since = None;
        self.recovered = true;
        true
    }

    /// Forgets that it was warm, as after its zone came back.
    pub fn reset(&mut self, now: Moment) {
        self.known_since = now;
        self.load = None;
        self.warm_since = None;
        self.recovered = true;
        self.breaker = Breaker::default();
    }

    /// Counts a choice with a prompt of so many mean prompts.
    pub fn begin(&mut self, grant: Grant, ticket: u64, prompt: f64, now: Moment) {
        self.breaker.sent(now);
        self.running += 1;
        self.sent = self.sent(now) + prompt;
        self.sent_at = now;
        match grant {
            Grant::Warm => {}
            Grant::Cold { slot } => self.slots.take(slot, ticket),
            Grant::Paced => self.pace.sent(now),
        }
    }

    /// Counts the end of a choice, for an upstream with a warm limit of `limit`. Returns whether it
    /// raises a suspicion of cold start.
    pub fn end(
        &mut self,
        (grant, ticket): (Grant, u64),
        outcome: Outcome,
        limit: u32,
        now: Moment,
    ) -> bool {
        let light = f64::from(self.total()) < UNEXPLAINED * f64::from(limit);
        assert!(self.running > 0, "a choice ends once");
        self.running -= 1;
        self.started(ticket);
        self.slots.free(ticket);
        match outcome {
            Outcome::Done { first_token } => {
                self.breaker.succeeded();
                self.refusals = 0;
                let slow = first_token.is_some_and(|time| self.slow(time));
                grant == Grant::Warm && slow && light && self.suspect(now)
            }
            Outcome::Refused => {
                self.breaker.unsettled(now);
                self.refusals += 1;
                let enough = self.reports || self.refusals >= SILENT_REFUSALS;
                grant == Grant::Warm && light && enough && self.suspect(now)
            }
            Outcome::Failed => {
                self.breaker.failed(now);
                // A process that went away starts cold.
                !self.breaker.allows(now) && self.suspect(now)
            }
            Outcome::Cancelled => {
                self.breaker.unsettled(now);
                false
            }
        }
    }

    /// Adds a first-token time to the moving average and says whether it is out of proportion.
    fn slow(&mut self, first_token: Span) -> bool {
        let ms = first_token.as_secs_f64() * 1e3;
        let Some(usual) = self.first_token_ms else {
            self.first_token_ms = Some(ms);
            return false;
        };
        if ms > SLOW * usual {
            return true;
        }
        self.first_token_ms = Some(usual + NEWEST * (ms - usual));
        false
    }

    /// Whether nothing depends on this state any more.
    pub fn unused(&self) -> bool {
        self.running == 0
    }
}

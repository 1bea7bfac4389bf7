//! The state of one upstream, as one instance knows it.

use crate::breaker::Breaker;
use crate::demand::Work;
use crate::filter::Grant;
use crate::load::Load;
use crate::placement::ServiceTime;
use crate::query::Outcome;
use crate::rate_limit::RateLimiter;
use crate::runs::Runs;
use crate::slots::Ledger;
use config::Registration;
use entity::Moment;
use entity::name;
use entity::time::Span;

/// Time for which a load report counts; without a newer one the upstream's load is unknown.
pub const REPORT_TTL: Span = Span::from_secs(5);

/// Margin by which a load report must be later than a suspicion to settle it: the clocks of
/// instances and engines may differ by this much.
pub const CLOCK_SKEW: Span = Span::from_millis(500);

/// Duration of slow start, in which an upstream's limit grows from a tenth to the whole after cold
/// start.
pub const SLOW_START: Span = Span::from_secs(10);

/// Time for which an engine is expected to keep a prefix in its cache. Prefixes that are used more
/// often stay longer, as the least recently used are evicted.
const PREFIX_TTL: Span = Span::from_secs(20);

/// Time for which a suspicion lasts at an upstream that reports no load.
pub const SUSPICION_TTL: Span = Span::from_secs(10);

/// Share of the limit below which the load doesn't explain a refusal or a slow first token, so that
/// it is a sign of cold start.
const LIGHT_LOAD_SHARE: f64 = 0.8;

/// Time for which a refusal or a failure says that an upstream which reports no load has no room. It
/// doubles with each refusal in a row, up to `MAX_UNSERVED_TTL`.
const UNSERVED_TTL: Span = Span::from_millis(200);

/// Longest time for which refusals in a row say so.
const MAX_UNSERVED_TTL: Span = Span::from_secs(4);

/// Consecutive refusals that are a sign of cold start at an upstream that reports no load. The
/// threshold is higher there, as no report can settle the suspicion.
const UNREPORTED_REFUSAL_THRESHOLD: u32 = 2;

/// Ratio of a first-token time to the usual one from which it is a sign of cold start, unless the
/// load explains it.
const SLOW_FIRST_TOKEN_FACTOR: f64 = 6.0;

/// First-token time that is assumed before the first answer, in milliseconds.
const DEFAULT_FIRST_TOKEN_MS: f64 = 200.0;

/// Time constant of the decay of sent prompts, in usual first-token times.
const PROMPT_DECAY_FACTOR: f64 = 3.0;

/// Weight of the newest sample in the moving average of first-token times.
const FIRST_TOKEN_EWMA_WEIGHT: f64 = 0.05;

/// Readiness of an upstream for full load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// In cold start, or without recent information, which counts as cold.
    Cold,
    /// Warm since the given time.
    Warm {
        /// Time at which this instance observed that the upstream is warm.
        since: Moment,
    },
}

/// The state of one upstream at one instance.
#[derive(Clone, Debug)]
pub struct State {
    /// The upstream.
    pub name: name::Upstream,
    /// Unfinished choices of this instance.
    pub running: u32,
    /// This instance's slots of the upstream in cold start.
    pub slots: Ledger,
    /// The circuit breaker.
    pub breaker: Breaker,
    /// Requests sent in cold start, where the upstream has a rate limit instead of slots.
    pub rate_limiter: RateLimiter,
    /// Requests of this instance whose size is known.
    pub runs: Runs,
    /// Requests that this instance may send within the limiter's window in cold start.
    pub cold_share: u32,
    /// Incarnation of the upstream and end of its cold start, as it announced them.
    registered: Option<(u64, Moment)>,
    /// Whether the upstream reports its load; plain services don't.
    reports: bool,
    known_since: Moment,
    load: Option<Load>,
    running_at_load: u32,
    warm_since: Option<Moment>,
    /// Whether the upstream was in cold start, or might have been, before it became warm.
    had_cold_start: bool,
    suspected: Option<Moment>,
    first_token_ms: Option<f64>,
    /// Time that the upstream takes for an answer.
    pub service_time: ServiceTime,
    /// Time of the last refusal or failure.
    unserved_at: Option<Moment>,
    /// Whether the last request that was served or failed has failed.
    pub is_doubtful: bool,
    /// Work of the choices whose first event is still to come, by ticket.
    pending: Vec<(u64, f64)>,
    /// Prefixes that this instance sent to the upstream and when, oldest first.
    prefixes: Vec<(u64, Moment)>,
    /// Number of consecutive refusals.
    refusals: u32,
    /// Recently sent prompts in mean prompts, decayed up to `sent_at`.
    sent: f64,
    sent_at: Moment,
}

impl State {
    /// Creates the state of an upstream about which nothing is known.
    pub fn new(name: name::Upstream, reports: bool, now: Moment) -> Self {
        Self {
            name,
            reports,
            known_since: now,
            running: 0,
            slots: Ledger::default(),
            breaker: Breaker::default(),
            rate_limiter: RateLimiter::default(),
            cold_share: 0,
            runs: Runs::default(),
            registered: None,
            load: None,
            running_at_load: 0,
            warm_since: None,
            had_cold_start: false,
            suspected: None,
            first_token_ms: None,
            service_time: ServiceTime::default(),
            unserved_at: None,
            is_doubtful: false,
            pending: Vec::new(),
            prefixes: Vec::new(),
            refusals: 0,
            sent: 0.0,
            sent_at: now,
        }
    }

    /// Records the registration of the upstream. A new incarnation has lost its cache and its
    /// running requests.
    pub fn register(&mut self, registration: &Registration, now: Moment) {
        let incarnation = self.registered.map(|(incarnation, _)| incarnation);
        if incarnation.is_some_and(|incarnation| incarnation != registration.incarnation) {
            self.reset(now);
            self.sent = 0.0;
            self.prefixes.clear();
        }
        self.registered = Some((registration.incarnation, registration.cold_until));
    }

    /// Returns the readiness for full load, as far as it is known.
    ///
    /// An upstream that reports its load is cold until a report says otherwise. One that reports
    /// none is cold only for [`SUSPICION_TTL`] after a sign of cold start.
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
                Some(suspected) => suspected + SUSPICION_TTL,
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
            Some(since) if now.since(load.as_of) <= REPORT_TTL => Readiness::Warm { since },
            _ => Readiness::Cold,
        }
    }

    /// Returns the share of the warm limit that the upstream may be given. In slow start it grows
    /// from a tenth to one; an upstream that was warm when this instance first saw it has all of
    /// it.
    pub fn slow_start_share(&self, now: Moment) -> f64 {
        let Readiness::Warm { since } = self.readiness(now) else {
            return 0.0;
        };
        if !self.had_cold_start {
            return 1.0;
        }
        let grown = now.since(since).as_secs_f64() / SLOW_START.as_secs_f64();
        (0.1 + 0.9 * grown).min(1.0)
    }

    /// Returns the estimated number of requests of all instances that run or wait at the upstream.
    pub fn estimated_requests(&self) -> u32 {
        let Some(load) = &self.load else {
            return self.running;
        };
        let started_since_report = self.running.saturating_sub(self.running_at_load);
        let ended = self.running_at_load.saturating_sub(self.running);
        (load.total() + started_since_report)
            .saturating_sub(ended)
            .max(self.running)
    }

    /// Returns the prompts that this instance sent recently, in mean prompts, as an estimate of
    /// those whose first token is still to come. Each decays over time, more slowly if the upstream
    /// is slower.
    pub fn recent_prompts(&self, now: Moment) -> f64 {
        let usual = self.first_token_ms.unwrap_or(DEFAULT_FIRST_TOKEN_MS);
        let elapsed = now.since(self.sent_at).as_secs_f64() * 1e3;
        self.sent * (-elapsed / (PROMPT_DECAY_FACTOR * usual.max(1.0))).exp()
    }

    /// Returns the increase in this instance's requests since the newest load report.
    pub fn started_since_report(&self) -> u32 {
        self.running.saturating_sub(self.running_at_load)
    }

    /// Returns the requests of all instances in the newest load report.
    pub fn reported_requests(&self) -> u32 {
        self.load.as_ref().map_or(0, Load::total)
    }

    /// Returns whether the upstream refused or failed a request of this instance a moment ago.
    pub fn has_failed_lately(&self, now: Moment) -> bool {
        let doublings = self.refusals.saturating_sub(1).min(8);
        let ttl = Span::from_micros(UNSERVED_TTL.as_micros() << doublings);
        self.unserved_at
            .is_some_and(|at| now.since(at) < ttl.min(MAX_UNSERVED_TTL))
    }

    /// Returns whether the upstream refused the last request of this instance that it answered.
    pub fn was_refused(&self) -> bool {
        self.refusals > 0
    }

    /// Returns whether the newest load report lists a prefix as cached.
    pub fn has_cached_prefix(&self, prefix: u64) -> bool {
        self.load
            .as_ref()
            .is_some_and(|load| load.prefixes.contains(&prefix))
    }

    /// Returns whether this instance sent the upstream a prefix recently.
    pub fn has_sent_prefix(&self, prefix: u64, now: Moment) -> bool {
        let is_recent =
            |&&(known, at): &&(u64, Moment)| known == prefix && now.since(at) < PREFIX_TTL;
        self.prefixes.iter().find(is_recent).is_some()
    }

    /// Returns this instance's work at the upstream.
    pub fn work(&self) -> Work {
        Work {
            pending: self.pending.iter().map(|(_, work)| work).sum(),
            running: f64::from(self.running),
        }
    }

    /// Adds the work of a choice, which counts until its first event, and records its prefix.
    pub fn add_pending(&mut self, ticket: u64, work: f64, prefix: Option<u64>, now: Moment) {
        self.pending.push((ticket, work));
        if let Some(prefix) = prefix {
            self.prefixes
                .retain(|&(known, at)| known != prefix && now.since(at) < PREFIX_TTL);
            self.prefixes.push((prefix, now));
        }
    }

    /// Removes the pending work of a choice once its first event has arrived.
    pub fn remove_pending(&mut self, ticket: u64) {
        self.pending.retain(|&(known, _)| known != ticket);
    }

    /// Returns the time of the suspicion of cold start, if it is not settled.
    pub fn suspected(&self) -> Option<Moment> {
        self.suspected
    }

    /// Records a load report, unless it is no newer than the last one.
    pub fn record_load(&mut self, load: Load, now: Moment) {
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
            self.had_cold_start = true;
            self.suspected = None;
        } else if self.clears_suspicion(&load) {
            self.suspected = None;
            if stale {
                self.warm_since = Some(now);
            }
        }
        self.load = Some(load);
        self.running_at_load = self.running;
    }

    fn clears_suspicion(&self, load: &Load) -> bool {
        self.suspected
            .is_none_or(|since| load.as_of > since + CLOCK_SKEW)
    }

    /// Records a suspicion of cold start, unless a later report has settled it. Returns whether the
    /// suspicion is new.
    pub fn record_suspicion(&mut self, since: Moment) -> bool {
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
        self.had_cold_start = true;
        true
    }

    /// Marks the upstream as unknown, as after a return of its zone.
    pub fn reset(&mut self, now: Moment) {
        self.known_since = now;
        self.load = None;
        self.warm_since = None;
        self.had_cold_start = true;
        self.breaker = Breaker::default();
    }

    /// Records the start of a choice whose prompt has the size of `prompt` mean prompts.
    pub fn begin(&mut self, grant: Grant, ticket: u64, prompt: f64, now: Moment) {
        self.breaker.record_dispatch(now);
        self.running += 1;
        self.sent = self.recent_prompts(now) + prompt;
        self.sent_at = now;
        match grant {
            Grant::Warm => {}
            Grant::Cold { slot } => self.slots.hold(slot, ticket),
            Grant::RateLimited => self.rate_limiter.record(now),
        }
    }

    /// Records the end of a choice at an upstream with a warm limit of `limit`. Returns whether it
    /// raises a suspicion of cold start.
    pub fn end(
        &mut self,
        (grant, ticket): (Grant, u64),
        outcome: Outcome,
        limit: u32,
        now: Moment,
    ) -> bool {
        let is_lightly_loaded =
            f64::from(self.estimated_requests()) < LIGHT_LOAD_SHARE * f64::from(limit);
        assert!(self.running > 0, "a choice ends at most once");
        self.running -= 1;
        self.remove_pending(ticket);
        self.slots.release(ticket);
        match outcome {
            Outcome::Done { first_token } | Outcome::ErrorStatus { first_token } => {
                self.breaker.record_success();
                self.refusals = 0;
                self.is_doubtful = matches!(outcome, Outcome::ErrorStatus { .. });
                if let (Outcome::Done { .. }, Some(time)) = (outcome, first_token) {
                    self.service_time.record(time, now);
                }
                let slow = first_token.is_some_and(|time| self.is_slow(time));
                grant == Grant::Warm && slow && is_lightly_loaded && self.record_suspicion(now)
            }
            Outcome::Refused => {
                self.breaker.record_inconclusive(now);
                self.refusals += 1;
                self.unserved_at = Some(now);
                let enough = self.reports || self.refusals >= UNREPORTED_REFUSAL_THRESHOLD;
                grant == Grant::Warm && is_lightly_loaded && enough && self.record_suspicion(now)
            }
            Outcome::Failed | Outcome::Unreachable => {
                self.breaker.record_failure(now);
                self.unserved_at = Some(now);
                self.is_doubtful = true;
                // A restarted process starts cold.
                !self.breaker.allows(now) && self.record_suspicion(now)
            }
            Outcome::Cancelled => {
                self.breaker.record_inconclusive(now);
                false
            }
        }
    }

    /// Adds a first-token time to the moving average and returns whether it is unusually slow. A
    /// slow one is left out of the average.
    fn is_slow(&mut self, first_token: Span) -> bool {
        let ms = first_token.as_secs_f64() * 1e3;
        let Some(usual) = self.first_token_ms else {
            self.first_token_ms = Some(ms);
            return false;
        };
        if ms > SLOW_FIRST_TOKEN_FACTOR * usual {
            return true;
        }
        self.first_token_ms = Some(usual + FIRST_TOKEN_EWMA_WEIGHT * (ms - usual));
        false
    }

    /// Returns whether no choice depends on this state any more.
    pub fn is_unused(&self) -> bool {
        self.running == 0
    }
}

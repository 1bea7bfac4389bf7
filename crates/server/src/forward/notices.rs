//! What upstreams say about themselves in their answers, and what peers tell of it.

use crate::core::Core;
use crate::forward::front::Shared;
use entity::{Moment, Span, sorted};
use routing::Choice;
use routing::limit::{LIMIT_TTL, Limit};
use routing::restriction::{Incarnation, Restrictions};
use std::sync::{Mutex, MutexGuard, PoisonError};
use timeline::{Counter, Kind};
use upstream::forward::Notice;

/// Time between two answers after which the later one counts, though it names the same limit.
const LIMIT_REFRESH: Span = Span::from_millis(500);

/// Upstreams that are leaving or want no requests for a while. The decider has a copy, which it chooses
/// by; this one is checked right before a request is sent.
#[derive(Debug, Default)]
pub struct Notices {
    restrictions: Mutex<Restrictions>,
    /// Limits that upstreams named last, sorted.
    limits: Mutex<Vec<(Incarnation, Limit)>>,
}

impl Notices {
    fn restrictions(&self) -> MutexGuard<'_, Restrictions> {
        self.restrictions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the upstream of a choice still wants requests.
    pub fn is_wanted(&self, core: &Core, choice: &Choice) -> bool {
        let Some(number) = choice.incarnation_number() else {
            return true;
        };
        let restrictions = self.restrictions();
        let found = restrictions.find(&choice.upstream, number, core.clock.now());
        found.is_none()
    }

    /// Returns the upstreams whose leaving was learned recently, to be announced to peers.
    pub fn recent_departures(&self, core: &Core) -> Vec<Incarnation> {
        let restrictions = self.restrictions();
        let recent = restrictions.recent_departures(core.clock.now());
        recent.cloned().collect()
    }

    /// Records that an upstream named a limit, as it or a peer says. A change is logged.
    pub async fn record_limit(
        &self,
        core: &Core,
        incarnation: Incarnation,
        limit: Limit,
        by: &'static str,
    ) {
        let Some(is_change) = self.replace_limit(&incarnation, limit) else {
            return;
        };
        if is_change {
            core.metric.count(Counter::LimitedUpstreams);
            let frequency = limit.frequency.map(|frequency| frequency.to_string());
            let draft = core.recorder.event(Kind::Cold);
            draft
                .text("upstream", &incarnation.upstream)
                .text("why", "names a limit")
                .text("limit", frequency.as_deref().unwrap_or("none"))
                .text("by", by)
                .record();
        }
        core.decider.record_limit(incarnation, limit).await;
    }

    /// Replaces the limit that is known of an upstream by that of a newer answer. Returns whether it is
    /// another one; none if the answer tells nothing new.
    fn replace_limit(&self, incarnation: &Incarnation, limit: Limit) -> Option<bool> {
        let mut limits = self.limits();
        limits.retain(|(_, known)| limit.as_of.since(known.as_of) < LIMIT_TTL);
        let none = Limit {
            frequency: None,
            as_of: Moment::default(),
        };
        let known = sorted::entry(&mut limits, incarnation, || none);
        let is_change = known.frequency != limit.frequency;
        let age = limit.as_of.since(known.as_of);
        if age < LIMIT_REFRESH && !(is_change && age > Span::ZERO) {
            return None;
        }
        *known = limit;
        Some(is_change)
    }

    /// Returns whether no limit is known.
    fn has_no_limits(&self) -> bool {
        self.limits().is_empty()
    }

    /// Returns whether an answer without a limit to a request that was sent at `sent` ends a limit.
    fn ends_limit(&self, incarnation: &Incarnation, sent: Moment) -> bool {
        let limits = self.limits();
        let found = limits.binary_search_by(|(known, _)| known.cmp(incarnation));
        let known = found.ok().map(|index| limits[index].1);
        known.is_some_and(|known| known.frequency.is_some() && known.as_of < sent)
    }

    fn limits(&self) -> MutexGuard<'_, Vec<(Incarnation, Limit)>> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an upstream is leaving or has ended, as `why` and `by` say.
    pub async fn record_leaving(
        &self,
        core: &Core,
        incarnation: Incarnation,
        (why, by): (&'static str, &'static str),
    ) {
        let now = core.clock.now();
        let is_new = self.restrictions().record_leaving(incarnation.clone(), now);
        if !is_new {
            return;
        }
        core.metric.count(Counter::LeavingUpstreams);
        let draft = core.recorder.event(Kind::Cold);
        draft
            .text("upstream", &incarnation.upstream)
            .text("why", why)
            .text("by", by)
            .record();
        core.decider.record_leaving(incarnation).await;
    }
}

impl Shared {
    /// Follows what the upstream of a choice said in the head of an answer.
    pub async fn record_notice(&self, choice: &Choice, notice: Notice) {
        let core = &self.core;
        for header in notice.malformed {
            let draft = core.recorder.event(Kind::Rejected);
            draft
                .text("upstream", &choice.upstream)
                .text("header", header)
                .text("failure", "the value can't be used as it is")
                .record();
        }
        let Some(incarnation) = choice.incarnation() else {
            return;
        };
        if let Some(frequency) = notice.limit {
            let limit = Limit {
                frequency: Some(frequency),
                as_of: core.clock.now(),
            };
            let (notices, incarnation) = (&self.notices, incarnation.clone());
            notices
                .record_limit(core, incarnation, limit, "answer")
                .await;
        }
        if let Some(rest) = notice.rest {
            let now = core.clock.now();
            let until = now + rest;
            self.notices
                .restrictions()
                .record_rest(&incarnation, until, now);
            core.metric.count(Counter::RestingUpstreams);
            let draft = core.recorder.event(Kind::Cold);
            draft
                .text("upstream", &choice.upstream)
                .text("why", "wants no requests")
                .text("for", rest)
                .record();
            core.decider.record_rest(incarnation.clone(), until).await;
        }
        let why = if notice.leaving {
            "says that it is leaving"
        } else if notice.misdirected && self.has_successor(choice) {
            "its address belongs to another upstream"
        } else {
            return;
        };
        let notices = &self.notices;
        notices
            .record_leaving(core, incarnation, (why, "answer"))
            .await;
    }

    /// Returns whether an upstream that started later has registered itself with the address of the
    /// upstream of a choice, which has ended then.
    fn has_successor(&self, choice: &Choice) -> bool {
        let Some(snapshot) = self.core.snapshot() else {
            return false;
        };
        let own = choice.incarnation_number();
        snapshot.config.upstreams.values().iter().any(|other| {
            let later = other.registration.as_ref().map(|one| one.incarnation);
            other.address == choice.address && other.name != choice.upstream && later > own
        })
    }

    /// Follows an answer of the upstream of a choice, without a limit, to a request sent at `sent`.
    pub async fn record_no_limit(&self, choice: &Choice, sent: Moment) {
        if self.notices.has_no_limits() {
            return;
        }
        let Some(incarnation) = choice.incarnation() else {
            return;
        };
        if !self.notices.ends_limit(&incarnation, sent) {
            return;
        }
        let core = &self.core;
        let limit = Limit {
            frequency: None,
            as_of: core.clock.now(),
        };
        let notices = &self.notices;
        notices
            .record_limit(core, incarnation, limit, "answer")
            .await;
    }
}

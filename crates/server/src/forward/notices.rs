//! What upstreams say about themselves in their answers, and what peers tell of it.

use crate::core::Core;
use crate::forward::front::Shared;
use entity::sorted;
use entity::unit::Frequency;
use routing::Choice;
use routing::restriction::{Incarnation, Restrictions};
use std::sync::{Mutex, MutexGuard, PoisonError};
use timeline::{Counter, Kind};
use upstream::forward::Notice;

/// Upstreams that are leaving or want no requests for a while. The decider has a copy, which it chooses
/// by; this one is checked right before a request is sent.
#[derive(Debug, Default)]
pub struct Notices {
    restrictions: Mutex<Restrictions>,
    /// Limits that upstreams named last, sorted.
    limits: Mutex<Vec<(Incarnation, Frequency)>>,
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

    /// Records the limit that an upstream named. A change is logged.
    fn record_limit(&self, core: &Core, incarnation: &Incarnation, limit: Frequency) {
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        let mut is_new = false;
        let known = sorted::entry(&mut limits, incarnation, || {
            is_new = true;
            limit
        });
        if !is_new && *known == limit {
            return;
        }
        *known = limit;
        let draft = core.recorder.event(Kind::Cold);
        draft
            .text("upstream", &incarnation.upstream)
            .text("why", "names a limit")
            .text("limit", limit)
            .record();
    }

    /// Records that an upstream is leaving, as it or a peer says.
    pub async fn record_leaving(&self, core: &Core, incarnation: Incarnation, by: &'static str) {
        let now = core.clock.now();
        let is_new = self.restrictions().record_leaving(incarnation.clone(), now);
        if !is_new {
            return;
        }
        core.metric.count(Counter::LeavingUpstreams);
        let draft = core.recorder.event(Kind::Cold);
        draft
            .text("upstream", &incarnation.upstream)
            .text("why", "says that it is leaving")
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
        if let Some(limit) = notice.limit {
            self.notices.record_limit(core, &incarnation, limit);
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
        if notice.leaving {
            self.notices
                .record_leaving(core, incarnation, "answer")
                .await;
        }
    }
}

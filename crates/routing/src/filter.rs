//! The filter: whether an upstream may be sent a request now.
//!
//! It is applied when an upstream is chosen and again just before dispatch, to first tries,
//! retries, hedges, steps of a cascade and queued requests alike.

use crate::pace::{self, Sharers};
use crate::query::Priority;
use crate::slots::Views;
use crate::state::{Readiness, State};
use config::{Config, Presence, Registration, Stage};
use entity::Moment;
use entity::id;
use entity::name;

/// Instances that are assumed to share an upstream before the instance list was read.
pub const ASSUMED_LIVE: usize = 16;

/// Share of an upstream's limit beyond which only the most urgent requests use what other instances
/// leave free.
const URGENT_ONLY: f64 = 0.9;

/// On what ground a dispatch is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The upstream is warm and below its limit.
    Warm,
    /// The upstream is cold, and a slot of this instance's is free.
    Cold {
        /// The slot.
        slot: u32,
    },
    /// The upstream is cold, and its rate has room for a request of this instance.
    Paced,
}

/// Why an upstream, or all of them, can't be sent a request. The order is by how soon the reason
/// may pass, the least likely first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Reason {
    /// The configuration knows no upstream for it.
    #[error("no upstream is configured for it")]
    NoUpstream,
    /// The organisation may not use the service or the version.
    #[error("the organisation may not use this service or version")]
    NotAllowed,
    /// The version is withdrawn.
    #[error("the version is withdrawn")]
    Withdrawn,
    /// The upstream is in a region that the request may not go to.
    #[error("the request may not go to the upstream's region")]
    Region,
    /// The upstream doesn't have the version or the plain service.
    #[error("the upstream doesn't have this version or service")]
    NotServed,
    /// The ids belong to another configuration than the one in force.
    #[error("the configuration changed")]
    Generation,
    /// The deadline has passed.
    #[error("the deadline has passed")]
    Deadline,
    /// The upstream was tried before.
    #[error("all upstreams were tried")]
    Excluded,
    /// The upstream's zone is out.
    #[error("the availability zone is out")]
    ZoneOut,
    /// The upstream is leaving.
    #[error("the upstream is leaving")]
    Leaving,
    /// The upstream is in cold start, and this instance owns none of its slots now.
    #[error("the upstream is in cold start")]
    Cold,
    /// The upstream failed a moment ago.
    #[error("the upstream failed a moment ago")]
    Failing,
    /// The upstream is at its limit.
    #[error("the upstream is at its limit")]
    Full,
}

/// A request, as the filter needs it.
#[derive(Clone, Copy, Debug)]
pub struct Work<'a> {
    /// The service.
    pub service: id::Service,
    /// The version; none for a plain service.
    pub version: Option<id::Version>,
    /// The organisation.
    pub organisation: id::Organisation,
    /// Upstreams that were tried before.
    pub excluded: &'a [name::Upstream],
    /// Regions that the request may go to, sorted; none for all.
    pub regions: Option<&'a [name::Region]>,
    /// When the answer is due.
    pub deadline: Moment,
    /// How urgent it is.
    pub priority: Priority,
}

/// What the filter goes by.
#[derive(Clone, Copy, Debug)]
pub struct Filter<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// This instance's views of the instance list.
    pub views: &'a Views,
    /// The moment of the decision.
    pub now: Moment,
}

impl Filter<'_> {
    /// Whether an upstream may be sent a request. `held` is the grant that the request already
    /// has, with its ticket, if it is checked again before dispatch.
    pub fn check(
        &self,
        work: &Work,
        upstream: id::Upstream,
        state: &State,
        sharers: usize,
        held: Option<(Grant, u64)>,
    ) -> Result<Grant, Reason> {
        self.permitted(work)?;
        self.placed(work, upstream)?;
        if held.is_none() && !state.breaker.allows(self.now) {
            return Err(Reason::Failing);
        }
        match (state.readiness(self.now), held) {
            (Readiness::Warm { .. }, Some((grant, _))) => Ok(grant),
            (Readiness::Warm { .. }, None) => self.warm(work, upstream, state, sharers),
            (Readiness::Cold, Some((Grant::Paced, _))) => Ok(Grant::Paced),
            (Readiness::Cold, None) => match &self.config.upstreams[upstream].registration {
                Some(registration) => self.paced(upstream, registration, state),
                None => self.slot(work, state, None),
            },
            (Readiness::Cold, Some((Grant::Warm, _))) => Err(Reason::Cold),
            (Readiness::Cold, Some((Grant::Cold { .. }, ticket))) => {
                self.slot(work, state, Some(ticket))
            }
        }
    }

    /// Whether the request may run at all.
    pub fn permitted(&self, work: &Work) -> Result<(), Reason> {
        if self.now >= work.deadline {
            return Err(Reason::Deadline);
        }
        let organisation = &self.config.organisations[work.organisation];
        if organisation.services.binary_search(&work.service).is_err() {
            return Err(Reason::NotAllowed);
        }
        let Some(version) = work.version else {
            return Ok(());
        };
        if self.config.versions[version].stage == Stage::Withdrawn {
            return Err(Reason::Withdrawn);
        }
        if !self.config.allows(work.organisation, work.service, version) {
            return Err(Reason::NotAllowed);
        }
        Ok(())
    }

    /// Whether the upstream has what the request needs and takes new work.
    fn placed(&self, work: &Work, upstream: id::Upstream) -> Result<(), Reason> {
        let upstream = &self.config.upstreams[upstream];
        let served = match work.version {
            Some(version) => upstream.versions.binary_search(&version).is_ok(),
            None => upstream.services.binary_search(&work.service).is_ok(),
        };
        if !served {
            return Err(Reason::NotServed);
        }
        if self.config.zones[upstream.zone].state == Presence::Out {
            return Err(Reason::ZoneOut);
        }
        if upstream.state == Presence::Out {
            return Err(Reason::Leaving);
        }
        let region = &self.config.zones[upstream.zone].region;
        if work
            .regions
            .is_some_and(|regions| regions.binary_search(region).is_err())
        {
            return Err(Reason::Region);
        }
        if work.excluded.contains(&upstream.name) {
            return Err(Reason::Excluded);
        }
        Ok(())
    }

    /// Whether a warm upstream has room: this instance's share of its limit always, and more where
    /// load reports show that others leave theirs unused.
    fn warm(
        &self,
        work: &Work,
        upstream: id::Upstream,
        state: &State,
        sharers: usize,
    ) -> Result<Grant, Reason> {
        let limit = f64::from(self.config.upstreams[upstream].warm) * state.ramp(self.now);
        let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
        let share = (limit.ceil() as u32 / sharers).max(1);
        if state.running < share {
            return Ok(Grant::Warm);
        }
        let common = match work.priority {
            Priority(0) => limit.ceil() as u32,
            _ => (limit * URGENT_ONLY).ceil() as u32,
        };
        // All sharers may borrow at once between two reports: each gets twice its part of the spare.
        let spare = common.saturating_sub(state.reported());
        let borrowed = (2 * spare).div_ceil(sharers);
        if state.begun() < borrowed && state.total() < common {
            return Ok(Grant::Warm);
        }
        Err(Reason::Full)
    }

    /// Whether the rate of a cold upstream has room for a request of this instance.
    fn paced(
        &self,
        upstream: id::Upstream,
        registration: &Registration,
        state: &State,
    ) -> Result<Grant, Reason> {
        let sharers = Sharers {
            own: self.views.own(),
            live: self.views.live(),
            assumed: ASSUMED_LIVE,
        };
        let name = &self.config.upstreams[upstream].name;
        let share = pace::share(name, registration.cold_rate, sharers);
        if state.pace.allows(share, self.now) {
            return Ok(Grant::Paced);
        }
        Err(Reason::Cold)
    }

    /// Whether a slot of a cold upstream is free, or the one that the ticket holds is still good.
    fn slot(&self, work: &Work, state: &State, ticket: Option<u64>) -> Result<Grant, Reason> {
        if work.deadline.since(self.now) > self.views.bounds().run {
            return Err(Reason::Cold);
        }
        let others = state.running - u32::from(ticket.is_some());
        let slot = state.slots.usable(self.views, others, ticket, self.now);
        slot.map(|slot| Grant::Cold { slot }).ok_or(Reason::Cold)
    }
}

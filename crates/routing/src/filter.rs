//! The filter, which decides whether an upstream may be sent a request now.
//!
//! It is applied when an upstream is chosen and again immediately before dispatch, to first tries,
//! retries, hedges, steps of a cascade and queued requests alike.

use crate::query::Priority;
use crate::slots::Views;
use crate::state::{Readiness, State};
use config::{AdminState, Config, Stage};
use entity::Moment;
use entity::id;
use entity::name;

/// Number of instances that are assumed to share an upstream before the instance list was read.
pub const ASSUMED_LIVE_COUNT: usize = 16;

/// Share of an upstream's limit up to which requests of any priority use capacity that other
/// instances leave free; beyond it, only those of priority 0 do.
const NORMAL_PRIORITY_SHARE: f64 = 0.9;

/// Condition under which a dispatch is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The upstream is warm and below its limit.
    Warm,
    /// The upstream is cold, and one of its slots that this instance owns is free.
    Cold {
        /// The slot.
        slot: u32,
    },
    /// The upstream is cold, and its rate limit has room for a request of this instance.
    RateLimited,
}

/// The reason for which an upstream, or all of them, can't be sent a request. Reasons are ordered
/// by how soon they may pass, the least likely to pass first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Reason {
    /// The configuration has no upstream for the request.
    #[error("no upstream is configured for it")]
    NoUpstream,
    /// The organisation may not use the service or the version.
    #[error("the organisation may not use this service or version")]
    NotAllowed,
    /// The version is withdrawn.
    #[error("the version is withdrawn")]
    Withdrawn,
    /// The upstream is in a region to which the request may not be sent.
    #[error("the request may not go to the upstream's region")]
    Region,
    /// The upstream doesn't serve the version or the plain service.
    #[error("the upstream doesn't have this version or service")]
    NotServed,
    /// The ids belong to a configuration that is not in force.
    #[error("the configuration changed")]
    Generation,
    /// The deadline has passed.
    #[error("the deadline has passed")]
    Deadline,
    /// The request was sent to the upstream before.
    #[error("all upstreams were tried")]
    Excluded,
    /// The upstream's availability zone is out of service.
    #[error("the availability zone is out")]
    ZoneOut,
    /// The upstream is being removed from service.
    #[error("the upstream is leaving")]
    Leaving,
    /// The upstream asked for no requests for a while.
    #[error("the upstream wants no requests for a while")]
    Resting,
    /// The upstream named a limit, which leaves no room for a request soon.
    #[error("the upstream named a limit that is used up")]
    Limited,
    /// The upstream is in cold start, and this instance owns none of its slots now.
    #[error("the upstream is in cold start")]
    Cold,
    /// The upstream's circuit breaker is open, or it fails far more often than others by what several
    /// instances saw.
    #[error("the upstream failed a moment ago")]
    Failing,
    /// The request would wait beyond its deadline.
    #[error("the request would wait beyond its deadline")]
    Late,
    /// The upstream is at its limit.
    #[error("the upstream is at its limit")]
    Full,
    /// The instance is being shut down, so that the request can't wait for an upstream.
    #[error("this instance is being shut down; another one serves")]
    Closing,
}

/// The properties of a request that the filter uses.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service.
    pub service: id::Service,
    /// The version; none for a plain service.
    pub version: Option<id::Version>,
    /// The organisation.
    pub organisation: id::Organisation,
    /// Upstreams to which the request was sent before.
    pub excluded: &'a [name::Upstream],
    /// Regions to which the request may be sent, sorted; none for all.
    pub regions: Option<&'a [name::Region]>,
    /// Request deadline.
    pub deadline: Moment,
    /// Priority of the request.
    pub priority: Priority,
    /// Whether the request may be sent again after it may have run.
    pub is_repeatable: bool,
}

/// The data on which the filter decides.
#[derive(Clone, Copy, Debug)]
pub struct Filter<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// This instance's views of the instance list.
    pub views: &'a Views,
    /// Time of the decision.
    pub now: Moment,
}

impl Filter<'_> {
    /// Checks whether an upstream may be sent a request. `held` is the grant that the request
    /// already has, with its ticket, if it is checked again before dispatch.
    pub fn check(
        &self,
        request: &Request,
        upstream: id::Upstream,
        state: &State,
        sharers: usize,
        held: Option<(Grant, u64)>,
    ) -> Result<Grant, Reason> {
        self.check_permitted(request)?;
        self.check_placement(request, upstream)?;
        if held.is_none() && !state.breaker.allows(self.now) {
            return Err(Reason::Failing);
        }
        match (state.readiness(self.now), held) {
            (Readiness::Warm { .. }, Some((grant, _))) => Ok(grant),
            (Readiness::Warm { .. }, None) => self.check_warm(request, upstream, state, sharers),
            (Readiness::Cold, Some((Grant::RateLimited, _))) => Ok(Grant::RateLimited),
            (Readiness::Cold, None) => match &self.config.upstreams[upstream].registration {
                Some(_) => self.check_rate_limit(state),
                None => self.check_slot(request, state, None),
            },
            (Readiness::Cold, Some((Grant::Warm, _))) => Err(Reason::Cold),
            (Readiness::Cold, Some((Grant::Cold { .. }, ticket))) => {
                self.check_slot(request, state, Some(ticket))
            }
        }
    }

    /// Checks whether the request may run at all.
    pub fn check_permitted(&self, request: &Request) -> Result<(), Reason> {
        if self.now >= request.deadline {
            return Err(Reason::Deadline);
        }
        let organisation = &self.config.organisations[request.organisation];
        if organisation
            .services
            .binary_search(&request.service)
            .is_err()
        {
            return Err(Reason::NotAllowed);
        }
        let Some(version) = request.version else {
            return Ok(());
        };
        if self.config.versions[version].stage == Stage::Withdrawn {
            return Err(Reason::Withdrawn);
        }
        if !self
            .config
            .allows(request.organisation, request.service, version)
        {
            return Err(Reason::NotAllowed);
        }
        Ok(())
    }

    /// Checks whether the upstream serves the request and accepts new requests.
    fn check_placement(&self, request: &Request, upstream: id::Upstream) -> Result<(), Reason> {
        let upstream = &self.config.upstreams[upstream];
        let served = match request.version {
            Some(version) => upstream.versions.binary_search(&version).is_ok(),
            None => upstream.services.binary_search(&request.service).is_ok(),
        };
        if !served {
            return Err(Reason::NotServed);
        }
        if self.config.zones[upstream.zone].state == AdminState::Out {
            return Err(Reason::ZoneOut);
        }
        if upstream.state == AdminState::Out {
            return Err(Reason::Leaving);
        }
        let region = &self.config.zones[upstream.zone].region;
        if request
            .regions
            .is_some_and(|regions| regions.binary_search(region).is_err())
        {
            return Err(Reason::Region);
        }
        if request.excluded.contains(&upstream.name) {
            return Err(Reason::Excluded);
        }
        Ok(())
    }

    /// Checks whether a warm upstream has room. This instance may always use its share of the
    /// limit, and more than that where load reports show unused shares of other instances.
    fn check_warm(
        &self,
        request: &Request,
        upstream: id::Upstream,
        state: &State,
        sharers: usize,
    ) -> Result<Grant, Reason> {
        let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
        let (share, common) = self.limits(request.priority, upstream, state, sharers);
        if state.running < share {
            return Ok(Grant::Warm);
        }
        // All sharers may borrow at once between two reports, so each gets twice its part of the
        // spare capacity.
        let spare = common.saturating_sub(state.reported_requests());
        let borrowed = (2 * spare).div_ceil(sharers);
        if state.started_since_report() < borrowed && state.estimated_requests() < common {
            return Ok(Grant::Warm);
        }
        Err(Reason::Full)
    }

    /// Returns this instance's share of the limit of a warm upstream, and the limit up to which
    /// requests of a priority use capacity that other instances leave free.
    pub fn limits(
        &self,
        priority: Priority,
        upstream: id::Upstream,
        state: &State,
        sharers: u32,
    ) -> (u32, u32) {
        let limit =
            f64::from(self.config.upstreams[upstream].warm) * state.slow_start_share(self.now);
        let share = (limit.ceil() as u32 / sharers).max(1);
        let common = match priority {
            Priority(0) => limit.ceil() as u32,
            _ => (limit * NORMAL_PRIORITY_SHARE).ceil() as u32,
        };
        (share, common)
    }

    /// Checks whether the rate limit of a cold upstream has room for a request of this instance.
    fn check_rate_limit(&self, state: &State) -> Result<Grant, Reason> {
        if state.rate_limiter.allows(state.cold_share, self.now) {
            return Ok(Grant::RateLimited);
        }
        Err(Reason::Cold)
    }

    /// Checks whether a slot of a cold upstream is free or, for a request with a ticket, whether
    /// its slot is still valid.
    fn check_slot(
        &self,
        request: &Request,
        state: &State,
        ticket: Option<u64>,
    ) -> Result<Grant, Reason> {
        if request.deadline.since(self.now) > self.views.bounds().run {
            return Err(Reason::Cold);
        }
        let others = state.running - u32::from(ticket.is_some());
        let slot = state
            .slots
            .usable_slot(self.views, others, ticket, self.now);
        slot.map(|slot| Grant::Cold { slot }).ok_or(Reason::Cold)
    }
}

//! What the balancer learns from the requests that it placed, and the costs that follow.

use super::Balancer;
use super::candidates::Asked;
use crate::completion::{Basis, Cost, Engine};
use crate::demand::Demand;
use crate::estimate::pace::Pace;
use crate::query::{Choice, Outcome};
use crate::restriction::Incarnation;
use crate::runs::Run;
use crate::score::Affinity;
use entity::{Moment, id, name};
use std::sync::Arc;

impl Balancer {
    /// Records the first event of the answer to a choice: its work is no longer pending, and it tells
    /// the speed of its engine.
    pub fn record_first_event(&mut self, upstream: &name::Upstream, ticket: u64, now: Moment) {
        self.remove_pending(upstream, ticket);
        let Some(state) = self.states.by_name_mut(upstream) else {
            return;
        };
        if let Some(run) = state.runs.begin(ticket, now) {
            self.observe_first_event(upstream, &run, now);
        }
    }

    fn observe_first_event(&mut self, upstream: &name::Upstream, run: &Run, now: Moment) {
        let Some(id) = self.config.upstream(upstream.as_str()) else {
            return;
        };
        let upstream = &self.config.upstreams[id];
        let (Some(registration), Some(service)) =
            (&upstream.registration, upstream.services.first())
        else {
            return;
        };
        if registration.incarnation != run.incarnation {
            return;
        }
        let incarnation = Incarnation {
            upstream: upstream.name.clone(),
            number: run.incarnation,
        };
        let service = &self.config.services[*service].name;
        self.learned
            .observe_first_event(service, &incarnation, run, now);
    }

    /// Learns from the end of a request at an engine.
    pub(super) fn observe_end(
        &mut self,
        choice: &Choice,
        run: &Run,
        outcome: Outcome,
        now: Moment,
    ) {
        let waited = now.since(run.sent);
        let is_late = run.expected.is_some_and(|expected| waited > expected);
        if run.begun.is_none() && outcome == Outcome::Failed && is_late {
            self.observe_first_event(&choice.upstream, run, now);
        }
        let (Some(begun), Some(generated)) = (run.begun, choice.generated) else {
            return;
        };
        let tokens = f64::from(generated) * run.demand.weight;
        let (service, ..) = choice.names();
        self.learned
            .paces
            .observe_output(service, tokens, now.since(begun));
        if let Some(claim) = &run.demand.output {
            self.learned.lengths.record(claim, generated, now);
        }
    }

    /// Returns what this instance observed of the speeds of engines, to be told to peers.
    pub fn paces(&self, now: Moment) -> Vec<Pace> {
        self.learned.paces.told(now)
    }

    /// Records what a peer observed of the speeds of engines.
    pub fn record_peer_paces(&mut self, peer: &name::Instance, paces: &[Pace], now: Moment) {
        let config = Arc::clone(&self.config);
        let service_of = |upstream: &name::Upstream| {
            let id = config.upstream(upstream.as_str())?;
            let service = config.upstreams[id].services.first()?;
            Some(&config.services[*service].name)
        };
        self.learned.paces.record_peer(peer, paces, service_of, now);
    }

    /// Returns the expected cost of a request at a registered engine; none if engines are not compared
    /// by it.
    pub(super) fn cost(
        &self,
        id: id::Upstream,
        affinity: Affinity,
        (demand, asked): (&Demand, &Asked<'_>),
        now: Moment,
    ) -> Option<Cost> {
        let upstream = &self.config.upstreams[id];
        let registration = upstream.registration.as_ref()?;
        if !self.compares_by_work() {
            return None;
        }
        let engine = Engine {
            service: &self.config.services[*upstream.services.first()?].name,
            upstream: &upstream.name,
            incarnation: registration.incarnation,
            memory: registration.memory,
            runs: &self.states.in_use(id).runs,
            others: asked.others.at(id),
            mean_held: asked.mean_held,
        };
        let asked = (demand, affinity, asked.length);
        Some(self.learned.cost(&engine, asked, now))
    }

    /// Returns whether engines are compared by the expected end of a request.
    pub(super) fn compares_by_work(&self) -> bool {
        self.basis == Basis::Work
    }

    /// Returns the incarnation of a registered upstream.
    pub(super) fn incarnation(&self, upstream: id::Upstream) -> Option<u64> {
        let registration = self.config.upstreams[upstream].registration.as_ref()?;
        Some(registration.incarnation)
    }

    /// Returns the mean tokens that a request of this instance holds at an engine.
    pub(super) fn mean_held(&self) -> f64 {
        let (mut held, mut count) = (0.0, 0);
        for state in self.states.iter() {
            held += state.runs.held();
            count += state.runs.len();
        }
        held / f64::from(u32::try_from(count.max(1)).unwrap_or(u32::MAX))
    }
}

//! What an instance tells operators about itself.

use crate::context::Context;
use adoption::Verdict;
use bytes::Bytes;
use entity::{Generation, Span, name};
use journal::usage::Stats;
use quality::Verdict as RolloutVerdict;
use serde::Serialize;

/// The state of one instance.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The instance.
    pub instance: name::Instance,
    /// Its zone.
    pub zone: name::Zone,
    /// The generation in force; 0 where none is.
    pub generation: Generation,
    /// Who published it.
    pub author: Option<Box<str>>,
    /// Why the configuration stream can't be read on, if it can't.
    pub fault: Option<Box<str>>,
    /// Whether requests are served, going by whom the instance hears from.
    pub serving: bool,
    /// Whether it is being shut down.
    pub draining: bool,
    /// Time since the log was last read, by it or by anybody that it heard of.
    pub log_age: Option<Span>,
    /// Instances on the list.
    pub listed: usize,
    /// Usage records of its own that the log has not confirmed yet.
    pub unappended: usize,
    /// Usage records held for fellows.
    pub held: usize,
    /// Upstreams that are believed to be in cold start.
    pub cold: Vec<name::Upstream>,
    /// Zones that are out.
    pub zones_out: Vec<name::Zone>,
    /// Roll-outs, as the text states them.
    pub rollouts: Vec<Rollout>,
}

/// A roll-out under way.
#[derive(Clone, Debug, Serialize)]
pub struct Rollout {
    /// The service.
    pub service: name::Service,
    /// The version in service.
    pub from: name::Version,
    /// The new version.
    pub to: name::Version,
    /// The share in the text.
    pub share: entity::unit::Share,
    /// Whether a brake is known.
    pub braked: bool,
}

/// The state as JSON.
pub async fn page(context: &Context) -> Bytes {
    let usage = context.usage.stats().await.unwrap_or_default();
    serde_json::to_vec(&status(context, &usage))
        .unwrap_or_default()
        .into()
}

fn status(context: &Context, usage: &Stats) -> Status {
    let snapshot = context.snapshot();
    let own = &context.settings.instance;
    let told = context.told.load();
    let cold = told
        .digest
        .suspicions
        .iter()
        .filter_map(|cold| cold.upstream.parse().ok());
    Status {
        instance: own.name.clone(),
        zone: own.zone.clone(),
        generation: context.generation(),
        author: snapshot.as_ref().map(|snapshot| snapshot.author.clone()),
        fault: context.configuration.fault.borrow().clone(),
        serving: snapshot.is_some() && context.contact.verdict() == Verdict::Serve,
        draining: context.is_draining(),
        log_age: context.contact.log_age(),
        listed: context.members.borrow().list.instances.len(),
        unappended: usage.open,
        held: usage.held,
        cold: cold.collect(),
        zones_out: zones_out(context),
        rollouts: rollouts(context, &told.verdicts),
    }
}

fn zones_out(context: &Context) -> Vec<name::Zone> {
    let Some(snapshot) = context.snapshot() else {
        return Vec::new();
    };
    let mut out = Vec::new();
    for (_, zone) in snapshot.config.zones.iter() {
        if zone.state == config::Presence::Out {
            out.push(zone.name.clone());
        }
    }
    out
}

fn rollouts(context: &Context, verdicts: &[RolloutVerdict]) -> Vec<Rollout> {
    let Some(snapshot) = context.snapshot() else {
        return Vec::new();
    };
    let config = &snapshot.config;
    let mut rollouts = Vec::new();
    for rollout in &config.rollouts {
        let service = config.services[rollout.service].name.clone();
        let to = config.versions[rollout.to].name.clone();
        let braked = verdicts.iter().any(|verdict| match verdict {
            RolloutVerdict::Brake(brake) => {
                brake.rollout.service == service && brake.rollout.to == to
            }
            RolloutVerdict::Lift(_) => false,
        });
        let from = config.versions[rollout.from].name.clone();
        rollouts.push(Rollout {
            service,
            from,
            to,
            share: rollout.share,
            braked,
        });
    }
    rollouts
}

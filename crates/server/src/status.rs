//! Status of an instance, for operators.

use crate::context::Context;
use adoption::Verdict;
use bytes::Bytes;
use entity::{Generation, Span, name};
use journal::usage::Stats;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Status of one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
    /// Generation in force; 0 if there is none.
    pub generation: Generation,
    /// Author of that generation.
    pub author: Option<Box<str>>,
    /// Fault that keeps the configuration stream from being read further, if any.
    pub fault: Option<Box<str>>,
    /// Whether requests are served; they are not while the instance is isolated.
    pub serving: bool,
    /// Whether the instance is shutting down.
    pub draining: bool,
    /// Time since the log was last read, by this instance or by a peer as far as it is known.
    pub log_age: Option<Span>,
    /// Number of instances on the instance list.
    pub listed: usize,
    /// Number of own usage records that the log has not confirmed yet.
    pub unappended: usize,
    /// Number of usage records held for peers.
    pub held: usize,
    /// Upstreams that are suspected to be in cold start.
    pub cold: Vec<name::Upstream>,
    /// Availability zones that are out.
    pub zones_out: Vec<name::Zone>,
    /// Rollouts of the configuration in force.
    pub rollouts: Vec<Rollout>,
}

/// A rollout in progress.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rollout {
    /// The service.
    pub service: name::Service,
    /// The baseline version.
    pub from: name::Version,
    /// The candidate version.
    pub to: name::Version,
    /// Canary share in the configuration.
    pub share: entity::unit::Share,
    /// Whether the rollout is braked.
    pub braked: bool,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} in {}: generation {}",
            self.instance, self.zone, self.generation
        )?;
        if let Some(author) = &self.author {
            write!(f, " by {author}")?;
        }
        f.write_str(if self.serving {
            ", serving"
        } else {
            ", not serving"
        })?;
        if self.draining {
            f.write_str(", shutting down")?;
        }
        match self.log_age {
            Some(age) => write!(f, "\n  log read {:.1} s ago", age.as_secs_f64())?,
            None => f.write_str("\n  log not read yet")?,
        }
        write!(f, "; {} instances listed", self.listed)?;
        write!(
            f,
            "; usage records: {} to append, {} held",
            self.unappended, self.held
        )?;
        if let Some(fault) = &self.fault {
            write!(f, "\n  fault: {fault}")?;
        }
        for zone in &self.zones_out {
            write!(f, "\n  zone {zone} is out")?;
        }
        for upstream in &self.cold {
            write!(f, "\n  upstream {upstream} is suspected to be cold")?;
        }
        for rollout in &self.rollouts {
            write!(f, "\n  {rollout}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Rollout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            service,
            from,
            to,
            share,
            braked,
        } = self;
        write!(f, "roll-out of {service}: {from} to {to}, from {share}")?;
        f.write_str(if *braked { ", braked" } else { "" })
    }
}

/// Returns the status as JSON.
pub async fn page(context: &Context) -> Bytes {
    let usage = context.usage.stats().await.unwrap_or_default();
    serde_json::to_vec(&status(context, &usage))
        .unwrap_or_default()
        .into()
}

fn status(context: &Context, usage: &Stats) -> Status {
    let snapshot = context.snapshot();
    let own = &context.settings.instance;
    let announcement = context.announcement.load();
    let cold = announcement
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
        rollouts: rollouts(context, &announcement.braked),
    }
}

fn zones_out(context: &Context) -> Vec<name::Zone> {
    let Some(snapshot) = context.snapshot() else {
        return Vec::new();
    };
    let mut out = Vec::new();
    for (_, zone) in snapshot.config.zones.iter() {
        if zone.state == config::AdminState::Out {
            out.push(zone.name.clone());
        }
    }
    out
}

fn rollouts(context: &Context, braked: &[name::Service]) -> Vec<Rollout> {
    let Some(snapshot) = context.snapshot() else {
        return Vec::new();
    };
    let config = &snapshot.config;
    let mut rollouts = Vec::new();
    for rollout in &config.rollouts {
        let service = config.services[rollout.service].name.clone();
        let to = config.versions[rollout.to].name.clone();
        let braked = braked.contains(&service);
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

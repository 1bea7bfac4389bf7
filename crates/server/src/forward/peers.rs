//! What instances tell each other, and what one of them writes to the store for all.
//!
//! Instances find each other in a topic of the store, and then by datagrams, which carry what each
//! knows of trials of releases. All reach the same ruling from the same evidence; the first in a
//! rendezvous order writes it, and the others only if it is not written in time.

use crate::forward::belief::boot_time;
use crate::forward::feed;
use crate::forward::freshness::FOLLOWED;
use crate::forward::front::Shared;
use crate::forward::payload::{
    number, read_acquaintance, read_load, read_told, read_trial, write_acquaintance, write_load,
    write_told, write_trial,
};
use crate::rendezvous;
use entity::{Moment, Span, name};
use fellow::beacon::{self, Socket};
use fellow::message::{self, Beacon};
use forward::Source;
use forward::catalog::{Entry, Instance};
use forward::updates::Told;
use forward::source::Topic;
use quality::release::Report;
use quality::trial::Ruling;
use routing::Members;
use routing::membership::{Membership, Peer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use timeline::Kind;
use tokio_util::sync::CancellationToken;

/// Time between two rounds of beacons among a few instances: a prompt that another instance has sent
/// an engine is to be known there before its first event.
const SMALL_PERIOD: Duration = Duration::from_millis(100);
/// Time between two rounds among many, so that a bad release is stopped everywhere within a second.
const LARGE_PERIOD: Duration = Duration::from_millis(400);
/// Instances that one beacon tells of: together, the beacons of a round tell of each several times.
const MENTIONED: usize = 8;
/// Time that the next instance in the order waits for the one before to write.
const TURN: Span = Span::from_millis(500);
/// Instances that read the store for all.
const READERS: u64 = 2;
/// What readers are ranked by.
const READERS_KEY: &str = "readers of the store";
/// Time without a moment in which all datagrams were taken in, after which their age is unknown.
const BEHIND: Span = Span::from_millis(300);
/// Pause after a failed call of the store.
const PAUSE: Duration = Duration::from_millis(300);

/// What the task needs.
pub struct Parts {
    /// What the requests share.
    pub shared: Arc<Shared>,
    /// This instance.
    pub own: name::Instance,
    /// Its zone.
    pub zone: name::Zone,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Takes records that others told.
    pub feed: feed::Handle,
}

/// A ruling that waits to be written.
#[derive(Clone, Debug)]
struct Pending {
    service: name::Service,
    target: name::Version,
    since: Moment,
}

struct Task<S> {
    parts: Parts,
    source: S,
    socket: Socket,
    peers: Membership,
    pending: Vec<Pending>,
    version: u64,
    /// When the task last had nothing left to take in.
    caught_up: Moment,
}

/// Binds the address and starts the task.
///
/// # Errors
///
/// The address can't be bound.
pub async fn bind(
    parts: Parts,
    source: impl Source,
    cancel: CancellationToken,
) -> std::io::Result<()> {
    let socket = Socket::bind(parts.address).await?;
    let task = Task {
        peers: Membership::new(parts.own.clone(), parts.zone.clone()),
        parts,
        source,
        socket,
        pending: Vec::new(),
        version: 0,
        caught_up: Moment(0),
    };
    tokio::spawn(async move {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = task.run() => {}
        }
    });
    Ok(())
}

impl<S: Source> Task<S> {
    async fn run(mut self) {
        self.join().await;
        let mut next = tokio::time::Instant::now();
        loop {
            if !self.socket.has_next() {
                self.caught_up = boot_time();
            }
            tokio::select! {
                received = self.socket.receive() => match received {
                    Ok(beacon) => self.take(&beacon).await,
                    Err(beacon::Error::Payload(error)) => self.note("beacon", &error.to_string()),
                    Err(beacon::Error::Socket(error)) => {
                        self.note("socket", &error.to_string());
                        tokio::time::sleep(PAUSE).await;
                    }
                },
                () = tokio::time::sleep_until(next) => {
                    let Ok(reports) = self.parts.shared.core.decider.reports().await else {
                        return;
                    };
                    let few = self.peers.is_small();
                    next += if few { SMALL_PERIOD } else { LARGE_PERIOD };
                    next = next.max(tokio::time::Instant::now());
                    self.round(&reports).await;
                }
            }
        }
    }

    /// Writes this instance's entry, then reads those of others: of two that join at once, at least
    /// one finds the other.
    async fn join(&mut self) {
        let own = Instance {
            name: self.parts.own.clone(),
            address: self.parts.address,
            written: self.now(),
        };
        while let Err(error) = self.source.write_instance(&own.name, Some(&own)).await {
            self.note("store", &error.to_string());
            tokio::time::sleep(PAUSE).await;
        }
        let listing = loop {
            match self.source.newest(Topic::Instances).await {
                Ok(listing) => break listing,
                Err(error) => self.note("store", &error.to_string()),
            }
            tokio::time::sleep(PAUSE).await;
        };
        let now = self.now();
        for item in listing.items {
            if let Ok(Some(Entry::Instance(instance))) = item.entry {
                self.peers.record_mention(Peer {
                    name: instance.name,
                    address: instance.address,
                    zone: None,
                    last_seen: now,
                });
            }
        }
    }

    fn now(&self) -> Moment {
        self.parts.shared.core.clock.now()
    }

    fn note(&self, what: &str, error: &str) {
        let recorder = &self.parts.shared.core.recorder;
        recorder
            .event(Kind::Outage)
            .text("peers", what)
            .text("why", error)
            .record();
    }

    async fn take(&mut self, beacon: &Beacon) {
        let (Ok(name), Ok(address)) = (beacon.instance.parse(), beacon.address.parse()) else {
            self.note("beacon", "the sender has no valid name or address");
            return;
        };
        let now = self.now();
        if beacon.leaving {
            self.peers.record_departure(&name, now);
        } else {
            self.peers.observe(Peer {
                name: name.clone(),
                address,
                zone: beacon.zone.as_ref().and_then(|zone| zone.parse().ok()),
                last_seen: now,
            });
        }
        for mentioned in beacon.acquaintances.iter().flatten() {
            if let Some(peer) = read_acquaintance(mentioned, now) {
                self.peers.record_mention(peer);
            }
        }
        let decider = &self.parts.shared.core.decider;
        let loads = beacon.loads.iter().filter_map(read_load).collect();
        decider.record_peer_loads(name, loads, self.peers.len()).await;
        self.take_sights(beacon).await;
        let reports: Vec<Report> = beacon.trials.iter().filter_map(read_trial).collect();
        if !reports.is_empty() {
            decider.merge_reports(reports).await;
        }
    }

    async fn round(&mut self, reports: &[Report]) {
        self.tell_members().await;
        let readers = self.rank(READERS_KEY, self.now()) < READERS;
        self.parts.shared.freshness.set_reader(readers);
        let leaving = self.parts.shared.core.is_draining();
        let beacon = Beacon {
            instance: self.parts.own.to_string(),
            address: self.parts.address.to_string(),
            leaving,
            trials: reports.iter().map(write_trial).collect(),
            loads: self.loads().await,
            sights: self.sights(),
            told: self.told(),
            zone: Some(self.parts.zone.to_string()),
            acquaintances: Some(self.mentioned()),
        };
        match beacon::encode(&beacon) {
            Ok(payload) => self.send(&payload).await,
            Err(error) => self.note("beacon", &error.to_string()),
        }
        if !leaving {
            self.write(reports).await;
        }
    }

    /// How far this instance knows the topics of the store.
    fn sights(&self) -> Vec<message::Sight> {
        let freshness = &self.parts.shared.freshness;
        let now = boot_time();
        let mut sights = Vec::new();
        for topic in FOLLOWED {
            let Some(age) = freshness.age(topic, now) else {
                continue;
            };
            sights.push(message::Sight {
                topic: number(topic),
                digest: freshness.digest(topic) as i64,
                age_us: age.as_micros() as i64,
            });
        }
        sights
    }

    /// Records that changed something lately.
    fn told(&self) -> Vec<message::Told> {
        let told = self.parts.shared.freshness.updates().announced(boot_time());
        told.into_iter().map(write_told).collect()
    }

    /// Takes in what another instance knows of the store, unless this one has been standing still:
    /// then it can't tell how long ago that was sent.
    async fn take_sights(&self, beacon: &Beacon) {
        let told: Vec<Told> = beacon.told.iter().filter_map(read_told).collect();
        let values = self.parts.shared.freshness.updates().values(&told);
        for topic in FOLLOWED {
            let mut items = Vec::new();
            for value in &values {
                match value {
                    Ok(value) if value.topic == topic => {
                        let (key, offset) = (&value.key, value.offset);
                        items.push(self.source.read(topic, key, offset, &value.bytes));
                    }
                    Ok(_) => {}
                    Err(error) => self.note("record", &error.to_string()),
                }
            }
            if !items.is_empty() {
                self.parts.feed.told(topic, items).await;
            }
        }
        if self.is_behind() {
            return;
        }
        let now = boot_time();
        for sight in &beacon.sights {
            let found = FOLLOWED.iter().find(|topic| number(**topic) == sight.topic);
            let Some(&topic) = found else {
                continue;
            };
            // The datagram came after the last moment at which none waited.
            let waited = now.since(self.caught_up);
            let age = Span::from_micros(sight.age_us.max(0) as u64) + waited;
            let freshness = &self.parts.shared.freshness;
            freshness.observe(topic, sight.digest as u64, age, now);
        }
    }

    /// Whether datagrams may have waited here for long.
    fn is_behind(&self) -> bool {
        boot_time().since(self.caught_up) > BEHIND
    }

    /// What this instance has running. An instance that is closing tells of nothing.
    async fn loads(&self) -> Vec<message::UpstreamLoad> {
        let loads = self.parts.shared.core.decider.loads().await;
        loads.unwrap_or_default().iter().map(write_load).collect()
    }

    /// Some of the instances that this one has heard of.
    fn mentioned(&self) -> Vec<message::Acquaintance> {
        let now = self.now();
        let mut random = rand::rng();
        let sample = self.peers.sample(MENTIONED, now, &mut random);
        let write = |peer| write_acquaintance(peer, now);
        sample.into_iter().map(write).collect()
    }

    async fn send(&self, payload: &[u8]) {
        let gossip_targets = self.peers.gossip_targets(&mut rand::rng());
        for address in gossip_targets {
            // A datagram that can't be sent is as good as a lost one.
            let _ = self.socket.send(payload, address).await;
        }
    }

    /// Tells the decider who shares cold upstreams.
    async fn tell_members(&mut self) {
        let now = self.now();
        let names = self.peers.live(now).cloned().collect();
        self.version += 1;
        let members = Members::new(self.version, names);
        let decider = &self.parts.shared.core.decider;
        decider.members(members, now, now).await;
    }

    /// Writes rulings that are this instance's turn to write.
    async fn write(&mut self, reports: &[Report]) {
        let now = self.now();
        for report in reports {
            let due = match report.ruling {
                Some(_) if report.written => None,
                None if report.complete => Some(Ruling::Good),
                ruling => ruling,
            };
            let Some(ruling) = due else {
                continue;
            };
            let wait =
                Span::from_micros(TURN.as_micros() * self.rank(report.service.as_str(), now));
            if now.since(self.pending_since(report, now)) < wait {
                continue;
            }
            self.write_one(report, ruling).await;
        }
    }

    async fn write_one(&mut self, report: &Report, ruling: Ruling) {
        let progress = match ruling {
            Ruling::Good => config::Progress::Completed,
            Ruling::Bad => config::Progress::RolledBack,
        };
        let release = report.target.as_str();
        let release = release.rsplit_once('/').map_or(release, |(_, last)| last);
        let written = self.source.report(&report.service, release, progress);
        if let Err(error) = written.await {
            // It is written again in the next round.
            self.note("store", &error.to_string());
            return;
        }
        let core = &self.parts.shared.core;
        core.recorder
            .event(Kind::Judged)
            .text("service", &report.service)
            .text("target", &report.target)
            .text("ruling", format!("{ruling:?}"))
            .text("age", report.age)
            .record();
        core.decider
            .written(report.service.clone(), report.target.clone(), ruling)
            .await;
    }

    /// Since when a ruling waits to be written.
    fn pending_since(&mut self, report: &Report, now: Moment) -> Moment {
        let found = self
            .pending
            .iter()
            .find(|one| one.service == report.service && one.target == report.target);
        if let Some(pending) = found {
            return pending.since;
        }
        self.pending.push(Pending {
            service: report.service.clone(),
            target: report.target.clone(),
            since: now,
        });
        now
    }

    /// This instance's place in the order of those that do something for all.
    fn rank(&self, key: &str, now: Moment) -> u64 {
        let ranked = rendezvous::ranked(self.peers.live(now), |name| name, key);
        let rank = ranked.iter().position(|name| **name == self.parts.own);
        rank.unwrap_or_default() as u64
    }
}

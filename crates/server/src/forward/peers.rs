//! Gossip between forwarding instances, and the rulings that one of them writes to the store for
//! all.
//!
//! Instances discover each other through a topic of the store and then exchange datagrams
//! (beacons), which carry their evidence about trials of releases. All instances reach the same
//! ruling from the same evidence. The first in a rendezvous order writes it; the others write it
//! only if it is not written in time.

mod rulings;

use crate::build;
use crate::decider::Closed;
use crate::forward::builds::Builds;
use crate::forward::evidence;
use crate::forward::feed;
use crate::forward::front::Shared;
use crate::forward::key_validity::boot_time;
use crate::forward::paths::Carrier;
use crate::forward::payload::{
    decode_departure, decode_era, decode_limit, decode_load, decode_news, decode_pace, decode_peer,
    decode_trial, decode_update, encode_departure, encode_limit, encode_load, encode_pace,
    encode_peer, encode_rebuttals, encode_suspects, encode_trial, encode_update, topic_number,
};
use crate::forward::reach;
use crate::forward::trial_log;
use crate::rendezvous;
use entity::unit::Share;
use entity::{Era, Moment, Span, name};
use forward::catalog::{Entry, Instance};
use forward::clocks::{Clocks, Run, Stamp};
use forward::source::Topic;
use forward::updates::AnnouncedRecord;
use forward::{Followed, Source, ZoneRegions};
use peer::beacon::{self, Datagram, Socket};
use peer::message::{self, Beacon};
use quality::hearing::Hearing;
use quality::release::Report;
use quality::ruling;
use routing::Members;
use routing::membership::{Membership, Peer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use timeline::{Counter, Kind};
use tokio_util::sync::CancellationToken;

/// Interval between rounds of beacons among a few instances. A prompt that a peer has sent to an
/// engine has to be known before the prompt's first event.
const SMALL_ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between rounds among many instances, so that a bad release is stopped everywhere within
/// a second.
const LARGE_ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between rounds among many instances while a share of the sessions is on a new release: the
/// evidence of all is needed soon.
const TRIAL_ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which a step of a release's share reaches all instances: each passes it on at once, to all
/// peers or to thirteen, and once more in its next round.
const STEP_LEAD: Span = Span::from_millis(500);
/// Time after its start for which an instance waits for a peer that tells it the state.
const INTRODUCTION_TIMEOUT: Span = Span::from_millis(1000);
/// Number of peers that one beacon mentions; the beacons of a round mention each peer several
/// times.
const PEERS_PER_BEACON: usize = 8;
/// Number of instances that read the store for all.
const READER_COUNT: usize = 2;
/// Rendezvous key by which the readers of the store, and the instances that try held requests again,
/// are ranked.
const DUTIES_KEY: &str = "readers of the store";
/// Time over which the instances spread the renewal of their entries.
const ENTRY_RENEWAL_SPREAD: Duration = Duration::from_secs(2);
/// Number of tries to renew an entry. A missing one delays only instances that start anew.
const ENTRY_RENEWAL_TRIES: u32 = 10;
/// Delay after a failed call of the store or of the socket.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// State and channels of the task.
pub struct Parts {
    /// State shared by the requests.
    pub shared: Arc<Shared>,
    /// Name of this instance.
    pub own: name::Instance,
    /// Availability zone of this instance.
    pub zone: name::Zone,
    /// All availability zones with their regions.
    pub regions: ZoneRegions,
    /// Address on which it receives beacons.
    pub address: SocketAddr,
    /// Applies records that peers relay.
    pub feed: feed::Handle,
}

struct Task<S> {
    parts: Parts,
    source: S,
    socket: Socket,
    peers: Membership,
    rulings: ruling::Writer,
    hearing: Hearing,
    trials: trial_log::Log,
    version: u64,
    /// This run of the process, as its messages name it.
    run: Run,
    /// Peers that say that their links to upstreams are cut, sorted.
    cut_off: Vec<name::Instance>,
    /// Other builds that peers run.
    builds: Builds,
    /// Clocks of the peers, in relation to the boot time here.
    clocks: Clocks,
    /// Era of the store in which this instance wrote its entry.
    entry_era: Era,
    /// Time at which this instance knew its peers.
    joined_at: Moment,
}

/// Binds the address and starts the task.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
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
        rulings: ruling::Writer::default(),
        hearing: Hearing::default(),
        trials: trial_log::Log::default(),
        version: 0,
        run: Run(rand::random()),
        cut_off: Vec::new(),
        builds: Builds::new(build::name()),
        clocks: Clocks::default(),
        entry_era: Era::default(),
        joined_at: Moment(0),
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
        self.joined_at = self.now();
        let mut next = tokio::time::Instant::now();
        loop {
            tokio::select! {
                received = self.socket.receive() => match received {
                    Ok(Datagram::Beacon(beacon)) => self.receive_beacon(&beacon).await,
                    Ok(Datagram::Clock(clock)) => self.receive_clock(&clock).await,
                    Err(beacon::Error::Payload(error)) => self.record_outage("beacon", &error.to_string()),
                    Err(beacon::Error::Socket(error)) => {
                        self.record_outage("socket", &error.to_string());
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                },
                () = tokio::time::sleep_until(next) => {
                    let Ok(reports) = self.reports().await else {
                        return;
                    };
                    next += self.round_interval(&reports);
                    next = next.max(tokio::time::Instant::now());
                    self.run_round(&reports).await;
                }
            }
        }
    }

    fn round_interval(&self, reports: &[Report]) -> Duration {
        let is_partial = |share| share != Share::NONE && share != Share::WHOLE;
        if self.peers.is_small() {
            SMALL_ROUND_INTERVAL
        } else if reports.iter().any(|report| is_partial(report.share)) {
            TRIAL_ROUND_INTERVAL
        } else {
            LARGE_ROUND_INTERVAL
        }
    }

    /// Returns reports on trials, for the peers.
    async fn reports(&mut self) -> Result<Vec<Report>, Closed> {
        let live = self.peers.live_peers(self.now()).count();
        let heard = self.hearing.heard(live, boot_time());
        let decider = &self.parts.shared.core.decider;
        decider.reports(STEP_LEAD, heard).await
    }

    /// Writes this instance's entry, then reads those of its peers: of two instances that join at
    /// once, at least one finds the other.
    async fn join(&mut self) {
        let own = self.entry();
        while let Err(error) = self.source.write_instance(&own.name, Some(&own)).await {
            self.record_outage("store", &error.to_string());
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let listing = loop {
            match self.source.newest(Topic::Instances).await {
                Ok(listing) => break listing,
                Err(error) => self.record_outage("store", &error.to_string()),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        };
        let now = self.now();
        self.entry_era = listing.era;
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

    fn entry(&self) -> Instance {
        Instance {
            name: self.parts.own.clone(),
            address: self.parts.address,
            written_at: self.now(),
        }
    }

    /// Writes this instance's entry again once the store has come back from a copy, which may lack
    /// it. New instances find their peers by it.
    fn renew_entry(&mut self) {
        let era = self.parts.shared.freshness.era();
        if era <= self.entry_era {
            return;
        }
        self.entry_era = era;
        let (source, own) = (self.source.clone(), self.entry());
        let recorder = self.parts.shared.core.recorder.clone();
        let delay = ENTRY_RENEWAL_SPREAD.mul_f64(rand::random());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            for _ in 0..ENTRY_RENEWAL_TRIES {
                let Err(error) = source.write_instance(&own.name, Some(&own)).await else {
                    return;
                };
                let draft = recorder.event(Kind::Outage).text("peers", "store");
                draft.text("why", error.to_string()).record();
                tokio::time::sleep(RETRY_DELAY).await;
            }
        });
    }

    fn now(&self) -> Moment {
        self.parts.shared.core.clock.now()
    }

    fn record_outage(&self, what: &str, error: &str) {
        let recorder = &self.parts.shared.core.recorder;
        recorder
            .event(Kind::Outage)
            .text("peers", what)
            .text("why", error)
            .record();
    }

    async fn receive_beacon(&mut self, beacon: &Beacon) {
        let (Ok(name), Ok(address)) = (beacon.instance.parse(), beacon.address.parse()) else {
            self.record_outage("beacon", "the sender has no valid name or address");
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
        self.record_cut_off(&name, beacon.cut_off.unwrap_or_default());
        self.record_build(&name, beacon.build.as_deref());
        for mentioned in beacon.acquaintances.iter().flatten() {
            if let Some(peer) = decode_peer(mentioned, now) {
                self.peers.record_mention(peer);
            }
        }
        let sent = self.sending_time(beacon, &name, address).await;
        if let Some(sent) = sent {
            self.hearing.record(&name, sent);
        }
        let shared = &self.parts.shared;
        let age = sent.map(|sent| boot_time().since(sent));
        evidence::receive(&shared.core, &name, beacon, age).await;
        for departure in beacon
            .departures
            .iter()
            .flatten()
            .filter_map(decode_departure)
        {
            let core = &shared.core;
            let why = ("leaves or has ended", "peer");
            shared.notices.record_leaving(core, departure, why).await;
        }
        let limits = beacon.limits.iter().flatten();
        for (incarnation, limit) in limits.filter_map(|limit| decode_limit(limit, now)) {
            let (core, notices) = (&shared.core, &shared.notices);
            notices.record_limit(core, incarnation, limit, "peer").await;
        }
        let (suspects, rebuttals) = (beacon.suspects.as_deref(), beacon.rebuttals.as_deref());
        let parts = decode_news(suspects, rebuttals, now);
        let rebuttals = beacon.request_rebuttals.as_deref();
        let requests = decode_news(beacon.requests.as_deref(), rebuttals, now);
        shared.holds.receive(&shared.core, &parts, &requests);
        let decider = &self.parts.shared.core.decider;
        let loads = beacon.loads.iter().filter_map(decode_load).collect();
        decider
            .record_peer_loads(name.clone(), loads, self.peers.len())
            .await;
        let paces = beacon.paces.iter().flatten().filter_map(decode_pace);
        decider.record_peer_paces(name, paces.collect()).await;
        self.receive_updates(beacon, sent).await;
        let reports: Vec<Report> = beacon.trials.iter().filter_map(decode_trial).collect();
        if !reports.is_empty() && decider.merge_reports(reports).await {
            self.pass_on().await;
        }
        // One that hasn't been told anything itself has nothing to tell.
        if beacon.newcomer == Some(true) && self.parts.shared.is_introduced() {
            self.answer_newcomer(beacon, address).await;
        }
        // A beacon that was sent before this instance started may arrive late.
        if beacon.answered_run == Some(self.run.0 as i64) {
            self.record_introduction();
        }
    }

    /// Sends the state to an instance that has started: it doesn't know the age of an order that is
    /// under way.
    async fn answer_newcomer(&mut self, beacon: &Beacon, address: SocketAddr) {
        let Some((near, far)) = self.payloads(beacon.run).await else {
            return;
        };
        let is_near = beacon.zone.as_deref() == Some(self.parts.zone.as_str());
        // A failure to send is treated as a lost datagram.
        let payload = if is_near { near } else { far };
        let _ = self.socket.send(&payload, address).await;
    }

    /// Sends news of a trial to peers without waiting for the next round.
    async fn pass_on(&mut self) {
        if let Some(payloads) = self.payloads(None).await {
            self.send(payloads).await;
        }
    }

    /// Encodes what this instance tells its peers in their own zone and in other ones, or a newcomer of
    /// this run.
    async fn payloads(&mut self, answered_run: Option<i64>) -> Option<(Vec<u8>, Vec<u8>)> {
        // The decider ends only when the instance is closing.
        let reports = self.reports().await.ok()?;
        let beacon = Beacon {
            answered_run,
            ..self.compose(&reports).await
        };
        match reach::encode(&beacon, self.peers.is_small()) {
            Ok(payloads) => Some(payloads),
            Err(error) => {
                self.record_outage("beacon", &error.to_string());
                None
            }
        }
    }

    fn record_introduction(&self) {
        let introduced = &self.parts.shared.introduced;
        introduced.store(true, Ordering::Relaxed);
    }

    /// Returns a time in boot time before which a beacon was not sent; none while the sender's clock
    /// is unknown. Asks the sender for it if necessary.
    async fn sending_time(
        &mut self,
        beacon: &Beacon,
        peer: &name::Instance,
        address: SocketAddr,
    ) -> Option<Moment> {
        let stamp = Stamp {
            run: Run(beacon.run? as u64),
            time: Moment(u64::try_from(beacon.sent_us?).ok()?),
        };
        let now = boot_time();
        if self.clocks.record_message(peer, stamp.run, now) {
            self.send_clock(now, None, address).await;
        }
        self.clocks.earliest_send(peer, stamp, now)
    }

    /// Answers a peer's question about the clock of this instance, or records a peer's answer.
    async fn receive_clock(&mut self, clock: &message::Clock) {
        let (Ok(name), Ok(address)) = (clock.instance.parse(), clock.address.parse()) else {
            self.record_outage("clock", "the sender has no valid name or address");
            return;
        };
        let Some(asked) = clock.asked_us else {
            self.send_clock(boot_time(), Some(clock.sent_us), address)
                .await;
            return;
        };
        let (Ok(asked), Ok(time)) = (u64::try_from(asked), u64::try_from(clock.sent_us)) else {
            self.record_outage("clock", "a time is negative");
            return;
        };
        let stamp = Stamp {
            run: Run(clock.run as u64),
            time: Moment(time),
        };
        let now = boot_time();
        self.clocks.record_answer(&name, stamp, Moment(asked), now);
    }

    /// Asks an instance for its time at `now`, or answers its question, which was sent at `asked`. An
    /// answer returns the time of the question, by which it is recognised.
    async fn send_clock(&self, now: Moment, asked: Option<i64>, to: SocketAddr) {
        let clock = message::Clock {
            instance: self.parts.own.to_string(),
            address: self.parts.address.to_string(),
            run: self.run.0 as i64,
            sent_us: now.0 as i64,
            asked_us: asked,
        };
        match beacon::encode(&clock) {
            // A failure to send is treated as a lost datagram.
            Ok(payload) => drop(self.socket.send(&payload, to).await),
            Err(error) => self.record_outage("clock", &error.to_string()),
        }
    }

    async fn run_round(&mut self, reports: &[Report]) {
        self.peers.begin_round(self.now());
        self.update_members().await;
        self.update_carriers();
        let recorder = &self.parts.shared.core.recorder;
        self.trials.record(recorder, reports);
        self.renew_entry();
        let rank = self.own_rank(DUTIES_KEY, self.now());
        let is_reader = rank.unwrap_or_default() < READER_COUNT;
        self.parts.shared.freshness.set_reader(is_reader);
        self.parts.shared.holds.set_rank(rank);
        if self.now().since(self.joined_at) >= INTRODUCTION_TIMEOUT {
            self.record_introduction();
        }
        let beacon = self.compose(reports).await;
        match reach::encode(&beacon, self.peers.is_small()) {
            Ok(payloads) => self.send(payloads).await,
            Err(error) => self.record_outage("beacon", &error.to_string()),
        }
        if !beacon.leaving {
            self.write_due_rulings(reports).await;
        }
    }

    /// Returns what this instance tells its peers.
    async fn compose(&self, reports: &[Report]) -> Beacon {
        let loads = self.loads().await;
        let shared = &self.parts.shared;
        let departures = shared.notices.recent_departures(&shared.core);
        let (parts, requests) = shared.holds.news(&shared.core);
        let is_cut_off = shared.paths.is_cut_off();
        let (own_now, now) = (self.now(), boot_time());
        Beacon {
            instance: self.parts.own.to_string(),
            address: self.parts.address.to_string(),
            leaving: shared.core.is_draining(),
            trials: reports.iter().map(encode_trial).collect(),
            loads,
            paces: Some(self.paces().await),
            sights: self.topic_ages(now),
            told: self.recent_updates(),
            zone: Some(self.parts.zone.to_string()),
            acquaintances: Some(self.peer_sample()),
            sent_us: Some(now.0 as i64),
            run: Some(self.run.0 as i64),
            departures: Some(departures.iter().map(encode_departure).collect()),
            suspects: Some(encode_suspects(&parts, own_now)),
            rebuttals: Some(encode_rebuttals(&parts.rebuttals, own_now)),
            limits: Some(self.limits().await),
            requests: Some(encode_suspects(&requests, own_now)),
            request_rebuttals: Some(encode_rebuttals(&requests.rebuttals, own_now)),
            build: Some(build::name().into()),
            cut_off: Some(is_cut_off),
            tried: Some(evidence::tell(&shared.core, is_cut_off).await),
            newcomer: Some(!shared.is_introduced()),
            answered_run: None,
        }
    }

    /// Returns the digest and the age of each followed topic at `now`, in boot time.
    fn topic_ages(&self, now: Moment) -> Vec<message::Sight> {
        let freshness = &self.parts.shared.freshness;
        let mut ages = Vec::new();
        for topic in Followed::ALL {
            let Some(age) = freshness.age(topic, now) else {
                continue;
            };
            ages.push(message::Sight {
                era: Some(freshness.era().0 as i64),
                topic: topic_number(topic.topic()),
                digest: freshness.digest(topic) as i64,
                age_us: age.as_micros() as i64,
            });
        }
        ages
    }

    /// Returns recent records that affected routing.
    fn recent_updates(&self) -> Vec<message::Told> {
        let updates = self.parts.shared.freshness.updates().announced(boot_time());
        updates.into_iter().map(encode_update).collect()
    }

    /// Applies records that a peer relayed and, if it is known when the beacon was sent, the ages of
    /// the peer's reads.
    async fn receive_updates(&self, beacon: &Beacon, sent: Option<Moment>) {
        let updates: Vec<AnnouncedRecord> = beacon.told.iter().filter_map(decode_update).collect();
        let values = self.parts.shared.freshness.updates().decode(&updates);
        for topic in Followed::ALL.map(Followed::topic) {
            let mut items = Vec::new();
            for value in &values {
                match value {
                    Ok(value) if value.topic == topic => {
                        let (key, position) = (&value.key, value.position);
                        items.push(self.source.read(topic, key, position, &value.bytes));
                    }
                    Ok(_) => {}
                    Err(error) => self.record_outage("record", &error.to_string()),
                }
            }
            if !items.is_empty() {
                self.parts.feed.apply_relayed(topic, items).await;
            }
        }
        let Some(sent) = sent else {
            return;
        };
        let now = boot_time();
        for sight in &beacon.sights {
            let mut topics = Followed::ALL.into_iter();
            let found = topics.find(|topic| topic_number(topic.topic()) == sight.topic);
            let Some(topic) = found else {
                continue;
            };
            let read = sent - Span::from_micros(sight.age_us.max(0) as u64);
            let freshness = &self.parts.shared.freshness;
            let era = decode_era(sight.era);
            if era < freshness.era() {
                continue;
            }
            freshness.record_era(topic, era, now);
            freshness.record_peer_digest(topic, sight.digest as u64, read, now);
        }
    }

    /// Returns the work that this instance has at upstreams; nothing if the decider has ended.
    async fn loads(&self) -> Vec<message::UpstreamLoad> {
        let loads = self.parts.shared.core.decider.loads().await;
        loads.unwrap_or_default().iter().map(encode_load).collect()
    }

    /// Returns what this instance saw of the speeds of upstreams; nothing if the decider has ended.
    async fn paces(&self) -> Vec<message::Pace> {
        let paces = self.parts.shared.core.decider.paces().await;
        paces.unwrap_or_default().iter().map(encode_pace).collect()
    }

    /// Returns the limits that upstreams named; nothing if the decider has ended.
    async fn limits(&self) -> Vec<message::Limit> {
        let limits = self.parts.shared.core.decider.limits().await;
        let now = self.now();
        let encode = |limit| encode_limit(limit, now);
        limits.unwrap_or_default().iter().map(encode).collect()
    }

    /// Returns a random sample of the known peers.
    fn peer_sample(&self) -> Vec<message::Acquaintance> {
        let now = self.now();
        let mut random = rand::rng();
        let sample = self.peers.sample(PEERS_PER_BEACON, now, &mut random);
        let encode = |peer| encode_peer(peer, now);
        sample.into_iter().map(encode).collect()
    }

    async fn send(&self, (near, far): (Vec<u8>, Vec<u8>)) {
        let metric = &self.parts.shared.core.metric;
        let gossip_targets = self.peers.gossip_targets(&mut rand::rng());
        for target in gossip_targets {
            let (payload, counter) = if target.is_far {
                (&far, Counter::FarBeaconBytes)
            } else {
                (&near, Counter::NearBeaconBytes)
            };
            // A failure to send is treated as a lost datagram.
            let _ = self.socket.send(payload, target.address).await;
            metric.add(counter, payload.len() as u64);
        }
    }

    /// Informs the paths of the live peers in this region, which may carry connections.
    fn update_carriers(&mut self) {
        let regions = &self.parts.regions;
        let own = regions.region(&self.parts.zone);
        let mut carriers = Vec::new();
        for peer in self.peers.live_peers(self.now()) {
            let Some(zone) = &peer.zone else {
                continue;
            };
            if regions.region(zone) != own {
                continue;
            }
            carriers.push(Carrier {
                name: peer.name.clone(),
                address: peer.address,
                is_near: *zone == self.parts.zone,
                is_cut_off: self.cut_off.binary_search(&peer.name).is_ok(),
            });
        }
        // Peers come in the order of their names.
        self.cut_off.retain(|name| {
            let found = carriers.binary_search_by(|one| one.name.cmp(name));
            found.is_ok()
        });
        self.parts.shared.paths.set_carriers(carriers);
    }

    /// Records whether a peer says that its links to upstreams are cut.
    fn record_cut_off(&mut self, peer: &name::Instance, is_cut_off: bool) {
        match (self.cut_off.binary_search(peer), is_cut_off) {
            (Err(index), true) => self.cut_off.insert(index, peer.clone()),
            (Ok(index), false) => drop(self.cut_off.remove(index)),
            _ => {}
        }
    }

    /// Logs the build that a peer runs, if it is another one.
    fn record_build(&mut self, peer: &name::Instance, build: Option<&str>) {
        let Some(build) = build.filter(|build| self.builds.record(peer, build)) else {
            return;
        };
        let recorder = &self.parts.shared.core.recorder;
        let event = recorder.event(Kind::PeerBuild);
        event.text("peer", peer).text("build", build).record();
    }

    /// Informs the decider of the live instances, which share cold upstreams.
    async fn update_members(&mut self) {
        let now = self.now();
        let names: Vec<name::Instance> = self.peers.live(now).cloned().collect();
        // Peers come in the order of their names, this instance last.
        let peers = &names[..names.len() - 1];
        self.builds.retain(|peer| peers.binary_search(peer).is_ok());
        self.version += 1;
        let members = Members::new(self.version, names);
        let decider = &self.parts.shared.core.decider;
        decider.set_members(members, now, now).await;
    }

    /// Returns the rank of this instance in the rendezvous order of a key.
    fn rank(&self, key: &str, now: Moment) -> u64 {
        self.own_rank(key, now).unwrap_or_default() as u64
    }

    /// Returns the same, or none if this instance is not among the live ones.
    fn own_rank(&self, key: &str, now: Moment) -> Option<usize> {
        let ranked = rendezvous::ranked(self.peers.live(now), |name| name, key);
        ranked.iter().position(|name| **name == self.parts.own)
    }
}

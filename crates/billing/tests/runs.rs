//! Randomised simulation: instances in three zones serve requests while the log has outages and
//! loses replies, and instances are killed and replaced.

use billing::copies::{Copies, Peer, rank};
use billing::held::{Held, Policy};
use billing::ledger::{Checkpoint, Horizon, Ledger};
use billing::usage::{Entry, Record, Step, Target};
use entity::unit::{Cost, Tokens};
use entity::{Moment, Offset, Span, name, request};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of runs unless `BILLING_SEEDS` overrides it.
const SEEDS: u64 = 200;

/// Number of instances, in three zones.
const INSTANCES: usize = 6;

/// Number of one-second steps during which requests arrive and faults happen.
const FAULT_STEPS: u64 = 240;

/// Number of further steps, without faults, in which all held records get appended.
const SETTLING_STEPS: u64 = 60;

const ORGANISATIONS: [&str; 3] = ["water", "savings", "clinic"];

/// Record that an instance has to append.
struct OwnRecord {
    record: Record,
    copies: Copies,
    answered: bool,
}

struct Instance {
    peer: Peer,
    owned: Vec<OwnRecord>,
    held: Held,
}

#[derive(Default)]
struct Counts {
    requests: usize,
    answered: usize,
    kills: usize,
    outage_steps: usize,
    lost_replies: usize,
    lost_messages: usize,
    copies: u64,
    lost: usize,
}

struct Run {
    rng: ChaCha8Rng,
    now: Moment,
    instances: Vec<Instance>,
    created: usize,
    down: bool,
    faults: bool,
    ledger: Ledger,
    /// Answered requests.
    answered: Vec<request::Id>,
    /// Requests with a copy on the log, and the organisation to be billed.
    appended: Vec<(request::Id, name::Organisation)>,
    counts: Counts,
}

fn instance(created: usize) -> Instance {
    let zone = ["a", "b", "c"][created % 3];
    Instance {
        peer: Peer {
            name: format!("entry-{created}").parse().expect("a valid name"),
            zone: zone.parse().expect("a valid name"),
        },
        owned: Vec::new(),
        held: Held::new(Policy {
            replay_delay: Span::from_secs(10),
            max_hold: Span::from_secs(3600),
            capacity: 100_000,
        }),
    }
}

fn record(id: u128, millis: u64, organisation: &str) -> Record {
    let route = Target::Route("POST /notices".into());
    Record {
        request: request::Id(u128::from(millis) << 80 | id),
        organisation: organisation.parse().expect("a valid name"),
        service: "notices".parse().expect("a valid name"),
        target: route.clone(),
        steps: vec![Step {
            target: route,
            upstream: "notices-1".parse().expect("a valid name"),
            tokens_in: Tokens(0),
            tokens_out: Tokens(0),
            cost: Cost(3),
        }],
        lender: None,
    }
}

impl Run {
    fn new(seed: u64) -> Self {
        let horizon = Horizon(Span::from_secs(7200));
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Moment(1_000_000_000),
            instances: (0..INSTANCES).map(instance).collect(),
            created: INSTANCES,
            down: false,
            faults: true,
            ledger: Ledger::open(horizon, Checkpoint::default(), Offset(1)),
            answered: Vec::new(),
            appended: Vec::new(),
            counts: Counts::default(),
        }
    }

    fn one_in(&mut self, times: u32) -> bool {
        self.faults && self.rng.random_range(0..times) == 0
    }

    fn receive_request(&mut self) {
        let id = self.counts.requests as u128;
        self.counts.requests += 1;
        let organisation = ORGANISATIONS[self.rng.random_range(0..ORGANISATIONS.len())];
        let record = record(id, self.now.0 / 1000, organisation);
        let owner_index = self.rng.random_range(0..self.instances.len());
        let copies = Copies::new(self.instances.len() - 1);
        self.instances[owner_index].owned.push(OwnRecord {
            record,
            copies,
            answered: false,
        });
    }

    /// Appends a record and returns whether the writer receives the confirmation.
    fn append(&mut self, record: &Record) -> bool {
        if self.down {
            return false;
        }
        let entry = Entry::Request(record.clone());
        let (offset, time_ms) = (self.ledger.next(), self.now.0 / 1000);
        self.ledger.apply(offset, time_ms, &[entry]);
        self.appended
            .push((record.request, record.organisation.clone()));
        self.counts.copies += 1;
        let lost = self.one_in(4);
        self.counts.lost_replies += usize::from(lost);
        !lost
    }

    /// Asks peers to hold a record until enough of them do. Messages get lost in both directions.
    fn hold(&mut self, owner_index: usize, owned: &mut OwnRecord) {
        let peers: Vec<Peer> = self.instances.iter().map(|i| i.peer.clone()).collect();
        let owner = peers[owner_index].clone();
        let ranked = rank(&peers, &owner.zone, owned.record.request);
        for peer in ranked {
            if owned.copies.missing() == 0 {
                return;
            }
            if *peer == owner || owned.copies.is_held_by(&peer.name) {
                continue;
            }
            owned.copies.record_request(peer.name.clone());
            if self.one_in(5) {
                self.counts.lost_messages += 1;
                continue;
            }
            let index = peers.iter().position(|other| other == peer);
            let held = &mut self.instances[index.expect("the peer is an instance")].held;
            let kept = held.hold(owned.record.clone(), owner.name.clone(), self.now);
            if kept.is_ok() && !self.one_in(5) {
                owned.copies.record_hold(peer.name.clone());
            }
        }
    }

    fn drop_copies(&mut self, owned: &OwnRecord) {
        for name in owned.copies.drop_targets() {
            if self.one_in(5) {
                self.counts.lost_messages += 1;
                continue;
            }
            for instance in &mut self.instances {
                if instance.peer.name == *name {
                    instance.held.mark_appended(owned.record.request);
                }
            }
        }
    }

    fn process_records(&mut self, owner_index: usize) {
        let mut open = Vec::new();
        for mut owned in std::mem::take(&mut self.instances[owner_index].owned) {
            if self.append(&owned.record) {
                owned.copies.record_append();
            } else {
                self.hold(owner_index, &mut owned);
            }
            if owned.copies.is_safe() && !owned.answered {
                owned.answered = true;
                self.answered.push(owned.record.request);
            }
            if owned.copies.is_appended() {
                self.drop_copies(&owned);
            } else {
                open.push(owned);
            }
        }
        self.instances[owner_index].owned = open;
        let now = self.now;
        for record in self.instances[owner_index].held.replay(now, 100) {
            if self.append(&record) {
                self.instances[owner_index]
                    .held
                    .mark_appended(record.request);
            }
        }
    }

    /// Kills and replaces an instance; the others detect it and restore the copies.
    fn kill(&mut self) {
        let index = self.rng.random_range(0..self.instances.len());
        let killed = std::mem::replace(&mut self.instances[index], instance(self.created));
        self.created += 1;
        self.counts.kills += 1;
        let peer_count = self.instances.len() - 1;
        for instance in &mut self.instances {
            for owned in &mut instance.owned {
                owned.copies.remove_peer(&killed.peer.name);
            }
            for record in instance.held.adopt(&killed.peer.name) {
                instance.owned.push(OwnRecord {
                    record,
                    copies: Copies::new(peer_count),
                    answered: true,
                });
            }
        }
    }

    /// Returns whether each answered request's record has all its copies, as far as their owners
    /// know.
    fn is_restored(&self) -> bool {
        let mut owned = self.instances.iter().flat_map(|instance| &instance.owned);
        owned.all(|owned| owned.copies.is_safe() || !owned.answered)
    }

    fn step(&mut self, kills: usize) {
        if self.faults {
            self.receive_request();
            if self.rng.random_range(0..30) == 0 {
                self.down = !self.down;
            }
            self.counts.outage_steps += usize::from(self.down);
        }
        for owner_index in 0..self.instances.len() {
            self.process_records(owner_index);
        }
        // The protocol survives two deaths before the copies are restored, but no more. So one or
        // two instances are killed only after a restoration.
        let restored = kills >= 3 || self.is_restored();
        if restored && self.one_in(8) {
            for _ in 0..kills {
                self.kill();
            }
        }
        self.now = self.now + Span::from_secs(1);
    }

    fn finish(mut self, kills: usize) -> Counts {
        for _ in 0..FAULT_STEPS {
            self.step(kills);
        }
        self.faults = false;
        self.down = false;
        for _ in 0..SETTLING_STEPS {
            self.step(0);
        }
        self.check();
        self.counts
    }

    fn check(&mut self) {
        self.appended.sort_unstable();
        self.appended.dedup();
        self.counts.answered = self.answered.len();
        for id in &self.answered {
            let found = self.appended.binary_search_by_key(id, |(id, _)| *id);
            self.counts.lost += usize::from(found.is_err());
        }
        for organisation in ORGANISATIONS {
            let owed = self
                .appended
                .iter()
                .filter(|(_, o)| o.as_str() == organisation);
            let accounts = self.ledger.checkpoint().accounts.iter();
            let billed = accounts.filter(|a| a.organisation.as_str() == organisation);
            let billed: u64 = billed.map(|account| account.requests).sum();
            assert_eq!(
                billed,
                owed.count() as u64,
                "{organisation} is billed once for each of its requests"
            );
        }
    }
}

fn seeds() -> u64 {
    let seeds = std::env::var("BILLING_SEEDS").ok();
    seeds.map_or(SEEDS, |count| count.parse().expect("a number of seeds"))
}

fn runs(kills: usize) -> Counts {
    let mut total = Counts::default();
    for seed in 0..seeds() {
        let counts = Run::new(seed).finish(kills);
        if kills < 3 {
            assert_eq!(
                counts.lost, 0,
                "seed {seed}: an answered request was not billed"
            );
        }
        total.requests += counts.requests;
        total.answered += counts.answered;
        total.kills += counts.kills;
        total.outage_steps += counts.outage_steps;
        total.lost_replies += counts.lost_replies;
        total.lost_messages += counts.lost_messages;
        total.copies += counts.copies;
        total.lost += counts.lost;
    }
    println!(
        "{} runs, {kills} killed at once: {} requests, {} answered, {} copies on the log, {} lost; \
         faults: {} kills, {} s of outage, {} lost replies, {} lost messages",
        seeds(),
        total.requests,
        total.answered,
        total.copies,
        total.lost,
        total.kills,
        total.outage_steps,
        total.lost_replies,
        total.lost_messages
    );
    total
}

#[gtest]
fn each_answered_request_is_billed_once_while_single_instances_die() {
    expect_that!(runs(1).answered, gt(0));
}

#[gtest]
fn each_answered_request_is_billed_once_while_pairs_die() {
    expect_that!(runs(2).answered, gt(0));
}

#[gtest]
fn three_simultaneous_deaths_in_an_outage_can_lose_a_record() {
    expect_that!(runs(3).lost, gt(0));
}

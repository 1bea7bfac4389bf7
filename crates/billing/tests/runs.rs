//! Random runs: instances in three zones serve requests while the log has outages and loses
//! replies, and instances are killed and replaced.

use billing::custody::{Custody, Fellow, rank};
use billing::held::{Held, Policy};
use billing::ledger::{Checkpoint, Horizon, Ledger};
use billing::usage::{Entry, Record, Step, Target};
use entity::unit::{Cost, Tokens};
use entity::{Moment, Offset, Span, name, request};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Random runs where `BILLING_SEEDS` does not say otherwise.
const SEEDS: u64 = 200;

/// Instances, in three zones.
const INSTANCES: usize = 6;

/// Steps during which requests arrive and faults happen; each is a second.
const STEPS: u64 = 240;

/// Steps after these, without faults, in which everything held gets to the log.
const SETTLING: u64 = 60;

const ORGANISATIONS: [&str; 3] = ["water", "savings", "clinic"];

/// A record that an instance answers for.
struct Owned {
    record: Record,
    custody: Custody,
    answered: bool,
}

struct Instance {
    fellow: Fellow,
    owned: Vec<Owned>,
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
    born: usize,
    down: bool,
    faults: bool,
    ledger: Ledger,
    /// Answered requests.
    answered: Vec<request::Id>,
    /// Requests with a copy on the log, and who is to be billed.
    appended: Vec<(request::Id, name::Organisation)>,
    counts: Counts,
}

fn instance(born: usize) -> Instance {
    let zone = ["a", "b", "c"][born % 3];
    Instance {
        fellow: Fellow {
            name: format!("entry-{born}").parse().expect("a name"),
            zone: zone.parse().expect("a name"),
        },
        owned: Vec::new(),
        held: Held::new(Policy {
            patience: Span::from_secs(10),
            hold: Span::from_secs(3600),
            capacity: 100_000,
        }),
    }
}

fn record(id: u128, millis: u64, organisation: &str) -> Record {
    let route = Target::Route("POST /notices".into());
    Record {
        request: request::Id(u128::from(millis) << 80 | id),
        organisation: organisation.parse().expect("a name"),
        service: "notices".parse().expect("a name"),
        target: route.clone(),
        steps: vec![Step {
            target: route,
            upstream: "notices-1".parse().expect("a name"),
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
            born: INSTANCES,
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

    fn arrive(&mut self) {
        let id = self.counts.requests as u128;
        self.counts.requests += 1;
        let organisation = ORGANISATIONS[self.rng.random_range(0..ORGANISATIONS.len())];
        let record = record(id, self.now.0 / 1000, organisation);
        let home = self.rng.random_range(0..self.instances.len());
        let custody = Custody::new(self.instances.len() - 1);
        self.instances[home].owned.push(Owned {
            record,
            custody,
            answered: false,
        });
    }

    /// Appends a record; whether the writer learns that it was appended.
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

    /// Asks fellows to hold a record until enough of them do; messages get lost both ways.
    fn hold(&mut self, home: usize, owned: &mut Owned) {
        let fellows: Vec<Fellow> = self.instances.iter().map(|i| i.fellow.clone()).collect();
        let owner = fellows[home].clone();
        let ranked = rank(&fellows, &owner.zone, owned.record.request);
        for fellow in ranked {
            if owned.custody.missing() == 0 {
                return;
            }
            if *fellow == owner || owned.custody.is_held_by(&fellow.name) {
                continue;
            }
            owned.custody.ask(fellow.name.clone());
            if self.one_in(5) {
                self.counts.lost_messages += 1;
                continue;
            }
            let index = fellows.iter().position(|other| other == fellow);
            let held = &mut self.instances[index.expect("it is a fellow")].held;
            let kept = held.hold(owned.record.clone(), owner.name.clone(), self.now);
            if kept.is_ok() && !self.one_in(5) {
                owned.custody.confirm(fellow.name.clone());
            }
        }
    }

    fn drop_copies(&mut self, owned: &Owned) {
        for name in owned.custody.droppable() {
            if self.one_in(5) {
                self.counts.lost_messages += 1;
                continue;
            }
            for fellow in &mut self.instances {
                if fellow.fellow.name == *name {
                    fellow.held.appended(owned.record.request);
                }
            }
        }
    }

    fn work(&mut self, home: usize) {
        let mut open = Vec::new();
        for mut owned in std::mem::take(&mut self.instances[home].owned) {
            if self.append(&owned.record) {
                owned.custody.append();
            } else {
                self.hold(home, &mut owned);
            }
            if owned.custody.is_safe() && !owned.answered {
                owned.answered = true;
                self.answered.push(owned.record.request);
            }
            if owned.custody.is_appended() {
                self.drop_copies(&owned);
            } else {
                open.push(owned);
            }
        }
        self.instances[home].owned = open;
        let now = self.now;
        for record in self.instances[home].held.replay(now, 100) {
            if self.append(&record) {
                self.instances[home].held.appended(record.request);
            }
        }
    }

    /// An instance dies and is replaced; the others learn of it and restore the copies.
    fn kill(&mut self) {
        let index = self.rng.random_range(0..self.instances.len());
        let gone = std::mem::replace(&mut self.instances[index], instance(self.born));
        self.born += 1;
        self.counts.kills += 1;
        let others = self.instances.len() - 1;
        for fellow in &mut self.instances {
            for owned in &mut fellow.owned {
                owned.custody.lose(&gone.fellow.name);
            }
            for record in fellow.held.adopt(&gone.fellow.name) {
                fellow.owned.push(Owned {
                    record,
                    custody: Custody::new(others),
                    answered: true,
                });
            }
        }
    }

    /// Whether each answered request's record has all its copies, as far as its owners know.
    fn is_restored(&self) -> bool {
        let mut owned = self.instances.iter().flat_map(|instance| &instance.owned);
        owned.all(|owned| owned.custody.is_safe() || !owned.answered)
    }

    fn step(&mut self, kills: usize) {
        if self.faults {
            self.arrive();
            if self.rng.random_range(0..30) == 0 {
                self.down = !self.down;
            }
            self.counts.outage_steps += usize::from(self.down);
        }
        for home in 0..self.instances.len() {
            self.work(home);
        }
        // Up to two deaths are borne between restorations of the copies, not in a shorter time.
        let restored = kills >= 3 || self.is_restored();
        if restored && self.one_in(8) {
            for _ in 0..kills {
                self.kill();
            }
        }
        self.now = self.now + Span::from_secs(1);
    }

    fn finish(mut self, kills: usize) -> Counts {
        for _ in 0..STEPS {
            self.step(kills);
        }
        self.faults = false;
        self.down = false;
        for _ in 0..SETTLING {
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
                "{organisation} is billed its own, once"
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
fn three_deaths_at_once_in_an_outage_can_lose_a_record() {
    expect_that!(runs(3).lost, gt(0));
}

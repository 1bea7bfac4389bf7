//! Instances, a store and upstreams on a virtual clock, around the product's own state machines.
//!
//! Reads and datagrams take random times, datagrams are lost, and instances pause as on a machine
//! with little processor time.

use entity::{Moment, Offset, Span, name};
use forward::catalog::{Entry, Registration, State};
use forward::clocks::{Clocks, Run, Stamp};
use forward::follow::{Follow, Timing};
use forward::source::{Item, Position, Topic};
use forward::updates::{AnnouncedRecord, Updates};
use forward::{Change, Fold};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time that a request has to arrive at an upstream within the bound.
const ARRIVAL_TIME: Span = Span::from_millis(400);
/// Resolution of the clock.
const STEP: Span = Span::from_millis(5);
/// Interval between the entries that an upstream writes.
const HEARTBEAT: Span = Span::from_millis(1200);
/// Interval between rounds of beacons, and number of peers that each goes to.
const ROUND: (Span, usize) = (Span::from_millis(400), 14);
/// Number of instances that read the store all the time.
const READER_COUNT: usize = 2;
/// Delay after a failed read of a reader, and of another instance.
const RETRY_DELAYS: [Span; 2] = [Span::from_millis(400), Span::from_millis(1200)];
/// Longest time that a read takes.
const MAX_READ_MS: u64 = 150;

/// Sizes and faults of one run.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub instances: usize,
    pub upstreams: usize,
    /// Time within which an upstream that left must get no more requests.
    pub bound: Span,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Longest time that a datagram takes, in milliseconds.
    pub max_transit_ms: u64,
    /// Longest pause of an instance, in milliseconds.
    pub max_pause_ms: u64,
    /// Share of steps in which a pause begins.
    pub pause_share: f64,
    /// What requests are dispatched by.
    pub rule: Rule,
    /// How the news of a peer is dated.
    pub dating: Dating,
}

/// How an instance dates the news of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dating {
    /// By a comparison of the clocks.
    Clocks,
    /// As if its message had been sent when it arrived.
    Mutation,
}

/// The state by which an instance dispatches requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Any state; what is dispatched must still be within the bound.
    AnyState,
    /// A recent state, so that requests still arrive within the bound.
    RecentState,
    /// Any state, with the check of the rule for recent ones.
    Mutation,
}

/// A message from one instance to another. Instances have clocks that show different times.
struct Message {
    sender: usize,
    arrival: Moment,
    stamp: Stamp,
    content: Content,
}

enum Content {
    Beacon {
        records: Vec<AnnouncedRecord>,
        digest: u64,
        age: Option<Span>,
    },
    /// Asks for the time on the receiver's clock.
    Question,
    /// Returns the time of the question on the asker's clock.
    Answer { asked: Moment },
}

struct Read {
    sent: Moment,
    end: Moment,
    /// Records that the store returns; `None` if the read fails.
    items: Option<Vec<Item>>,
}

struct Instance {
    fold: Fold,
    updates: Updates,
    follow: Follow,
    next: usize,
    /// Start of the last read, and the jitter of the next one.
    last_read: (Moment, f64),
    /// Time before which no read begins, after a failed one.
    retry_at: Moment,
    read: Option<Read>,
    inbox: Vec<Message>,
    clocks: Clocks,
    /// Time by which the own clock is ahead of the world's.
    ahead: Span,
    next_round: Moment,
    paused_until: Moment,
}

struct Upstream {
    registration: Registration,
    next_beat: Moment,
    /// Whether it still writes entries.
    alive: bool,
}

pub struct World {
    shape: Shape,
    random: ChaCha8Rng,
    pub now: Moment,
    log: Vec<Item>,
    store_up: bool,
    upstreams: Vec<Upstream>,
    instances: Vec<Instance>,
    /// Upstreams that left, with the time at which the store acknowledged it.
    left: Vec<(usize, Moment)>,
    /// Instances and upstreams that were reported.
    reported: Vec<(usize, usize)>,
}

fn upstream_name(upstream: usize) -> Box<str> {
    format!("i-{upstream:04}").into()
}

impl World {
    /// Creates instances that have read all upstreams.
    pub fn new(shape: Shape, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let now = Moment(1_000_000_000);
        let mut world = Self {
            shape,
            now,
            log: Vec::new(),
            store_up: true,
            upstreams: Vec::new(),
            instances: Vec::new(),
            left: Vec::new(),
            reported: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(random.random()),
        };
        for _ in 0..shape.upstreams {
            world.join();
        }
        for _ in 0..shape.instances {
            let mut instance = Instance {
                fold: Fold::default(),
                updates: Updates::default(),
                follow: Follow::new(Timing::for_upstreams(shape.bound)),
                next: 0,
                last_read: (now, 0.0),
                retry_at: now,
                read: None,
                inbox: Vec::new(),
                clocks: Clocks::default(),
                ahead: Span::from_millis(random.random_range(0..1_000_000)),
                next_round: now + Span::from_millis(random.random_range(0..400)),
                paused_until: now,
            };
            instance.finish_read(now, &world.log, now);
            world.instances.push(instance);
        }
        world
    }

    /// Adds an upstream.
    pub fn join(&mut self) {
        let index = self.upstreams.len();
        self.upstreams.push(Upstream {
            registration: Registration {
                service: "advice".parse().unwrap(),
                address: format!("10.0.{}.{}:8000", index / 250, index % 250)
                    .parse()
                    .unwrap(),
                zone: "north-a".parse().unwrap(),
                release: "v1".into(),
                slots: 4,
                state: State::Ready,
                cold: Span::ZERO,
                incarnation: 1,
            },
            next_beat: self.now,
            alive: true,
        });
        self.beat(index);
    }

    /// Lets an upstream leave: it either reports that it is draining, or its entry is removed.
    pub fn leave(&mut self, upstream: usize, removed: bool) {
        self.left.push((upstream, self.now));
        if removed {
            self.upstreams[upstream].alive = false;
            self.append(upstream_name(upstream), None);
        } else {
            self.upstreams[upstream].registration.state = State::Draining;
            self.beat(upstream);
        }
    }

    /// Removes an entry, whose upstream goes on.
    pub fn lapse(&mut self, upstream: usize) {
        self.append(upstream_name(upstream), None);
    }

    /// Starts or ends an outage of the store. What was in flight fails.
    pub fn set_store(&mut self, up: bool) {
        self.store_up = up;
    }

    pub fn is_ready(&self, instance: usize, upstream: usize) -> bool {
        self.instances[instance].is_ready(upstream)
    }

    /// Runs until `until`. Returns what instances still take for ready past the bound.
    pub fn run(&mut self, until: Moment) -> Vec<String> {
        let mut findings = Vec::new();
        while self.now < until {
            self.now = self.now + STEP;
            self.beat_upstreams();
            for index in 0..self.instances.len() {
                // A request can be dispatched before the datagrams of a pause are processed.
                self.check(index, &mut findings);
                self.step(index);
                self.check(index, &mut findings);
            }
        }
        findings
    }

    fn check(&mut self, index: usize, findings: &mut Vec<String>) {
        let instance = &self.instances[index];
        let bound = match self.shape.rule {
            Rule::AnyState => self.shape.bound,
            Rule::RecentState | Rule::Mutation => {
                let last = self.shape.bound.as_micros() - ARRIVAL_TIME.as_micros();
                Span::from_micros(last) + STEP
            }
        };
        let gated = self.shape.rule == Rule::RecentState;
        if self.now < instance.paused_until || (gated && !instance.follow.allows_dispatch(self.now))
        {
            return;
        }
        for &(upstream, at) in &self.left {
            let since = self.now.since(at);
            let case = (index, upstream);
            if since <= bound || !instance.is_ready(upstream) || self.reported.contains(&case) {
                continue;
            }
            self.reported.push(case);
            findings.push(format!("instance {index} takes {upstream} after {since}"));
        }
    }

    fn append(&mut self, key: Box<str>, entry: Option<Entry>) {
        let offset = Offset(self.log.len() as u64);
        let value = entry.as_ref().map(|_| offset.0.to_be_bytes().into());
        self.log.push(Item {
            key,
            position: Position {
                offset,
                ..Position::default()
            },
            entry: Ok(entry),
            value: value.unwrap_or_default(),
        });
    }

    fn beat(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.next_beat = self.now + HEARTBEAT;
        let registration = upstream.registration.clone();
        let entry = Entry::Registration(upstream_name(index).parse().unwrap(), registration);
        self.append(upstream_name(index), Some(entry));
    }

    fn beat_upstreams(&mut self) {
        for index in 0..self.upstreams.len() {
            let upstream = &self.upstreams[index];
            if self.store_up && upstream.alive && upstream.next_beat <= self.now {
                self.beat(index);
            }
        }
    }

    fn step(&mut self, index: usize) {
        let (now, reader) = (self.now, index < READER_COUNT);
        let instance = &mut self.instances[index];
        if now < instance.paused_until {
            return;
        }
        if self.shape.max_pause_ms > 0 && self.random.random_bool(self.shape.pause_share) {
            let pause = self.random.random_range(0..self.shape.max_pause_ms);
            instance.paused_until = now + Span::from_millis(pause);
            return;
        }
        let replies = instance.receive(&self.log, self.shape.dating, now);
        instance.expire(now);
        for (target, content) in replies {
            self.send(index, target, content);
        }
        let instance = &mut self.instances[index];
        if let Some(read) = instance.read.take_if(|read| read.end <= now) {
            match read.items {
                Some(items) => instance.finish_read(read.sent, &items, now),
                None => instance.fail_read(reader, now),
            }
        }
        self.begin_read(index, reader);
        self.send_round(index);
    }

    fn begin_read(&mut self, index: usize, reader: bool) {
        let now = self.now;
        let instance = &mut self.instances[index];
        if instance.read.is_some() || now < instance.retry_at {
            return;
        }
        let (sent, jitter) = instance.last_read;
        if instance.follow.read_delay(reader, sent, jitter, now) > Span::ZERO {
            return;
        }
        let took = self.random.random_range(4..=MAX_READ_MS);
        let jitter = self.random.random_range(0.0..=1.0);
        instance.last_read = (now, jitter);
        let items = self.log[instance.next..].to_vec();
        instance.read = Some(Read {
            sent: now,
            end: now + Span::from_millis(took),
            items: self.store_up.then_some(items),
        });
    }

    fn send_round(&mut self, index: usize) {
        let now = self.now;
        let instance = &mut self.instances[index];
        if now < instance.next_round {
            return;
        }
        instance.next_round = now + ROUND.0;
        let records = instance.updates.announced(now);
        let (digest, age) = (instance.follow.digest(), instance.follow.age(now));
        let others: Vec<usize> = (0..self.instances.len()).filter(|&i| i != index).collect();
        let targets = others.sample(&mut self.random, ROUND.1);
        for target in targets.copied().collect::<Vec<_>>() {
            let records = records.clone();
            let content = Content::Beacon {
                records,
                digest,
                age,
            };
            self.send(index, target, content);
        }
    }

    fn send(&mut self, sender: usize, target: usize, content: Content) {
        if self.random.random_bool(self.shape.loss) {
            return;
        }
        let transit = self.random.random_range(1..=self.shape.max_transit_ms);
        let now = self.now;
        let stamp = Stamp {
            run: Run(sender as u64),
            time: self.instances[sender].own_time(now),
        };
        self.instances[target].inbox.push(Message {
            sender,
            arrival: now + Span::from_millis(transit),
            stamp,
            content,
        });
    }
}

fn instance_name(index: usize) -> name::Instance {
    format!("front-{index}").parse().unwrap()
}

impl Instance {
    fn own_time(&self, now: Moment) -> Moment {
        now + self.ahead
    }

    fn is_ready(&self, upstream: usize) -> bool {
        let name = upstream_name(upstream);
        let upstreams = self.fold.upstreams();
        let found = upstreams.binary_search_by(|other| other.name.as_str().cmp(&name));
        found.is_ok_and(|found| upstreams[found].is_ready())
    }

    fn apply(&mut self, items: &[Item], now: Moment, after_outage: bool) {
        for item in items {
            let topic = Topic::Upstreams;
            let change: Change = self.fold.apply_record(topic, item, now, after_outage);
            if change.routing && !after_outage {
                self.updates.announce(topic, item, now);
            }
        }
        self.follow.set_digest(self.fold.digest(Topic::Upstreams));
    }

    /// Processes the messages that have arrived. Returns messages to send, with their targets.
    fn receive(&mut self, log: &[Item], dating: Dating, now: Moment) -> Vec<(usize, Content)> {
        let mut arrived: Vec<Message> = Vec::new();
        let mut later = Vec::new();
        for message in self.inbox.drain(..) {
            let list = if message.arrival <= now {
                &mut arrived
            } else {
                &mut later
            };
            list.push(message);
        }
        self.inbox = later;
        arrived.sort_by_key(|message| message.arrival);
        let mut replies = Vec::new();
        let own_time = self.own_time(now);
        for message in arrived {
            let (sender, stamp) = (message.sender, message.stamp);
            let peer = instance_name(sender);
            match message.content {
                Content::Beacon {
                    records,
                    digest,
                    age,
                } => {
                    if self.clocks.record_message(&peer, stamp.run, own_time) {
                        replies.push((sender, Content::Question));
                    }
                    self.receive_records(&records, log, now);
                    let sent = match dating {
                        Dating::Clocks => self.clocks.earliest_send(&peer, stamp, own_time),
                        Dating::Mutation => Some(message.arrival + self.ahead),
                    };
                    if let (Some(sent), Some(age)) = (sent, age) {
                        let read = sent - self.ahead - age;
                        self.follow.record_sight(digest, read, now);
                    }
                }
                Content::Question => {
                    let asked = stamp.time;
                    replies.push((sender, Content::Answer { asked }));
                }
                Content::Answer { asked } => {
                    self.clocks.record_answer(&peer, stamp, asked, own_time);
                }
            }
        }
        replies
    }

    fn receive_records(&mut self, records: &[AnnouncedRecord], log: &[Item], now: Moment) {
        let values = self.updates.decode(records);
        let items: Vec<Item> = values
            .into_iter()
            .map(|value| log[value.unwrap().position.offset.0 as usize].clone())
            .collect();
        self.apply(&items, now, false);
    }

    fn expire(&mut self, now: Moment) {
        if self.fold.next_expiry().is_some_and(|at| at <= now) {
            self.fold.expire(now);
            self.follow.set_digest(self.fold.digest(Topic::Upstreams));
        }
    }

    fn finish_read(&mut self, sent: Moment, items: &[Item], now: Moment) {
        let after_outage = self.follow.record_read(sent, now);
        self.next += items.len();
        self.apply(items, now, after_outage);
        self.follow.confirm(sent);
    }

    fn fail_read(&mut self, reader: bool, now: Moment) {
        self.follow.record_failure();
        self.retry_at = now + RETRY_DELAYS[usize::from(!reader)];
    }
}

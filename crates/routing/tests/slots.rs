//! Exhaustive exploration of the slot protocol: three instances, one slot.
//!
//! Time goes by in ticks. In each, first the list may change and instances may pause, go on, begin
//! to leave or hear of it; then each may read the list, as of now or as late as the lag allows; then
//! each may end the request that it runs on the slot, and send one. The invariant is that at most
//! one request runs on the slot. Instances run the product's own code. What keeps the number of
//! states in bounds are budgets of changes, pauses, leaves and late reads.

mod common;

use common::instance;
use entity::Moment;
use entity::name;
use entity::time::Span;
use googletest::prelude::*;
use pathfinding::prelude::bfs_reach;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::slots::{Bounds, Ceased, Ledger, Members, Views};
use std::cell::RefCell;
use std::collections::HashMap;

const INSTANCES: usize = 3;

/// When the exploration begins; before, the list was stable for long.
const START: u8 = 30;

/// Lists that are remembered: that of this tick, and older ones up to the longest lag.
const LISTS: usize = 3;

/// What the world does, in ticks.
#[derive(Clone, Copy)]
struct World {
    lag: u8,
    run: u8,
    /// How long a name stays on the list, or off it, at least.
    dwell: u8,
    /// Ticks to explore.
    ticks: u8,
    /// Changes of the list.
    changes: u8,
    pauses: u8,
    leaves: u8,
    /// Reads that are left out or give an older list than the newest, over all instances.
    late: u8,
}

/// What the instances believe of the world, and how they err.
#[derive(Clone, Copy)]
struct Product {
    bounds: Bounds,
    /// The clock stands still while the process is paused.
    clock_stops: bool,
    /// A leaving instance says that nothing runs while something does.
    word_is_empty: bool,
}

struct Model {
    world: World,
    product: Product,
    instances: RefCell<Arena>,
}

/// Each state that an instance can be in, stored once, so that nodes are small.
#[derive(Default)]
struct Arena {
    instances: Vec<Instance>,
    ids: HashMap<Instance, u32>,
}

impl Arena {
    fn intern(&mut self, instance: Instance) -> u32 {
        if let Some(id) = self.ids.get(&instance) {
            return *id;
        }
        let id = u32::try_from(self.instances.len()).unwrap();
        self.instances.push(instance.clone());
        self.ids.insert(instance, id);
        id
    }
}

impl Model {
    fn new(world: World, product: Product) -> Self {
        Self {
            world,
            product,
            instances: RefCell::default(),
        }
    }

    fn instance(&self, id: u32) -> Instance {
        self.instances.borrow().instances[id as usize].clone()
    }
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Instance {
    views: Views,
    ledger: Ledger,
    /// When the request on the slot was sent.
    sent: Option<u8>,
    paused: bool,
    /// Ticks by which its clock is behind.
    behind: u8,
}

/// What happens next within a tick.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    World,
    Read(usize),
    Act(usize),
}

impl Phase {
    fn next(self) -> Self {
        match self {
            Self::World => Self::Read(0),
            Self::Read(index) if index + 1 < INSTANCES => Self::Read(index + 1),
            Self::Read(_) => Self::Act(0),
            Self::Act(index) if index + 1 < INSTANCES => Self::Act(index + 1),
            Self::Act(_) => Self::World,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Node {
    now: u8,
    phase: Phase,
    /// Who was on the list in each tick within the lag, the newest last; version and bit mask.
    lists: [(u8, u8); LISTS],
    /// When each name last came or went; 0 if that is long ago.
    moved: [u8; INSTANCES],
    changes: u8,
    pauses: u8,
    leaves: u8,
    late: u8,
    instances: [u32; INSTANCES],
    /// Requests on the slot.
    running: u8,
}

fn upstream() -> name::Upstream {
    "engine".parse().unwrap()
}

fn members((version, mask): (u8, u8)) -> Members {
    let listed = (0..INSTANCES).filter(|index| mask & (1 << index) != 0);
    Members::new(u64::from(version), listed.map(instance).collect())
}

fn ticks(ticks: u8) -> Span {
    Span::from_micros(u64::from(ticks))
}

fn bounds(lag: u8, fresh: u8, run: u8) -> Bounds {
    Bounds {
        lag: ticks(lag),
        fresh: ticks(fresh),
        slack: Span::ZERO,
        run: ticks(run),
    }
}

impl Instance {
    fn clock(&self, now: u8) -> Moment {
        Moment(u64::from(now - self.behind))
    }

    fn read(&mut self, list: (u8, u8), now: u8) {
        let now = self.clock(now);
        self.views.read(members(list), now, now);
        self.claim();
    }

    fn claim(&mut self) {
        self.ledger.claims = self.views.claims(&upstream(), 1);
    }

    fn may_send(&self, now: u8) -> bool {
        let others = u32::from(self.sent.is_some());
        let now = self.clock(now);
        self.ledger.usable(&self.views, others, None, now).is_some()
    }

    fn send(&mut self, now: u8) {
        self.ledger.take(0, 0);
        self.sent = Some(now);
    }

    fn end(&mut self) {
        self.sent = None;
        self.ledger.free(0);
    }
}

impl Node {
    fn new(model: &Model, mask: u8) -> Self {
        let start = |index| {
            let mut instance = Instance {
                views: Views::new(instance(index), model.product.bounds),
                ledger: Ledger::default(),
                sent: None,
                paused: false,
                behind: 0,
            };
            // One that is not on the list at first has not run before.
            if mask & (1 << index) != 0 {
                (0..START).for_each(|now| instance.read((0, mask), now));
            }
            model.instances.borrow_mut().intern(instance)
        };
        Self {
            now: START,
            phase: Phase::World,
            lists: [(0, mask); LISTS],
            moved: [0; INSTANCES],
            changes: model.world.changes,
            pauses: model.world.pauses,
            leaves: model.world.leaves,
            late: model.world.late,
            instances: std::array::from_fn(start),
            running: 0,
        }
    }

    fn safe(&self) -> bool {
        self.running <= 1
    }

    fn with(mut self, index: usize, model: &Model, change: impl FnOnce(&mut Instance)) -> Self {
        let mut instance = model.instance(self.instances[index]);
        self.running -= u8::from(instance.sent.is_some());
        change(&mut instance);
        self.running += u8::from(instance.sent.is_some());
        self.instances[index] = model.instances.borrow_mut().intern(instance);
        self
    }

    fn tick(mut self, model: &Model) -> Self {
        self.now += 1;
        self.lists.rotate_left(1);
        self.lists[LISTS - 1] = self.lists[LISTS - 2];
        for moved in &mut self.moved {
            if self.now >= *moved + model.world.dwell {
                *moved = 0;
            }
        }
        let now = self.now;
        for index in 0..INSTANCES {
            self = self.with(index, model, |instance| {
                if instance.paused && model.product.clock_stops {
                    instance.behind += 1;
                }
                if instance
                    .sent
                    .is_some_and(|sent| now > sent + model.world.run)
                {
                    instance.end();
                }
            });
        }
        self
    }

    fn change_list(self, model: &Model, next: &mut Vec<Self>) {
        if self.changes == 0 {
            return;
        }
        for index in 0..INSTANCES {
            if self.moved[index] > 0 {
                continue;
            }
            let mut node = self;
            let (version, mask) = &mut node.lists[LISTS - 1];
            // One that begins to leave goes off the list and does not come back.
            let leaving = model.instance(self.instances[index]).views.leaving();
            if *mask & (1 << index) == 0 && leaving {
                continue;
            }
            *version += 1;
            *mask ^= 1 << index;
            node.changes -= 1;
            node.moved[index] = self.now;
            next.push(node);
        }
    }

    fn disturb(self, index: usize, model: &Model, next: &mut Vec<Self>) {
        let instance = model.instance(self.instances[index]);
        if instance.paused {
            next.push(self.with(index, model, |instance| instance.paused = false));
            return;
        }
        if self.pauses > 0 {
            let mut node = self.with(index, model, |instance| instance.paused = true);
            node.pauses -= 1;
            next.push(node);
        }
        if self.leaves > 0 && !instance.views.leaving() {
            let mut node = self.with(index, model, |instance| {
                instance.views.leave();
                instance.claim();
            });
            node.leaves -= 1;
            next.push(node);
        }
        if instance.views.leaving() {
            self.tell(index, model, next);
        }
    }

    /// A leaving instance's word reaches another.
    fn tell(self, index: usize, model: &Model, next: &mut Vec<Self>) {
        let told = model.instance(self.instances[index]);
        let mut word = Ceased {
            instance: instance(index),
            running: Vec::new(),
        };
        if !model.product.word_is_empty {
            let held = told.ledger.held.iter();
            word.running
                .extend(held.map(|held| (upstream(), held.number)));
        }
        for other in 0..INSTANCES {
            if other == index || model.instance(self.instances[other]).paused {
                continue;
            }
            next.push(self.with(other, model, |instance| {
                instance.views.ceased(word.clone());
                instance.claim();
            }));
        }
    }

    fn read(self, index: usize, model: &Model, next: &mut Vec<Self>) {
        if model.instance(self.instances[index]).paused {
            next.push(self);
            return;
        }
        if self.late > 0 {
            next.push(Self {
                late: self.late - 1,
                ..self
            });
        }
        let newest = LISTS - 1;
        for list in newest - usize::from(model.world.lag)..LISTS {
            let late = u8::from(self.lists[list] != self.lists[newest]);
            if self.late < late {
                continue;
            }
            let read = |instance: &mut Instance| instance.read(self.lists[list], self.now);
            let mut node = self.with(index, model, read);
            node.late -= late;
            next.push(node);
        }
    }

    fn act(self, index: usize, model: &Model, next: &mut Vec<Self>) {
        let instance = model.instance(self.instances[index]);
        if instance.paused {
            next.push(self);
            return;
        }
        if instance.sent.is_some() {
            next.push(self.with(index, model, Instance::end));
        }
        let mut sent = Vec::new();
        for node in next.iter().chain([&self]) {
            if model.instance(node.instances[index]).may_send(self.now) {
                sent.push(node.with(index, model, |instance| instance.send(self.now)));
            }
        }
        // Without words, a request sent later takes the place of an earlier one and of none: it
        // ends later, and nothing else depends on it. So the rest need not be explored.
        if model.world.leaves == 0 {
            next.clear();
            sent.truncate(1);
        }
        if model.world.leaves > 0 || sent.is_empty() {
            next.push(self);
        }
        next.append(&mut sent);
    }

    /// Whether nothing has happened yet after two ticks. What happens later then happens just as
    /// well to the same instances two ticks earlier.
    fn quiet(self, model: &Model) -> bool {
        let World {
            changes,
            pauses,
            leaves,
            ..
        } = model.world;
        let budgets = (self.changes, self.pauses, self.leaves);
        self.now > START + 1 && budgets == (changes, pauses, leaves)
    }

    fn successors(self, model: &Model) -> Vec<Self> {
        let mut next = Vec::new();
        if !self.safe() || self.quiet(model) {
            return next;
        }
        match self.phase {
            // Several of these may happen in one tick.
            Phase::World => {
                self.change_list(model, &mut next);
                for index in 0..INSTANCES {
                    self.disturb(index, model, &mut next);
                }
                next.push(Self {
                    phase: Phase::Read(0),
                    ..self
                });
                return next;
            }
            Phase::Read(index) => self.read(index, model, &mut next),
            Phase::Act(index) => self.act(index, model, &mut next),
        }
        let phase = self.phase.next();
        let over = phase == Phase::World && self.now == START + model.world.ticks;
        for node in &mut next {
            node.phase = phase;
            if phase == Phase::World && node.safe() && !over {
                *node = node.tick(model);
            }
        }
        if over {
            next.retain(|node| !node.safe());
        }
        next
    }
}

/// Explores all states from all lists of two or three instances. Returns whether all are safe;
/// stops at the first that is not.
fn explore(name: &str, world: World, product: Product) -> bool {
    let model = Model::new(world, product);
    let mut states = 0;
    let mut running = 0;
    for mask in [0b011, 0b101, 0b110, 0b111] {
        for node in bfs_reach(Node::new(&model, mask), |node| node.successors(&model)) {
            states += 1;
            running += u64::from(node.running > 0);
            if !node.safe() {
                println!("{name}: two requests on one slot after {states} states");
                return false;
            }
        }
    }
    println!("{name}: {states} states, {running} with a request on the slot, all safe");
    assert!(running > 0, "the exploration is not vacuous");
    true
}

const WORLD: World = World {
    lag: 0,
    run: 1,
    dwell: 1,
    ticks: 5,
    changes: 2,
    pauses: 0,
    leaves: 0,
    late: 3,
};

/// A list that lags by a tick, so that views are up to two ticks old.
const LAGGING: World = World {
    lag: 1,
    dwell: 2,
    changes: 1,
    ticks: 6,
    ..WORLD
};

/// A graceful leave while a request runs for longer than lists take to settle.
const LEAVE: World = World {
    run: 3,
    changes: 1,
    leaves: 1,
    ticks: 5,
    late: 1,
    ..WORLD
};

/// An instance that goes by a list for a tick after it read it, and knows the world's times.
fn product(world: &World) -> Product {
    Product {
        bounds: bounds(world.lag, 1, world.run),
        clock_stops: false,
        word_is_empty: false,
    }
}

fn safe(name: &str, world: World) -> bool {
    explore(name, world, product(&world))
}

#[gtest]
fn joins_and_leaves() {
    expect_that!(safe("joins and leaves", WORLD), eq(true));
}

#[gtest]
fn joins_and_leaves_with_lag() {
    expect_that!(safe("joins and leaves, lag", LAGGING), eq(true));
}

const PAUSED: World = World {
    changes: 1,
    pauses: 1,
    late: 2,
    ..WORLD
};

#[gtest]
fn pauses() {
    expect_that!(safe("pauses", PAUSED), eq(true));
}

#[gtest]
fn graceful_leaves() {
    expect_that!(safe("graceful leaves", LEAVE), eq(true));
}

#[gtest]
fn no_wait_for_the_lag_is_caught() {
    let world = World { lag: 2, ..LAGGING };
    let mutant = Product {
        bounds: bounds(0, 1, world.run),
        ..product(&world)
    };
    expect_that!(explore("no wait for the lag", world, mutant), eq(false));
}

#[gtest]
fn an_unnoticed_pause_is_caught() {
    let mutant = Product {
        clock_stops: true,
        ..product(&PAUSED)
    };
    expect_that!(explore("unnoticed pause", PAUSED, mutant), eq(false));
}

#[gtest]
fn uncounted_running_requests_are_caught() {
    let world = World {
        run: 3,
        changes: 1,
        ..WORLD
    };
    let mutant = Product {
        bounds: bounds(world.lag, 1, 0),
        ..product(&world)
    };
    expect_that!(
        explore("running requests not counted", world, mutant),
        eq(false)
    );
}

#[gtest]
fn a_false_word_is_caught() {
    let mutant = Product {
        word_is_empty: true,
        ..product(&LEAVE)
    };
    expect_that!(explore("false word", LEAVE, mutant), eq(false));
}

/// One list change, and reads that are late or left out at random, over many seeds and a longer
/// time than can be explored; `ROUTING_SEEDS` sets their number.
#[gtest]
fn long_random_runs() {
    let seeds = std::env::var("ROUTING_SEEDS").map_or(200, |seeds| seeds.parse().unwrap());
    let world = World {
        run: 3,
        changes: 40,
        pauses: 20,
        leaves: 1,
        late: 200,
        ticks: 150,
        ..LAGGING
    };
    let model = Model::new(world, product(&world));
    let mut sent = 0;
    for seed in 0..seeds {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut node = Node::new(&model, 0b111);
        loop {
            let next = node.successors(&model);
            let Some(last) = next.last() else {
                break;
            };
            // Mostly nothing happens to the world, and reads are in time.
            let calm = match node.phase {
                Phase::World => random.random_bool(0.97),
                Phase::Read(_) => random.random_bool(0.9),
                Phase::Act(_) => false,
            };
            let chosen = if calm {
                *last
            } else {
                *next.choose(&mut random).unwrap()
            };
            sent += u32::from(chosen.running > node.running);
            node = chosen;
            expect_that!(node.safe(), eq(true), "seed {seed}, tick {}", node.now);
        }
    }
    println!("{seeds} seeds, {sent} requests on the slot");
    expect_that!(sent, gt(0));
}

/// A slot that this instance does not own while `other` is on the list, but owns alone.
fn contested(other: usize) -> u32 {
    let owns = |number: &u32| {
        let mut views = Views::new(instance(0), Bounds::default());
        views.read(
            Members::new(1, vec![instance(0), instance(other)]),
            Moment(0),
            Moment(0),
        );
        let claims = views.claims(&upstream(), 64);
        claims.iter().all(|claim| claim.number != *number)
    };
    (0..64).find(owns).unwrap()
}

/// When this instance may use the contested slot, if the other one leaves gracefully `after` this
/// one first read the list; counted from then.
fn takeover(after: Span) -> Span {
    let (mine, other) = (instance(0), instance(1));
    let number = contested(1);
    let mut views = Views::new(mine.clone(), Bounds::default());
    let both = Members::new(1, vec![mine.clone(), other.clone()]);
    let step = Span::from_secs(1);
    let mut now = Moment(0);
    while now.since(Moment(0)) < after {
        views.read(both.clone(), now, now);
        now = now + step;
    }
    views.read(Members::new(2, vec![mine]), now, now);
    views.ceased(Ceased {
        instance: other,
        running: Vec::new(),
    });
    let claims = views.claims(&upstream(), 64);
    let claim = claims.iter().find(|claim| claim.number == number);
    claim.unwrap().from.since(now)
}

/// A word of the last owner says nothing of owners before this instance's first read, whose
/// requests may still run.
#[gtest]
fn a_word_shortens_the_wait_only_with_a_long_enough_history() {
    let bounds = Bounds::default();
    expect_that!(takeover(Span::from_secs(10)), eq(bounds.cleared()));
    expect_that!(takeover(Span::from_secs(70)), eq(bounds.settled()));
}

/// After a word, the name is that of a new process, which may use the slot and die without a word.
#[gtest]
fn a_word_does_not_outlive_the_process() {
    let (mine, other) = (instance(0), instance(1));
    let number = contested(1);
    let mut views = Views::new(mine.clone(), Bounds::default());
    let both = vec![mine.clone(), other.clone()];
    let word = Ceased {
        instance: other,
        running: Vec::new(),
    };
    let mut now = Moment(0);
    let lists = [
        (both.clone(), 100),
        (vec![mine.clone()], 20),
        (both, 100),
        (vec![mine], 1),
    ];
    for (version, (live, secs)) in lists.into_iter().enumerate() {
        for second in 0..secs {
            views.read(Members::new(version as u64, live.clone()), now, now);
            // It says so in every digest while it leaves, and the last one comes late.
            if version == 1 || version == 2 && second == 0 {
                views.ceased(word.clone());
            }
            now = now + Span::from_secs(1);
        }
    }
    let claims = views.claims(&upstream(), 64);
    let claim = claims.iter().find(|claim| claim.number == number).unwrap();
    let gained = now - Span::from_secs(1);
    expect_that!(claim.from.since(gained), eq(Bounds::default().cleared()));
}

//! Exhaustive exploration of the slot protocol with three instances and one slot.
//!
//! Time advances in ticks. In each tick, first the list may change, and instances may pause,
//! resume, start to drain or receive a drain notice; then each may read the list, either the
//! current one or one as old as the lag allows; then each may end its request on the slot and send
//! one. The invariant is that at most one request runs on the slot. The instances run the
//! production code. Budgets of changes, pauses, drains and late reads bound the number of states.

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
use routing::slots::{Bounds, DrainNotice, Ledger, Members, Views};
use std::cell::RefCell;
use std::collections::HashMap;

const INSTANCES: usize = 3;

/// Tick at which the exploration begins; the list was stable for long before it.
const START: u8 = 30;

/// Number of lists that are kept: that of this tick, and older ones up to the longest lag.
const LISTS: usize = 3;

/// Behaviour of the environment; times are in ticks.
#[derive(Clone, Copy)]
struct World {
    lag: u8,
    run: u8,
    /// Shortest time that a name stays on the list, or off it.
    dwell: u8,
    /// Number of ticks to explore.
    ticks: u8,
    /// Budget of changes of the list.
    changes: u8,
    pauses: u8,
    leaves: u8,
    /// Budget of reads that are omitted or return an older list than the newest, over all
    /// instances.
    late: u8,
}

/// Configuration of the instances, and the faults that are injected into them.
#[derive(Clone, Copy)]
struct InstanceSetup {
    bounds: Bounds,
    /// The clock stops while the process is paused.
    clock_stops: bool,
    /// A draining instance announces that no request is running while one is.
    notice_is_empty: bool,
}

struct Model {
    world: World,
    setup: InstanceSetup,
    instances: RefCell<Arena>,
}

/// Interned instance states, each stored once, so that nodes are small.
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
    fn new(world: World, setup: InstanceSetup) -> Self {
        Self {
            world,
            setup,
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
    /// Tick at which the request on the slot was sent.
    sent: Option<u8>,
    paused: bool,
    /// Ticks by which the instance's clock lags.
    behind: u8,
}

/// Next step within a tick.
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
    /// The list in each tick within the lag, newest last, as version and bit mask of its instances.
    lists: [(u8, u8); LISTS],
    /// Tick at which each name last joined or left the list; 0 if that is long ago.
    moved: [u8; INSTANCES],
    changes: u8,
    pauses: u8,
    leaves: u8,
    late: u8,
    instances: [u32; INSTANCES],
    /// Number of requests on the slot.
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

fn bounds(lag: u8, max_list_age: u8, run: u8) -> Bounds {
    Bounds {
        lag: ticks(lag),
        max_list_age: ticks(max_list_age),
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
        self.views.update(members(list), now, now);
        self.claim();
    }

    fn claim(&mut self) {
        self.ledger.claims = self.views.claims(&upstream(), 1);
    }

    fn may_send(&self, now: u8) -> bool {
        let others = u32::from(self.sent.is_some());
        let now = self.clock(now);
        self.ledger
            .usable_slot(&self.views, others, None, now)
            .is_some()
    }

    fn send(&mut self, now: u8) {
        self.ledger.hold(0, 0);
        self.sent = Some(now);
    }

    fn end(&mut self) {
        self.sent = None;
        self.ledger.release(0);
    }
}

impl Node {
    fn new(model: &Model, mask: u8) -> Self {
        let start = |index| {
            let mut instance = Instance {
                views: Views::new(instance(index), model.setup.bounds),
                ledger: Ledger::default(),
                sent: None,
                paused: false,
                behind: 0,
            };
            // An instance that is not on the list at first has not run before.
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

    fn is_safe(&self) -> bool {
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
                if instance.paused && model.setup.clock_stops {
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
            // A draining instance leaves the list and does not return.
            let leaving = model.instance(self.instances[index]).views.is_leaving();
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

    fn change_instance(self, index: usize, model: &Model, next: &mut Vec<Self>) {
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
        if self.leaves > 0 && !instance.views.is_leaving() {
            let mut node = self.with(index, model, |instance| {
                instance.views.leave();
                instance.claim();
            });
            node.leaves -= 1;
            next.push(node);
        }
        if instance.views.is_leaving() {
            self.deliver_notice(index, model, next);
        }
    }

    /// Delivers a draining instance's notice to one other instance.
    fn deliver_notice(self, index: usize, model: &Model, next: &mut Vec<Self>) {
        let drained = model.instance(self.instances[index]);
        let mut drain_notice = DrainNotice {
            instance: instance(index),
            running: Vec::new(),
        };
        if !model.setup.notice_is_empty {
            let held = drained.ledger.held.iter();
            drain_notice
                .running
                .extend(held.map(|held| (upstream(), held.number)));
        }
        for other in 0..INSTANCES {
            if other == index || model.instance(self.instances[other]).paused {
                continue;
            }
            next.push(self.with(other, model, |instance| {
                instance.views.record_drain(drain_notice.clone());
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
        // Without drain notices, a later request can stand for an earlier one and for none: it ends
        // later, and nothing else depends on it. The other branches need not be explored.
        if model.world.leaves == 0 {
            next.clear();
            sent.truncate(1);
        }
        if model.world.leaves > 0 || sent.is_empty() {
            next.push(self);
        }
        next.append(&mut sent);
    }

    /// Returns whether nothing has happened in the first two ticks. Any later event can happen to
    /// the same instances two ticks earlier just as well.
    fn is_uneventful(self, model: &Model) -> bool {
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
        if !self.is_safe() || self.is_uneventful(model) {
            return next;
        }
        match self.phase {
            // Several of these events may happen in one tick.
            Phase::World => {
                self.change_list(model, &mut next);
                for index in 0..INSTANCES {
                    self.change_instance(index, model, &mut next);
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
            if phase == Phase::World && node.is_safe() && !over {
                *node = node.tick(model);
            }
        }
        if over {
            next.retain(|node| !node.is_safe());
        }
        next
    }
}

/// Explores all states from all lists of two or three instances. Returns whether all are safe;
/// stops at the first unsafe one.
fn explore(name: &str, world: World, setup: InstanceSetup) -> bool {
    let model = Model::new(world, setup);
    let mut states = 0;
    let mut running = 0;
    for mask in [0b011, 0b101, 0b110, 0b111] {
        for node in bfs_reach(Node::new(&model, mask), |node| node.successors(&model)) {
            states += 1;
            running += u64::from(node.running > 0);
            if !node.is_safe() {
                println!("{name}: two requests on one slot after {states} states");
                return false;
            }
        }
    }
    println!("{name}: {states} states, {running} with a request on the slot, all safe");
    assert!(running > 0, "no request was sent on the slot in any state");
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

/// A list that lags by one tick, so that views are up to two ticks old.
const LAGGING: World = World {
    lag: 1,
    dwell: 2,
    changes: 1,
    ticks: 6,
    ..WORLD
};

/// A graceful leave while a request runs longer than lists take to settle.
const LEAVE: World = World {
    run: 3,
    changes: 1,
    leaves: 1,
    ticks: 5,
    late: 1,
    ..WORLD
};

/// Instances that use a list for one tick after reading it, and have the correct bounds of the
/// world.
fn setup(world: &World) -> InstanceSetup {
    InstanceSetup {
        bounds: bounds(world.lag, 1, world.run),
        clock_stops: false,
        notice_is_empty: false,
    }
}

fn is_world_safe(name: &str, world: World) -> bool {
    explore(name, world, setup(&world))
}

#[gtest]
fn joins_and_leaves() {
    expect_that!(is_world_safe("joins and leaves", WORLD), eq(true));
}

#[gtest]
fn joins_and_leaves_with_lag() {
    expect_that!(is_world_safe("joins and leaves, lag", LAGGING), eq(true));
}

const PAUSED: World = World {
    changes: 1,
    pauses: 1,
    late: 2,
    ..WORLD
};

#[gtest]
fn pauses() {
    expect_that!(is_world_safe("pauses", PAUSED), eq(true));
}

#[gtest]
fn graceful_leaves() {
    expect_that!(is_world_safe("graceful leaves", LEAVE), eq(true));
}

#[gtest]
fn a_missing_wait_for_the_lag_is_detected() {
    let world = World { lag: 2, ..LAGGING };
    let mutant = InstanceSetup {
        bounds: bounds(0, 1, world.run),
        ..setup(&world)
    };
    expect_that!(explore("no wait for the lag", world, mutant), eq(false));
}

#[gtest]
fn an_unnoticed_pause_is_detected() {
    let mutant = InstanceSetup {
        clock_stops: true,
        ..setup(&PAUSED)
    };
    expect_that!(explore("unnoticed pause", PAUSED, mutant), eq(false));
}

#[gtest]
fn a_missing_wait_for_running_requests_is_detected() {
    let world = World {
        run: 3,
        changes: 1,
        ..WORLD
    };
    let mutant = InstanceSetup {
        bounds: bounds(world.lag, 1, 0),
        ..setup(&world)
    };
    expect_that!(
        explore("running requests not counted", world, mutant),
        eq(false)
    );
}

#[gtest]
fn a_false_drain_notice_is_detected() {
    let mutant = InstanceSetup {
        notice_is_empty: true,
        ..setup(&LEAVE)
    };
    expect_that!(explore("false drain notice", LEAVE, mutant), eq(false));
}

/// Random runs with changes, pauses, and late or omitted reads, over many seeds and a longer time
/// than can be explored. `ROUTING_SEEDS` sets the number of seeds.
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
    let model = Model::new(world, setup(&world));
    let mut sent = 0;
    for seed in 0..seeds {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut node = Node::new(&model, 0b111);
        loop {
            let next = node.successors(&model);
            let Some(last) = next.last() else {
                break;
            };
            // In most steps the environment doesn't change, and reads are in time.
            let prefer_last = match node.phase {
                Phase::World => random.random_bool(0.97),
                Phase::Read(_) => random.random_bool(0.9),
                Phase::Act(_) => false,
            };
            let chosen = if prefer_last {
                *last
            } else {
                *next.choose(&mut random).unwrap()
            };
            sent += u32::from(chosen.running > node.running);
            node = chosen;
            expect_that!(node.is_safe(), eq(true), "seed {seed}, tick {}", node.now);
        }
    }
    println!("{seeds} seeds, {sent} requests on the slot");
    expect_that!(sent, gt(0));
}

/// Returns a slot that this instance does not own while `other` is on the list, but owns alone.
fn contested(other: usize) -> u32 {
    let owns = |number: &u32| {
        let mut views = Views::new(instance(0), Bounds::default());
        views.update(
            Members::new(1, vec![instance(0), instance(other)]),
            Moment(0),
            Moment(0),
        );
        let claims = views.claims(&upstream(), 64);
        claims.iter().all(|claim| claim.number != *number)
    };
    (0..64).find(owns).unwrap()
}

/// Returns the time after which this instance may use the contested slot, counted from the graceful
/// leave of the other instance, which happens `after` this instance first read the list.
fn takeover(after: Span) -> Span {
    let (mine, other) = (instance(0), instance(1));
    let number = contested(1);
    let mut views = Views::new(mine.clone(), Bounds::default());
    let both = Members::new(1, vec![mine.clone(), other.clone()]);
    let step = Span::from_secs(1);
    let mut now = Moment(0);
    while now.since(Moment(0)) < after {
        views.update(both.clone(), now, now);
        now = now + step;
    }
    views.update(Members::new(2, vec![mine]), now, now);
    views.record_drain(DrainNotice {
        instance: other,
        running: Vec::new(),
    });
    let claims = views.claims(&upstream(), 64);
    let claim = claims.iter().find(|claim| claim.number == number);
    claim.unwrap().from.since(now)
}

/// A notice of the last owner gives no information on owners before this instance's first read,
/// whose requests may still run.
#[gtest]
fn a_drain_notice_shortens_the_wait_only_with_a_long_enough_history() {
    let bounds = Bounds::default();
    expect_that!(takeover(Span::from_secs(10)), eq(bounds.clear_time()));
    expect_that!(takeover(Span::from_secs(70)), eq(bounds.settle_time()));
}

/// After a drain notice, the same name belongs to a new process, which may use the slot and crash
/// without a notice.
#[gtest]
fn a_drain_notice_ends_with_its_process() {
    let (mine, other) = (instance(0), instance(1));
    let number = contested(1);
    let mut views = Views::new(mine.clone(), Bounds::default());
    let both = vec![mine.clone(), other.clone()];
    let drain_notice = DrainNotice {
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
            views.update(Members::new(version as u64, live.clone()), now, now);
            // The notice is in every digest of the draining instance, and the last one arrives
            // late.
            if version == 1 || version == 2 && second == 0 {
                views.record_drain(drain_notice.clone());
            }
            now = now + Span::from_secs(1);
        }
    }
    let claims = views.claims(&upstream(), 64);
    let claim = claims.iter().find(|claim| claim.number == number).unwrap();
    let gained = now - Span::from_secs(1);
    expect_that!(claim.from.since(gained), eq(Bounds::default().clear_time()));
}

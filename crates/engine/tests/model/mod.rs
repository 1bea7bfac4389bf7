//! A model of two senders and an engine. The instance list moves ownership from the first sender to
//! the second, readers lag, senders pause, messages are late and replies are lost. Each step runs
//! the schedule, ownership and sender code of the crate itself.

use config::model::Fencing;
use engine::Schedule;
use engine::order::{Command, Order, Record};
use engine::ownership::{Bounds, Ownership};
use engine::sender::{Due, Inspection, Reply, Report, Sent, Times};
use entity::{Moment, Offset, Span, name, request};

/// Length of a tick in microseconds; each bound is one tick.
const TICK_US: u64 = 1_000_000;

/// Tick at which the exploration begins, after the first sender's quarantine.
const START_TICK: u8 = 8;

/// Number of orders issued: one to load a version, and later one to unload it.
pub const ORDER_COUNT: u8 = 2;

/// The rule that is omitted from the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The complete protocol.
    None,
    /// A new owner sends without waiting for the quarantine.
    NoQuarantine,
    /// A new owner sends without having read the orders since its quarantine.
    UnreadOrders,
    /// An engine that is configured to check fences ignores them.
    FenceIgnoredByEngine,
    /// An order is sent again without an inspection of the engine.
    ResentWithoutInspection,
}

#[derive(Clone, Copy, Debug)]
pub struct Spec {
    pub mutation: Mutation,
    pub fencing: Fencing,
    pub ticks: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Due(Due),
    /// The check has passed at the tick in the last field, and the message for the order in the
    /// second field is not written yet.
    Checked(Sent, u8, u8),
    Waiting(Sent, bool),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sender {
    ownership: Ownership,
    /// Number of orders read from the log.
    read: u8,
    /// Tick of the last read.
    read_at: u8,
    phase: Phase,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct InFlightMessage {
    sender: u8,
    order: u8,
    written: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: u8,
    /// Number of orders on the log.
    appended: u8,
    /// Tick at which the instance list began to name the second sender as the owner.
    switched: Option<u8>,
    senders: [Sender; 2],
    in_flight: Vec<InFlightMessage>,
    loaded: bool,
    highest_fence: u8,
    pub executions: [u8; ORDER_COUNT as usize],
    pub executed_out_of_order: bool,
}

fn moment(tick: u8) -> Moment {
    Moment(u64::from(tick) * TICK_US)
}

fn version() -> name::Version {
    "large/1".parse().expect("a valid name")
}

fn upstream() -> name::Upstream {
    "gpu-1".parse().expect("a valid name")
}

fn schedule(read: u8) -> Schedule {
    let mut schedule = Schedule::open(Span::from_secs(1), Offset(1));
    for number in 0..read {
        let command = if number == 0 {
            Command::Load(version())
        } else {
            Command::Unload(version())
        };
        let order = Order {
            id: request::Id(u128::from(number)),
            upstream: upstream(),
            command,
        };
        schedule.apply(Offset(u64::from(number) + 1), 0, &[Record::Order(order)]);
    }
    schedule
}

impl Spec {
    fn bounds(&self) -> Bounds {
        let tick = if self.mutation == Mutation::NoQuarantine {
            Span::ZERO
        } else {
            Span::from_micros(TICK_US)
        };
        Bounds {
            max_list_lag: tick,
            max_list_age: Span::from_micros(TICK_US),
            max_pause: tick,
            timeout: tick,
        }
    }

    pub fn start(&self) -> State {
        let sender = |named| {
            let mut ownership = Ownership::new(self.bounds());
            for tick in 0..=START_TICK {
                ownership.record_list(named, moment(tick));
            }
            Sender {
                ownership,
                read: 1,
                read_at: START_TICK,
                phase: Phase::Idle,
            }
        };
        State {
            now: START_TICK,
            appended: 1,
            switched: None,
            senders: [sender(true), sender(false)],
            in_flight: Vec::new(),
            loaded: false,
            highest_fence: 0,
            executions: [0; ORDER_COUNT as usize],
            executed_out_of_order: false,
        }
    }

    pub fn steps(&self, state: &State) -> Vec<State> {
        let mut steps = Vec::new();
        let mut step = |change: &dyn Fn(&mut State) -> bool| {
            let mut next = state.clone();
            if change(&mut next) {
                next.in_flight.sort();
                steps.push(next);
            }
        };
        step(&|s| s.tick() && s.now <= START_TICK + self.ticks);
        step(&|s| {
            s.appended += 1;
            s.appended <= ORDER_COUNT
        });
        step(&|s| s.switched.replace(s.now).is_none());
        step(&|s| s.update_first_owner(false));
        step(&|s| s.update_first_owner(true));
        for i in 0..2 {
            step(&|s| s.read(i, self.fencing == Fencing::Ignored && i == 1));
            step(&|s| self.check(s, i));
            step(&|s| self.write(s, i));
            step(&|s| self.reply(s, i));
        }
        for index in 0..state.in_flight.len() {
            step(&|s| self.arrive(s, index, true));
            step(&|s| self.arrive(s, index, false));
        }
        steps
    }

    /// Inspects the engine and does the last check before a send.
    fn check(&self, state: &mut State, i: usize) -> bool {
        let report = state.report();
        let (now, read) = (moment(state.now), state.senders[i].read);
        let sender = &mut state.senders[i];
        let due = match sender.phase.clone() {
            Phase::Due(due) => due,
            Phase::Idle => match schedule(read).first_open("gpu-1") {
                Some(entry) => Due::new(entry.clone(), now),
                None => return false,
            },
            Phase::Checked(..) | Phase::Waiting(..) => return false,
        };
        let ready = match due.inspect(&report) {
            Inspection::Stale(_) => return false,
            Inspection::Done(_) => {
                let changed = sender.phase != Phase::Idle;
                sender.phase = Phase::Idle;
                return changed;
            }
            Inspection::Ready(ready) => ready,
        };
        let sent = ready.prepare_send(
            &schedule(read),
            &sender.ownership,
            self.fencing,
            self.times(now, sender),
        );
        let Ok((sent, message)) = sent else {
            let changed = sender.phase != Phase::Idle;
            sender.phase = Phase::Idle;
            return changed;
        };
        sender.phase = Phase::Checked(sent, message.order.id.0 as u8, state.now);
        true
    }

    fn times(&self, now: Moment, sender: &Sender) -> Times {
        let unread = self.mutation == Mutation::UnreadOrders;
        let read_at = moment(sender.read_at);
        Times {
            now,
            read: if unread { now } else { read_at },
            log_ms: 1_000_000,
        }
    }

    /// Writes the message after a pause within the bounds, or after any pause for an engine that
    /// checks fences.
    fn write(&self, state: &mut State, i: usize) -> bool {
        let Phase::Checked(sent, order, at) = state.senders[i].phase.clone() else {
            return false;
        };
        if self.fencing == Fencing::Ignored && state.now > at + 1 {
            return false;
        }
        state.in_flight.push(InFlightMessage {
            sender: i as u8,
            order,
            written: state.now,
        });
        state.senders[i].phase = Phase::Waiting(sent, false);
        true
    }

    /// Delivers the message to the engine, whose reply arrives or is lost.
    fn arrive(&self, state: &mut State, index: usize, replied: bool) -> bool {
        let flight = state.in_flight.remove(index);
        let fence = flight.order + 1;
        let checks =
            self.fencing == Fencing::Checked && self.mutation != Mutation::FenceIgnoredByEngine;
        if !checks || fence >= state.highest_fence {
            state.executed_out_of_order |= fence < state.highest_fence;
            state.highest_fence = state.highest_fence.max(fence);
            state.executions[usize::from(flight.order)] += 1;
            state.loaded = flight.order == 0;
        }
        let sender = &mut state.senders[usize::from(flight.sender)];
        if let Phase::Waiting(_, answered) = &mut sender.phase {
            *answered = replied;
        }
        true
    }

    /// Continues the sender after a reply or without one.
    fn reply(&self, state: &mut State, i: usize) -> bool {
        let now = moment(state.now);
        let sender = &mut state.senders[i];
        let Phase::Waiting(sent, answered) = sender.phase.clone() else {
            return false;
        };
        if self.mutation == Mutation::ResentWithoutInspection && !answered {
            let order = sender.read - 1;
            sender.phase = Phase::Checked(sent, order, state.now);
            return true;
        }
        let reply = if answered {
            Reply::Accepted
        } else {
            Reply::Lost
        };
        // The order is sent within the maximum pause after the check and acts within the timeout.
        let timeout = Span::from_micros(3 * TICK_US);
        sender.phase = Phase::Due(sent.record_reply(reply, now, timeout));
        true
    }
}

impl State {
    fn report(&self) -> Report {
        let versions = if self.loaded {
            vec![version()]
        } else {
            Vec::new()
        };
        Report {
            as_of: moment(self.now),
            versions,
        }
    }

    /// Advances the time by a tick. The second sender reads the list without a lag, which gives its
    /// earliest start. Messages that did not act in time are dropped.
    fn tick(&mut self) -> bool {
        self.now += 1;
        let (now, named) = (self.now, self.switched.is_some());
        self.senders[1].ownership.record_list(named, moment(now));
        self.in_flight.retain(|flight| now <= flight.written + 1);
        true
    }

    /// Lets the first sender read the list, which may lag by a tick. It may also not read it for any
    /// length of time.
    fn update_first_owner(&mut self, stale: bool) -> bool {
        let (now, switched) = (self.now, self.switched);
        let lagging = switched.is_some_and(|at| now <= at + 1);
        if stale && !lagging {
            return false;
        }
        let named = switched.is_none() || stale;
        self.senders[0].ownership.record_list(named, moment(now));
        true
    }

    /// Lets a sender read the orders to their end. The time of the read matters only to the second
    /// sender of an engine that ignores fences.
    fn read(&mut self, i: usize, timed: bool) -> bool {
        let sender = &mut self.senders[i];
        let read_at = if timed { self.now } else { sender.read_at };
        let changed = (sender.read, sender.read_at) != (self.appended, read_at);
        (sender.read, sender.read_at) = (self.appended, read_at);
        changed
    }
}

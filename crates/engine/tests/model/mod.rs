//! A specification of two senders and an engine: the instance list moves from the first sender to
//! the second, readers lag, senders pause, messages are late and replies are lost. Each step runs
//! the product's book, tenure and sender.

use config::model::Fencing;
use engine::Book;
use engine::order::{Command, Order, Record};
use engine::sender::{Due, Look, Reply, Report, Sent, Times};
use engine::tenure::{Bounds, Tenure};
use entity::{Moment, Offset, Span, name, request};

/// Microseconds of a tick; each bound is one tick.
const TICK_US: u64 = 1_000_000;

/// The tick at which the exploration begins, after the first sender's quarantine.
const START: u8 = 8;

/// Orders given: to load a version, and later to unload it.
pub const ORDERS: u8 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    None,
    NoQuarantine,
    UnreadOrders,
    FenceIgnoredByEngine,
    ResentWithoutLook,
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
    /// The check has passed and the message is not written yet.
    Checked(Sent, u8, u8),
    Waiting(Sent, bool),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sender {
    tenure: Tenure,
    /// Orders read from the log, and when.
    read: u8,
    read_at: u8,
    phase: Phase,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Flight {
    sender: u8,
    order: u8,
    written: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: u8,
    /// Orders on the log.
    given: u8,
    /// When the instance list began to name the second sender.
    switched: Option<u8>,
    senders: [Sender; 2],
    flights: Vec<Flight>,
    loaded: bool,
    highest: u8,
    pub acts: [u8; ORDERS as usize],
    pub overtaken: bool,
}

fn moment(tick: u8) -> Moment {
    Moment(u64::from(tick) * TICK_US)
}

fn version() -> name::Version {
    "large/1".parse().expect("a name")
}

fn upstream() -> name::Upstream {
    "gpu-1".parse().expect("a name")
}

fn book(read: u8) -> Book {
    let mut book = Book::open(Span::from_secs(1), Offset(1));
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
        book.apply(Offset(u64::from(number) + 1), 0, &[Record::Order(order)]);
    }
    book
}

impl Spec {
    fn bounds(&self) -> Bounds {
        let tick = if self.mutation == Mutation::NoQuarantine {
            Span::ZERO
        } else {
            Span::from_micros(TICK_US)
        };
        Bounds {
            list_lag: tick,
            list_age: Span::from_micros(TICK_US),
            pause: tick,
            timeout: tick,
        }
    }

    pub fn start(&self) -> State {
        let sender = |named| {
            let mut tenure = Tenure::new(self.bounds());
            for tick in 0..=START {
                tenure.list(named, moment(tick));
            }
            Sender {
                tenure,
                read: 1,
                read_at: START,
                phase: Phase::Idle,
            }
        };
        State {
            now: START,
            given: 1,
            switched: None,
            senders: [sender(true), sender(false)],
            flights: Vec::new(),
            loaded: false,
            highest: 0,
            acts: [0; ORDERS as usize],
            overtaken: false,
        }
    }

    pub fn steps(&self, state: &State) -> Vec<State> {
        let mut steps = Vec::new();
        let mut step = |change: &dyn Fn(&mut State) -> bool| {
            let mut next = state.clone();
            if change(&mut next) {
                next.flights.sort();
                steps.push(next);
            }
        };
        step(&|s| s.tick() && s.now <= START + self.ticks);
        step(&|s| {
            s.given += 1;
            s.given <= ORDERS
        });
        step(&|s| s.switched.replace(s.now).is_none());
        step(&|s| s.list_first(false));
        step(&|s| s.list_first(true));
        for i in 0..2 {
            step(&|s| s.read(i, self.fencing == Fencing::Ignored && i == 1));
            step(&|s| self.check(s, i));
            step(&|s| self.write(s, i));
            step(&|s| self.reply(s, i));
        }
        for index in 0..state.flights.len() {
            step(&|s| self.arrive(s, index, true));
            step(&|s| self.arrive(s, index, false));
        }
        steps
    }

    /// Looks at the engine and passes the last check before a send.
    fn check(&self, state: &mut State, i: usize) -> bool {
        let report = state.report();
        let (now, read) = (moment(state.now), state.senders[i].read);
        let sender = &mut state.senders[i];
        let due = match sender.phase.clone() {
            Phase::Due(due) => due,
            Phase::Idle => match book(read).head("gpu-1") {
                Some(entry) => Due::new(entry.clone(), now),
                None => return false,
            },
            Phase::Checked(..) | Phase::Waiting(..) => return false,
        };
        let ready = match due.look(&report) {
            Look::Stale(_) => return false,
            Look::Done(_) => {
                let changed = sender.phase != Phase::Idle;
                sender.phase = Phase::Idle;
                return changed;
            }
            Look::Ready(ready) => ready,
        };
        let sent = ready.send(
            &book(read),
            &sender.tenure,
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

    /// Writes the message, after a pause that the bounds allow; an engine that checks fences
    /// allows any.
    fn write(&self, state: &mut State, i: usize) -> bool {
        let Phase::Checked(sent, order, at) = state.senders[i].phase.clone() else {
            return false;
        };
        if self.fencing == Fencing::Ignored && state.now > at + 1 {
            return false;
        }
        state.flights.push(Flight {
            sender: i as u8,
            order,
            written: state.now,
        });
        state.senders[i].phase = Phase::Waiting(sent, false);
        true
    }

    /// The message acts, or is lost; its reply arrives or is lost.
    fn arrive(&self, state: &mut State, index: usize, replied: bool) -> bool {
        let flight = state.flights.remove(index);
        let fence = flight.order + 1;
        let checks =
            self.fencing == Fencing::Checked && self.mutation != Mutation::FenceIgnoredByEngine;
        if !checks || fence >= state.highest {
            state.overtaken |= fence < state.highest;
            state.highest = state.highest.max(fence);
            state.acts[usize::from(flight.order)] += 1;
            state.loaded = flight.order == 0;
        }
        let sender = &mut state.senders[usize::from(flight.sender)];
        if let Phase::Waiting(_, answered) = &mut sender.phase {
            *answered = replied;
        }
        true
    }

    /// Goes on after a reply, or without one.
    fn reply(&self, state: &mut State, i: usize) -> bool {
        let now = moment(state.now);
        let sender = &mut state.senders[i];
        let Phase::Waiting(sent, answered) = sender.phase.clone() else {
            return false;
        };
        if self.mutation == Mutation::ResentWithoutLook && !answered {
            let order = sender.read - 1;
            sender.phase = Phase::Checked(sent, order, state.now);
            return true;
        }
        let reply = if answered {
            Reply::Accepted
        } else {
            Reply::Lost
        };
        // The order left for at most the pause after the check and acts within the timeout.
        let timeout = Span::from_micros(3 * TICK_US);
        sender.phase = Phase::Due(sent.reply(reply, now, timeout));
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

    /// The second sender reads the list without a lag, which is its earliest start. Messages that
    /// did not act in time never do.
    fn tick(&mut self) -> bool {
        self.now += 1;
        let (now, named) = (self.now, self.switched.is_some());
        self.senders[1].tenure.list(named, moment(now));
        self.flights.retain(|flight| now <= flight.written + 1);
        true
    }

    /// The first sender reads the list, which may lag by a tick, or doesn't for any time.
    fn list_first(&mut self, stale: bool) -> bool {
        let (now, switched) = (self.now, self.switched);
        let lagging = switched.is_some_and(|at| now <= at + 1);
        if stale && !lagging {
            return false;
        }
        let named = switched.is_none() || stale;
        self.senders[0].tenure.list(named, moment(now));
        true
    }

    /// An instance reads the orders to their end. When it did so matters only to the second sender
    /// of an engine that ignores fences.
    fn read(&mut self, i: usize, timed: bool) -> bool {
        let sender = &mut self.senders[i];
        let read_at = if timed { self.now } else { sender.read_at };
        let changed = (sender.read, sender.read_at) != (self.given, read_at);
        (sender.read, sender.read_at) = (self.given, read_at);
        changed
    }
}

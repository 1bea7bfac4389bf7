//! Model of the commit of one usage record: its owner, two holders, messages that can be lost, appends
//! that take effect late, and failures of instances. Each step runs the production code.

use billing::copies::Copies;
use billing::held::{Held, Policy};
use billing::ledger::{Checkpoint, Horizon, Ledger};
use billing::usage::{Entry, Record, Step, Target};
use entity::unit::{Cost, Tokens};
use entity::{Moment, Offset, Span, name, request};

/// Number of peers that can hold the record.
pub const PEERS: usize = 2;

/// Time in the ids of the records, in milliseconds since the Unix epoch.
pub const TIME_MS: u64 = 1_000_000;

/// The rule that is omitted from the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The complete protocol.
    None,
    /// The ledger counts duplicates.
    WithoutDedup,
    /// The owner answers before the record is safe.
    AnsweredUnsafe,
    /// The owner lets peers drop the record before its append is confirmed.
    DroppedEarly,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Whether the owner is running.
    pub owner: bool,
    pub copies: Copies,
    pub answered: bool,
    /// Whether each peer is running, and whether it holds the record.
    pub running: [bool; PEERS],
    pub holds: [bool; PEERS],
    /// Messages in flight to each peer to hold and to drop the record, and confirmations from it.
    hold: [bool; PEERS],
    confirm: [bool; PEERS],
    drop: [bool; PEERS],
    /// Appends in flight and their replies, of the owner and of each peer.
    sent: [u8; PEERS + 1],
    replied: [bool; PEERS + 1],
    /// Number of appends that may still be sent.
    sends_left: u8,
    /// Number of copies of the record on the log.
    pub log: u8,
}

pub fn instance(index: usize) -> name::Instance {
    format!("entry-{index}").parse().expect("a valid name")
}

pub fn record(request: u128, organisation: &str) -> Record {
    let version: name::Version = "draft/1".parse().expect("a valid name");
    Record {
        request: request::Id(u128::from(TIME_MS) << 80 | request),
        organisation: organisation.parse().expect("a valid name"),
        service: "advise".parse().expect("a valid name"),
        target: Target::Version(version.clone()),
        steps: vec![Step {
            target: Target::Version(version),
            upstream: "gpu-1".parse().expect("a valid name"),
            tokens_in: Tokens(100),
            tokens_out: Tokens(20),
            cost: Cost(7),
        }],
        lender: None,
    }
}

fn policy() -> Policy {
    Policy {
        replay_delay: Span::from_secs(1),
        max_hold: Span::from_secs(100),
        capacity: 10,
    }
}

/// Returns the production code's held records in the state that the model has for a peer.
fn held(holds: bool) -> Held {
    let mut held = Held::new(policy());
    if holds {
        let kept = held.hold(record(1, "water"), instance(0), Moment(0));
        kept.expect("there is room");
    }
    held
}

impl State {
    pub fn start(sends: u8) -> Self {
        Self {
            owner: true,
            copies: Copies::new(PEERS),
            answered: false,
            running: [true; PEERS],
            holds: [false; PEERS],
            hold: [false; PEERS],
            confirm: [false; PEERS],
            drop: [false; PEERS],
            sent: [0; PEERS + 1],
            replied: [false; PEERS + 1],
            sends_left: sends,
            log: 0,
        }
    }

    pub fn steps(&self, mutation: Mutation) -> Vec<Self> {
        let mut steps = Vec::new();
        let mut step = |change: &dyn Fn(&mut Self) -> bool| {
            let mut next = self.clone();
            if change(&mut next) {
                steps.push(next);
            }
        };
        step(&|s| s.answer(mutation));
        step(&|s| std::mem::replace(&mut s.owner, false));
        step(&|s| s.owner && !s.copies.is_appended() && s.send(0));
        step(&|s| s.owner && s.take_reply());
        for writer in 0..=PEERS {
            step(&|s| s.apply(writer, true));
            step(&|s| s.apply(writer, false));
        }
        for f in 0..PEERS {
            step(&|s| s.ask(f));
            step(&|s| s.receive_hold(f));
            step(&|s| s.receive_confirm(f));
            step(&|s| s.send_drop(f, mutation));
            step(&|s| s.receive_drop(f));
            step(&|s| s.replay(f));
            step(&|s| s.take_holder_reply(f));
            step(&|s| s.kill(f));
        }
        steps
    }

    fn answer(&mut self, mutation: Mutation) -> bool {
        let safe = self.copies.is_safe() || mutation == Mutation::AnsweredUnsafe;
        let now = self.owner && !self.answered && safe;
        self.answered |= now;
        now
    }

    fn send(&mut self, writer: usize) -> bool {
        if self.sends_left == 0 {
            return false;
        }
        self.sends_left -= 1;
        self.sent[writer] += 1;
        true
    }

    /// Applies an append; its reply arrives if `replied`, and is lost otherwise.
    fn apply(&mut self, writer: usize, replied: bool) -> bool {
        if self.sent[writer] == 0 {
            return false;
        }
        self.sent[writer] -= 1;
        self.log += 1;
        self.replied[writer] |= replied;
        true
    }

    fn take_reply(&mut self) -> bool {
        if self.replied[0] {
            self.copies.record_append();
        }
        std::mem::take(&mut self.replied[0])
    }

    fn ask(&mut self, f: usize) -> bool {
        if !self.owner || self.hold[f] || self.copies.is_held_by(&instance(f + 1)) {
            return false;
        }
        self.copies.record_request(instance(f + 1));
        self.hold[f] = true;
        true
    }

    fn receive_hold(&mut self, f: usize) -> bool {
        if !std::mem::take(&mut self.hold[f]) || !self.running[f] {
            return false;
        }
        self.holds[f] = !held(true).is_empty();
        self.confirm[f] = true;
        true
    }

    fn receive_confirm(&mut self, f: usize) -> bool {
        if !std::mem::take(&mut self.confirm[f]) || !self.owner {
            return false;
        }
        self.copies.record_hold(instance(f + 1));
        true
    }

    fn send_drop(&mut self, f: usize, mutation: Mutation) -> bool {
        let name = instance(f + 1);
        let early = mutation == Mutation::DroppedEarly && self.sent[0] > 0;
        let may = self.copies.drop_targets().contains(&name) || (early && self.holds[f]);
        let now = self.owner && may && !self.drop[f];
        self.drop[f] |= now;
        now
    }

    fn receive_drop(&mut self, f: usize) -> bool {
        if !std::mem::take(&mut self.drop[f]) {
            return false;
        }
        self.mark_appended(f);
        true
    }

    fn mark_appended(&mut self, f: usize) {
        let mut held = held(self.holds[f]);
        held.mark_appended(record(1, "water").request);
        self.holds[f] = !held.is_empty();
    }

    fn replay(&mut self, f: usize) -> bool {
        let due = held(self.holds[f]).replay(Moment(1_000_000), 1);
        self.running[f] && !due.is_empty() && self.send(f + 1)
    }

    fn take_holder_reply(&mut self, f: usize) -> bool {
        if !std::mem::take(&mut self.replied[f + 1]) || !self.running[f] {
            return false;
        }
        self.mark_appended(f);
        true
    }

    fn kill(&mut self, f: usize) -> bool {
        self.holds[f] = false;
        std::mem::replace(&mut self.running[f], false)
    }

    /// Returns whether the record of an answered request is lost; appends in flight don't count as
    /// copies.
    pub fn is_lost(&self) -> bool {
        let held = self.holds.contains(&true);
        self.answered && self.log == 0 && !self.owner && !held
    }

    /// Returns the number of requests that the production ledger bills after this log.
    pub fn billed(&self, mutation: Mutation) -> u64 {
        let mut ledger = ledger();
        for copy in 0..u64::from(self.log) {
            let request = if mutation == Mutation::WithoutDedup {
                copy + 1
            } else {
                1
            };
            let entry = Entry::Request(record(u128::from(request), "water"));
            ledger.apply(Offset(copy + 1), TIME_MS, &[entry]);
        }
        ledger
            .checkpoint()
            .accounts
            .iter()
            .map(|a| a.requests)
            .sum()
    }
}

pub fn ledger() -> Ledger {
    let horizon = Horizon(Span::from_secs(600));
    Ledger::open(horizon, Checkpoint::default(), Offset(1))
}

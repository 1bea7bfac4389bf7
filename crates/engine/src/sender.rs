//! The life cycle of one order at its sender, by typestate: `Due` → `Ready` → `Sent` → `Done`.
//!
//! The engine is looked at before each send and after it. A send whose reply was lost is not
//! repeated before a report shows that it did not act.

use crate::book::{Book, Entry};
use crate::order::{Fence, Order, Record};
use crate::tenure::Tenure;
use config::model::Fencing;
use entity::{Moment, Span, name};

/// What an engine reported about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    /// When the engine was in this state, at the earliest.
    pub as_of: Moment,
    /// The versions that it has, sorted.
    pub versions: Vec<name::Version>,
}

/// An order that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Due {
    entry: Entry,
    /// Reports from before this moment don't show what earlier sends did.
    looked_after: Moment,
}

/// What a look at the engine showed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Look {
    /// The report is too old to tell.
    Stale(Due),
    /// The engine is not in the wanted state.
    Ready(Ready),
    /// The engine is in the wanted state.
    Done(Done),
}

/// Times that a send is checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Times {
    /// The instance's clock, immediately before the send.
    pub now: Moment,
    /// When the last read of the orders that reached their end began.
    pub read: Moment,
    /// A lower bound of the log's clock, in milliseconds since the Unix epoch.
    pub log_ms: u64,
}

/// An order whose engine was seen not to be in the wanted state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ready {
    entry: Entry,
}

/// What is sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Message {
    /// The fence, which the engine checks or ignores.
    pub fence: Fence,
    /// The order.
    pub order: Order,
}

/// Why an order is not sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// This instance is not the sender, or not for long enough.
    Tenure,
    /// The weight store's schedule has it later.
    Schedule,
    /// The log has it done, overtaken or behind another.
    Book,
}

/// An order that was sent; its effect has to be looked at.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sent {
    entry: Entry,
    at: Moment,
}

/// What the engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It took the order.
    Accepted,
    /// It refused the order for its fence: a later one came before. The order has to be given
    /// anew, with a new fence, if it is still wanted.
    Fenced,
    /// The reply was lost.
    Lost,
}

/// An engine that was seen in the state that an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Done {
    order: Order,
}

impl Due {
    /// The first open order of an engine.
    pub fn new(entry: Entry, now: Moment) -> Self {
        Self {
            entry,
            looked_after: now,
        }
    }

    /// Compares a report of the engine with the order.
    pub fn look(self, report: &Report) -> Look {
        if report.as_of < self.looked_after {
            return Look::Stale(self);
        }
        let order = &self.entry.order;
        if order.command.is_satisfied(&report.versions) {
            let order = self.entry.order;
            return Look::Done(Done { order });
        }
        Look::Ready(Ready { entry: self.entry })
    }
}

impl Ready {
    /// Permits one send, if the log, the schedule and the tenure do.
    ///
    /// # Errors
    ///
    /// Why not, together with the order, which has to be looked at anew.
    pub fn send(
        self,
        book: &Book,
        tenure: &Tenure,
        fencing: Fencing,
        times: Times,
    ) -> Result<(Sent, Message), (Hold, Due)> {
        let named = match fencing {
            Fencing::Checked => tenure.is_named(times.now),
            Fencing::Ignored => tenure.may_send(times.now, times.read),
        };
        let hold = if !book.is_open(&self.entry) {
            Some(Hold::Book)
        } else if !named {
            Some(Hold::Tenure)
        } else if times.log_ms < self.entry.start_ms {
            Some(Hold::Schedule)
        } else {
            None
        };
        if let Some(hold) = hold {
            return Err((hold, Due::new(self.entry, times.now)));
        }
        let message = Message {
            fence: self.entry.fence,
            order: self.entry.order.clone(),
        };
        let entry = self.entry;
        Ok((
            Sent {
                entry,
                at: times.now,
            },
            message,
        ))
    }
}

impl Sent {
    /// Goes on after the reply, or after `timeout` without one.
    ///
    /// Only a report from after the order must have acted tells whether it did.
    pub fn reply(self, reply: Reply, now: Moment, timeout: Span) -> Due {
        let looked_after = match reply {
            Reply::Accepted | Reply::Fenced => now,
            Reply::Lost => (self.at + timeout).max(now),
        };
        Due {
            entry: self.entry,
            looked_after,
        }
    }
}

impl Done {
    /// The record to append, as often as the reply is lost.
    pub fn record(&self) -> Record {
        Record::Done {
            id: self.order.id,
            upstream: self.order.upstream.clone(),
        }
    }
}

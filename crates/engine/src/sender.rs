//! Life cycle of one order at its sender, as typestates: `Due` → `Ready` → `Sent` → `Done`.
//!
//! The engine's state is inspected before and after each send. An order whose reply was lost is not
//! sent again until a report shows that the first send had no effect.

use crate::order::{Fence, Order, Record};
use crate::ownership::Ownership;
use crate::schedule::{Entry, Schedule};
use config::model::Fencing;
use entity::{Moment, Span, name};

/// State that an engine reported.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    /// Earliest time at which the engine was in this state.
    pub as_of: Moment,
    /// Versions that the engine has loaded, sorted.
    pub versions: Vec<name::Version>,
}

/// An order that is due, before the engine's state is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Due {
    entry: Entry,
    /// Reports from before this time may not yet show the effect of earlier sends.
    report_after: Moment,
}

/// Result of the inspection of an engine's report.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Inspection {
    /// The report is too old to show the effect of earlier sends.
    Stale(Due),
    /// The engine is not in the state that the order requests.
    Ready(Ready),
    /// The engine is in the state that the order requests.
    Done(Done),
}

/// Times against which a send is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Times {
    /// Time on the instance's clock immediately before the send.
    pub now: Moment,
    /// Start of the last read that reached the end of the stream of orders.
    pub read: Moment,
    /// Lower bound of the log's clock, in milliseconds since the Unix epoch.
    pub log_ms: u64,
}

/// An order whose engine is not in the requested state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ready {
    entry: Entry,
}

/// Message to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Message {
    /// Fence of the order, which the engine checks or ignores.
    pub fence: Fence,
    /// Order of the message.
    pub order: Order,
}

/// Reason why an order is not sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSent {
    /// This instance is not the owner, or not yet for the length of the quarantine.
    NotOwner,
    /// The start time of the order has not been reached.
    TooEarly,
    /// By the log, the order is done, superseded or behind another order of the engine.
    NotFirst,
}

/// An order that was sent and whose effect is not known yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sent {
    entry: Entry,
    at: Moment,
}

/// Reply of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order because it has seen a larger fence. If the order is still
    /// needed, it has to be issued again with a new fence.
    Fenced,
    /// No reply arrived.
    Lost,
}

/// An order whose engine has reported the requested state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Done {
    order: Order,
}

impl Due {
    /// Creates a due order from the first open entry of an engine.
    pub fn new(entry: Entry, now: Moment) -> Self {
        Self {
            entry,
            report_after: now,
        }
    }

    /// Compares the engine's report with the state that the order requests.
    pub fn inspect(self, report: &Report) -> Inspection {
        if report.as_of < self.report_after {
            return Inspection::Stale(self);
        }
        let order = &self.entry.order;
        if order.command.is_satisfied(&report.versions) {
            let order = self.entry.order;
            return Inspection::Done(Done { order });
        }
        Inspection::Ready(Ready { entry: self.entry })
    }
}

impl Ready {
    /// Returns the message of the order if the schedule and the ownership permit one send now.
    ///
    /// # Errors
    ///
    /// Returns the reason why the order is not sent, with the order, whose engine has to be inspected
    /// again.
    pub fn prepare_send(
        self,
        schedule: &Schedule,
        ownership: &Ownership,
        fencing: Fencing,
        times: Times,
    ) -> Result<(Sent, Message), (NotSent, Due)> {
        let is_permitted = match fencing {
            Fencing::Checked => ownership.is_owner(times.now),
            Fencing::Ignored => ownership.may_send_unfenced(times.now, times.read),
        };
        let not_sent = if !schedule.is_open(&self.entry) {
            Some(NotSent::NotFirst)
        } else if !is_permitted {
            Some(NotSent::NotOwner)
        } else if times.log_ms < self.entry.start_ms {
            Some(NotSent::TooEarly)
        } else {
            None
        };
        if let Some(not_sent) = not_sent {
            return Err((not_sent, Due::new(self.entry, times.now)));
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
    /// Continues after the reply, or after `timeout` without one.
    ///
    /// Whether the order had an effect is shown only by a report from after the time by which the
    /// engine must have acted.
    pub fn record_reply(self, reply: Reply, now: Moment, timeout: Span) -> Due {
        let report_after = match reply {
            Reply::Accepted | Reply::Fenced => now,
            Reply::Lost => (self.at + timeout).max(now),
        };
        Due {
            entry: self.entry,
            report_after,
        }
    }
}

impl Done {
    /// Returns the record to append. The append is repeated while its reply is lost.
    pub fn record(&self) -> Record {
        Record::Done {
            id: self.order.id,
            upstream: self.order.upstream.clone(),
        }
    }
}

//! Events, their kinds and their fields.

use crate::clock::Timestamp;
use entity::name::Instance;
use entity::request::Id;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// Kind of an event.
        #[derive(
            Clone,
            Copy,
            Debug,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            serde_with::SerializeDisplay,
            serde_with::DeserializeFromStr,
        )]
        pub enum Kind {
            $($(#[$doc])* $name,)*
        }

        impl Kind {
            /// All kinds of events.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the name of the kind, as it is written to event logs.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

kinds! {
    /// The process started to serve requests.
    Started = "started",
    /// A peer runs another build of the program.
    PeerBuild = "peer-build",
    /// The process has reloaded its settings.
    Reloaded = "reloaded",
    /// The process drains and accepts no new requests.
    Draining = "draining",
    /// The process is about to exit.
    Stopped = "stopped",
    /// A configuration went into force.
    Adopted = "adopted",
    /// A publication was rejected.
    Rejected = "rejected",
    /// The configuration in force was written to the log again before its record expires.
    Checkpointed = "checkpointed",
    /// A request arrived.
    Arrived = "arrived",
    /// A request was queued for admission.
    Queued = "queued",
    /// A version and an upstream were chosen.
    Routed = "routed",
    /// A request was sent to an upstream.
    Sent = "sent",
    /// The first byte of an answer arrived.
    FirstByte = "first-byte",
    /// A try failed.
    Failed = "failed",
    /// An upstream closed its connection before its answer was complete.
    Lost = "lost",
    /// A request is tried again.
    Retried = "retried",
    /// A request was escalated to a more expensive version.
    Escalated = "escalated",
    /// The answer of a cheaper version was accepted despite its low confidence.
    Accepted = "accepted",
    /// An answer to an abandoned try, or one with the id of another request, was discarded.
    Discarded = "discarded",
    /// A caller received its complete answer.
    Answered = "answered",
    /// A caller received a refusal.
    Refused = "refused",
    /// A caller disconnected before the end of its answer.
    Cancelled = "cancelled",
    /// A claim on an idempotency key was appended.
    Claimed = "claimed",
    /// A claim was granted: this instance may send the request.
    Granted = "granted",
    /// A claim was denied because another claim precedes it.
    Conflicted = "conflicted",
    /// A claim was released.
    Released = "released",
    /// The outcome of a claimed request was appended.
    Settled = "settled",
    /// A usage record is held by peers.
    Held = "held",
    /// A usage record was appended to the log.
    Billed = "billed",
    /// An answer was rated.
    Rated = "rated",
    /// A verdict on a version was issued or received.
    Judged = "judged",
    /// An upstream entered cold start.
    Cold = "cold",
    /// An upstream completed its warm-up.
    Warm = "warm",
    /// An order was issued to an engine.
    Ordered = "ordered",
    /// A frame was sent to another instance.
    FrameSent = "frame-sent",
    /// A frame from another instance was received.
    FrameReceived = "frame-received",
    /// An instance is suspected to have failed.
    Suspected = "suspected",
    /// A call to the platform failed.
    Outage = "outage",
    /// A topic of the store was read although peers usually send its changes, or after an outage.
    Read = "read",
    /// The share of a release under trial, or the ruling on it, changed here.
    Tried = "tried",
    /// A part of prompts is held back, or isn't any more.
    Quarantined = "quarantined",
    /// The own link to an upstream is cut, or is back.
    Path = "path",
    /// An upstream was taken out by the evidence of several instances, or taken back.
    Outlier = "outlier",
    /// Events were dropped because the queue was full.
    Dropped = "dropped",
}

/// The text is not the name of an event kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown event kind")]
pub struct UnknownKind;

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        for kind in Self::ALL {
            if kind.as_str() == text {
                return Ok(*kind);
            }
        }
        Err(UnknownKind)
    }
}

/// Value of a field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// A Boolean value.
    Flag(bool),
    /// A non-negative integer.
    Count(u64),
    /// Any other number.
    Number(f64),
    /// Any other value, as text.
    Text(Box<str>),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Flag(flag) => flag.fmt(f),
            Self::Count(count) => count.fmt(f),
            Self::Number(number) => number.fmt(f),
            Self::Text(text) => text.fmt(f),
        }
    }
}

/// A field of an event.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Name of the field.
    pub name: Box<str>,
    /// Value of the field.
    pub value: Value,
}

/// An event at an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Timestamp of the event on the hybrid clock.
    pub clock: Timestamp,
    /// Instance that recorded the event.
    pub instance: Instance,
    /// Request that the event belongs to, if any.
    pub request: Option<Id>,
    /// Kind of the event.
    pub kind: Kind,
    /// Further values, sorted by name.
    pub fields: Vec<Field>,
}

impl Event {
    /// Returns the value of a field, if the event has it.
    pub fn field(&self, name: &str) -> Option<&Value> {
        let found = self
            .fields
            .binary_search_by(|field| (*field.name).cmp(name));
        found.ok().map(|index| &self.fields[index].value)
    }
}

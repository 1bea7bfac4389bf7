//! What happened, where and when.

use crate::clock::Timestamp;
use entity::name::Instance;
use entity::request::Id;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// What kind of thing happened.
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
            /// All kinds.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// The name of the kind.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

kinds! {
    /// The process began to serve.
    Started = "started",
    /// The process has read its settings again.
    Reloaded = "reloaded",
    /// The process takes no new work.
    Draining = "draining",
    /// The process ends.
    Stopped = "stopped",
    /// A configuration is in force.
    Adopted = "adopted",
    /// A publication was rejected.
    Rejected = "rejected",
    /// The configuration in force was written again, before it expires.
    Checkpointed = "checkpointed",
    /// A request arrived.
    Arrived = "arrived",
    /// A request waits for admission.
    Queued = "queued",
    /// A version and an upstream were chosen.
    Routed = "routed",
    /// A request was sent to an upstream.
    Sent = "sent",
    /// The first byte of an answer came.
    FirstByte = "first-byte",
    /// A try failed.
    Failed = "failed",
    /// Another try follows.
    Retried = "retried",
    /// A dearer version is asked as well.
    Escalated = "escalated",
    /// The answer of a cheaper version was taken although it is doubtful.
    Accepted = "accepted",
    /// An answer to an abandoned try, or one that bears another request's id, was discarded.
    Discarded = "discarded",
    /// A caller got its whole answer.
    Answered = "answered",
    /// A caller got a refusal.
    Refused = "refused",
    /// A caller went away before the end of its answer.
    Cancelled = "cancelled",
    /// A claim on an idempotency key was appended.
    Claimed = "claimed",
    /// A claim won: this instance may send the request.
    Granted = "granted",
    /// A claim lost: another one came first.
    Conflicted = "conflicted",
    /// A claim was given up.
    Released = "released",
    /// The outcome of a claimed request was appended.
    Settled = "settled",
    /// A usage record is safe with peers.
    Held = "held",
    /// A usage record is on the log.
    Billed = "billed",
    /// An answer was rated.
    Rated = "rated",
    /// A verdict on a version was given or read.
    Judged = "judged",
    /// An upstream is in cold start.
    Cold = "cold",
    /// An upstream is warm.
    Warm = "warm",
    /// An order was given to an engine.
    Ordered = "ordered",
    /// A frame was sent to another instance.
    FrameSent = "frame-sent",
    /// A frame from another instance was received.
    FrameReceived = "frame-received",
    /// An instance is suspected to have failed.
    Suspected = "suspected",
    /// A call of the platform failed.
    Outage = "outage",
    /// Events were dropped because their queue was full.
    Dropped = "dropped",
}

/// The text is no kind of event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no kind of event has this name")]
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

/// The value of a field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// True or false.
    Flag(bool),
    /// A count.
    Count(u64),
    /// A number that is no count.
    Number(f64),
    /// Anything else, by its text.
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

/// A named value of an event.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Its name.
    pub name: Box<str>,
    /// Its value.
    pub value: Value,
}

/// Something that happened at an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// When, on the hybrid clock.
    pub clock: Timestamp,
    /// Where.
    pub instance: Instance,
    /// For which request, if it was for one.
    pub request: Option<Id>,
    /// What.
    pub kind: Kind,
    /// More about it, in the order of the names.
    pub fields: Vec<Field>,
}

impl Event {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&Value> {
        let found = self
            .fields
            .binary_search_by(|field| (*field.name).cmp(name));
        found.ok().map(|index| &self.fields[index].value)
    }
}

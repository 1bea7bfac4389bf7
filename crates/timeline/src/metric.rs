//! Counters and timers, sent as statsd datagrams.

use cadence::{CountedExt, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use entity::Span;
use entity::name::Instance;
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Metrics that wait to be sent; more are dropped.
const QUEUED_METRICS: usize = 4096;

macro_rules! names {
    ($(#[$type_doc:meta])* $type:ident: $($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        $(#[$type_doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $type {
            $($(#[$doc])* $name,)*
        }

        impl $type {
            /// The name under which it is sent.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

names! {
    /// What is counted.
    Counter:
    /// Requests that arrived.
    Requests = "requests",
    /// Answers that callers got whole.
    Answers = "answers",
    /// Refusals that did not run.
    NotRun = "refusals.not-run",
    /// Refusals that may have run.
    MayHaveRun = "refusals.may-have-run",
    /// Choices of a version and an upstream.
    Decisions = "decisions",
    /// Further tries.
    Retries = "retries",
    /// Requests that were sent to a dearer version after a cheaper one.
    Escalations = "escalations",
    /// Answers that were discarded.
    Discards = "discards",
    /// Claims on idempotency keys.
    Claims = "claims",
    /// Usage records.
    Usage = "usage",
    /// Events that the time line dropped.
    DroppedEvents = "dropped-events",
}

names! {
    /// What is timed.
    Timer:
    /// Choice of a version and an upstream.
    Decision = "decision",
    /// Wait for admission.
    Admission = "admission",
    /// Arrival to the first byte of the answer.
    FirstByte = "first-byte",
    /// Arrival to the end of the answer.
    Answer = "answer",
    /// A claim, until it is won or lost.
    Claim = "claim",
    /// An append to the platform's log.
    Append = "append",
    /// A publication, until it is in force here.
    Adoption = "adoption",
}

/// Sends counters and timers without blocking.
#[derive(Debug)]
pub struct Metric {
    client: StatsdClient,
}

impl Metric {
    /// Opens the metrics of an instance; without an address they go nowhere.
    ///
    /// # Errors
    ///
    /// Returns the error of opening a socket.
    pub fn open(instance: &Instance, address: Option<SocketAddr>) -> io::Result<Self> {
        let prefix = format!("citrontrack.{instance}");
        let Some(address) = address else {
            let client = StatsdClient::from_sink(&prefix, NopMetricSink);
            return Ok(Self { client });
        };
        let any_port: SocketAddr = match address {
            SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
            SocketAddr::V6(_) => ([0_u16; 8], 0).into(),
        };
        let socket = UdpSocket::bind(any_port)?;
        socket.set_nonblocking(true)?;
        let udp = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let queue = QueuingMetricSink::with_capacity(udp, QUEUED_METRICS);
        let client = StatsdClient::from_sink(&prefix, queue);
        Ok(Self { client })
    }

    /// Counts one.
    pub fn count(&self, counter: Counter) {
        // A metric that can't be sent is lost, as statsd has it.
        let _ = self.client.incr(counter.as_str());
    }

    /// Reports a time.
    pub fn time(&self, timer: Timer, span: Span) {
        let _ = self.client.time(timer.as_str(), span.duration());
    }
}

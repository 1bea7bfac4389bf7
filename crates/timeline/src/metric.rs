//! Counters and timers, sent as statsd datagrams and kept to be read.

use cadence::{CountedExt, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink};
use entity::Span;
use entity::name::Instance;
use prometheus::{
    GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry, TextEncoder,
};
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
            /// All of them, in order.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

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

/// Upper bounds of the buckets of a timer, in seconds.
const BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0,
];

/// Sends counters and timers without blocking, and keeps their sums to be read.
#[derive(Debug)]
pub struct Metric {
    client: StatsdClient,
    sums: Sums,
}

/// What was counted and timed since the start.
#[derive(Debug)]
struct Sums {
    registry: Registry,
    /// In the order of [`Counter::ALL`].
    counters: Vec<IntCounter>,
    /// In the order of [`Timer::ALL`].
    timers: Vec<Histogram>,
    refusals: IntCounterVec,
    gauges: GaugeVec,
}

impl Sums {
    fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let named = |text: &str| text.replace(['-', '.'], "_");
        let mut counters = Vec::new();
        for counter in Counter::ALL {
            let name = format!("citrontrack_{}_total", named(counter.as_str()));
            let one = IntCounter::new(name, "Since the start.")?;
            registry.register(Box::new(one.clone()))?;
            counters.push(one);
        }
        let mut timers = Vec::new();
        for timer in Timer::ALL {
            let name = format!("citrontrack_{}_seconds", named(timer.as_str()));
            let options = HistogramOpts::new(name, "In seconds.").buckets(BUCKETS.to_vec());
            let one = Histogram::with_opts(options)?;
            registry.register(Box::new(one.clone()))?;
            timers.push(one);
        }
        let options = Opts::new("citrontrack_refused_total", "Refusals by their code.");
        let refusals = IntCounterVec::new(options, &["code"])?;
        registry.register(Box::new(refusals.clone()))?;
        let options = Opts::new("citrontrack_state", "What holds now, by name.");
        let gauges = GaugeVec::new(options, &["name"])?;
        registry.register(Box::new(gauges.clone()))?;
        Ok(Self {
            registry,
            counters,
            timers,
            refusals,
            gauges,
        })
    }
}

impl Metric {
    /// Opens the metrics of an instance; without an address they go nowhere.
    ///
    /// # Errors
    ///
    /// Returns the error of opening a socket.
    pub fn open(instance: &Instance, address: Option<SocketAddr>) -> io::Result<Self> {
        let prefix = format!("citrontrack.{instance}");
        let sums = Sums::new().map_err(io::Error::other)?;
        let Some(address) = address else {
            let client = StatsdClient::from_sink(&prefix, NopMetricSink);
            return Ok(Self { client, sums });
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
        Ok(Self { client, sums })
    }

    /// Counts one.
    pub fn count(&self, counter: Counter) {
        // A metric that can't be sent is lost, as statsd has it.
        let _ = self.client.incr(counter.as_str());
        self.sums.counters[counter as usize].inc();
    }

    /// Counts a refusal by its code.
    pub fn refused(&self, code: &str) {
        self.sums.refusals.with_label_values(&[code]).inc();
    }

    /// Sets what holds now.
    pub fn set(&self, name: &str, value: f64) {
        self.sums.gauges.with_label_values(&[name]).set(value);
    }

    /// All sums in the text format that scrapers read.
    ///
    /// # Errors
    ///
    /// The text can't be written.
    pub fn text(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.sums.registry.gather())
    }

    /// Reports a time.
    pub fn time(&self, timer: Timer, span: Span) {
        let _ = self.client.time(timer.as_str(), span.duration());
        self.sums.timers[timer as usize].observe(span.as_secs_f64());
    }
}

//! Counters and timers, sent as statsd datagrams and accumulated for scraping.

use cadence::{
    Counted, CountedExt, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use entity::Span;
use entity::name::Instance;
use prometheus::{
    GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry,
    TextEncoder,
};
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// Maximum number of metrics that wait to be sent; further metrics are dropped.
const MAX_QUEUED_METRICS: usize = 4096;

macro_rules! metric_names {
    ($(#[$type_doc:meta])* $type:ident: $($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        $(#[$type_doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $type {
            $($(#[$doc])* $name,)*
        }

        impl $type {
            /// All variants, in order of declaration.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the name of the metric in statsd datagrams.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

metric_names! {
    /// Counted events.
    Counter:
    /// Requests that arrived.
    Requests = "requests",
    /// Answers that callers received completely.
    Answers = "answers",
    /// Refusals of requests that did not run.
    NotRun = "refusals.not-run",
    /// Refusals of requests that may have run.
    MayHaveRun = "refusals.may-have-run",
    /// Choices of a version and an upstream.
    Decisions = "decisions",
    /// Tries after the first one of a request.
    Retries = "retries",
    /// Requests that were escalated from a cheaper version to a more expensive one.
    Escalations = "escalations",
    /// Upstreams that said in an answer that they are leaving, or of which a peer told it.
    LeavingUpstreams = "leaving_upstreams",
    /// Answers in which an upstream asked for no requests for a while.
    RestingUpstreams = "resting_upstreams",
    /// Changes of the limits that upstreams named, or of which a peer told.
    LimitedUpstreams = "limited_upstreams",
    /// Tries sent in room of an upstream that other instances left free.
    LentRoom = "lent_room",
    /// Parts of prompts that were held back because they end upstreams.
    HeldParts = "held_parts",
    /// Requests that were held back with all their repeats because they end upstreams.
    HeldRequests = "held_requests",
    /// Upstreams that were taken out because they fail more often than others.
    FailingUpstreams = "failing_upstreams",
    /// Upstreams that were taken out because several instances couldn't reach them.
    UnreachableUpstreams = "unreachable_upstreams",
    /// Upstreams that were taken back after they had been taken out.
    ReturnedUpstreams = "returned_upstreams",
    /// Connections to upstreams that a peer carries.
    PeerConnections = "peer_connections",
    /// Connections to upstreams that peers asked for.
    CarriedConnections = "carried_connections",
    /// Bytes of beacons to peers in the own availability zone, or in none that is known.
    NearBeaconBytes = "near_beacon_bytes",
    /// Bytes of beacons to peers in other availability zones.
    FarBeaconBytes = "far_beacon_bytes",
    /// Answers that were discarded.
    Discards = "discards",
    /// Claims on idempotency keys.
    Claims = "claims",
    /// Usage records.
    Usage = "usage",
    /// Events that the recorder dropped.
    DroppedEvents = "dropped-events",
}

metric_names! {
    /// Timed operations.
    Timer:
    /// Choice of a version and an upstream.
    Decision = "decision",
    /// Waiting time for admission.
    Admission = "admission",
    /// Time from the arrival of a request to the first byte of its answer.
    FirstByte = "first-byte",
    /// Time from the arrival of a request to the end of its answer.
    Answer = "answer",
    /// Time until a claim is granted or denied.
    Claim = "claim",
    /// An append to the platform's log.
    Append = "append",
    /// Time from a publication until it is in force at this instance.
    Adoption = "adoption",
}

/// Upper bounds of the histogram buckets of a timer, in seconds.
const BUCKET_BOUNDS_SECONDS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0,
];

/// Upper bounds of the histogram buckets of the ratio of a seen to an expected time.
const RATIO_BUCKET_BOUNDS: [f64; 14] = [
    0.125, 0.25, 0.35, 0.5, 0.7, 0.85, 1.0, 1.2, 1.4, 2.0, 2.8, 4.0, 8.0, 16.0,
];

/// Sends counters and timers without blocking, and accumulates them for scraping.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    totals: Totals,
}

/// Counters, histograms and gauges since the start of the process.
#[derive(Debug)]
struct Totals {
    registry: Registry,
    /// Counters, in the order of [`Counter::ALL`].
    counters: Vec<IntCounter>,
    /// Histograms of the timers, in the order of [`Timer::ALL`].
    timers: Vec<Histogram>,
    refusals: IntCounterVec,
    /// Times to first events in relation to the expected ones, by route.
    first_events: HistogramVec,
    gauges: GaugeVec,
    build: GaugeVec,
}

impl Totals {
    fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let metric_name = |text: &str| text.replace(['-', '.'], "_");
        let mut counters = Vec::new();
        for counter in Counter::ALL {
            let name = format!("citrontrack_{}_total", metric_name(counter.as_str()));
            let collector = IntCounter::new(name, "Since the start.")?;
            registry.register(Box::new(collector.clone()))?;
            counters.push(collector);
        }
        let mut timers = Vec::new();
        for timer in Timer::ALL {
            let name = format!("citrontrack_{}_seconds", metric_name(timer.as_str()));
            let options =
                HistogramOpts::new(name, "In seconds.").buckets(BUCKET_BOUNDS_SECONDS.to_vec());
            let collector = Histogram::with_opts(options)?;
            registry.register(Box::new(collector.clone()))?;
            timers.push(collector);
        }
        let options = Opts::new("citrontrack_refused_total", "Refusals by their code.");
        let refusals = IntCounterVec::new(options, &["code"])?;
        registry.register(Box::new(refusals.clone()))?;
        let name = "citrontrack_first_event_ratio";
        let options = HistogramOpts::new(name, "Seen by expected time to the first event.")
            .buckets(RATIO_BUCKET_BOUNDS.to_vec());
        let first_events = HistogramVec::new(options, &["route"])?;
        registry.register(Box::new(first_events.clone()))?;
        let options = Opts::new("citrontrack_state", "What holds now, by name.");
        let gauges = GaugeVec::new(options, &["name"])?;
        registry.register(Box::new(gauges.clone()))?;
        let options = Opts::new("citrontrack_build", "The program that runs, always 1.");
        let build = GaugeVec::new(options, &["version", "commit"])?;
        registry.register(Box::new(build.clone()))?;
        Ok(Self {
            registry,
            counters,
            timers,
            refusals,
            first_events,
            gauges,
            build,
        })
    }
}

impl Metrics {
    /// Opens the metrics of an instance. Without an address, no datagrams are sent.
    ///
    /// # Errors
    ///
    /// Returns any error of opening the socket.
    pub fn open(instance: &Instance, address: Option<SocketAddr>) -> io::Result<Self> {
        let prefix = format!("citrontrack.{instance}");
        let totals = Totals::new().map_err(io::Error::other)?;
        let Some(address) = address else {
            let client = StatsdClient::from_sink(&prefix, NopMetricSink);
            return Ok(Self { client, totals });
        };
        let any_port: SocketAddr = match address {
            SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
            SocketAddr::V6(_) => ([0_u16; 8], 0).into(),
        };
        let socket = UdpSocket::bind(any_port)?;
        socket.set_nonblocking(true)?;
        let udp = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let queue = QueuingMetricSink::with_capacity(udp, MAX_QUEUED_METRICS);
        let client = StatsdClient::from_sink(&prefix, queue);
        Ok(Self { client, totals })
    }

    /// Increments a counter.
    pub fn count(&self, counter: Counter) {
        // A metric that can't be sent is dropped, as usual for statsd.
        let _ = self.client.incr(counter.as_str());
        self.totals.counters[counter as usize].inc();
    }

    /// Adds an amount to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        let _ = self.client.count(counter.as_str(), amount);
        self.totals.counters[counter as usize].inc_by(amount);
    }

    /// Increments the counter of the refusals with a code.
    pub fn count_refusal(&self, code: &str) {
        self.totals.refusals.with_label_values(&[code]).inc();
    }

    /// Records the time to the first event of an answer against the expected one.
    pub fn time_against(&self, route: &str, seen: Span, expected: Span) {
        let ratio = seen.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let histogram = self.totals.first_events.with_label_values(&[route]);
        histogram.observe(ratio);
    }

    /// Sets a gauge to its current value.
    pub fn set_gauge(&self, name: &str, value: f64) {
        self.totals.gauges.with_label_values(&[name]).set(value);
    }

    /// Sets the version and the commit of the program that runs.
    pub fn set_build(&self, version: &str, commit: &str) {
        self.totals
            .build
            .with_label_values(&[version, commit])
            .set(1.0);
    }

    /// Returns all totals in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the totals can't be encoded.
    pub fn text(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.totals.registry.gather())
    }

    /// Records the duration of an operation.
    pub fn time(&self, timer: Timer, span: Span) {
        let _ = self.client.time(timer.as_str(), span.duration());
        self.totals.timers[timer as usize].observe(span.as_secs_f64());
    }
}

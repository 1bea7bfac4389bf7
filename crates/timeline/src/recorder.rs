//! Records the events of a process.

use crate::clock::{Clock, ClockSkew, Timestamp};
use crate::event::{Kind, Value};
use crate::sink::{Queue, Sink};
use entity::name::Instance;
use entity::request::Id;
use slog::{KV, Record, Serializer};
use std::fmt::Display;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Names that are reserved for the parts of an event other than its fields.
const RESERVED_FIELD_NAMES: [&str; 4] = ["clock", "instance", "kind", "request"];

/// Records the events of one process. Clones share the clock and the sink.
///
/// When the last clone is dropped, it waits up to 2 seconds for the queued events to be written.
#[derive(Clone)]
pub struct Recorder {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Mutex<Clock>,
    queue: Option<Queue>,
    /// Number of events dropped since the start of the process.
    dropped: AtomicU64,
    /// Number of dropped events that no [`Kind::Dropped`] event has reported yet.
    unreported: AtomicU64,
}

/// Builder of an event.
#[must_use = "an event is only recorded by `record`"]
pub struct EventBuilder<'a> {
    recorder: &'a Recorder,
    kind: Kind,
    request: Option<Id>,
    fields: Vec<(&'static str, Value)>,
}

impl Recorder {
    /// Opens a recorder for an instance.
    ///
    /// # Errors
    ///
    /// Returns any error of opening the sink.
    pub fn open(instance: &Instance, sink: Sink) -> io::Result<Self> {
        let shared = Shared {
            clock: Mutex::default(),
            queue: sink.open(instance)?,
            dropped: AtomicU64::new(0),
            unreported: AtomicU64::new(0),
        };
        Ok(Self {
            shared: Arc::new(shared),
        })
    }

    /// Creates a recorder whose clock works but which records no events.
    pub fn disabled() -> Self {
        Self {
            shared: Arc::new(Shared {
                clock: Mutex::default(),
                queue: None,
                dropped: AtomicU64::new(0),
                unreported: AtomicU64::new(0),
            }),
        }
    }

    /// Starts to build an event.
    pub fn event(&self, kind: Kind) -> EventBuilder<'_> {
        EventBuilder {
            recorder: self,
            kind,
            request: None,
            fields: Vec::new(),
        }
    }

    /// Returns the timestamp for a message to another process.
    pub fn timestamp(&self) -> Timestamp {
        self.with_clock(Clock::tick)
    }

    /// Observes the timestamp of a received message.
    ///
    /// # Errors
    ///
    /// Returns [`ClockSkew`] and ignores the timestamp if it is too far ahead of the local clock.
    pub fn observe(&self, received: Timestamp) -> Result<(), ClockSkew> {
        self.with_clock(|clock, now_ms| clock.observe(received, now_ms))
    }

    /// Returns the number of events dropped because the queue was full or the sink failed.
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    fn with_clock<T>(&self, operation: impl FnOnce(&mut Clock, u64) -> T) -> T {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = now.unwrap_or(Duration::ZERO).as_millis() as u64;
        let clock = self.shared.clock.lock();
        operation(&mut clock.unwrap_or_else(PoisonError::into_inner), now_ms)
    }

    /// Queues an event. If the queue is full, the event is counted as dropped; the count is reported
    /// after the next event that fits into the queue.
    fn record(&self, event: &EventBuilder<'_>) -> Timestamp {
        let clock = self.timestamp();
        let Some(queue) = &self.shared.queue else {
            return clock;
        };
        if !queue.push(&Stamped { clock, event }) {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
            self.shared.unreported.fetch_add(1, Ordering::Relaxed);
            return clock;
        }
        self.report_dropped(queue);
        clock
    }

    fn report_dropped(&self, queue: &Queue) {
        if self.shared.unreported.load(Ordering::Relaxed) == 0 {
            return;
        }
        let count = self.shared.unreported.swap(0, Ordering::Relaxed);
        if count == 0 {
            return;
        }
        let event = self.event(Kind::Dropped).count("count", count);
        let clock = self.timestamp();
        let event = &event;
        if !queue.push(&Stamped { clock, event }) {
            self.shared.unreported.fetch_add(count, Ordering::Relaxed);
        }
    }
}

impl EventBuilder<'_> {
    /// Sets the request that the event belongs to.
    pub fn request(mut self, request: Id) -> Self {
        self.request = Some(request);
        self
    }

    /// Adds a text field.
    pub fn text(self, name: &'static str, value: impl Display) -> Self {
        let text = value.to_string().into();
        self.with_field(name, Value::Text(text))
    }

    /// Adds a field with a non-negative integer.
    pub fn count(self, name: &'static str, value: u64) -> Self {
        self.with_field(name, Value::Count(value))
    }

    /// Adds a field with a number. NaN and infinities are written as text, because JSON has no
    /// numbers for them.
    pub fn number(self, name: &'static str, value: f64) -> Self {
        if !value.is_finite() {
            return self.text(name, value);
        }
        self.with_field(name, Value::Number(value))
    }

    /// Adds a Boolean field.
    pub fn flag(self, name: &'static str, value: bool) -> Self {
        self.with_field(name, Value::Flag(value))
    }

    fn with_field(mut self, name: &'static str, value: Value) -> Self {
        debug_assert!(
            !RESERVED_FIELD_NAMES.contains(&name),
            "the name {name} is reserved"
        );
        self.fields.push((name, value));
        self
    }

    /// Records the event and returns its timestamp, which can be sent with a message that the event
    /// causes.
    pub fn record(self) -> Timestamp {
        self.recorder.record(&self)
    }
}

/// An event with its timestamp, serialised as one line.
struct Stamped<'a> {
    clock: Timestamp,
    event: &'a EventBuilder<'a>,
}

impl KV for Stamped<'_> {
    fn serialize(&self, _: &Record<'_>, out: &mut dyn Serializer) -> slog::Result {
        out.emit_arguments("clock", &format_args!("{}", self.clock))?;
        out.emit_str("kind", self.event.kind.as_str())?;
        if let Some(request) = self.event.request {
            out.emit_arguments("request", &format_args!("{request}"))?;
        }
        for (name, value) in &self.event.fields {
            match value {
                Value::Flag(flag) => out.emit_bool(name, *flag)?,
                Value::Count(count) => out.emit_u64(name, *count)?,
                Value::Number(number) => out.emit_f64(name, *number)?,
                Value::Text(text) => out.emit_str(name, text)?,
            }
        }
        Ok(())
    }
}

//! Recording of events in a process.

use crate::clock::{Ahead, Clock, Timestamp};
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

/// Names that fields may not have.
const RESERVED: [&str; 4] = ["clock", "instance", "kind", "request"];

/// Records the events of one process; clones share its clock and its sink.
///
/// When the last clone is dropped, the events that are queued are written, for which it waits up to
/// two seconds.
#[derive(Clone)]
pub struct Recorder {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Mutex<Clock>,
    queue: Option<Queue>,
    /// Events that were dropped, over the whole run.
    dropped: AtomicU64,
    /// Those of them that no event in the sink tells of yet.
    unreported: AtomicU64,
}

/// An event that is being put together.
#[must_use = "an event is recorded by `record`"]
pub struct Draft<'a> {
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
    /// Returns the error of opening the sink.
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

    /// A recorder that keeps time but records nothing.
    pub fn off() -> Self {
        Self {
            shared: Arc::new(Shared {
                clock: Mutex::default(),
                queue: None,
                dropped: AtomicU64::new(0),
                unreported: AtomicU64::new(0),
            }),
        }
    }

    /// Begins an event.
    pub fn event(&self, kind: Kind) -> Draft<'_> {
        Draft {
            recorder: self,
            kind,
            request: None,
            fields: Vec::new(),
        }
    }

    /// The timestamp for a message that is sent to another process.
    pub fn timestamp(&self) -> Timestamp {
        self.with_clock(Clock::tick)
    }

    /// Takes in the timestamp of a message that was received.
    ///
    /// # Errors
    ///
    /// Returns [`Ahead`] where the peer's clock must be wrong; its timestamp is not taken in.
    pub fn observe(&self, received: Timestamp) -> Result<(), Ahead> {
        self.with_clock(|clock, now_ms| clock.observe(received, now_ms))
    }

    /// How many events were dropped because the queue was full or the sink failed.
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    fn with_clock<T>(&self, act: impl FnOnce(&mut Clock, u64) -> T) -> T {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = now.unwrap_or(Duration::ZERO).as_millis() as u64;
        let clock = self.shared.clock.lock();
        act(&mut clock.unwrap_or_else(PoisonError::into_inner), now_ms)
    }

    /// Queues an event; one that finds the queue full is counted, and told of by the next one that
    /// finds room.
    fn record(&self, draft: &Draft<'_>) -> Timestamp {
        let clock = self.timestamp();
        let Some(queue) = &self.shared.queue else {
            return clock;
        };
        if !queue.push(&Stamped { clock, draft }) {
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
        let draft = self.event(Kind::Dropped).count("count", count);
        let clock = self.timestamp();
        let draft = &draft;
        if !queue.push(&Stamped { clock, draft }) {
            self.shared.unreported.fetch_add(count, Ordering::Relaxed);
        }
    }
}

impl Draft<'_> {
    /// Says for which request the event is.
    pub fn request(mut self, request: Id) -> Self {
        self.request = Some(request);
        self
    }

    /// Adds a field by its text.
    pub fn text(self, name: &'static str, value: impl Display) -> Self {
        let text = value.to_string().into();
        self.with(name, Value::Text(text))
    }

    /// Adds a count.
    pub fn count(self, name: &'static str, value: u64) -> Self {
        self.with(name, Value::Count(value))
    }

    /// Adds a number, by its text where JSON has no form for it.
    pub fn number(self, name: &'static str, value: f64) -> Self {
        if !value.is_finite() {
            return self.text(name, value);
        }
        self.with(name, Value::Number(value))
    }

    /// Adds a flag.
    pub fn flag(self, name: &'static str, value: bool) -> Self {
        self.with(name, Value::Flag(value))
    }

    fn with(mut self, name: &'static str, value: Value) -> Self {
        debug_assert!(!RESERVED.contains(&name), "the name {name} is reserved");
        self.fields.push((name, value));
        self
    }

    /// Records the event and returns its timestamp, which a message that it causes may carry.
    pub fn record(self) -> Timestamp {
        self.recorder.record(&self)
    }
}

/// An event with its timestamp, as it is written.
struct Stamped<'a> {
    clock: Timestamp,
    draft: &'a Draft<'a>,
}

impl KV for Stamped<'_> {
    fn serialize(&self, _: &Record<'_>, out: &mut dyn Serializer) -> slog::Result {
        out.emit_arguments("clock", &format_args!("{}", self.clock))?;
        out.emit_str("kind", self.draft.kind.as_str())?;
        if let Some(request) = self.draft.request {
            out.emit_arguments("request", &format_args!("{request}"))?;
        }
        for (name, value) in &self.draft.fields {
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

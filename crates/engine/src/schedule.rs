//! Open orders of each engine and their earliest start times, as a fold of the stream of orders.

use crate::order::{Command, Fence, Order, Record};
use entity::{Offset, Span, name, request};

/// An open order with its fence and start time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// Order of the engine.
    pub order: Order,
    /// Fence of the order.
    pub fence: Fence,
    /// Earliest start on the log's clock, in milliseconds since the Unix epoch.
    pub start_ms: u64,
}

#[derive(Clone, Debug)]
struct Engine {
    upstream: name::Upstream,
    /// Open orders, sorted by fence.
    open: Vec<Entry>,
    /// Ids of all orders applied so far, sorted; used to drop copies.
    seen_ids: Vec<request::Id>,
}

/// A fold of the stream of orders into the schedule of each engine.
///
/// Loads start at least one interval apart over all engines, whichever instance sends them. Every
/// instance computes the same schedule from the log, so that all instances together stay within
/// the rate limit of the weight store.
#[derive(Clone, Debug)]
pub struct Schedule {
    interval: Span,
    last_load_ms: Option<u64>,
    next_offset: Offset,
    /// Engines with orders, sorted by name.
    engines: Vec<Engine>,
}

impl Schedule {
    /// Creates an empty schedule whose first record is at `first`. `interval` is the minimum time
    /// between two loads.
    pub fn open(interval: Span, first: Offset) -> Self {
        Self {
            interval,
            last_load_ms: None,
            next_offset: first,
            engines: Vec::new(),
        }
    }

    /// Returns the offset of the record to apply next.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Applies the batch of one log record. `time_ms` is the log's time of its append, in
    /// milliseconds since the Unix epoch.
    ///
    /// # Panics
    ///
    /// Panics if a record was skipped or is applied twice.
    pub fn apply(&mut self, offset: Offset, time_ms: u64, batch: &[Record]) {
        assert_eq!(offset, self.next_offset, "records are applied without gaps");
        self.next_offset = offset.next();
        for (index, record) in batch.iter().enumerate() {
            match record {
                Record::Order(order) => self.apply_order(order, Fence::new(offset, index), time_ms),
                Record::Done { id, upstream } => {
                    let open = &mut self.engine_mut(upstream).open;
                    open.retain(|entry| entry.order.id != *id);
                }
            }
        }
    }

    fn apply_order(&mut self, order: &Order, fence: Fence, time_ms: u64) {
        let engine = self.engine_mut(&order.upstream);
        let Err(index) = engine.seen_ids.binary_search(&order.id) else {
            return;
        };
        engine.seen_ids.insert(index, order.id);
        // The new order supersedes an older one for the same version.
        let version = order.command.version();
        engine
            .open
            .retain(|entry| entry.order.command.version() != version);
        let start_ms = self.start_time_ms(&order.command, time_ms);
        let entry = Entry {
            order: order.clone(),
            fence,
            start_ms,
        };
        self.engine_mut(&order.upstream).open.push(entry);
    }

    fn start_time_ms(&mut self, command: &Command, time_ms: u64) -> u64 {
        if matches!(command, Command::Unload(_)) {
            return time_ms;
        }
        let interval_ms = self.interval.as_micros().div_ceil(1000);
        let earliest = self.last_load_ms.map_or(0, |last| last + interval_ms);
        let start_ms = earliest.max(time_ms);
        self.last_load_ms = Some(start_ms);
        start_ms
    }

    fn engine_mut(&mut self, upstream: &name::Upstream) -> &mut Engine {
        let position = self
            .engines
            .binary_search_by(|engine| engine.upstream.cmp(upstream));
        let index = position.unwrap_or_else(|index| {
            let engine = Engine {
                upstream: upstream.clone(),
                open: Vec::new(),
                seen_ids: Vec::new(),
            };
            self.engines.insert(index, engine);
            index
        });
        &mut self.engines[index]
    }

    /// Returns the open order of an engine that has to be sent first. It is the one with the smallest
    /// fence, because an engine that checks fences would refuse it after a later one.
    pub fn first_open(&self, upstream: &str) -> Option<&Entry> {
        let position = self
            .engines
            .binary_search_by(|engine| engine.upstream.as_str().cmp(upstream));
        self.engines[position.ok()?].open.first()
    }

    /// Returns whether an entry is the next order to send to its engine: neither done nor superseded,
    /// and not behind another order.
    pub fn is_open(&self, entry: &Entry) -> bool {
        self.first_open(entry.order.upstream.as_str()) == Some(entry)
    }
}

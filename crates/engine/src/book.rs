//! The orders that are open at each engine, and when each may start, as a function of the log.

use crate::order::{Command, Fence, Order, Record};
use entity::{Offset, Span, name, request};

/// An order with its place on the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The order.
    pub order: Order,
    /// Its fence.
    pub fence: Fence,
    /// The earliest start by the log's clock, in milliseconds since the Unix epoch.
    pub start_ms: u64,
}

#[derive(Clone, Debug)]
struct Engine {
    upstream: name::Upstream,
    /// Open orders, in the order of their fences.
    open: Vec<Entry>,
    /// Ids of all orders, sorted, by which copies are dropped.
    known: Vec<request::Id>,
}

/// A fold of the stream of orders.
///
/// Loads start one interval apart over all engines, whoever sends them: every instance computes
/// the same schedule from the log, so together they keep within the weight store's rate.
#[derive(Clone, Debug)]
pub struct Book {
    interval: Span,
    last_load_ms: Option<u64>,
    next: Offset,
    /// Sorted by name.
    engines: Vec<Engine>,
}

impl Book {
    /// A book that reads from `first`; `interval` is the time between two loads.
    pub fn open(interval: Span, first: Offset) -> Self {
        Self {
            interval,
            last_load_ms: None,
            next: first,
            engines: Vec::new(),
        }
    }

    /// The offset of the record to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Applies the batch of one log record, with the log's time of its append.
    ///
    /// # Panics
    ///
    /// If a record was skipped or is applied twice.
    pub fn apply(&mut self, offset: Offset, time_ms: u64, batch: &[Record]) {
        assert_eq!(offset, self.next, "records are applied without gaps");
        self.next = offset.next();
        for (index, record) in batch.iter().enumerate() {
            match record {
                Record::Order(order) => self.order(order, Fence::new(offset, index), time_ms),
                Record::Done { id, upstream } => {
                    let open = &mut self.engine(upstream).open;
                    open.retain(|entry| entry.order.id != *id);
                }
            }
        }
    }

    fn order(&mut self, order: &Order, fence: Fence, time_ms: u64) {
        let engine = self.engine(&order.upstream);
        let Err(index) = engine.known.binary_search(&order.id) else {
            return;
        };
        engine.known.insert(index, order.id);
        // An older order about the same version is overtaken: its state is no longer wanted.
        let version = order.command.version();
        engine
            .open
            .retain(|entry| entry.order.command.version() != version);
        let start_ms = self.start(&order.command, time_ms);
        let entry = Entry {
            order: order.clone(),
            fence,
            start_ms,
        };
        self.engine(&order.upstream).open.push(entry);
    }

    fn start(&mut self, command: &Command, time_ms: u64) -> u64 {
        if matches!(command, Command::Unload(_)) {
            return time_ms;
        }
        let interval_ms = self.interval.as_micros().div_ceil(1000);
        let earliest = self.last_load_ms.map_or(0, |last| last + interval_ms);
        let start_ms = earliest.max(time_ms);
        self.last_load_ms = Some(start_ms);
        start_ms
    }

    fn engine(&mut self, upstream: &name::Upstream) -> &mut Engine {
        let found = self
            .engines
            .binary_search_by(|engine| engine.upstream.cmp(upstream));
        let index = found.unwrap_or_else(|index| {
            let engine = Engine {
                upstream: upstream.clone(),
                open: Vec::new(),
                known: Vec::new(),
            };
            self.engines.insert(index, engine);
            index
        });
        &mut self.engines[index]
    }

    /// The open order of an engine that is sent first: the one with the smallest fence, because
    /// an engine that checks fences refuses it after a later one.
    pub fn head(&self, upstream: &str) -> Option<&Entry> {
        let found = self
            .engines
            .binary_search_by(|engine| engine.upstream.as_str().cmp(upstream));
        self.engines[found.ok()?].open.first()
    }

    /// Whether an entry is still to be sent: neither done nor overtaken.
    pub fn is_open(&self, entry: &Entry) -> bool {
        self.head(entry.order.upstream.as_str()) == Some(entry)
    }
}

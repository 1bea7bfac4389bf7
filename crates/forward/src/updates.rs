//! Records of the store that instances announce to their peers.
//!
//! An instance that applied a record announces it for a limited time, so that its peers need not
//! read the store and stay current while they can't reach it. A long value is sent as a delta
//! against the previous value of its key.

use crate::catalog::{Entry, State};
use crate::delta::{self, Delta};
use crate::source::{Item, Position, Topic};
use entity::{Moment, Span};
use std::collections::VecDeque;

/// Time for which a record is announced after it changed the state; it spans several gossip rounds.
const RECORD_ANNOUNCE_TIME: Span = Span::from_millis(2500);

/// Time for which a delta is announced. It is longer than that of whole values because a peer that
/// misses one delta can't apply the later ones.
const DELTA_ANNOUNCE_TIME: Span = Span::from_secs(4);

/// Maximum length of announced content, in bytes. Peers read longer values from the store.
const MAX_CONTENT_BYTES: usize = 4096;

/// Maximum number of records of one topic in a beacon. A round of beacons must leave room on a slow
/// link for the events of streams.
const MAX_RECORDS_PER_TOPIC: usize = 24;

/// Maximum number of records of one topic that are announced in turn.
const MAX_ANNOUNCED_PER_TOPIC: usize = 256;

/// Number of received records that are remembered as applied. Each record arrives many times, and
/// decoding one takes longer than the rest of a beacon.
const MAX_RECEIVED_COUNT: usize = 256;

/// Announced form of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// The complete value.
    Whole(Box<[u8]>),
    /// The difference from the previous value.
    Delta(Delta),
}

/// An announced record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedRecord {
    /// Topic of the record.
    pub topic: Topic,
    /// Key of the record.
    pub key: Box<str>,
    /// Position of the record.
    pub position: Position,
    /// Value of the record, whole or as a delta.
    pub content: Content,
}

/// A complete value of one key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Topic of its record.
    pub topic: Topic,
    /// Key of its record.
    pub key: Box<str>,
    /// Position of its record.
    pub position: Position,
    /// Encoded value.
    pub bytes: Box<[u8]>,
}

/// A record in its announcement period.
#[derive(Clone, Debug)]
struct Announcement {
    /// Start of the period.
    since: Moment,
    /// Number of rounds that carried it.
    rounds: u32,
    /// Whether the record says that an upstream leaves.
    departure: bool,
    record: AnnouncedRecord,
}

impl Announcement {
    fn is_over(&self, now: Moment) -> bool {
        let duration = match self.record.content {
            Content::Whole(_) => RECORD_ANNOUNCE_TIME,
            Content::Delta(_) => DELTA_ANNOUNCE_TIME,
        };
        now.since(self.since) >= duration
    }

    /// Returns whether a later record makes this one needless. Of a sequence of deltas, a receiver
    /// needs each.
    fn is_replaced_by(&self, later: &AnnouncedRecord) -> bool {
        let own = &self.record;
        let same_key = own.topic == later.topic && own.key == later.key;
        same_key && own.position <= later.position && matches!(own.content, Content::Whole(_))
    }
}

/// The records that this instance announces, and the base values needed to decode those of peers.
#[derive(Clone, Debug, Default)]
pub struct Updates {
    /// Announced records, the oldest first.
    announced: Vec<Announcement>,
    /// The newest long value of each key, as the base of deltas.
    bases: Vec<Value>,
    /// Records received from peers and decoded, the oldest first.
    received: VecDeque<(Position, Topic, Box<str>)>,
    /// Number of records that were displaced before their time was over.
    displaced: u64,
}

impl Updates {
    /// Stores the value of a record from the store as the base of later deltas. Short values are
    /// skipped, because they are never sent as deltas.
    pub fn record_base(&mut self, topic: Topic, item: &Item) {
        if item.value.len() <= MAX_CONTENT_BYTES {
            return;
        }
        let value = Value {
            topic,
            key: item.key.clone(),
            position: item.position,
            bytes: item.value.clone(),
        };
        let base = self.bases.iter_mut();
        let mut base = base.filter(|base| base.topic == topic && base.key == item.key);
        match base.next() {
            Some(base) if base.position > value.position => {}
            Some(base) => *base = value,
            None => self.bases.push(value),
        }
    }

    /// Starts to announce a record that changed the state. A long value is announced only if its
    /// base is available and the delta is short enough.
    pub fn announce(&mut self, topic: Topic, item: &Item, now: Moment) {
        let content = if item.value.len() <= MAX_CONTENT_BYTES {
            Some(Content::Whole(item.value.clone()))
        } else {
            self.delta_from_base(topic, item).map(Content::Delta)
        };
        self.record_base(topic, item);
        let Some(content) = content else {
            return;
        };
        let record = AnnouncedRecord {
            topic,
            key: item.key.clone(),
            position: item.position,
            content,
        };
        self.announced.retain(|one| !one.is_replaced_by(&record));
        // The limit is per topic: many records of upstreams must not displace those of operators,
        // which revoke keys.
        let mut same_topic =
            (0..self.announced.len()).filter(|&index| self.announced[index].record.topic == topic);
        if let Some(oldest) = same_topic.next()
            && same_topic.count() + 1 >= MAX_ANNOUNCED_PER_TOPIC
        {
            self.announced.remove(oldest);
            self.displaced += 1;
        }
        self.announced.push(Announcement {
            since: now,
            rounds: 0,
            departure: is_departure(topic, item),
            record,
        });
    }

    /// Returns how many records were displaced by later ones before their time was over.
    pub fn displaced(&self) -> u64 {
        self.displaced
    }

    /// Encodes a value against its base, if the base is available and the delta is short enough.
    fn delta_from_base(&self, topic: Topic, item: &Item) -> Option<Delta> {
        let mut base = self.bases.iter();
        let base = base.find(|base| base.topic == topic && base.key == item.key)?;
        let delta = Delta::between(&base.bytes, &item.value)?;
        (delta.bytes.len() <= MAX_CONTENT_BYTES).then_some(delta)
    }

    /// Returns the records to announce in this round, the oldest first, and drops those whose time
    /// is over. Where there are more of a topic than a beacon carries, those announced least often
    /// go first, and of these the departures of upstreams.
    pub fn announced(&mut self, now: Moment) -> Vec<AnnouncedRecord> {
        self.announced.retain(|one| !one.is_over(now));
        let mut order: Vec<usize> = (0..self.announced.len()).collect();
        order.sort_by_key(|&index| {
            let one = &self.announced[index];
            (one.record.topic, one.rounds, !one.departure)
        });
        let mut chosen: Vec<usize> = Vec::new();
        for topic in order
            .chunk_by(|&a, &b| self.announced[a].record.topic == self.announced[b].record.topic)
        {
            chosen.extend(topic.iter().copied().take(MAX_RECORDS_PER_TOPIC));
        }
        chosen.sort_unstable();
        let mut records = Vec::with_capacity(chosen.len());
        for index in chosen {
            let one = &mut self.announced[index];
            one.rounds += 1;
            records.push(one.record.clone());
        }
        records
    }

    /// Decodes the records that a peer announced, in the peer's order. Records that were returned
    /// before are skipped, and so are deltas whose base is unknown here: the reader gets those from
    /// the store.
    ///
    /// # Errors
    ///
    /// An element is an error if its record is corrupt, which does not affect the other records.
    pub fn decode(&mut self, records: &[AnnouncedRecord]) -> Vec<Result<Value, delta::Error>> {
        let mut values: Vec<Result<Value, delta::Error>> = Vec::new();
        for record in records {
            if self.was_received(record) {
                continue;
            }
            let same = |value: &&Value| value.topic == record.topic && value.key == record.key;
            let bytes = match &record.content {
                Content::Whole(bytes) => Ok(bytes.clone()),
                Content::Delta(delta) => {
                    let before = values.iter().rev().filter_map(|value| value.as_ref().ok());
                    let mut bases = before.chain(&self.bases).filter(same);
                    let base = bases.find(|base| delta::hash(&base.bytes) == delta.base);
                    match base {
                        Some(base) => delta.apply(&base.bytes),
                        None => continue,
                    }
                }
            };
            if bytes.is_ok() {
                self.record_received(record);
            }
            values.push(bytes.map(|bytes| Value {
                topic: record.topic,
                key: record.key.clone(),
                position: record.position,
                bytes,
            }));
        }
        values
    }

    fn was_received(&self, record: &AnnouncedRecord) -> bool {
        let mut received = self.received.iter();
        received.any(|(position, topic, key)| {
            *position == record.position && *topic == record.topic && *key == record.key
        })
    }

    fn record_received(&mut self, record: &AnnouncedRecord) {
        if self.received.len() == MAX_RECEIVED_COUNT {
            self.received.pop_front();
        }
        let entry = (record.position, record.topic, record.key.clone());
        self.received.push_back(entry);
    }
}

/// Returns whether a record says that an upstream leaves. One that can't be decoded replaces the
/// entry of its upstream, which can't be used any more.
fn is_departure(topic: Topic, item: &Item) -> bool {
    let stays = matches!(
        &item.entry,
        Ok(Some(Entry::Registration(_, registration))) if registration.state == State::Ready
    );
    topic == Topic::Upstreams && !stays
}

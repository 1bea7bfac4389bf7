//! Records of the store that instances tell each other.
//!
//! An instance that took in a record tells it for a while, so that the others need not read the store,
//! and go on where they can't. A long value is told by what changed since the value before it.

use crate::delta::{self, Delta};
use crate::source::{Item, Topic};
use entity::{Moment, Offset, Span};
use std::collections::VecDeque;

/// How long a record that changed something is told: some rounds of datagrams.
const TOLD_FOR: Span = Span::from_millis(2500);

/// How long a delta is told: one that is missed makes the later ones useless.
const DELTA_FOR: Span = Span::from_secs(4);

/// Longest content that is told, in bytes; others read longer ones themselves.
const TOLD_BYTES: usize = 4096;

/// Most records of one topic that are told at once: a round of beacons must leave a slow link free for
/// the events of streams.
const TOLD_RECORDS: usize = 24;

/// Records that others told of which this instance remembers that it took them in: each is told many
/// times, and reading one takes longer than all else in a beacon.
const TAKEN_RECORDS: usize = 256;

/// What is told of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// All of it.
    Whole(Box<[u8]>),
    /// What changed since the value before it.
    Delta(Delta),
}

/// A record as it is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// Its topic.
    pub topic: Topic,
    /// What it is about.
    pub key: Box<str>,
    /// Its offset.
    pub offset: Offset,
    /// Its value.
    pub content: Content,
}

/// A value of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The topic.
    pub topic: Topic,
    /// The key.
    pub key: Box<str>,
    /// The offset of its record.
    pub offset: Offset,
    /// The value.
    pub bytes: Box<[u8]>,
}

/// What this instance tells, and what it needs to understand others.
#[derive(Clone, Debug, Default)]
pub struct News {
    /// With the moment from which each was told, in that order.
    recent: Vec<(Moment, Told)>,
    /// The newest long values, one of each key.
    long: Vec<Value>,
    /// What others told lately, the oldest first.
    taken: VecDeque<(Offset, Topic, Box<str>)>,
}

impl News {
    /// Takes in a record that was read from the store, as the base of later ones.
    pub fn keep(&mut self, topic: Topic, item: &Item) {
        if item.value.len() <= TOLD_BYTES {
            return;
        }
        let value = Value {
            topic,
            key: item.key.clone(),
            offset: item.offset,
            bytes: item.value.clone(),
        };
        let known = self.long.iter_mut();
        let mut known = known.filter(|known| known.topic == topic && known.key == item.key);
        match known.next() {
            Some(known) if known.offset > value.offset => {}
            Some(known) => *known = value,
            None => self.long.push(value),
        }
    }

    /// Takes in a record that changed something, to be told from now on.
    pub fn tell(&mut self, topic: Topic, item: &Item, now: Moment) {
        let content = if item.value.len() <= TOLD_BYTES {
            Some(Content::Whole(item.value.clone()))
        } else {
            self.changed(topic, item).map(Content::Delta)
        };
        self.keep(topic, item);
        let Some(content) = content else {
            return;
        };
        let told = Told {
            topic,
            key: item.key.clone(),
            offset: item.offset,
            content,
        };
        // Records of upstreams must not crowd out those that keys are taken away by.
        let same = self.recent.iter().filter(|(_, one)| one.topic == topic);
        if same.count() >= TOLD_RECORDS {
            let oldest = self.recent.iter().position(|(_, one)| one.topic == topic);
            self.recent.remove(oldest.unwrap_or_default());
        }
        self.recent.push((now, told));
    }

    /// What changed since the value before, where that is known and little changed.
    fn changed(&self, topic: Topic, item: &Item) -> Option<Delta> {
        let mut known = self.long.iter();
        let base = known.find(|known| known.topic == topic && known.key == item.key)?;
        let delta = Delta::between(&base.bytes, &item.value)?;
        (delta.bytes.len() <= TOLD_BYTES).then_some(delta)
    }

    /// What is told now, in the order in which it was taken in.
    pub fn recent(&mut self, now: Moment) -> Vec<Told> {
        self.recent.retain(|(from, told)| {
            let life = match told.content {
                Content::Whole(_) => TOLD_FOR,
                Content::Delta(_) => DELTA_FOR,
            };
            now.since(*from) < life
        });
        self.recent.iter().map(|(_, told)| told.clone()).collect()
    }

    /// The values that another instance told, in its order, without those that were given before. What
    /// builds on a value that is not known here is left out: it is read from the store.
    ///
    /// # Errors
    ///
    /// A record is damaged, which says nothing of the others.
    pub fn values(&mut self, told: &[Told]) -> Vec<Result<Value, delta::Error>> {
        let mut values: Vec<Result<Value, delta::Error>> = Vec::new();
        for one in told {
            if self.was_taken(one) {
                continue;
            }
            let same = |value: &&Value| value.topic == one.topic && value.key == one.key;
            let bytes = match &one.content {
                Content::Whole(bytes) => Ok(bytes.clone()),
                Content::Delta(delta) => {
                    let before = values.iter().rev().filter_map(|value| value.as_ref().ok());
                    let mut bases = before.chain(&self.long).filter(same);
                    let base = bases.find(|base| delta::hash(&base.bytes) == delta.base);
                    match base {
                        Some(base) => delta.apply(&base.bytes),
                        None => continue,
                    }
                }
            };
            if bytes.is_ok() {
                self.take(one);
            }
            values.push(bytes.map(|bytes| Value {
                topic: one.topic,
                key: one.key.clone(),
                offset: one.offset,
                bytes,
            }));
        }
        values
    }

    fn was_taken(&self, told: &Told) -> bool {
        let mut taken = self.taken.iter();
        taken.any(|(offset, topic, key)| {
            *offset == told.offset && *topic == told.topic && *key == told.key
        })
    }

    fn take(&mut self, told: &Told) {
        if self.taken.len() == TAKEN_RECORDS {
            self.taken.pop_front();
        }
        let one = (told.offset, told.topic, told.key.clone());
        self.taken.push_back(one);
    }
}

//! How tries ended lately at each upstream: those of this instance, and what peers told of theirs.

use crate::restriction::Incarnation;
use config::Config;
use entity::{Map, Moment, Span, id, name, work};

/// Length of a bucket of the window of own tries.
const BUCKET_TIME: Span = Span::from_millis(500);

/// Number of buckets of the window.
const BUCKET_COUNT: usize = 5;

/// Time for which the word of a peer counts, from when it was sent.
pub const WORD_TTL: Span = Span::from_millis(1500);

/// Time for which the newest word of a silent peer is known, so that older ones are recognised.
const STAMP_TTL: Span = Span::from_secs(10);

/// Time within which an answer shows that an upstream can be reached.
const RECENT_ANSWER: Span = Span::from_millis(300);

/// Largest number of ends that one peer's word on an upstream counts for.
pub const MAX_ENDS_PER_WORD: u32 = 8;

/// Largest number of incarnations in one word.
pub const MAX_TOLD: usize = 32;

/// Largest number of those without a bad end.
const MAX_TOLD_WELL: usize = 12;

/// Largest number of incarnations with a window of own tries.
const MAX_WINDOWS: usize = 512;

/// Largest number of peers whose words are kept.
const MAX_PEERS: usize = 1024;

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The upstream answered without an error of its own.
    Well,
    /// It answered with an error status, broke off, lost the answer or gave none in time.
    Failed,
    /// No connection to it could be established.
    Unreachable,
}

/// Numbers of ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Tries that ended in any way.
    pub ended: u32,
    /// Those that failed, except the unreachable ones.
    pub failed: u32,
    /// Those that couldn't reach the upstream since its last answer.
    pub unreachable: u32,
}

impl Counts {
    /// Returns the number of tries that ended badly.
    pub fn bad(&self) -> u32 {
        self.failed + self.unreachable
    }

    /// Returns the counts cut down in proportion to at most `limit` ends; impossible ones become
    /// possible.
    fn capped(self, limit: u32) -> Self {
        let failed = self.failed.min(self.ended);
        let unreachable = self.unreachable.min(self.ended - failed);
        let ended = self.ended.min(limit);
        let scale = |count: u32| {
            let scaled =
                (u64::from(count) * u64::from(ended)).div_ceil(u64::from(self.ended.max(1)));
            u32::try_from(scaled).unwrap_or(limit)
        };
        let failed = scale(failed);
        Self {
            ended,
            failed,
            unreachable: scale(unreachable).min(ended - failed),
        }
    }
}

/// What one instance knows of the ends of its tries at an incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tried {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Ends within the window.
    pub counts: Counts,
    /// Time of the newest answer without an error.
    pub answered: Option<Moment>,
    /// Time of the newest bad end.
    pub failed: Option<Moment>,
}

/// Evidence of several instances on one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Ends, over all instances.
    pub counts: Counts,
    /// Number of instances with a bad end.
    pub failing: u32,
    /// Number of instances that couldn't reach it since its last answer.
    pub unreachable: u32,
    /// Number of instances that had an answer a moment ago.
    pub answered: u32,
}

impl Sum {
    /// Returns the evidence of one instance, as it was at `now`.
    fn of(tried: &Tried, limit: u32, now: Moment) -> Self {
        let counts = tried.counts.capped(limit);
        let is_recent = |at: Moment| now.since(at) < RECENT_ANSWER;
        Self {
            counts,
            failing: u32::from(counts.bad() > 0),
            unreachable: u32::from(counts.unreachable > 0),
            answered: u32::from(counts.unreachable == 0 && tried.answered.is_some_and(is_recent)),
        }
    }

    fn add(&mut self, other: Self) {
        self.counts.ended += other.counts.ended;
        self.counts.failed += other.counts.failed;
        self.counts.unreachable += other.counts.unreachable;
        self.failing += other.failing;
        self.unreachable += other.unreachable;
        self.answered += other.answered;
    }

    fn subtract(&mut self, other: Self) {
        self.counts.ended -= other.counts.ended;
        self.counts.failed -= other.counts.failed;
        self.counts.unreachable -= other.counts.unreachable;
        self.failing -= other.failing;
        self.unreachable -= other.unreachable;
        self.answered -= other.answered;
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    counts: Counts,
}

/// Own tries at one incarnation.
#[derive(Clone, Debug, Default)]
struct Window {
    buckets: [Bucket; BUCKET_COUNT],
    answered: Option<Moment>,
    failed: Option<Moment>,
}

fn bucket_number(now: Moment) -> u64 {
    now.0 / BUCKET_TIME.as_micros()
}

impl Window {
    fn record(&mut self, end: End, now: Moment) {
        let number = bucket_number(now);
        if end == End::Well {
            self.answered = Some(now);
            for bucket in &mut self.buckets {
                bucket.counts.failed += bucket.counts.unreachable;
                bucket.counts.unreachable = 0;
            }
        } else {
            self.failed = Some(now);
        }
        let bucket = &mut self.buckets[number as usize % BUCKET_COUNT];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                counts: Counts::default(),
            };
        }
        bucket.counts.ended += 1;
        match end {
            End::Well => {}
            End::Failed => bucket.counts.failed += 1,
            End::Unreachable => bucket.counts.unreachable += 1,
        }
    }

    fn counts(&self, now: Moment) -> Counts {
        let newest = bucket_number(now);
        let mut counts = Counts::default();
        for bucket in &self.buckets {
            if bucket.number + BUCKET_COUNT as u64 <= newest || bucket.number > newest {
                continue;
            }
            counts.ended += bucket.counts.ended;
            counts.failed += bucket.counts.failed;
            counts.unreachable += bucket.counts.unreachable;
        }
        counts
    }
}

/// Which message of a peer is newer: its process, and the time on that process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// Number that is drawn for each start of the process.
    pub run: u64,
    /// Time of sending on the clock of the process.
    pub sent: Moment,
}

#[derive(Clone, Debug)]
struct Told {
    incarnation: Incarnation,
    sum: Sum,
    /// Time of the newest bad end.
    failed: Option<Moment>,
}

#[derive(Clone, Debug)]
struct Word {
    peer: name::Instance,
    stamp: Stamp,
    sent_at: Moment,
    /// Sorted by incarnation, each at most once.
    tried: Vec<Told>,
}

/// Own tries and the words of peers.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Sorted by incarnation.
    own: Vec<(Incarnation, Window)>,
    /// Sorted by the name of the peer.
    words: Vec<Word>,
    /// Sums of the words on the incarnations in the configuration.
    sums: Map<id::Upstream, Sum>,
    /// Whether the links of this instance are cut, so that its own tries tell nothing.
    is_cut_off: bool,
}

/// Returns the incarnation of an upstream; one that didn't register itself has the number 0.
pub fn incarnation(config: &Config, upstream: id::Upstream) -> Incarnation {
    let upstream = &config.upstreams[upstream];
    let registration = upstream.registration.as_ref();
    Incarnation {
        upstream: upstream.name.clone(),
        number: registration.map_or(0, |registration| registration.incarnation),
    }
}

impl Evidence {
    /// Sums up the words again by the ids of a configuration.
    pub fn configure(&mut self, config: &Config) {
        self.sums = Map::filled(Sum::default(), config.upstreams.len());
        for word in &self.words {
            add_word(&mut self.sums, config, word, Sum::add);
        }
    }

    /// Records the end of an own try.
    pub fn record(&mut self, incarnation: &Incarnation, end: End, now: Moment) {
        let found = self
            .own
            .binary_search_by(|(known, _)| known.cmp(incarnation));
        let index = match found {
            Ok(index) => index,
            Err(_) if self.own.len() == MAX_WINDOWS => return,
            Err(index) => {
                self.own
                    .insert(index, (incarnation.clone(), Window::default()));
                index
            }
        };
        self.own[index].1.record(end, now);
    }

    /// Records what a peer told at `stamp`. `sent_at` is that time here, as far as it is known, and
    /// otherwise the time of receipt. A message that is not newer than the last one changes nothing.
    pub fn record_word(
        &mut self,
        config: &Config,
        peer: &name::Instance,
        (stamp, sent_at): (Stamp, Moment),
        mut tried: Vec<Tried>,
        now: Moment,
    ) {
        self.expire(config, now);
        if now.since(sent_at) >= WORD_TTL {
            return;
        }
        let found = self.words.binary_search_by(|word| word.peer.cmp(peer));
        if let Ok(index) = found {
            let known = self.words[index].stamp;
            if known.run == stamp.run && stamp.sent <= known.sent {
                return;
            }
            let old = self.words.remove(index);
            add_word(&mut self.sums, config, &old, Sum::subtract);
        } else if self.words.len() == MAX_PEERS {
            return;
        }
        tried.truncate(MAX_TOLD);
        tried.sort_by(|left, right| left.incarnation.cmp(&right.incarnation));
        tried.dedup_by(|left, right| left.incarnation == right.incarnation);
        let mut summed = Vec::with_capacity(tried.len());
        for tried in tried {
            summed.push(Told {
                sum: Sum::of(&tried, MAX_ENDS_PER_WORD, now),
                failed: tried.failed,
                incarnation: tried.incarnation,
            });
        }
        let word = Word {
            peer: peer.clone(),
            stamp,
            sent_at,
            tried: summed,
        };
        add_word(&mut self.sums, config, &word, Sum::add);
        let index = found.unwrap_or_else(|index| index);
        self.words.insert(index, word);
    }

    /// Drops words that no longer count.
    pub fn expire(&mut self, config: &Config, now: Moment) {
        work::count(self.words.len());
        for word in &mut self.words {
            if now.since(word.sent_at) < WORD_TTL || word.tried.is_empty() {
                continue;
            }
            add_word(&mut self.sums, config, word, Sum::subtract);
            word.tried.clear();
        }
        self.words
            .retain(|word| now.since(word.sent_at) < STAMP_TTL);
    }

    /// Forgets all that is known of an incarnation, as it has been well since.
    pub fn forget(&mut self, config: &Config, incarnation: &Incarnation) {
        self.own.retain(|(known, _)| known != incarnation);
        for word in &mut self.words {
            word.tried.retain(|told| told.incarnation != *incarnation);
        }
        let id = config.upstream(incarnation.upstream.as_str());
        let id = id.filter(|&id| is_current(config, id, incarnation));
        if let Some(sum) = id.and_then(|id| self.sums.get_mut(id)) {
            *sum = Sum::default();
        }
    }

    /// Returns the own ends at an incarnation; none where the own links are cut.
    pub fn own(&self, incarnation: &Incarnation, now: Moment) -> Counts {
        let found = self
            .own
            .binary_search_by(|(known, _)| known.cmp(incarnation));
        match found {
            Ok(index) if !self.is_cut_off => self.own[index].1.counts(now),
            _ => Counts::default(),
        }
    }

    /// Returns all evidence on an upstream, given its incarnation.
    pub fn sum(&self, upstream: id::Upstream, incarnation: &Incarnation, now: Moment) -> Sum {
        let mut sum = self.sums.get(upstream).copied().unwrap_or_default();
        let found = self
            .own
            .binary_search_by(|(known, _)| known.cmp(incarnation));
        if let Ok(index) = found
            && !self.is_cut_off
        {
            let tried = self.tried(index, now);
            sum.add(Sum::of(&tried, u32::MAX, now));
        }
        sum
    }

    /// Returns the number of peers with a bad end at an upstream.
    pub fn failing_peers(&self, upstream: id::Upstream) -> u32 {
        self.sums.get(upstream).map_or(0, |sum| sum.failing)
    }

    /// Returns when the newest bad end at an incarnation was, as far as is known.
    pub fn newest_bad_end(&self, incarnation: &Incarnation) -> Option<Moment> {
        work::count(self.words.len());
        let order = |told: &Told| told.incarnation.cmp(incarnation);
        let told = self.words.iter().filter_map(|word| {
            let index = word.tried.binary_search_by(order).ok()?;
            word.tried[index].failed
        });
        let found = self
            .own
            .binary_search_by(|(known, _)| known.cmp(incarnation));
        let own = found.ok().and_then(|index| self.own[index].1.failed);
        told.chain(own).max()
    }

    /// Returns what is to be told to peers: upstreams with bad ends first, then those that
    /// `is_compared`, then others. An instance whose links are cut tells nothing.
    pub fn told(
        &mut self,
        is_cut_off: bool,
        is_compared: impl Fn(&Incarnation) -> bool,
        now: Moment,
    ) -> Vec<Tried> {
        self.is_cut_off = is_cut_off;
        self.own.retain(|(_, window)| window.counts(now).ended > 0);
        if is_cut_off {
            return Vec::new();
        }
        let mut told: Vec<Tried> = (0..self.own.len())
            .map(|index| self.tried(index, now))
            .collect();
        let rank = |tried: &Tried| {
            let is_bad = tried.counts.bad() > 0;
            (!is_bad, !is_compared(&tried.incarnation))
        };
        told.sort_by_cached_key(rank);
        let bad = told.iter().filter(|tried| tried.counts.bad() > 0).count();
        told.truncate(MAX_TOLD.min(bad + MAX_TOLD_WELL));
        told
    }

    fn tried(&self, index: usize, now: Moment) -> Tried {
        let (incarnation, window) = &self.own[index];
        Tried {
            incarnation: incarnation.clone(),
            counts: window.counts(now),
            answered: window.answered,
            failed: window.failed,
        }
    }
}

fn is_current(config: &Config, id: id::Upstream, incarnation: &Incarnation) -> bool {
    let registration = config.upstreams[id].registration.as_ref();
    registration.map_or(0, |registration| registration.incarnation) == incarnation.number
}

/// Adds a word to the sums, or takes it off them. Words on other incarnations than the present ones
/// don't count.
fn add_word(
    sums: &mut Map<id::Upstream, Sum>,
    config: &Config,
    word: &Word,
    change: impl Fn(&mut Sum, Sum),
) {
    work::count(word.tried.len());
    for told in &word.tried {
        let Some(id) = config.upstream(told.incarnation.upstream.as_str()) else {
            continue;
        };
        if !is_current(config, id, &told.incarnation) {
            continue;
        }
        if let Some(sum) = sums.get_mut(id) {
            change(sum, told.sum);
        }
    }
}

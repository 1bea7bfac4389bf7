//! Exploration of what confirms the state of a topic, over reads that are lost or applied late, news of peers
//! that come late or twice, pauses and restarts. A read of one topic made the state of another one count as
//! read just now, so that a revoked key was accepted.

use entity::{Moment, Span};
use forward::cursor::Coverage;
use forward::follow::Timing;
use forward::source::Topic;
use forward::{Followed, Follows};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 300;
const STEPS: u32 = 400;
/// Longest pause of the process.
const MAX_PAUSE: Span = Span::from_secs(4);

/// A read that was answered and not yet applied.
#[derive(Clone, Copy)]
struct Answer {
    topic: Topic,
    sent: Moment,
    /// Version of the topic that its records lead up to.
    version: u64,
    coverage: Coverage,
}

/// What a peer told: the version that a read confirmed to it.
#[derive(Clone, Copy)]
struct Sight {
    topic: Followed,
    version: u64,
    read: Moment,
}

/// The store, one instance, and what is on the way to it.
struct World {
    now: Moment,
    /// Times at which the versions of each followed topic were written, the first one at the start.
    written: [Vec<Moment>; 2],
    follows: Follows,
    /// Version of each followed topic that the instance has applied.
    applied: [u64; 2],
    answers: Vec<Answer>,
    sights: Vec<Sight>,
    random: ChaCha8Rng,
}

fn fresh() -> Follows {
    let bound = Span::from_secs(2);
    Follows::new(Timing::for_operators(bound), Timing::for_upstreams(bound))
}

fn index(topic: Followed) -> usize {
    match topic {
        Followed::Operator => 0,
        Followed::Upstreams => 1,
    }
}

fn followed(topic: Topic) -> Option<Followed> {
    match topic {
        Topic::Operator => Some(Followed::Operator),
        Topic::Upstreams => Some(Followed::Upstreams),
        Topic::Progress | Topic::Instances => None,
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let start = Moment(1_000_000_000);
        Self {
            now: start,
            written: [vec![start], vec![start]],
            follows: fresh(),
            applied: [0, 0],
            answers: Vec::new(),
            sights: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the version of a topic that the store had at a time.
    fn version_at(&self, topic: Followed, time: Moment) -> u64 {
        let versions = &self.written[index(topic)];
        versions.iter().filter(|written| **written <= time).count() as u64
    }

    fn pick<T: Copy>(&mut self, from: &[T]) -> T {
        from[self.random.random_range(0..from.len())]
    }

    fn step(&mut self) {
        let pause = match self.random.random_range(0..20) {
            0 => MAX_PAUSE,
            _ => Span::from_millis(40),
        };
        self.now = self.now + Span::from_micros(self.random.random_range(1..=pause.as_micros()));
        let topic = self.pick(&Followed::ALL);
        match self.random.random_range(0..9) {
            0 => self.written[index(topic)].push(self.now),
            1 | 2 => self.read(),
            3 | 4 => self.apply(),
            5 => self.tell(topic),
            6 | 7 => self.hear(),
            _ if self.random.random_range(0..20) == 0 => {
                self.follows = fresh();
                self.applied = [0, 0];
                self.answers.clear();
            }
            _ => {}
        }
        self.check();
    }

    /// Lets the store answer a read that was sent some time ago.
    fn read(&mut self) {
        let topic = self.pick(&[
            Topic::Operator,
            Topic::Upstreams,
            Topic::Progress,
            Topic::Instances,
        ]);
        let took = Span::from_micros(self.random.random_range(0..600_000));
        let sent = self.now - took;
        let coverage = self.pick(&[Coverage::Whole, Coverage::Whole, Coverage::Partial]);
        let mut version = followed(topic).map_or(0, |topic| self.version_at(topic, sent));
        if coverage == Coverage::Partial {
            version = version.saturating_sub(1);
        }
        self.answers.push(Answer {
            topic,
            sent,
            version,
            coverage,
        });
    }

    /// Applies an answer, at times not the oldest one; others are lost.
    fn apply(&mut self) {
        if self.answers.is_empty() {
            return;
        }
        let at = self.random.random_range(0..self.answers.len());
        let answer = self.answers.remove(at);
        if self.random.random_range(0..4) == 0 {
            return;
        }
        let mut digest = 0;
        if let Some(topic) = followed(answer.topic) {
            let applied = &mut self.applied[index(topic)];
            *applied = answer.version.max(*applied);
            digest = *applied;
        }
        let read = (answer.sent, answer.coverage);
        self.follows.record_applied(answer.topic, digest, read);
    }

    /// Lets a peer read a topic and tell of it.
    fn tell(&mut self, topic: Followed) {
        let age = Span::from_micros(self.random.random_range(0..2_000_000));
        let read = self.now - age;
        let version = self.version_at(topic, read);
        self.sights.push(Sight {
            topic,
            version,
            read,
        });
    }

    /// Delivers what a peer told, which may come again later.
    fn hear(&mut self) {
        if self.sights.is_empty() {
            return;
        }
        let at = self.random.random_range(0..self.sights.len());
        let sight = self.sights[at];
        let follow = self.follows.get_mut(sight.topic);
        follow.record_sight(sight.version, sight.read, self.now);
        if self.random.random_range(0..2) == 0 {
            self.sights.remove(at);
        }
    }

    /// What was written before the time to which a state is confirmed has been applied.
    fn check(&self) {
        for topic in Followed::ALL {
            let Some(age) = self.follows.get(topic).age(self.now) else {
                continue;
            };
            let known = self.version_at(topic, self.now - age);
            let applied = self.applied[index(topic)];
            assert!(
                applied >= known,
                "{topic:?}: version {applied} counts as confirmed {age} ago, when {known} was written"
            );
        }
    }
}

#[gtest]
fn state_counts_as_confirmed_only_by_what_was_read_of_it() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
    }
}

/// What is confirmed is told to those who wait for it.
#[gtest]
fn only_whole_reads_of_followed_topics_confirm() {
    let mut follows = fresh();
    let sent = Moment(5_000_000);
    for (topic, coverage, expected) in [
        (Topic::Progress, Coverage::Whole, None),
        (Topic::Instances, Coverage::Whole, None),
        (Topic::Operator, Coverage::Partial, None),
        (Topic::Operator, Coverage::Whole, Some(Followed::Operator)),
        (Topic::Upstreams, Coverage::Whole, Some(Followed::Upstreams)),
    ] {
        let confirmed = follows.record_applied(topic, 7, (sent, coverage));
        expect_that!(confirmed, eq(expected), "{topic:?} {coverage:?}");
    }
    for topic in Followed::ALL {
        // A read that was sent earlier and is applied later makes no state older.
        let earlier = sent - Span::from_secs(1);
        follows.record_applied(topic.topic(), 7, (earlier, Coverage::Whole));
        expect_that!(follows.get(topic).digest(), eq(7));
        expect_that!(follows.get(topic).age(sent), some(eq(Span::ZERO)));
    }
}

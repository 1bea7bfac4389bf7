//! What one instance knows of all topics that it follows.
//!
//! Reads of any topic end up in one fold, but each confirms the topic that was read and no other one.

use crate::cursor::Coverage;
use crate::follow::{Follow, Timing};
use crate::source::Topic;
use entity::Moment;

/// A topic that every instance follows, and whose state has an age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Followed {
    /// [`Topic::Operator`].
    Operator,
    /// [`Topic::Upstreams`].
    Upstreams,
}

impl Followed {
    /// All topics that are followed.
    pub const ALL: [Self; 2] = [Self::Operator, Self::Upstreams];

    /// Returns the followed topic; `None` if instances only list it on occasion.
    pub fn of(topic: Topic) -> Option<Self> {
        Self::ALL.into_iter().find(|one| one.topic() == topic)
    }

    /// Returns the topic of the store.
    pub fn topic(self) -> Topic {
        match self {
            Self::Operator => Topic::Operator,
            Self::Upstreams => Topic::Upstreams,
        }
    }
}

/// What one instance knows of each followed topic.
#[derive(Clone, Debug)]
pub struct Follows {
    operator: Follow,
    upstreams: Follow,
}

impl Follows {
    /// Creates the state before the first read.
    pub fn new(operator: Timing, upstreams: Timing) -> Self {
        Self {
            operator: Follow::new(operator),
            upstreams: Follow::new(upstreams),
        }
    }

    /// Returns what is known of a topic.
    pub fn get(&self, topic: Followed) -> &Follow {
        match topic {
            Followed::Operator => &self.operator,
            Followed::Upstreams => &self.upstreams,
        }
    }

    /// Returns what is known of a topic, for an update.
    pub fn get_mut(&mut self, topic: Followed) -> &mut Follow {
        match topic {
            Followed::Operator => &mut self.operator,
            Followed::Upstreams => &mut self.upstreams,
        }
    }

    /// Records that records of a topic were applied, after which its contents have the digest. They come
    /// from a read that was sent at `sent`, or from a peer.
    ///
    /// Returns the topic that the read confirms, if it had everything that the store had acknowledged.
    pub fn record_applied(
        &mut self,
        topic: Topic,
        digest: u64,
        (sent, coverage): (Moment, Coverage),
    ) -> Option<Followed> {
        let followed = Followed::of(topic)?;
        let follow = self.get_mut(followed);
        follow.set_digest(digest);
        if coverage == Coverage::Partial {
            return None;
        }
        follow.confirm(sent);
        Some(followed)
    }
}

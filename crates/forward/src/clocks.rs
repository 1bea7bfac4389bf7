//! Clocks of other instances, in relation to the clock of this one.
//!
//! A message says by its sender's clock when it was sent. How long it took can't be seen from that,
//! unless the two clocks are compared. For this an instance sends its own time to the peer, which
//! returns it with the time on the peer's clock: the peer's clock can't have shown that time before
//! the question was sent. No assumption on how long a message takes is needed, and a slow exchange
//! only makes the result older than it has to be (Cristian, "Probabilistic clock synchronization",
//! 1989).

use entity::{Moment, Span, name};

/// Time for which a comparison of two clocks is used. After it the peer is asked again.
const REFRESH_INTERVAL: Span = Span::from_secs(120);
/// Time after which an unanswered question is repeated.
const QUESTION_TIMEOUT: Span = Span::from_millis(500);
/// Largest difference in speed between two clocks, as a share of the elapsed time.
const MAX_DRIFT_SHARE: f64 = 200e-6;
/// Longest time without a message from a peer after which its clock is forgotten.
const MAX_SILENCE: Span = Span::from_secs(600);

/// One run of a peer's process, as its messages name it. A machine that boots anew has another
/// clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run(pub u64);

/// The time of a message on its sender's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// The run of the sender.
    pub run: Run,
    /// Time on the sender's clock.
    pub time: Moment,
}

/// A comparison of two clocks: the peer's clock showed `theirs` no earlier than `own` on this
/// instance's clock.
#[derive(Clone, Copy, Debug)]
struct Comparison {
    own: Moment,
    theirs: Moment,
    /// Time at which the answer arrived.
    measured: Moment,
}

impl Comparison {
    /// Returns a time on the own clock before which the peer's clock did not show `time`.
    fn earliest(&self, time: Moment, now: Moment) -> Moment {
        let drift = now.since(self.own).scaled(MAX_DRIFT_SHARE);
        let earliest = if time >= self.theirs {
            self.own + time.since(self.theirs)
        } else {
            self.own - self.theirs.since(time)
        };
        earliest - drift
    }
}

#[derive(Clone, Debug)]
struct Clock {
    peer: name::Instance,
    run: Run,
    last_heard: Moment,
    asked: Option<Moment>,
    comparison: Option<Comparison>,
}

/// The clocks of the peers that send messages to this instance.
#[derive(Clone, Debug, Default)]
pub struct Clocks {
    /// Sorted by peer.
    clocks: Vec<Clock>,
}

impl Clocks {
    /// Returns the number of peers whose clocks are known or asked for.
    pub fn len(&self) -> usize {
        self.clocks.len()
    }

    /// Returns whether no peer has sent a message yet.
    pub fn is_empty(&self) -> bool {
        self.clocks.is_empty()
    }

    /// Records a message of a peer. Returns whether the peer's clock has to be asked for now.
    pub fn record_message(&mut self, peer: &name::Instance, run: Run, now: Moment) -> bool {
        let new = || Clock {
            peer: peer.clone(),
            run,
            last_heard: now,
            asked: None,
            comparison: None,
        };
        let index = match self.find(peer) {
            Ok(index) if self.clocks[index].run == run => index,
            Ok(index) => {
                self.clocks[index] = new();
                index
            }
            Err(_) => {
                self.forget_silent(now);
                let index = self.find(peer).unwrap_or_else(|index| index);
                self.clocks.insert(index, new());
                index
            }
        };
        let clock = &mut self.clocks[index];
        clock.last_heard = now;
        let is_known = clock
            .comparison
            .is_some_and(|known| now.since(known.measured) < REFRESH_INTERVAL);
        let is_asked = clock
            .asked
            .is_some_and(|asked| now.since(asked) < QUESTION_TIMEOUT);
        if is_known || is_asked {
            return false;
        }
        clock.asked = Some(now);
        true
    }

    /// Records a peer's answer, at `now`, to a question that was sent at `asked` on the own clock.
    pub fn record_answer(
        &mut self,
        peer: &name::Instance,
        theirs: Stamp,
        asked: Moment,
        now: Moment,
    ) {
        let Ok(index) = self.find(peer) else {
            return;
        };
        let clock = &mut self.clocks[index];
        // An answer to a question that this process never sent says nothing about its clock.
        if clock.run != theirs.run || asked > now || clock.asked.is_none_or(|last| asked > last) {
            return;
        }
        let new = Comparison {
            own: asked,
            theirs: theirs.time,
            measured: now,
        };
        let is_better = clock
            .comparison
            .is_none_or(|known| new.earliest(theirs.time, now) >= known.earliest(theirs.time, now));
        let is_over = clock
            .comparison
            .is_none_or(|known| now.since(known.measured) >= REFRESH_INTERVAL);
        if is_better || is_over {
            clock.comparison = Some(new);
        }
    }

    /// Returns a time on the own clock before which a peer did not send a message with this stamp;
    /// none if the peer's clock is not known.
    pub fn earliest_send(
        &self,
        peer: &name::Instance,
        stamp: Stamp,
        now: Moment,
    ) -> Option<Moment> {
        let clock = &self.clocks[self.find(peer).ok()?];
        if clock.run != stamp.run {
            return None;
        }
        let earliest = clock.comparison?.earliest(stamp.time, now);
        Some(earliest.min(now))
    }

    /// Returns the index of a peer's clock, or the index at which to insert it.
    fn find(&self, peer: &name::Instance) -> Result<usize, usize> {
        self.clocks.binary_search_by(|clock| clock.peer.cmp(peer))
    }

    fn forget_silent(&mut self, now: Moment) {
        self.clocks
            .retain(|clock| now.since(clock.last_heard) < MAX_SILENCE);
    }
}

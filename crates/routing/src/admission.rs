//! Admission control: a bounded fair queue over organisations, for requests that found no upstream
//! with room.
//!
//! Organisations are served by start-time fair queueing (Goyal, Vin and Cheng, 1996) according to
//! their weights, except that an organisation within its reserve comes first. Requests that can't
//! be served in time are shed at once.

use crate::query::Priority;
use entity::Moment;
use entity::name;
use entity::time::Span;

/// Weight of the newest sample in the moving average of the time between two served requests.
const INTERVAL_EWMA_WEIGHT: f64 = 0.1;

/// Age from which the learned time between two served requests no longer counts.
const INTERVAL_TTL: Span = Span::from_secs(30);

/// Amount that is added to the priority value of a request beyond its organisation's share; a
/// higher value is less urgent.
const YIELD_PRIORITY_STEP: u8 = 100;

/// Lower bound of the retry delay that is suggested for a shed request.
const MIN_RETRY_AFTER: Span = Span::from_secs(1);

/// Upper bound of the retry delay that is suggested for a shed request.
const MAX_RETRY_AFTER: Span = Span::from_secs(30);

/// A queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// Priority among the requests of the same organisation.
    pub priority: Priority,
    /// Expected cost, for example in tokens; at least 1.
    pub cost: u32,
    /// Request deadline.
    pub deadline: Moment,
    /// Payload that the queue's owner needs to go on with the request.
    pub item: T,
}

/// The reason for which a request is shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Cause {
    /// The queue is full, and the request's organisation has the most queued requests in relation
    /// to its weight.
    #[error("too many requests wait")]
    Full,
    /// The request would not be served before its deadline.
    #[error("it would wait beyond its deadline")]
    Late,
    /// The queue is closed.
    #[error("no request waits any more")]
    Closed,
}

/// A request that is rejected at once, without being run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shed<T> {
    /// The rejected request.
    pub entry: Entry<T>,
    /// The reason for the rejection.
    pub cause: Cause,
    /// Delay after which the caller may retry.
    pub retry_after: Span,
}

/// The queued and running requests of one organisation.
#[derive(Clone, Debug)]
struct Flow<T> {
    name: name::Organisation,
    weight: u32,
    reserve: u32,
    running: u32,
    /// Finish tag, in virtual time, of the last request that was served.
    finish_tag: f64,
    /// Whether the start tag of that request was ahead of the virtual time.
    served_ahead: bool,
    /// Queued requests, most urgent first, and by deadline within a priority; in order of arrival
    /// where both are equal.
    entries: Vec<Entry<T>>,
}

impl<T> Flow<T> {
    /// Returns the start tag of the next request.
    fn start_tag(&self, virtual_time: f64) -> f64 {
        self.finish_tag.max(virtual_time)
    }

    /// Returns the number of queued requests divided by the weight.
    fn weighted_length(&self) -> f64 {
        self.entries.len() as f64 / f64::from(self.weight.max(1))
    }

    fn is_within_reserve(&self) -> bool {
        self.running < self.reserve
    }
}

/// A bounded fair queue of one pool of upstreams.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    /// Sorted by name.
    flows: Vec<Flow<T>>,
    /// Largest number of queued requests.
    bound: usize,
    virtual_time: f64,
    last_served: Option<Moment>,
    /// Moving average of the time between two served requests while others wait, in seconds.
    interval: f64,
    /// Time at which the interval was last learned.
    learned_at: Option<Moment>,
    /// Least time between two served requests that the upstreams allow, in seconds.
    pace: f64,
    is_closed: bool,
}

impl<T> Queue<T> {
    /// Creates an empty queue that holds at most `bound` requests.
    pub fn new(bound: usize) -> Self {
        Self {
            flows: Vec::new(),
            bound,
            virtual_time: 0.0,
            last_served: None,
            interval: 0.0,
            learned_at: None,
            pace: 0.0,
            is_closed: false,
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.flows.iter().map(|flow| flow.entries.len()).sum()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.flows.iter().all(|flow| flow.entries.is_empty())
    }

    /// Sets an organisation's weight, and this instance's share of the organisation's reserve.
    pub fn set_organisation(
        &mut self,
        organisation: &name::Organisation,
        weight: u32,
        reserve: u32,
    ) {
        let flow = self.flow(organisation);
        flow.weight = weight;
        flow.reserve = reserve;
    }

    /// Sets the least time between two served requests that the upstreams allow. It counts until a
    /// longer one was learned.
    pub fn set_pace(&mut self, pace: Span) {
        self.pace = pace.as_secs_f64();
    }

    /// Records that a request started to run, whether it was queued before or not.
    pub fn record_start(&mut self, organisation: &name::Organisation) {
        self.flow(organisation).running += 1;
    }

    /// Records that a request ended.
    pub fn record_end(&mut self, organisation: &name::Organisation) {
        let flow = self.flow(organisation);
        assert!(flow.running > 0, "a request ends at most once");
        flow.running -= 1;
    }

    /// Returns whether a new request may run without being queued, which holds if no queued request
    /// precedes it.
    pub fn can_bypass(&self, organisation: &name::Organisation) -> bool {
        let own = self.flows.iter().find(|flow| flow.name == *organisation);
        let waits = own.is_some_and(|flow| !flow.entries.is_empty());
        let first = own.is_some_and(Flow::is_within_reserve);
        let precedes = |flow: &Flow<T>| !flow.entries.is_empty() && flow.is_within_reserve();
        !waits && (self.is_empty() || first && !self.flows.iter().any(precedes))
    }

    /// Returns the priority that a request of an organisation has at the upstream, right after it
    /// was served from this queue.
    ///
    /// While other requests are queued, a request whose start tag was ahead of the virtual time is
    /// beyond its organisation's current share. Its priority is lowered, so that the first tokens
    /// of other organisations don't wait behind its prompt.
    pub fn effective_priority(
        &self,
        organisation: &name::Organisation,
        priority: Priority,
    ) -> Priority {
        let own = self.flows.iter().find(|flow| flow.name == *organisation);
        let yields = |flow: &Flow<T>| flow.served_ahead && !flow.is_within_reserve();
        if !self.is_empty() && own.is_some_and(yields) {
            return Priority(priority.0.saturating_add(YIELD_PRIORITY_STEP));
        }
        priority
    }

    /// Queues a request. Returns the request that is shed instead, if any: either the new one, or
    /// the last one of the organisation that has the most queued requests in relation to its
    /// weight.
    pub fn push(
        &mut self,
        organisation: &name::Organisation,
        entry: Entry<T>,
        now: Moment,
    ) -> Option<Shed<T>> {
        debug_assert!(entry.cost > 0);
        if self.is_closed {
            return Some(self.shed(entry, Cause::Closed, MIN_RETRY_AFTER));
        }
        let is_old = |at: &Moment| now.since(*at) >= INTERVAL_TTL;
        if self.learned_at.take_if(|at| is_old(at)).is_some() {
            self.interval = 0.0;
        }
        let wait = self.expected_wait(organisation);
        if now + wait >= entry.deadline {
            return Some(self.shed(entry, Cause::Late, wait));
        }
        let flow = self.flow(organisation);
        let rank = |entry: &Entry<T>| (entry.priority, entry.deadline);
        let behind = |other: &Entry<T>| rank(other) <= rank(&entry);
        let index = flow.entries.partition_point(behind);
        flow.entries.insert(index, entry);
        if self.len() <= self.bound {
            return None;
        }
        let heaviest = self
            .flows
            .iter_mut()
            .max_by(|left, right| left.weighted_length().total_cmp(&right.weighted_length()))?;
        let entry = heaviest.entries.pop()?;
        debug_assert!(self.len() <= self.bound);
        Some(self.shed(entry, Cause::Full, wait))
    }

    /// Offers queued requests in fair order to `place`, which returns a result for a request that
    /// it takes, or none to leave the request in the queue. Only the first request of each
    /// organisation is offered, so that no later one overtakes it.
    pub fn pop<R>(
        &mut self,
        now: Moment,
        mut place: impl FnMut(&name::Organisation, &Entry<T>) -> Option<R>,
    ) -> Option<(name::Organisation, Entry<T>, R)> {
        for index in self.service_order() {
            let flow = &self.flows[index];
            let Some(result) = place(&flow.name, &flow.entries[0]) else {
                continue;
            };
            let virtual_time = self.virtual_time;
            let flow = &mut self.flows[index];
            let entry = flow.entries.remove(0);
            // Requests served within the reserve are not charged to the organisation's share.
            if flow.is_within_reserve() {
                flow.served_ahead = false;
            } else {
                let start_tag = flow.start_tag(virtual_time);
                flow.served_ahead = start_tag > virtual_time;
                flow.finish_tag = start_tag + f64::from(entry.cost) / f64::from(flow.weight.max(1));
                self.virtual_time = start_tag.max(virtual_time);
            }
            let name = flow.name.clone();
            self.record_service(now);
            return Some((name, entry, result));
        }
        None
    }

    /// Closes the queue: no request waits any more. Returns those that did.
    pub fn close(&mut self) -> Vec<Shed<T>> {
        self.is_closed = true;
        let flows = self.flows.iter_mut();
        let waiting: Vec<_> = flows.flat_map(|flow| flow.entries.drain(..)).collect();
        let shed = waiting.into_iter();
        shed.map(|entry| self.shed(entry, Cause::Closed, MIN_RETRY_AFTER))
            .collect()
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Moment) -> Vec<Shed<T>> {
        let mut expired = Vec::new();
        for flow in &mut self.flows {
            let late = |entry: &mut Entry<T>| entry.deadline <= now;
            expired.extend(flow.entries.extract_if(.., late));
        }
        expired
            .into_iter()
            .map(|entry| self.shed(entry, Cause::Late, MIN_RETRY_AFTER))
            .collect()
    }

    /// Returns the indices of the organisations with queued requests: those within their reserve
    /// first, then by start tag.
    fn service_order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.flows.len())
            .filter(|&index| !self.flows[index].entries.is_empty())
            .collect();
        let key = |index: usize| {
            let flow = &self.flows[index];
            (!flow.is_within_reserve(), flow.start_tag(self.virtual_time))
        };
        order.sort_by(|&left, &right| {
            let (left, right) = (key(left), key(right));
            left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
        });
        order
    }

    fn record_service(&mut self, now: Moment) {
        if let Some(last) = self.last_served {
            let interval = now.since(last).as_secs_f64();
            self.interval += INTERVAL_EWMA_WEIGHT * (interval - self.interval);
            self.learned_at = Some(now);
        }
        self.last_served = (!self.is_empty()).then_some(now);
    }

    /// Estimates how long the last request of an organisation waits: the time to serve the requests
    /// before it at the organisation's share of the service rate.
    fn expected_wait(&self, organisation: &name::Organisation) -> Span {
        let waiting = |flow: &&Flow<T>| !flow.entries.is_empty() || flow.name == *organisation;
        let weights: u32 = self
            .flows
            .iter()
            .filter(waiting)
            .map(|flow| flow.weight)
            .sum();
        let Some(own) = self.flows.iter().find(|flow| flow.name == *organisation) else {
            return Span::ZERO;
        };
        let share = f64::from(own.weight.max(1)) / f64::from(weights.max(1));
        let seconds = own.entries.len() as f64 * self.interval.max(self.pace) / share;
        Span::from_micros((seconds * 1e6) as u64)
    }

    fn shed(&self, entry: Entry<T>, cause: Cause, wait: Span) -> Shed<T> {
        Shed {
            entry,
            cause,
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    fn flow(&mut self, organisation: &name::Organisation) -> &mut Flow<T> {
        let found = self
            .flows
            .binary_search_by(|flow| flow.name.cmp(organisation));
        let index = found.unwrap_or_else(|index| {
            let flow = Flow {
                name: organisation.clone(),
                weight: 1,
                reserve: 0,
                running: 0,
                finish_tag: 0.0,
                served_ahead: false,
                entries: Vec::new(),
            };
            self.flows.insert(index, flow);
            index
        });
        &mut self.flows[index]
    }
}

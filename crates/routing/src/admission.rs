//! Admission: a bounded fair queue over organisations for the requests that found no upstream free.
//!
//! Organisations are served by start-time fair queueing (Goyal, Vin and Cheng, 1996) with their
//! weights, but for one within its reserve, which comes first. What can't be served in time is shed
//! at once.

use crate::query::Priority;
use entity::Moment;
use entity::name;
use entity::time::Span;

/// Weight of the newest interval in the moving average of the service rate.
const NEWEST: f64 = 0.1;

/// By how much a request beyond its organisation's share is less urgent.
const YIELD: u8 = 100;

/// Shortest time after which a shed request may come again.
const SHORTEST_WAIT: Span = Span::from_secs(1);

/// Longest time after which a shed request may come again.
const LONGEST_WAIT: Span = Span::from_secs(30);

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// How urgent it is among its organisation's.
    pub priority: Priority,
    /// What it is expected to cost, such as tokens; at least 1.
    pub cost: u32,
    /// When its answer is due.
    pub deadline: Moment,
    /// What the caller of the queue needs to go on with it.
    pub item: T,
}

/// Why a request is shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Cause {
    /// The queue is full, and its organisation has the most in it for its weight.
    #[error("too many requests wait")]
    Full,
    /// It would not be served before its deadline.
    #[error("it would wait beyond its deadline")]
    Late,
}

/// A request that is not run, and is told so at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shed<T> {
    /// The request.
    pub entry: Entry<T>,
    /// Why.
    pub cause: Cause,
    /// When it may come again.
    pub retry_after: Span,
}

/// What one organisation has in the queue and running.
#[derive(Clone, Debug)]
struct Flow<T> {
    name: name::Organisation,
    weight: u32,
    reserve: u32,
    running: u32,
    /// The finish tag of its last served request, in virtual time.
    finish: f64,
    /// Whether that request was served ahead of the virtual time.
    ahead: bool,
    /// The most urgent first, and within a priority by arrival.
    entries: Vec<Entry<T>>,
}

impl<T> Flow<T> {
    /// The start tag of its next request.
    fn start(&self, virtual_time: f64) -> f64 {
        self.finish.max(virtual_time)
    }

    /// Its part of the queue in relation to its weight.
    fn excess(&self) -> f64 {
        self.entries.len() as f64 / f64::from(self.weight.max(1))
    }

    fn within_reserve(&self) -> bool {
        self.running < self.reserve
    }
}

/// A bounded fair queue of one pool of upstreams.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    /// By name.
    flows: Vec<Flow<T>>,
    /// Most requests that wait.
    bound: usize,
    virtual_time: f64,
    last_served: Option<Moment>,
    /// Moving average of the time between two served requests while some wait, in seconds.
    interval: f64,
}

impl<T> Queue<T> {
    /// An empty queue in which at most `bound` requests wait.
    pub fn new(bound: usize) -> Self {
        Self {
            flows: Vec::new(),
            bound,
            virtual_time: 0.0,
            last_served: None,
            interval: 0.0,
        }
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.flows.iter().map(|flow| flow.entries.len()).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.flows.iter().all(|flow| flow.entries.is_empty())
    }

    /// Sets an organisation's weight and this instance's share of its reserve.
    pub fn set(&mut self, organisation: &name::Organisation, weight: u32, reserve: u32) {
        let flow = self.flow(organisation);
        flow.weight = weight;
        flow.reserve = reserve;
    }

    /// Counts a request that began to run, whether it waited or not.
    pub fn began(&mut self, organisation: &name::Organisation) {
        self.flow(organisation).running += 1;
    }

    /// Counts a request that ended.
    pub fn ended(&mut self, organisation: &name::Organisation) {
        let flow = self.flow(organisation);
        assert!(flow.running > 0, "a request ends once");
        flow.running -= 1;
    }

    /// Whether a new request may run without waiting: nobody else waits who comes first.
    pub fn passes(&self, organisation: &name::Organisation) -> bool {
        let own = self.flows.iter().find(|flow| flow.name == *organisation);
        let waits = own.is_some_and(|flow| !flow.entries.is_empty());
        let first = own.is_some_and(Flow::within_reserve);
        let rival = |flow: &Flow<T>| !flow.entries.is_empty() && flow.within_reserve();
        !waits && (self.is_empty() || first && !self.flows.iter().any(rival))
    }

    /// How urgent an upstream should take the request to be that an organisation was just served.
    ///
    /// While others wait, a request that was served ahead of the virtual time is beyond its
    /// organisation's share of this moment: it yields, so that others' first tokens don't wait
    /// behind its prompt.
    pub fn urgency(&self, organisation: &name::Organisation, priority: Priority) -> Priority {
        let own = self.flows.iter().find(|flow| flow.name == *organisation);
        let yields = |flow: &Flow<T>| flow.ahead && !flow.within_reserve();
        if !self.is_empty() && own.is_some_and(yields) {
            return Priority(priority.0.saturating_add(YIELD));
        }
        priority
    }

    /// Lets a request wait. Returns the request that is shed for it, if one is: itself, or the last
    /// one of the organisation that has the most in the queue for its weight.
    pub fn push(
        &mut self,
        organisation: &name::Organisation,
        entry: Entry<T>,
        now: Moment,
    ) -> Option<Shed<T>> {
        debug_assert!(entry.cost > 0);
        let wait = self.wait(organisation);
        if now + wait >= entry.deadline {
            return Some(self.shed(entry, Cause::Late, wait));
        }
        let flow = self.flow(organisation);
        let behind = |other: &Entry<T>| other.priority <= entry.priority;
        let place = flow.entries.partition_point(behind);
        flow.entries.insert(place, entry);
        if self.len() <= self.bound {
            return None;
        }
        let heaviest = self
            .flows
            .iter_mut()
            .max_by(|left, right| left.excess().total_cmp(&right.excess()))?;
        let entry = heaviest.entries.pop()?;
        debug_assert!(self.len() <= self.bound);
        Some(self.shed(entry, Cause::Full, wait))
    }

    /// Offers waiting requests in fair order to `place`, which returns what it made of one or leaves
    /// it where it is. Only the first of each organisation is offered, so that no later request
    /// overtakes it.
    pub fn pop<R>(
        &mut self,
        now: Moment,
        mut place: impl FnMut(&name::Organisation, &Entry<T>) -> Option<R>,
    ) -> Option<(name::Organisation, Entry<T>, R)> {
        for index in self.order() {
            let flow = &self.flows[index];
            let Some(result) = place(&flow.name, &flow.entries[0]) else {
                continue;
            };
            let virtual_time = self.virtual_time;
            let flow = &mut self.flows[index];
            let entry = flow.entries.remove(0);
            // What is served within the reserve is not charged to the organisation's share.
            if flow.within_reserve() {
                flow.ahead = false;
            } else {
                let start = flow.start(virtual_time);
                flow.ahead = start > virtual_time;
                flow.finish = start + f64::from(entry.cost) / f64::from(flow.weight.max(1));
                self.virtual_time = start.max(virtual_time);
            }
            let name = flow.name.clone();
            self.served(now);
            return Some((name, entry, result));
        }
        None
    }

    /// Takes out the requests whose deadline has passed.
    pub fn expire(&mut self, now: Moment) -> Vec<Shed<T>> {
        let mut expired = Vec::new();
        for flow in &mut self.flows {
            let late = |entry: &mut Entry<T>| entry.deadline <= now;
            expired.extend(flow.entries.extract_if(.., late));
        }
        expired
            .into_iter()
            .map(|entry| self.shed(entry, Cause::Late, SHORTEST_WAIT))
            .collect()
    }

    /// Organisations with waiting requests: those within their reserve first, then by start tag.
    fn order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.flows.len())
            .filter(|&index| !self.flows[index].entries.is_empty())
            .collect();
        let key = |index: usize| {
            let flow = &self.flows[index];
            (!flow.within_reserve(), flow.start(self.virtual_time))
        };
        order.sort_by(|&left, &right| {
            let (left, right) = (key(left), key(right));
            left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
        });
        order
    }

    fn served(&mut self, now: Moment) {
        if let Some(last) = self.last_served {
            let interval = now.since(last).as_secs_f64();
            self.interval += NEWEST * (interval - self.interval);
        }
        self.last_served = (!self.is_empty()).then_some(now);
    }

    /// How long the last request of an organisation is expected to wait: as long as its own before
    /// it take at its share of the service rate.
    fn wait(&self, organisation: &name::Organisation) -> Span {
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
        let seconds = own.entries.len() as f64 * self.interval / share;
        Span::from_micros((seconds * 1e6) as u64)
    }

    fn shed(&self, entry: Entry<T>, cause: Cause, wait: Span) -> Shed<T> {
        Shed {
            entry,
            cause,
            retry_after: wait.clamp(SHORTEST_WAIT, LONGEST_WAIT),
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
                finish: 0.0,
                ahead: false,
                entries: Vec::new(),
            };
            self.flows.insert(index, flow);
            index
        });
        &mut self.flows[index]
    }
}

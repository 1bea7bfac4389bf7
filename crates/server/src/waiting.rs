//! Fair queues of the requests that wait for an upstream.
//!
//! Each pool of upstreams, which is a service with one of its versions or a plain service, has a
//! queue that is fair between organisations. A request bypasses its queue only if no waiting
//! request takes precedence.

use crate::decider::UpstreamQuery;
use config::Config;
use entity::{Moment, Span, name, sorted};
use routing::admission::{Cause, Entry, Queue, Shed};
use routing::reserve;
use routing::{Balancer, Choice, Query, Reason, Refusal};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Longest time in the queue of a request of priority 0, whose caller waits for the answer.
const MAX_INTERACTIVE_WAIT: Span = Span::from_secs(2);
/// Longest time in the queue of any other request.
const MAX_BATCH_WAIT: Span = Span::from_secs(15);
/// Bytes of a prompt or body that count as one unit of cost.
const BYTES_PER_COST_UNIT: u64 = 1024;

/// Channel for the choice or the refusal that ends the wait of a request.
pub type Reply = oneshot::Sender<Result<Choice, Refusal>>;

/// The names that identify a pool of upstreams; ids would change with the configuration.
type Pool = (name::Service, Option<name::Version>);

/// The recipient of a choice or a refusal.
struct Recipient {
    pool: Pool,
    organisation: name::Organisation,
    reply: Reply,
}

struct PendingRequest {
    query: Box<UpstreamQuery>,
    reply: Reply,
}

/// All wait queues of one instance.
pub struct WaitQueues {
    bound: usize,
    /// Queues of all pools, sorted by pool.
    queues: Vec<(Pool, Queue<PendingRequest>)>,
    config: Arc<Config>,
    own: name::Instance,
    live: Arc<[name::Instance]>,
    /// Record of how much reserved capacity is used, lent and idle.
    ledger: reserve::Ledger,
    is_closed: bool,
}

impl WaitQueues {
    /// Creates queues with at most `bound` waiting requests each.
    pub fn new(own: name::Instance, bound: usize) -> Self {
        let live = Arc::from([own.clone()]);
        Self {
            bound,
            queues: Vec::new(),
            config: Arc::default(),
            own,
            live,
            ledger: reserve::Ledger::new(0, Moment(0)),
            is_closed: false,
        }
    }

    /// Applies the weights and reserves of a configuration.
    pub fn configure(&mut self, config: &Arc<Config>, now: Moment) {
        self.config = config.clone();
        self.recompute_shares(now);
    }

    /// Applies an instance list; reserves are split between its live instances.
    pub fn set_members(&mut self, live: Arc<[name::Instance]>, now: Moment) {
        if self.live == live {
            return;
        }
        self.live = live;
        self.recompute_shares(now);
    }

    /// Recomputes the weights, reserves and capacity of this instance.
    fn recompute_shares(&mut self, now: Moment) {
        for (_, queue) in &mut self.queues {
            set_shares(queue, &self.config, &self.own, &self.live);
        }
        let limits = self.config.upstreams.iter();
        let limits = limits.filter(|(id, _)| self.config.is_in_service(*id));
        let capacity: u32 = limits.map(|(_, upstream)| upstream.warm).sum();
        let instances = u32::try_from(self.live.len().max(1)).unwrap_or(u32::MAX);
        self.ledger.resize(capacity / instances, now);
        let organisations = self.config.organisations.values().iter();
        let listed: Vec<_> = organisations
            .map(|organisation| &organisation.name)
            .collect();
        self.ledger.retain(&listed, now);
        for organisation in self.config.organisations.values() {
            let (name, whole) = (&organisation.name, organisation.reserve);
            let share = reserve::share(name, whole, &self.own, &self.live);
            self.ledger.set_reserve(name, share, now);
        }
    }

    /// Returns how each organisation's reserve at this instance was used since it started.
    pub fn reserve_usages(&mut self, now: Moment) -> Vec<reserve::Usage> {
        self.ledger.usages(now).to_vec()
    }

    /// Chooses an upstream for a request, queues the request, or refuses it at once.
    pub fn choose(
        &mut self,
        query: Box<UpstreamQuery>,
        reply: Reply,
        balancer: &mut Balancer,
        now: Moment,
    ) {
        let Some((pool, organisation)) = self.resolve_names(&query) else {
            let _ = reply.send(Err(stale()));
            return;
        };
        let queue = self.queue(&pool);
        if queue.can_bypass(&organisation) {
            match balancer.choose(&routing_query(&query), now) {
                Err(refusal) if is_transient(refusal.reason) => {}
                chosen => {
                    let recipient = Recipient {
                        pool,
                        organisation,
                        reply,
                    };
                    self.answer(recipient, chosen, balancer, now);
                    return;
                }
            }
        }
        let wait = if query.priority.0 == 0 {
            MAX_INTERACTIVE_WAIT
        } else {
            MAX_BATCH_WAIT
        };
        let pace = balancer.pace(&routing_query(&query), now);
        let entry = Entry {
            priority: query.priority,
            cost: cost(&query),
            deadline: query.deadline.min(now + wait),
            item: PendingRequest { query, reply },
        };
        let queue = self.queue(&pool);
        queue.set_pace(pace.unwrap_or_default());
        let Some(shed) = queue.push(&organisation, entry, now) else {
            return;
        };
        match shed.cause {
            Cause::Late => refuse(shed, Reason::Late),
            Cause::Full => refuse(shed, Reason::Full),
            Cause::Closed => refuse(shed, Reason::Closing),
        }
    }

    /// Refuses all requests that wait, and those that would have to from now on.
    pub fn close(&mut self) {
        self.is_closed = true;
        for (_, queue) in &mut self.queues {
            for shed in queue.close() {
                refuse(shed, Reason::Closing);
            }
        }
    }

    /// Chooses upstreams that have become free for waiting requests, and refuses requests whose
    /// wait has expired.
    pub fn drain(&mut self, balancer: &mut Balancer, now: Moment) {
        for index in 0..self.queues.len() {
            let (pool, queue) = &mut self.queues[index];
            let pool = pool.clone();
            for shed in queue.expire(now) {
                refuse(shed, Reason::Full);
            }
            while let Some((organisation, entry, chosen)) = self.pop_decided(index, balancer, now) {
                let (pool, reply) = (pool.clone(), entry.item.reply);
                let recipient = Recipient {
                    pool,
                    organisation,
                    reply,
                };
                self.answer(recipient, chosen, balancer, now);
            }
        }
    }

    /// Removes the next request from a queue that gets an upstream, or whose refusal waiting can't
    /// change.
    fn pop_decided(
        &mut self,
        index: usize,
        balancer: &mut Balancer,
        now: Moment,
    ) -> Option<(
        name::Organisation,
        Entry<PendingRequest>,
        Result<Choice, Refusal>,
    )> {
        let (_, queue) = &mut self.queues[index];
        queue.pop(now, |_, entry| {
            match balancer.choose(&routing_query(&entry.item.query), now) {
                Err(refusal) if is_transient(refusal.reason) => None,
                chosen => Some(chosen),
            }
        })
    }

    /// Replies to a request. If its recipient was dropped, the choice is finished as cancelled.
    fn answer(
        &mut self,
        recipient: Recipient,
        chosen: Result<Choice, Refusal>,
        balancer: &mut Balancer,
        now: Moment,
    ) {
        let mut chosen = chosen;
        if let Ok(choice) = &mut chosen {
            let queue = self.queue(&recipient.pool);
            choice.priority = queue.effective_priority(&recipient.organisation, choice.priority);
        }
        let has_choice = chosen.is_ok();
        match recipient.reply.send(chosen) {
            Ok(()) if has_choice => {
                self.queue(&recipient.pool)
                    .record_start(&recipient.organisation);
                self.ledger.record_start(&recipient.organisation, now);
            }
            Err(Ok(choice)) => {
                balancer.finish(choice, routing::Outcome::Cancelled, now);
            }
            Ok(()) | Err(Err(_)) => {}
        }
    }

    /// Records the end of a request for which an upstream was chosen.
    pub fn record_end(&mut self, choice: &Choice, now: Moment) {
        let (service, version, organisation) = choice.names();
        let pool = (service.clone(), version.cloned());
        let organisation = organisation.clone();
        self.queue(&pool).record_end(&organisation);
        self.ledger.record_end(&organisation, now);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queues.iter().map(|(_, queue)| queue.len()).sum()
    }

    fn resolve_names(&self, query: &UpstreamQuery) -> Option<(Pool, name::Organisation)> {
        let service = self.config.services.get(query.service)?.name.clone();
        let version = match query.version {
            Some(version) => Some(self.config.versions.get(version)?.name.clone()),
            None => None,
        };
        let organisation = self.config.organisations.get(query.organisation)?;
        Some(((service, version), organisation.name.clone()))
    }

    fn queue(&mut self, pool: &Pool) -> &mut Queue<PendingRequest> {
        sorted::entry(&mut self.queues, pool, || {
            let mut queue = Queue::new(self.bound);
            if self.is_closed {
                queue.close();
            }
            set_shares(&mut queue, &self.config, &self.own, &self.live);
            queue
        })
    }
}

fn set_shares(
    queue: &mut Queue<PendingRequest>,
    config: &Config,
    own: &name::Instance,
    live: &[name::Instance],
) {
    for organisation in config.organisations.values() {
        let share = reserve::share(&organisation.name, organisation.reserve, own, live);
        queue.set_organisation(&organisation.name, organisation.weight, share);
    }
}

/// Returns whether a refusal for this reason may pass while the request waits.
fn is_transient(reason: Reason) -> bool {
    matches!(reason, Reason::Full | Reason::Cold | Reason::Failing)
}

fn refuse(shed: Shed<PendingRequest>, reason: Reason) {
    let refusal = Refusal {
        reason,
        retry_after: Some(shed.retry_after),
    };
    let _ = shed.entry.item.reply.send(Err(refusal));
}

fn stale() -> Refusal {
    Refusal {
        reason: Reason::Generation,
        retry_after: None,
    }
}

fn cost(query: &UpstreamQuery) -> u32 {
    let units = query.prompt.0.div_ceil(BYTES_PER_COST_UNIT).max(1);
    u32::try_from(units).unwrap_or(u32::MAX)
}

/// Converts a query of the decider into one of the balancer.
pub fn routing_query(query: &UpstreamQuery) -> Query<'_> {
    Query {
        generation: query.generation,
        service: query.service,
        version: query.version,
        organisation: query.organisation,
        prompt: query.prompt,
        prefix: query.prefix,
        demand: query.demand,
        priority: query.priority,
        excluded: &query.excluded,
        regions: query.regions.as_deref(),
        deadline: query.deadline,
        is_repeatable: query.is_repeatable,
    }
}

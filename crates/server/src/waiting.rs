//! Requests that wait for an upstream, in fair queues over organisations.
//!
//! There is a queue for each pool: a service with one of its versions, or a plain service. A request
//! goes past its queue only if nobody waits who comes first.

use crate::decider::Want;
use config::Config;
use entity::{Moment, Span, name, sorted};
use routing::admission::{Entry, Queue, Shed};
use routing::reserve;
use routing::{Balancer, Choice, Query, Reason, Refusal};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Longest wait of a request on whose answer somebody waits.
const LIVE_WAIT: Span = Span::from_secs(2);
/// Longest wait of any other request.
const DRAFT_WAIT: Span = Span::from_secs(15);
/// Bytes of a prompt or body that count as one unit of cost.
const COST_BYTES: u64 = 1024;

/// What a request that waits gets in the end.
pub type Reply = oneshot::Sender<Result<Choice, Refusal>>;

/// A pool of upstreams, by name, since ids change with the configuration.
type Key = (name::Service, Option<name::Version>);

/// Who is answered.
struct Asker {
    key: Key,
    organisation: name::Organisation,
    reply: Reply,
}

struct Waiter {
    want: Box<Want>,
    reply: Reply,
}

/// All queues of one instance.
pub struct Waiting {
    bound: usize,
    /// Sorted by pool.
    queues: Vec<(Key, Queue<Waiter>)>,
    config: Arc<Config>,
    own: name::Instance,
    live: Arc<[name::Instance]>,
    /// Reserved capacity: used, lent and idle.
    ledger: reserve::Ledger,
}

impl Waiting {
    /// Queues in which at most `bound` requests wait each.
    pub fn new(own: name::Instance, bound: usize) -> Self {
        let live = Arc::from([own.clone()]);
        Self {
            bound,
            queues: Vec::new(),
            config: Arc::default(),
            own,
            live,
            ledger: reserve::Ledger::new(0, Moment(0)),
        }
    }

    /// Takes over weights and reserves of a configuration.
    pub fn configure(&mut self, config: &Arc<Config>, now: Moment) {
        self.config = config.clone();
        self.divide(now);
    }

    /// Takes over the instance list, over which reserves are divided.
    pub fn members(&mut self, live: Arc<[name::Instance]>, now: Moment) {
        self.live = live;
        self.divide(now);
    }

    /// Divides weights, reserves and capacity anew.
    fn divide(&mut self, now: Moment) {
        for (_, queue) in &mut self.queues {
            set_shares(queue, &self.config, &self.own, &self.live);
        }
        let limits = self.config.upstreams.iter();
        let limits = limits.filter(|(id, _)| self.config.in_service(*id));
        let capacity: u32 = limits.map(|(_, upstream)| upstream.warm).sum();
        let instances = u32::try_from(self.live.len().max(1)).unwrap_or(u32::MAX);
        self.ledger.resize(capacity / instances, now);
        let organisations = self.config.organisations.values().iter();
        let names: Vec<_> = organisations
            .map(|organisation| &organisation.name)
            .collect();
        self.ledger.retain(&names, now);
        for organisation in self.config.organisations.values() {
            let (name, whole) = (&organisation.name, organisation.reserve);
            let share = reserve::share(name, whole, &self.own, &self.live);
            self.ledger.set(name, share, now);
        }
    }

    /// What became of each organisation's reserve at this instance since it started.
    pub fn reserves(&mut self, now: Moment) -> Vec<reserve::Usage> {
        self.ledger.usages(now).to_vec()
    }

    /// Gives a request its upstream, lets it wait for one, or refuses it at once.
    pub fn choose(&mut self, want: Box<Want>, reply: Reply, balancer: &mut Balancer, now: Moment) {
        let Some((key, organisation)) = self.names(&want) else {
            let _ = reply.send(Err(stale()));
            return;
        };
        let queue = self.queue(&key);
        if queue.can_bypass(&organisation) {
            match balancer.choose(&query(&want), now) {
                Err(refusal) if passes_in_time(refusal.reason) => {}
                chosen => {
                    let asker = Asker {
                        key,
                        organisation,
                        reply,
                    };
                    self.answer(asker, chosen, balancer, now);
                    return;
                }
            }
        }
        let wait = if want.priority.0 == 0 {
            LIVE_WAIT
        } else {
            DRAFT_WAIT
        };
        let entry = Entry {
            priority: want.priority,
            cost: cost(&want),
            deadline: want.deadline.min(now + wait),
            item: Waiter { want, reply },
        };
        if let Some(shed) = self.queue(&key).push(&organisation, entry, now) {
            refuse(shed);
        }
    }

    /// Gives waiting requests the upstreams that have become free, and refuses those whose time is
    /// over.
    pub fn drain(&mut self, balancer: &mut Balancer, now: Moment) {
        for index in 0..self.queues.len() {
            let (key, queue) = &mut self.queues[index];
            let key = key.clone();
            for shed in queue.expire(now) {
                refuse(shed);
            }
            while let Some((organisation, entry, chosen)) = self.place(index, balancer, now) {
                let (key, reply) = (key.clone(), entry.item.reply);
                let asker = Asker {
                    key,
                    organisation,
                    reply,
                };
                self.answer(asker, chosen, balancer, now);
            }
        }
    }

    /// Takes the next request out of a queue that gets an upstream, or for which waiting is no help.
    fn place(
        &mut self,
        index: usize,
        balancer: &mut Balancer,
        now: Moment,
    ) -> Option<(name::Organisation, Entry<Waiter>, Result<Choice, Refusal>)> {
        let (_, queue) = &mut self.queues[index];
        queue.pop(now, |_, entry| {
            match balancer.choose(&query(&entry.item.want), now) {
                Err(refusal) if passes_in_time(refusal.reason) => None,
                chosen => Some(chosen),
            }
        })
    }

    /// Answers a request. One whose asker has gone gives its choice back.
    fn answer(
        &mut self,
        asker: Asker,
        chosen: Result<Choice, Refusal>,
        balancer: &mut Balancer,
        now: Moment,
    ) {
        let mut chosen = chosen;
        if let Ok(choice) = &mut chosen {
            let queue = self.queue(&asker.key);
            choice.priority = queue.effective_priority(&asker.organisation, choice.priority);
        }
        let chose = chosen.is_ok();
        match asker.reply.send(chosen) {
            Ok(()) if chose => {
                self.queue(&asker.key).began(&asker.organisation);
                self.ledger.began(&asker.organisation, now);
            }
            Err(Ok(choice)) => {
                balancer.finish(choice, routing::Outcome::Cancelled, now);
            }
            Ok(()) | Err(Err(_)) => {}
        }
    }

    /// Counts the end of a request that had a choice.
    pub fn ended(&mut self, choice: &Choice, now: Moment) {
        let (service, version, organisation) = choice.names();
        let key = (service.clone(), version.cloned());
        let organisation = organisation.clone();
        self.queue(&key).ended(&organisation);
        self.ledger.ended(&organisation, now);
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.queues.iter().map(|(_, queue)| queue.len()).sum()
    }

    fn names(&self, want: &Want) -> Option<(Key, name::Organisation)> {
        let service = self.config.services.get(want.service)?.name.clone();
        let version = match want.version {
            Some(version) => Some(self.config.versions.get(version)?.name.clone()),
            None => None,
        };
        let organisation = self.config.organisations.get(want.organisation)?;
        Some(((service, version), organisation.name.clone()))
    }

    fn queue(&mut self, key: &Key) -> &mut Queue<Waiter> {
        sorted::entry(&mut self.queues, key, || {
            let mut queue = Queue::new(self.bound);
            set_shares(&mut queue, &self.config, &self.own, &self.live);
            queue
        })
    }
}

fn set_shares(
    queue: &mut Queue<Waiter>,
    config: &Config,
    own: &name::Instance,
    live: &[name::Instance],
) {
    for organisation in config.organisations.values() {
        let share = reserve::share(&organisation.name, organisation.reserve, own, live);
        queue.set(&organisation.name, organisation.weight, share);
    }
}

/// Whether waiting helps against a reason.
fn passes_in_time(reason: Reason) -> bool {
    matches!(reason, Reason::Full | Reason::Cold | Reason::Failing)
}

fn refuse(shed: Shed<Waiter>) {
    let refusal = Refusal {
        reason: Reason::Full,
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

fn cost(want: &Want) -> u32 {
    let units = want.prompt.0.div_ceil(COST_BYTES).max(1);
    u32::try_from(units).unwrap_or(u32::MAX)
}

/// What the balancer is asked.
pub fn query(want: &Want) -> Query<'_> {
    Query {
        generation: want.generation,
        service: want.service,
        version: want.version,
        organisation: want.organisation,
        prompt: want.prompt,
        prefix: want.prefix,
        demand: want.demand,
        priority: want.priority,
        excluded: &want.excluded,
        regions: want.regions.as_deref(),
        deadline: want.deadline,
    }
}

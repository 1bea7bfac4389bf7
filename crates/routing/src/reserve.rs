//! Reserved capacity: who asked for it, and how much of it was idle or lent.

use crate::hash;
use entity::Moment;
use entity::name;

/// An instance's share of an organisation's reserve.
///
/// The shares of all instances with the same list add up to the reserve; the odd ones go to the
/// instances with the highest rendezvous weights.
pub fn share(
    organisation: &name::Organisation,
    reserve: u32,
    own: &name::Instance,
    live: &[name::Instance],
) -> u32 {
    let count = u32::try_from(live.len().max(1)).expect("few instances");
    let key = hash::text(organisation.as_str());
    let weight = |instance: &name::Instance| {
        (
            hash::weight(key, hash::text(instance.as_str())),
            instance.clone(),
        )
    };
    let mine = weight(own);
    let before = live
        .iter()
        .filter(|instance| weight(instance) > mine)
        .count();
    reserve / count + u32::from((before as u32) < reserve % count)
}

/// What became of one organisation's reserve.
#[derive(Clone, Debug, PartialEq)]
pub struct Usage {
    /// The organisation that asked for it.
    pub organisation: name::Organisation,
    /// Its reserve, in requests at once.
    pub reserve: u32,
    /// Its requests that are running.
    pub running: u32,
    /// Reserve that nobody used, in request-seconds.
    pub idle: f64,
    /// Reserve that others used, in request-seconds.
    pub lent: f64,
}

/// Accounts of all reserves of one pool at one instance.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// By organisation.
    usages: Vec<Usage>,
    /// Requests that may run at once.
    capacity: u32,
    accounted: Moment,
}

impl Ledger {
    /// Accounts without any reserve.
    pub fn new(capacity: u32, now: Moment) -> Self {
        Self {
            usages: Vec::new(),
            capacity,
            accounted: now,
        }
    }

    /// The accounts up to a moment, by organisation.
    pub fn usages(&mut self, now: Moment) -> &[Usage] {
        self.account(now);
        &self.usages
    }

    /// Sets the capacity.
    pub fn resize(&mut self, capacity: u32, now: Moment) {
        self.account(now);
        self.capacity = capacity;
    }

    /// Sets an organisation's reserve.
    pub fn set(&mut self, organisation: &name::Organisation, reserve: u32, now: Moment) {
        self.account(now);
        self.usage(organisation).reserve = reserve;
    }

    /// Ends the reserves of organisations that are not among those named, by a sorted list. What they
    /// used before stays on their accounts.
    pub fn retain(&mut self, organisations: &[&name::Organisation], now: Moment) {
        self.account(now);
        for usage in &mut self.usages {
            if organisations.binary_search(&&usage.organisation).is_err() {
                usage.reserve = 0;
            }
        }
    }

    /// Counts a request that began to run.
    pub fn began(&mut self, organisation: &name::Organisation, now: Moment) {
        self.account(now);
        self.usage(organisation).running += 1;
    }

    /// Counts a request that ended.
    pub fn ended(&mut self, organisation: &name::Organisation, now: Moment) {
        self.account(now);
        let usage = self.usage(organisation);
        assert!(usage.running > 0, "a request ends once");
        usage.running -= 1;
    }

    /// Splits what was reserved and not used by its owner since the last account into lent and
    /// idle. What runs beyond all reserves uses unreserved capacity first, then is lent in
    /// proportion by all owners with something to spare.
    fn account(&mut self, now: Moment) {
        let seconds = now.since(self.accounted).as_secs_f64();
        self.accounted = self.accounted.max(now);
        let spare = |usage: &Usage| usage.reserve.saturating_sub(usage.running);
        let beyond = |usage: &Usage| usage.running.saturating_sub(usage.reserve);
        let reserved: u32 = self.usages.iter().map(|usage| usage.reserve).sum();
        let unreserved = self.capacity.saturating_sub(reserved);
        let spared: u32 = self.usages.iter().map(spare).sum();
        let borrowed: u32 = self.usages.iter().map(beyond).sum();
        if seconds == 0.0 || spared == 0 {
            return;
        }
        let lent = borrowed.saturating_sub(unreserved).min(spared);
        let lent_share = f64::from(lent) / f64::from(spared);
        for usage in &mut self.usages {
            let spare = f64::from(spare(usage)) * seconds;
            usage.lent += spare * lent_share;
            usage.idle += spare * (1.0 - lent_share);
        }
    }

    fn usage(&mut self, organisation: &name::Organisation) -> &mut Usage {
        let found = self
            .usages
            .binary_search_by(|usage| usage.organisation.cmp(organisation));
        let index = found.unwrap_or_else(|index| {
            let usage = Usage {
                organisation: organisation.clone(),
                reserve: 0,
                running: 0,
                idle: 0.0,
                lent: 0.0,
            };
            self.usages.insert(index, usage);
            index
        });
        &mut self.usages[index]
    }
}

//! Reserved capacity of organisations, and accounting of its use, idle time and lending.

use crate::hash;
use entity::Moment;
use entity::name;
use entity::work;

/// Returns an instance's share of an organisation's reserve.
///
/// The shares of all instances that have the same list add up to the reserve. The remainder of the
/// division goes to the instances with the highest rendezvous weights.
pub fn share(
    organisation: &name::Organisation,
    reserve: u32,
    own: &name::Instance,
    live: &[name::Instance],
) -> u32 {
    let count =
        u32::try_from(live.len().max(1)).expect("the number of instances fits into 32 bits");
    let remainder = reserve % count;
    if remainder == 0 {
        return reserve / count;
    }
    work::count(live.len());
    let key = hash::text(organisation.as_str());
    let weight = |instance: &name::Instance| {
        (
            hash::weight(key, hash::text(instance.as_str())),
            instance.clone(),
        )
    };
    let own_weight = weight(own);
    let higher_ranked = live
        .iter()
        .filter(|instance| weight(instance) > own_weight)
        .count();
    reserve / count + u32::from((higher_ranked as u32) < remainder)
}

/// Use of one organisation's reserve.
#[derive(Clone, Debug, PartialEq)]
pub struct Usage {
    /// Organisation that has the reserve.
    pub organisation: name::Organisation,
    /// Reserve, in concurrent requests.
    pub reserve: u32,
    /// Running requests of the organisation.
    pub running: u32,
    /// Reserve that was not used at all, in request-seconds.
    pub idle: f64,
    /// Reserve that other organisations used, in request-seconds.
    pub lent: f64,
}

/// Accounts of all reserves in one pool at one instance.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Sorted by organisation.
    usages: Vec<Usage>,
    /// Number of requests that may run concurrently.
    capacity: u32,
    accounted_until: Moment,
}

impl Ledger {
    /// Creates accounts without any reserve.
    pub fn new(capacity: u32, now: Moment) -> Self {
        Self {
            usages: Vec::new(),
            capacity,
            accounted_until: now,
        }
    }

    /// Returns the accounts up to `now`, sorted by organisation.
    pub fn usages(&mut self, now: Moment) -> &[Usage] {
        self.account(now);
        &self.usages
    }

    /// Sets the number of requests that may run concurrently.
    pub fn resize(&mut self, capacity: u32, now: Moment) {
        self.account(now);
        self.capacity = capacity;
    }

    /// Sets an organisation's reserve.
    pub fn set_reserve(&mut self, organisation: &name::Organisation, reserve: u32, now: Moment) {
        self.account(now);
        self.usage(organisation).reserve = reserve;
    }

    /// Ends the reserves of all organisations that are not in the given sorted list. Their accounts
    /// are kept.
    pub fn retain(&mut self, organisations: &[&name::Organisation], now: Moment) {
        self.account(now);
        for usage in &mut self.usages {
            if organisations.binary_search(&&usage.organisation).is_err() {
                usage.reserve = 0;
            }
        }
    }

    /// Records that a request started to run.
    pub fn record_start(&mut self, organisation: &name::Organisation, now: Moment) {
        self.account(now);
        self.usage(organisation).running += 1;
    }

    /// Records that a request ended.
    pub fn record_end(&mut self, organisation: &name::Organisation, now: Moment) {
        self.account(now);
        let usage = self.usage(organisation);
        assert!(usage.running > 0, "a request ends at most once");
        usage.running -= 1;
    }

    /// Splits the reserve that its owners left unused since the last call into lent and idle.
    /// Requests beyond all reserves use unreserved capacity first; the rest is lent by all owners
    /// with spare reserve, in proportion to it.
    fn account(&mut self, now: Moment) {
        let seconds = now.since(self.accounted_until).as_secs_f64();
        self.accounted_until = self.accounted_until.max(now);
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

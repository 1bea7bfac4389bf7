//! Room at upstreams that report no load, for an instance that shares them with many others.
//!
//! Each instance may always run its share of an upstream's limit. Beyond that, it borrows what the
//! announcements of its peers show to be unused. Announcements lag, so that several instances may
//! borrow the same room; [`loan_bound`] limits what they all borrow between two announcements.

/// Requests that an instance may borrow over all upstreams of a pool, whatever its part of the
/// spare room.
const MIN_LOANS: u32 = 2;

/// Largest ratio of the number of peers to those whose announcements count. With fewer, too little
/// is known of the others for borrowing, and a single announcement would weigh too much.
const MAX_SCALE: f64 = 4.0;

/// Peers whose announcements count now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Number of peers with a recent announcement.
    pub heard: usize,
    /// Number of peers.
    pub known: usize,
}

impl Coverage {
    /// Returns the factor from what was heard to what all peers run; none if too few were heard.
    pub fn scale(self) -> Option<f64> {
        if self.heard == 0 {
            return None;
        }
        let scale = (self.known as f64 / self.heard as f64).max(1.0);
        (scale <= MAX_SCALE).then_some(scale)
    }
}

/// Requests of the peers at one upstream, as announced.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Crowd {
    /// Requests, each peer's bounded by the upstream's limit.
    pub running: f64,
    /// Number of peers that run more than one, which is the smallest share.
    pub borrowers: f64,
}

/// What one instance knows of one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sight {
    /// Requests that the upstream runs at once, less what is kept for more urgent ones.
    pub limit: u32,
    /// Share of this instance in the limit; at least 1.
    pub share: u32,
    /// Requests of this instance that run there.
    pub own: u32,
    /// Requests of the peers whose announcements count.
    pub crowd: Crowd,
    /// Whether it accepts requests of this kind now.
    pub usable: bool,
}

impl Sight {
    fn loans(&self) -> u32 {
        self.own.saturating_sub(self.share)
    }
}

/// Room of one pool of upstreams beyond this instance's shares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    coverage: Coverage,
    /// Factor from what was heard to what all peers run; 0 if nothing may be borrowed.
    scale: f64,
    /// Requests that this instance may still borrow.
    loans: u32,
}

impl Room {
    /// Computes the room of a pool that `sharers` instances share.
    pub fn new(coverage: Coverage, sharers: u32, sights: impl Iterator<Item = Sight>) -> Self {
        let Some(scale) = coverage.scale() else {
            return Self::default();
        };
        let (mut spare, mut borrowers, mut borrowed) = (0.0, 0.0_f64, 0);
        for sight in sights {
            borrowed += sight.loans();
            if !sight.usable {
                continue;
            }
            spare += (f64::from(sight.limit) - used(scale, &sight)).max(0.0);
            borrowers = borrowers.max(scale * sight.crowd.borrowers);
        }
        let entitled = (2.0 * spare / (borrowers + 1.0)).ceil() as u32;
        let allowed = entitled.min(loan_bound(spare, sharers));
        Self {
            coverage,
            scale,
            loans: allowed.saturating_sub(borrowed),
        }
    }

    /// Returns whether one more request may be sent to an upstream at which this instance runs its
    /// share.
    pub fn lends(&self, sight: &Sight) -> bool {
        self.loans > 0 && sight.usable && used(self.scale, sight) < f64::from(sight.limit)
    }

    /// Returns the peers on whose announcements the room is based.
    pub fn coverage(&self) -> Coverage {
        self.coverage
    }

    /// Returns whether enough peers were heard to know what they run.
    pub fn is_known(&self) -> bool {
        self.scale > 0.0
    }

    /// Returns the estimated requests of the peers at an upstream.
    pub fn others(&self, sight: &Sight) -> f64 {
        self.scale * sight.crowd.running
    }
}

/// Returns the requests that certainly run at an upstream: the estimate less its standard deviation,
/// as of a count of independent requests of which one in `scale` was heard. A slot that is left idle
/// costs a caller its wait, while a request too many only waits at the upstream instead.
fn used(scale: f64, sight: &Sight) -> f64 {
    let others = scale * sight.crowd.running;
    (others - (scale * others).sqrt()).max(0.0) + f64::from(sight.own)
}

/// Returns the largest number of requests that one instance may borrow over a pool with `spare`
/// unused room. All `sharers` together borrow at most `max(2 * sharers, 2 * spare + sharers)`, even
/// if all begin at once.
pub fn loan_bound(spare: f64, sharers: u32) -> u32 {
    let part = (2.0 * spare / f64::from(sharers.max(1))).ceil() as u32;
    part.max(MIN_LOANS)
}

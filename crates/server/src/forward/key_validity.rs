//! Expiry of API keys whose configuration was not confirmed recently.

use entity::{Moment, Span};
use nix::time::{ClockId, clock_gettime};
use std::sync::atomic::{AtomicU64, Ordering};

/// Time by which keys expire before the configured TTL. It covers the time from the check to the
/// dispatch and the drift between the clocks of two machines within the TTL.
const EXPIRY_MARGIN: Span = Span::from_millis(400);

/// Returns the time since the machine booted, including time spent suspended.
///
/// The monotonic clock stops while a machine is suspended, and the wall clock can jump.
pub fn boot_time() -> Moment {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let time = time.expect("Linux has had this clock since 2.6.39");
    Moment(time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1000)
}

/// How long API keys stay valid after a read last confirmed that the configuration is the newest.
#[derive(Debug)]
pub struct KeyValidity {
    /// TTL in microseconds; [`FOREVER`] where keys never expire.
    ttl: AtomicU64,
}

/// Share of the TTL after which the instance reports that it is not ready. The load balancer takes
/// an instance out two seconds after that, which must happen before keys are refused.
const NEAR_EXPIRY_SHARE: f64 = 0.56;

/// Value of a TTL, in place of a number of microseconds, that never ends.
const FOREVER: u64 = u64::MAX;

impl KeyValidity {
    /// Creates a validity with a TTL; `None` keeps keys valid for ever.
    pub fn new(ttl: Option<Span>) -> Self {
        Self {
            ttl: AtomicU64::new(micros(ttl)),
        }
    }

    /// Replaces the TTL.
    pub fn set_ttl(&self, ttl: Option<Span>) {
        self.ttl.store(micros(ttl), Ordering::Relaxed);
    }

    /// Returns whether keys of this age are close to expiry, or were never read, so that new
    /// callers should use another instance.
    pub fn is_near_expiry(&self, age: Option<Span>) -> bool {
        let ttl = self.ttl.load(Ordering::Relaxed);
        let Some(age) = age else {
            return true;
        };
        ttl != FOREVER && age.as_micros() as f64 > ttl as f64 * NEAR_EXPIRY_SHARE
    }

    /// Returns whether keys of this age are valid; `None` is a configuration that was never read.
    pub fn is_valid(&self, age: Option<Span>) -> bool {
        let Some(age) = age else {
            return false;
        };
        let ttl = self.ttl.load(Ordering::Relaxed);
        ttl == FOREVER || (age + EXPIRY_MARGIN).as_micros() < ttl
    }
}

fn micros(ttl: Option<Span>) -> u64 {
    ttl.map_or(FOREVER, Span::as_micros)
}

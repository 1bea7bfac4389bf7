//! How old the configuration is that an instance goes by.

use entity::{Moment, Span};
use nix::time::{ClockId, clock_gettime};
use std::sync::atomic::{AtomicU64, Ordering};

/// By how much a belief is given up earlier than agreed: the time from the check to the dispatch,
/// and what clocks of two machines drift apart within the bound.
const MARGIN: Span = Span::from_millis(400);

/// The time since the machine was started, with that of suspensions.
///
/// The monotonic clock stands still while a machine is suspended, and the time of day jumps.
pub fn boot_time() -> Moment {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let time = time.expect("Linux has had this clock since 2.6.39");
    Moment(time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1000)
}

/// How long keys are taken to be valid after the configuration was last known to be the newest.
#[derive(Debug)]
pub struct Belief {
    /// Microseconds; [`FOREVER`] where a belief is never given up.
    life: AtomicU64,
}

/// Share of its life after which a belief wanes: the balancer takes an instance out two seconds after
/// it is no longer ready.
const WANING: f64 = 0.56;

/// Stands for a belief that is never given up.
const FOREVER: u64 = u64::MAX;

impl Belief {
    /// A belief that is given up `life` after it was last confirmed, if ever.
    pub fn new(life: Option<Span>) -> Self {
        Self {
            life: AtomicU64::new(micros(life)),
        }
    }

    /// Gives the belief up after another time.
    pub fn set_life(&self, life: Option<Span>) {
        self.life.store(micros(life), Ordering::Relaxed);
    }

    /// Whether new callers had better go elsewhere: keys will soon have to be refused.
    pub fn wanes(&self, age: Option<Span>) -> bool {
        let life = self.life.load(Ordering::Relaxed);
        let Some(age) = age else {
            return true;
        };
        life != FOREVER && age.as_micros() as f64 > life as f64 * WANING
    }

    /// Whether keys may still be taken to be valid.
    pub fn holds(&self, age: Option<Span>) -> bool {
        let Some(age) = age else {
            return false;
        };
        let life = self.life.load(Ordering::Relaxed);
        life == FOREVER || (age + MARGIN).as_micros() < life
    }
}

fn micros(life: Option<Span>) -> u64 {
    life.map_or(FOREVER, Span::as_micros)
}

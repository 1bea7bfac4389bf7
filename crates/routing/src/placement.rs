//! Choice among upstreams that report no load, by the wait that is to be expected there.

use entity::Moment;
use entity::time::Span;

/// Service time that is assumed before the first answer of any upstream of a pool.
const DEFAULT_SERVICE_TIME: Span = Span::from_millis(50);

/// Bounds of a learned service time.
const MIN_SERVICE_TIME: Span = Span::from_millis(1);
const MAX_SERVICE_TIME: Span = Span::from_secs(10);

/// Quantile of the answers' times that is taken as service time: low, so that waiting at the
/// upstream is left out.
const SERVICE_QUANTILE: f64 = 0.25;

/// Relative step by which the estimate of the quantile follows the newest answer.
const QUANTILE_STEP: f64 = 0.1;

/// Age from which a learned service time no longer counts.
const SERVICE_TIME_TTL: Span = Span::from_secs(30);

/// Utilisation above which the wait grows linearly.
const MAX_UTILISATION: f64 = 0.9;

/// Difference between two expected waits, in service times, below which they count as equal.
const EQUAL_WAIT_SHARE: f64 = 0.1;

/// Service time of an upstream, learned from its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTime {
    /// Estimate of the quantile, in microseconds, and the time of the newest answer.
    learned: Option<(f64, Moment)>,
}

impl ServiceTime {
    /// Records the time from a dispatch to its whole answer.
    pub fn record(&mut self, time: Span, now: Moment) {
        let bounds = (
            MIN_SERVICE_TIME.as_secs_f64(),
            MAX_SERVICE_TIME.as_secs_f64(),
        );
        let sample = time.as_secs_f64().clamp(bounds.0, bounds.1);
        let estimate = match self.get(now) {
            None => sample,
            Some(known) if sample > known => {
                (known * (1.0 + QUANTILE_STEP * SERVICE_QUANTILE)).min(sample)
            }
            Some(known) => (known * (1.0 - QUANTILE_STEP * (1.0 - SERVICE_QUANTILE))).max(sample),
        };
        self.learned = Some((estimate, now));
    }

    /// Returns the service time, in seconds; none if no recent answer is known.
    pub fn get(&self, now: Moment) -> Option<f64> {
        let (estimate, at) = self.learned?;
        (now.since(at) < SERVICE_TIME_TTL).then_some(estimate)
    }
}

/// An upstream that may take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// Requests that the upstream runs at once.
    pub limit: f64,
    /// Estimated requests of all instances there.
    pub running: f64,
    /// Service time, in seconds; none if not known.
    pub service_time: Option<f64>,
    /// Whether the upstream is in the instance's availability zone.
    pub is_local: bool,
    /// Whether the instance's last request there failed: it may be idle because it fails for all.
    pub is_doubtful: bool,
    /// Whether it refused the last request that it answered.
    pub was_refused: bool,
}

/// Returns the index of the upstream with the least expected wait. Among nearly equal ones, those that
/// refused nothing and those in the own zone come first, and `random` picks one, so that instances with equal views differ.
pub fn choose(places: &[Place], random: u64) -> Option<usize> {
    let known = places.iter().filter_map(|place| place.service_time);
    let usual = median(known.collect());
    let mut waits = Vec::with_capacity(places.len());
    for place in places {
        // An upstream that fails at once is quicker than the others, which must not attract requests.
        let service_time = place.service_time.unwrap_or(usual).max(usual);
        waits.push(total_time(place, service_time));
    }
    let sound = places.iter().zip(&waits);
    let sound: Vec<f64> = sound
        .filter(|(place, _)| !place.is_doubtful)
        .map(|(_, &wait)| wait)
        .collect();
    let mean = sound.iter().sum::<f64>() / sound.len().max(1) as f64;
    for (place, wait) in places.iter().zip(&mut waits) {
        if place.is_doubtful {
            *wait = wait.max(mean);
        }
    }
    let least = waits.iter().copied().min_by(f64::total_cmp)?;
    let limit = least + EQUAL_WAIT_SHARE * usual;
    let mut equal: Vec<usize> = (0..places.len())
        .filter(|&index| waits[index] <= limit)
        .collect();
    // A full upstream looks empty to those that it refuses.
    if equal.iter().any(|&index| !places[index].was_refused) {
        equal.retain(|&index| !places[index].was_refused);
    }
    if equal.iter().any(|&index| places[index].is_local) {
        equal.retain(|&index| places[index].is_local);
    }
    let pick = random % equal.len() as u64;
    Some(equal[pick as usize])
}

/// Returns the lower median of the service times of a pool, in seconds.
fn median(mut known: Vec<f64>) -> f64 {
    known.sort_by(f64::total_cmp);
    let middle = known.len().saturating_sub(1) / 2;
    let median = known.get(middle).copied();
    median.unwrap_or(DEFAULT_SERVICE_TIME.as_secs_f64())
}

/// Returns the expected time to the answer, in seconds: the service time and the mean wait of a
/// queue with several servers (Sakasegawa, 1977).
fn total_time(place: &Place, service_time: f64) -> f64 {
    let slots = place.limit.max(1.0);
    let utilisation = place.running / slots;
    let bounded = utilisation.min(MAX_UTILISATION);
    let exponent = (2.0 * (slots + 1.0)).sqrt() - 1.0;
    let wait = bounded.powf(exponent) / (slots * (1.0 - bounded));
    let backlog = utilisation - bounded;
    service_time * (1.0 + wait + backlog)
}

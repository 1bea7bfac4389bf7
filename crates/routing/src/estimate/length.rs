//! Output lengths of requests by kind.
//!
//! A caller announces the maximum length of an answer and may give a hint. Both are often far off, so
//! the ratio of the length to them is learned for each kind of request.

use entity::Moment;
use entity::time::Span;

/// Largest number of kinds. The one whose last answer is the oldest is dropped.
const MAX_KINDS: usize = 64;

/// Largest number of organisations with a histogram of their own, for each kind.
const MAX_ORGANISATIONS: usize = 6;

/// Largest share of an organisation in the estimate of a kind that others use as well.
const MAX_ORGANISATION_SHARE: f64 = 1.0 / 3.0;

/// Weight of the default, in answers.
const DEFAULT_WEIGHT: f64 = 2.0;

/// Time after which an answer counts half.
const HALF_LIFE: Span = Span::from_secs(60);

/// Buckets for each doubling of the ratio.
const BUCKETS_PER_OCTAVE: f64 = 3.0;

/// Doublings below and above a ratio of 1 that have buckets.
const OCTAVES: f64 = 8.0;

/// Number of buckets.
const BUCKET_COUNT: usize = (2.0 * OCTAVES * BUCKETS_PER_OCTAVE) as usize + 1;

/// Ratio that is assumed where a caller gave only the maximum.
const DEFAULT_SHARE_OF_MAXIMUM: f64 = 0.5;

/// Ratio of the ninetieth percentile to the median that is assumed before the first answer.
const DEFAULT_SPREAD: f64 = 2.0;

/// What a request says of the length of its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Kind of the request, which says which answers are alike.
    pub kind: u64,
    /// Hash of the organisation that pays.
    pub organisation: u64,
    /// Maximum length, in tokens.
    pub max: u32,
    /// The caller's own estimate, in tokens.
    pub hint: Option<u32>,
}

impl Claim {
    /// Returns the length, in tokens, that ratios of this kind refer to, and the kind.
    fn base(&self) -> (f64, u64) {
        match self.hint {
            Some(hint) => (f64::from(hint.clamp(1, self.max.max(1))), self.kind),
            None => (f64::from(self.max.max(1)), !self.kind),
        }
    }
}

/// Expected length of an answer, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Length {
    /// Median.
    pub median: f64,
    /// Ninetieth percentile.
    pub high: f64,
}

/// Decayed counts of ratios, on a logarithmic scale.
#[derive(Clone, Debug)]
struct Histogram {
    organisation: u64,
    counts: [f32; BUCKET_COUNT],
    total: f64,
    updated: Moment,
}

#[derive(Clone, Debug)]
struct Kind {
    id: u64,
    updated: Moment,
    histograms: Vec<Histogram>,
}

/// Output lengths of all kinds.
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    /// Sorted by id.
    kinds: Vec<Kind>,
}

impl Histogram {
    fn decay(&mut self, now: Moment) {
        let factor = decay(now.since(self.updated), HALF_LIFE);
        for count in &mut self.counts {
            *count *= factor as f32;
        }
        self.total *= factor;
        self.updated = self.updated.max(now);
    }
}

/// Returns the factor on the weight of an observation of a given age.
pub(crate) fn decay(age: Span, half_life: Span) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

fn bucket(ratio: f64) -> usize {
    let position = (ratio.log2() + OCTAVES) * BUCKETS_PER_OCTAVE;
    position.round().clamp(0.0, (BUCKET_COUNT - 1) as f64) as usize
}

fn ratio(bucket: usize) -> f64 {
    (bucket as f64 / BUCKETS_PER_OCTAVE - OCTAVES).exp2()
}

impl Lengths {
    /// Records the length of a complete answer, in tokens.
    pub fn record(&mut self, claim: &Claim, length: u32, now: Moment) {
        let (base, id) = claim.base();
        let kind = self.kind(id, now);
        let organisation = claim.organisation;
        let found = kind
            .histograms
            .iter()
            .position(|one| one.organisation == organisation);
        let index = found.unwrap_or_else(|| {
            if kind.histograms.len() == MAX_ORGANISATIONS {
                let oldest = (0..MAX_ORGANISATIONS).min_by_key(|&one| kind.histograms[one].updated);
                kind.histograms.swap_remove(oldest.unwrap_or_default());
            }
            kind.histograms.push(Histogram {
                organisation,
                counts: [0.0; BUCKET_COUNT],
                total: 0.0,
                updated: now,
            });
            kind.histograms.len() - 1
        });
        let histogram = &mut kind.histograms[index];
        histogram.decay(now);
        histogram.counts[bucket(f64::from(length.max(1)) / base)] += 1.0;
        histogram.total += 1.0;
    }

    /// Returns the expected length of an answer.
    pub fn expect(&self, claim: &Claim, now: Moment) -> Length {
        let (base, id) = claim.base();
        let found = self.kinds.binary_search_by_key(&id, |kind| kind.id);
        let histograms = found.map_or(&[][..], |index| &self.kinds[index].histograms);
        let default = match claim.hint {
            Some(_) => 1.0,
            None => DEFAULT_SHARE_OF_MAXIMUM,
        };
        let mut counts = [0.0; BUCKET_COUNT];
        counts[bucket(default)] += DEFAULT_WEIGHT * 0.8;
        counts[bucket(default * DEFAULT_SPREAD)] += DEFAULT_WEIGHT * 0.2;
        let age = |one: &Histogram| decay(now.since(one.updated), HALF_LIFE);
        let total: f64 = histograms.iter().map(|one| one.total * age(one)).sum();
        for histogram in histograms {
            let own = histogram.total * age(histogram);
            let others = total - own;
            let most = others * MAX_ORGANISATION_SHARE / (1.0 - MAX_ORGANISATION_SHARE);
            let share = if histograms.len() > 1 {
                (most / own.max(f64::MIN_POSITIVE)).min(1.0)
            } else {
                1.0
            };
            for (sum, count) in counts.iter_mut().zip(&histogram.counts) {
                *sum += share * age(histogram) * f64::from(*count);
            }
        }
        let max = f64::from(claim.max.max(1));
        let length = |share| (base * ratio(quantile(&counts, share))).clamp(1.0, max);
        Length {
            median: length(0.5),
            high: length(0.9),
        }
    }

    /// Returns the number of kinds that are kept.
    pub fn len(&self) -> usize {
        self.kinds.len()
    }

    /// Returns whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    fn kind(&mut self, id: u64, now: Moment) -> &mut Kind {
        let found = self.kinds.binary_search_by_key(&id, |kind| kind.id);
        let index = found.unwrap_or_else(|_| {
            if self.kinds.len() == MAX_KINDS {
                let oldest = (0..MAX_KINDS).min_by_key(|&index| self.kinds[index].updated);
                self.kinds.remove(oldest.unwrap_or_default());
            }
            let index = self.kinds.partition_point(|kind| kind.id < id);
            let kind = Kind {
                id,
                updated: now,
                histograms: Vec::new(),
            };
            self.kinds.insert(index, kind);
            index
        });
        let kind = &mut self.kinds[index];
        kind.updated = kind.updated.max(now);
        kind
    }
}

/// Returns the position of a quantile among the buckets.
fn quantile(counts: &[f64; BUCKET_COUNT], share: f64) -> usize {
    let wanted = share * counts.iter().sum::<f64>();
    let mut sum = 0.0;
    for (index, count) in counts.iter().enumerate() {
        sum += count;
        if sum >= wanted && *count > 0.0 {
            return index;
        }
    }
    BUCKET_COUNT - 1
}

//! What one instance knows of parts that end upstreams.
//!
//! A part is a part of a prompt or a whole request, by the policy.

use crate::evidence::{Crash, Evidence, Extent, Probe, Progress, Rebuttal, Victim, Weight};
use crate::part::Part;
use crate::policy::Policy;
use crate::soundness::{SOUND_TTL, Soundness};
use entity::{Moment, Span, sorted, work};

/// Time after the last crash for which evidence that is not enough is kept.
const SUSPICION_TTL: Span = Span::from_secs(600);
/// Time after which twice as many instances may probe a part as before.
const PROBE_STAGGER: Span = Span::from_secs(5);
/// Time for which a probe is told, and within which a probe that is told is the one that is known.
const PROBE_TIME: Span = Span::from_secs(10);
/// Time after the end of the hold for which a part is remembered that nobody probes.
const PROBE_PERIOD: Span = Span::from_secs(600);
/// Time for which news are told to peers.
const TELL_TIME: Span = Span::from_millis(2500);
/// Largest number of rebuttals that are kept to be told.
const MAX_REBUTTALS: usize = 64;
/// Largest number of sound parts that are kept.
const MAX_SOUND: usize = 2048;
/// Largest number of suspects, and of rebuttals, in one message to a peer.
const MAX_TOLD: usize = 16;

/// Why a request must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The part that ends upstreams.
    pub part: Part,
    /// Number of upstreams that it ended.
    pub victims: usize,
    /// Time of the last end.
    pub last: Moment,
    /// Time before which it is certainly not sent.
    pub until: Moment,
}

/// A part against which there is evidence.
#[derive(Clone, Debug)]
struct Suspect {
    evidence: Evidence,
    /// When something new was learned.
    changed_at: Moment,
    /// When an instance last sent a request with the part although it was held.
    probed_at: Option<Moment>,
}

impl Suspect {
    fn new(policy: Policy, now: Moment) -> Self {
        Self {
            evidence: Evidence::new(policy),
            changed_at: now,
            probed_at: None,
        }
    }

    /// Returns the end of the time for which the part is held back everywhere.
    fn hold_end(&self) -> Moment {
        self.evidence.hold_end(self.probed_at)
    }

    /// Returns when the part is forgotten.
    fn end(&self) -> Moment {
        if self.evidence.is_enough() {
            self.hold_end() + PROBE_PERIOD
        } else {
            self.evidence.last().unwrap_or_default() + SUSPICION_TTL
        }
    }

    /// Returns the time before which an instance of a rank among the probers doesn't send the part; none
    /// if it may now.
    fn held_until(&self, rank: Option<usize>, now: Moment) -> Option<Moment> {
        if !self.evidence.is_enough() {
            return None;
        }
        let stagger = match rank {
            Some(rank) => PROBE_STAGGER.scaled(((rank + 1) as f64).log2()),
            None => PROBE_PERIOD,
        };
        let until = self.hold_end() + stagger;
        (now < until).then_some(until)
    }
}

/// Suspects, and parts that are known to be sound.
#[derive(Clone, Debug)]
pub struct Quarantine {
    policy: Policy,
    /// Sorted by part.
    suspects: Vec<(Part, Suspect)>,
    /// What answers to prompts with the part show, sorted by part.
    sound: Vec<(Part, Soundness)>,
    /// Rebuttals to tell, and since when, sorted by part.
    rebuttals: Vec<(Part, (Rebuttal, Moment))>,
    /// Rank of this instance among those that probe held parts; none if it isn't known.
    rank: Option<usize>,
}

impl Quarantine {
    /// Creates a quarantine that knows nothing.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            suspects: Vec::new(),
            sound: Vec::new(),
            rebuttals: Vec::new(),
            rank: None,
        }
    }

    /// Records that an upstream ended which had a request with a fingerprint. Returns whether the
    /// request is held back by it and was not before.
    pub fn record_end(
        &mut self,
        request: Part,
        victim: Victim,
        progress: Progress,
        now: Moment,
    ) -> bool {
        !self
            .record_crash(&[request], victim, progress, now)
            .is_empty()
    }

    /// Records that an upstream ended which had a prompt with the shared `parts`. Returns the parts that are
    /// held back by it and were not before.
    pub fn record_crash(
        &mut self,
        parts: &[Part],
        victim: Victim,
        progress: Progress,
        now: Moment,
    ) -> Vec<Part> {
        self.expire(now);
        let mut held = Vec::new();
        for &part in parts {
            let crash = Crash {
                part,
                victim,
                weight: Weight::of(progress),
                at: now,
                since_begun: progress.elapsed(),
                is_late: progress.is_late(),
            };
            if self.add(crash, now) {
                held.push(part);
            }
        }
        held
    }

    /// Records how far an answer to a prompt with these parts came, of which the upstream didn't end. Returns
    /// the parts that are no longer held back.
    pub fn record_sound(&mut self, parts: &[Part], extent: Extent, now: Moment) -> Vec<Part> {
        let mut cleared = Vec::new();
        for &part in parts {
            let at = now;
            if self.rebut(Rebuttal { part, at, extent }, now) {
                cleared.push(part);
            }
        }
        cleared
    }

    /// Records crashes that a peer told. Returns the parts that are held back by them and were not
    /// before.
    pub fn receive_crashes(&mut self, crashes: &[Crash], now: Moment) -> Vec<Part> {
        self.expire(now);
        let mut held = Vec::new();
        for &crash in crashes {
            if let Some(rebuttal) = self.rebuttal(&crash) {
                self.tell_rebuttal(rebuttal, now);
                continue;
            }
            if self.add(crash, now) {
                held.push(crash.part);
            }
        }
        held
    }

    /// Records a rebuttal that a peer told. Returns whether the part is no longer held back by it.
    pub fn receive_rebuttal(&mut self, rebuttal: Rebuttal, now: Moment) -> bool {
        self.rebut(rebuttal, now)
    }

    /// Returns why a request with the shared `parts` must not be sent; none if it may be.
    pub fn find(&self, parts: &[Part], now: Moment) -> Option<Hold> {
        if self.suspects.is_empty() {
            return None;
        }
        for &part in parts {
            let Some(suspect) = self.suspect(part) else {
                continue;
            };
            let Some(until) = suspect.held_until(self.rank, now) else {
                continue;
            };
            if !self.is_guilty(part, parts) {
                continue;
            }
            return Some(Hold {
                part,
                victims: suspect.evidence.crashes().len(),
                last: suspect.evidence.last().unwrap_or_default(),
                until,
            });
        }
        None
    }

    /// Records that a request with the shared `parts` is sent, which is a probe of those that were held
    /// back. Returns whether one of them is suspected, so that the answer is evidence and must be read.
    pub fn record_dispatch(&mut self, parts: &[Part], now: Moment) -> bool {
        let mut is_suspected = false;
        work::count(parts.len());
        for &part in parts {
            let Some(index) = self.position(part) else {
                continue;
            };
            is_suspected = true;
            let suspect = &mut self.suspects[index].1;
            if suspect.evidence.is_enough() {
                suspect.probed_at = Some(now);
            }
        }
        is_suspected
    }

    /// Records a probe that a peer told. Each time that it is told on, its time seems a little later, so
    /// that one soon after a known probe is the same.
    pub fn receive_probe(&mut self, probe: Probe) {
        let Some(index) = self.position(probe.part) else {
            return;
        };
        let known = &mut self.suspects[index].1.probed_at;
        if known.is_none_or(|known| probe.at >= known + PROBE_TIME) {
            *known = Some(probe.at);
        }
    }

    /// Returns the probes to tell to peers.
    pub fn probes(&self, now: Moment) -> Vec<Probe> {
        let mut probes = Vec::new();
        for (part, suspect) in &self.suspects {
            let Some(at) = suspect.probed_at else {
                continue;
            };
            if now.since(at) < PROBE_TIME {
                probes.push(Probe { part: *part, at });
            }
        }
        probes
    }

    /// Sets the rank of this instance among those that probe held parts, in the order in which they
    /// do; none if it isn't known.
    pub fn set_rank(&mut self, rank: Option<usize>) {
        self.rank = rank;
    }

    /// Returns the crashes to tell to peers: those of held parts, and those that are news.
    pub fn crashes(&self, now: Moment) -> Vec<Crash> {
        let is_told = |suspect: &Suspect| {
            suspect.evidence.is_enough() || now.since(suspect.changed_at) < TELL_TIME
        };
        let mut told: Vec<&Suspect> = self
            .suspects
            .iter()
            .map(|(_, suspect)| suspect)
            .filter(|suspect| is_told(suspect))
            .collect();
        told.sort_by_cached_key(|suspect| {
            std::cmp::Reverse((suspect.evidence.weight(), suspect.changed_at))
        });
        told.truncate(MAX_TOLD);
        let crashes = told.iter().flat_map(|suspect| suspect.evidence.crashes());
        crashes.copied().collect()
    }

    /// Returns the rebuttals to tell to peers.
    pub fn rebuttals(&self, now: Moment) -> Vec<Rebuttal> {
        let news = self.rebuttals.iter().map(|(_, told)| told);
        let news = news.filter(|(_, since)| now.since(*since) < TELL_TIME);
        news.map(|(rebuttal, _)| *rebuttal).take(MAX_TOLD).collect()
    }

    fn position(&self, part: Part) -> Option<usize> {
        let found = self
            .suspects
            .binary_search_by_key(&part, |(known, _)| *known);
        found.ok()
    }

    fn suspect(&self, part: Part) -> Option<&Suspect> {
        self.position(part).map(|index| &self.suspects[index].1)
    }

    /// Returns whether there is enough evidence against a part of a prompt, some of which no held part
    /// outside of the prompt explains.
    fn is_guilty(&self, part: Part, parts: &[Part]) -> bool {
        let Some(suspect) = self.suspect(part) else {
            return false;
        };
        work::count(self.suspects.len());
        let weight = suspect.evidence.weight();
        let others: Vec<&Evidence> = self
            .suspects
            .iter()
            .filter(|(other, known)| !parts.contains(other) && known.evidence.is_enough())
            .map(|(_, known)| &known.evidence)
            .filter(|known| self.policy.can_explain(known.weight(), weight))
            .collect();
        let is_explained = |crash: &Crash| others.iter().any(|one| one.has_victim(crash.victim));
        let unexplained = suspect.evidence.weight_of(|crash| !is_explained(crash));
        suspect.evidence.is_enough() && unexplained >= Weight::STRONG
    }

    /// Adds a crash, unless the part is known to be sound. Returns whether the part is held back by
    /// it and was not before.
    fn add(&mut self, crash: Crash, now: Moment) -> bool {
        if self.rebuttal(&crash).is_some() {
            return false;
        }
        self.make_room(crash.part);
        let policy = self.policy;
        let new = || Suspect::new(policy, now);
        let suspect = sorted::entry(&mut self.suspects, &crash.part, new);
        let was_enough = suspect.evidence.is_enough();
        if suspect.evidence.add(crash) {
            suspect.changed_at = now;
        }
        !was_enough && suspect.evidence.is_enough()
    }

    /// Drops the suspect with the least evidence if there is no room for another one.
    fn make_room(&mut self, part: Part) {
        if self.suspects.len() < self.policy.max_suspects || self.suspect(part).is_some() {
            return;
        }
        let order = |(_, suspect): &(usize, &(Part, Suspect))| {
            (suspect.1.evidence.weight(), suspect.1.changed_at)
        };
        let least = self.suspects.iter().enumerate().min_by_key(order);
        let index = least.map(|(index, _)| index).unwrap_or_default();
        self.suspects.remove(index);
    }

    /// Records that a part is sound, which voids crashes up to a while later. Returns whether the part is no
    /// longer held back by it.
    fn rebut(&mut self, rebuttal: Rebuttal, now: Moment) -> bool {
        let Rebuttal { part, at, extent } = rebuttal;
        if self.sound.len() >= MAX_SOUND {
            self.forget_half_of_sound();
        }
        let new = || Soundness::new(rebuttal);
        sorted::entry(&mut self.sound, &part, new).add(rebuttal);
        let Some(index) = self.position(part) else {
            return false;
        };
        let evidence = &mut self.suspects[index].1.evidence;
        let (before, was_enough) = (evidence.crashes().len(), evidence.is_enough());
        evidence.clear_until(at + SOUND_TTL, extent);
        let is_news = evidence.crashes().len() < before;
        let is_released = was_enough && !evidence.is_enough();
        if evidence.crashes().is_empty() {
            self.suspects.remove(index);
        }
        if is_news {
            self.tell_rebuttal(rebuttal, now);
        }
        is_released
    }

    /// Drops the half of the sound parts that was sound longest ago.
    fn forget_half_of_sound(&mut self) {
        let mut times: Vec<Moment> = self.sound.iter().map(|(_, sound)| sound.last()).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.sound.retain(|(_, sound)| sound.last() > median);
    }

    fn tell_rebuttal(&mut self, rebuttal: Rebuttal, now: Moment) {
        self.rebuttals
            .retain(|(_, (_, since))| now.since(*since) < TELL_TIME);
        if self.rebuttals.len() >= MAX_REBUTTALS {
            return;
        }
        let told = sorted::entry(&mut self.rebuttals, &rebuttal.part, || (rebuttal, now));
        if rebuttal.extent >= told.0.extent {
            *told = (rebuttal, now);
        }
    }

    /// Returns the answer that voids a crash; none if there was none.
    fn rebuttal(&self, crash: &Crash) -> Option<Rebuttal> {
        let found = self
            .sound
            .binary_search_by_key(&crash.part, |(known, _)| *known);
        self.sound[found.ok()?].1.rebuttal(crash)
    }

    fn expire(&mut self, now: Moment) {
        self.suspects.retain(|(_, suspect)| now < suspect.end());
    }
}

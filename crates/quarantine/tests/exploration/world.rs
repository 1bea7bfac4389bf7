//! Callers with sound and bad prompts, instances that exchange evidence, and upstreams that bad
//! prompts end.

use crate::support::News;
use entity::{Moment, Span};
use quarantine::{Part, Policy, Quarantine, SOUND_TIME, Victim};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Span = Span::from_millis(20);
const STEP_COUNT: u64 = 1400;
const INSTANCE_COUNT: usize = 6;
const UPSTREAM_COUNT: usize = 14;
/// Time that an upstream needs to start again.
const RESTART_TIME: Span = Span::from_secs(3);
/// Time after the fifth crash, or after a fault of an instance, from which it is bound.
const STABILITY_TIME: Span = Span::from_secs(3);
/// Largest number of upstreams that run a request.
const MAX_RUNS: u32 = 3;
/// Crashes after which bad prompts must stop.
const CRASHES: usize = 5;
/// Bad prompts that may still be sent then.
const MAX_LATE: usize = 3;
/// Least number of sound prompts with a part that tell something.
const LEAST_SOUND: usize = 20;
/// The two bad parts.
const BAD: [Part; 2] = [Part(900), Part(901)];
/// A part that each bad prompt has, and few sound ones.
const COMPANION: Part = Part(100);
/// Step from which sound prompts with that part come, long after the first bad ones.
const COMPANION_STEP: u64 = 400;

/// A guard that is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    None,
    /// Instances tell each other nothing.
    NothingTold,
    /// Answers that go on are not recorded.
    NoRebuttal,
    /// Each part has victims of its own, so that none explains another.
    NoExplanation,
}

#[derive(Clone)]
struct Prompt {
    parts: Vec<Part>,
    runs: u32,
}

impl Prompt {
    fn bad(&self) -> Option<usize> {
        BAD.iter().position(|part| self.parts.contains(part))
    }
}

struct Answer {
    instance: usize,
    /// Life of the instance that sent the prompt.
    life: u64,
    prompt: Prompt,
    head_at: Moment,
    first_event_at: Moment,
    end_at: Moment,
    is_sound: bool,
}

struct Upstream {
    incarnation: u64,
    up_at: Moment,
    answers: Vec<Answer>,
}

struct Instance {
    life: u64,
    quarantine: Quarantine,
    /// Difference of its clock.
    offset: Span,
    up_at: Moment,
    asleep_until: Moment,
    /// End of its last fault.
    disturbed_at: Moment,
    /// Ends of upstreams that it has not noticed yet.
    lost: Vec<(Prompt, u64, Span, bool)>,
}

struct Message {
    to: usize,
    at: Moment,
    news: News,
}

#[derive(Default)]
struct Tally {
    crashes: Vec<Moment>,
    late: usize,
}

pub struct World {
    random: ChaCha8Rng,
    mutation: Mutation,
    now: Moment,
    loss: f64,
    instances: Vec<Instance>,
    upstreams: Vec<Upstream>,
    messages: Vec<Message>,
    tallies: [Tally; 2],
    /// Sound prompts with the companion, and those of the first shared part: sent and held.
    sound: [(usize, usize); 2],
}

impl World {
    pub fn new(seed: u64, mutation: Mutation) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let loss = random.random_range(0.0..0.5);
        let now = Moment(1_000_000_000);
        let mut instances = Vec::new();
        for number in 0..INSTANCE_COUNT {
            let joins = if number == 0 { 8000 } else { 0 };
            instances.push(Instance {
                life: 0,
                quarantine: Quarantine::new(Policy::PARTS),
                offset: Span::from_secs(random.random_range(0..100)),
                up_at: now + Span::from_millis(joins),
                asleep_until: now,
                disturbed_at: now + Span::from_millis(joins),
                lost: Vec::new(),
            });
        }
        let upstreams = (0..UPSTREAM_COUNT).map(|number| Upstream {
            incarnation: number as u64 * 1000,
            up_at: now,
            answers: Vec::new(),
        });
        Self {
            loss,
            mutation,
            now,
            instances,
            upstreams: upstreams.collect(),
            messages: Vec::new(),
            tallies: Default::default(),
            sound: Default::default(),
            random,
        }
    }

    /// Runs to the end and returns what broke.
    pub fn run(mut self) -> Vec<String> {
        for step in 0..STEP_COUNT {
            self.now = self.now + STEP;
            self.disturb();
            self.receive();
            self.notice_losses();
            self.run_upstreams();
            for _ in 0..2 {
                let prompt = self.prompt(step);
                self.arrive(&prompt);
            }
            if step % 5 == 0 {
                self.tell();
            }
        }
        self.findings()
    }

    fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        for (bad, tally) in self.tallies.iter().enumerate() {
            if tally.late > MAX_LATE {
                let ended = tally.crashes.len();
                findings.push(format!("part {bad}: {} late, {ended} ended", tally.late));
            }
        }
        for (index, (sent, held)) in self.sound.iter().enumerate() {
            if sent + held >= LEAST_SOUND && held > sent {
                findings.push(format!("sound {index}: {held} held, {sent} sent"));
            }
        }
        findings
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability)
    }

    fn millis(&mut self, from: u64, to: u64) -> Span {
        Span::from_millis(self.random.random_range(from..to))
    }

    /// Returns the next prompt. The first bad part comes for the first half, the second one later.
    fn prompt(&mut self, step: u64) -> Prompt {
        let first = Part(self.random.random_range(0..3));
        let share = 0.04;
        let bad = match step {
            150..700 if self.chance(share) => Some(BAD[0]),
            500..1350 if self.chance(share) => Some(BAD[1]),
            _ => None,
        };
        let mut parts = vec![first];
        if let Some(bad) = bad {
            parts = vec![Part(0), COMPANION, bad];
        } else if step >= COMPANION_STEP && self.chance(0.02) {
            parts = vec![Part(0), COMPANION];
        } else if self.chance(0.5) {
            parts.push(Part(self.random.random_range(200..260)));
        }
        Prompt { parts, runs: 0 }
    }

    fn disturb(&mut self) {
        if self.chance(0.002) {
            let index = self.random.random_range(0..INSTANCE_COUNT);
            let instance = &mut self.instances[index];
            instance.life += 1;
            instance.quarantine = Quarantine::new(Policy::PARTS);
            instance.lost.clear();
            instance.up_at = instance.up_at.max(self.now + Span::from_millis(500));
            instance.disturbed_at = instance.up_at;
        }
        if self.chance(0.002) {
            let index = self.random.random_range(0..INSTANCE_COUNT);
            let pause = self.millis(500, 4000);
            let instance = &mut self.instances[index];
            instance.asleep_until = self.now + pause;
            instance.disturbed_at = instance.disturbed_at.max(instance.asleep_until);
        }
        if self.chance(0.001) {
            // A common cause ends several upstreams.
            let first = self.random.random_range(0..UPSTREAM_COUNT);
            for number in first..(first + 4).min(UPSTREAM_COUNT) {
                self.end_upstream(number);
            }
        }
    }

    fn is_awake(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        instance.up_at <= self.now && instance.asleep_until <= self.now
    }

    fn is_in_touch(&self, index: usize) -> bool {
        self.instances[index].disturbed_at + STABILITY_TIME <= self.now
    }

    fn arrive(&mut self, prompt: &Prompt) {
        let index = self.random.random_range(0..INSTANCE_COUNT);
        if !self.is_awake(index) {
            return;
        }
        let is_late = self.tallies[0].crashes.len() >= CRASHES;
        let is_counted = prompt.bad().is_none() && is_late && self.is_in_touch(index);
        let sent = self.send(index, prompt.clone());
        if !is_counted {
            return;
        }
        let groups = [
            prompt.parts.contains(&COMPANION),
            prompt.parts[0] == Part(0),
        ];
        for (group, is_member) in groups.into_iter().enumerate() {
            if !is_member {
                continue;
            }
            let (goes, held) = &mut self.sound[group];
            *(if sent { goes } else { held }) += 1;
        }
    }

    /// Sends a prompt to an upstream. Returns whether it was not held.
    fn send(&mut self, index: usize, mut prompt: Prompt) -> bool {
        let now = self.now + self.instances[index].offset;
        let instance = &mut self.instances[index];
        if instance.quarantine.find(&prompt.parts, now).is_some() {
            return false;
        }
        let number = self.random.random_range(0..UPSTREAM_COUNT);
        if self.upstreams[number].up_at > self.now {
            return true;
        }
        let life = instance.life;
        instance.quarantine.record_dispatch(&prompt.parts, now);
        prompt.runs += 1;
        if let Some(bad) = prompt.bad() {
            let in_touch = self.is_in_touch(index);
            let tally = &mut self.tallies[bad];
            let fifth = tally.crashes.get(CRASHES - 1);
            let is_late = fifth.is_some_and(|&fifth| self.now.since(fifth) > STABILITY_TIME);
            tally.late += usize::from(is_late && in_touch);
        }
        let head_at = self.now + self.millis(60, 700);
        let delay = if self.chance(0.95) { 0 } else { 50 };
        let lasts = if prompt.bad().is_some() {
            self.millis(40, 120)
        } else {
            self.millis(300, 3000)
        };
        let is_bad = prompt.bad().is_some();
        let first_event_at = if is_bad {
            head_at + RESTART_TIME
        } else {
            head_at + Span::from_millis(delay)
        };
        self.upstreams[number].answers.push(Answer {
            instance: index,
            life,
            prompt,
            head_at,
            first_event_at,
            end_at: head_at + lasts,
            is_sound: false,
        });
        true
    }

    fn run_upstreams(&mut self) {
        for number in 0..UPSTREAM_COUNT {
            let mut answers = std::mem::take(&mut self.upstreams[number].answers);
            let mut ends = false;
            for answer in &mut answers {
                let has_ended = answer.end_at <= self.now;
                if answer.prompt.bad().is_some() {
                    if has_ended {
                        ends = true;
                    }
                    continue;
                }
                let goes_on = answer.head_at + Span::from(SOUND_TIME.duration()) <= self.now;
                if (has_ended || goes_on) && !answer.is_sound {
                    answer.is_sound = true;
                    self.record_sound(answer.instance, answer.life, &answer.prompt.parts);
                }
            }
            answers.retain(|answer| answer.prompt.bad().is_some() || answer.end_at > self.now);
            self.upstreams[number].answers = answers;
            if ends {
                self.end_upstream(number);
            }
        }
    }

    fn record_sound(&mut self, index: usize, life: u64, parts: &[Part]) {
        if self.mutation == Mutation::NoRebuttal || !self.is_awake(index) {
            return;
        }
        let instance = &mut self.instances[index];
        if instance.life == life {
            let now = self.now + instance.offset;
            instance.quarantine.record_sound(parts, now);
        }
    }

    fn end_upstream(&mut self, number: usize) {
        let now = self.now;
        let upstream = &mut self.upstreams[number];
        if upstream.up_at > now {
            return;
        }
        upstream.up_at = now + RESTART_TIME;
        let victim = upstream.incarnation;
        upstream.incarnation += 1;
        for answer in std::mem::take(&mut upstream.answers) {
            if answer.end_at <= now
                && let Some(bad) = answer.prompt.bad()
            {
                self.tallies[bad].crashes.push(now);
            }
            let instance = &mut self.instances[answer.instance];
            if instance.life != answer.life || answer.head_at > now {
                continue;
            }
            let since_head = now.since(answer.head_at);
            let delivered = answer.first_event_at <= now;
            let lost = (answer.prompt, victim, since_head, delivered);
            instance.lost.push(lost);
        }
    }

    /// Lets instances notice ends of upstreams once they are awake, and try again.
    fn notice_losses(&mut self) {
        for index in 0..INSTANCE_COUNT {
            if !self.is_awake(index) {
                continue;
            }
            for (prompt, victim, since_head, delivered) in
                std::mem::take(&mut self.instances[index].lost)
            {
                self.record_crash(index, &prompt.parts, victim, (since_head, delivered));
                if prompt.runs < MAX_RUNS && !delivered {
                    self.send(index, prompt);
                }
            }
        }
    }

    fn record_crash(&mut self, index: usize, parts: &[Part], victim: u64, beginning: (Span, bool)) {
        let instance = &mut self.instances[index];
        let now = self.now + instance.offset;
        if self.mutation != Mutation::NoExplanation {
            let quarantine = &mut instance.quarantine;
            quarantine.record_crash(parts, Victim(victim), beginning, now);
            return;
        }
        for part in parts {
            let own = Victim(victim + part.0 * 1_000_000);
            let quarantine = &mut instance.quarantine;
            quarantine.record_crash(&[*part], own, beginning, now);
        }
    }

    /// Sends the news of each instance to two others.
    fn tell(&mut self) {
        for index in 0..INSTANCE_COUNT {
            if !self.is_awake(index) {
                continue;
            }
            let rank = (0..index).filter(|&other| self.is_awake(other)).count();
            let instance = &mut self.instances[index];
            instance.quarantine.set_rank(Some(rank));
            let now = self.now + instance.offset;
            let news = News::of(&instance.quarantine, now);
            for _ in 0..2 {
                let to = self.random.random_range(0..INSTANCE_COUNT);
                let copies = if self.chance(0.1) { 2 } else { 1 };
                for _ in 0..copies {
                    if self.mutation == Mutation::NothingTold || self.chance(self.loss) {
                        continue;
                    }
                    let at = self.now + self.millis(1, 400);
                    let news = news.clone();
                    self.messages.push(Message { to, at, news });
                }
            }
        }
    }

    fn receive(&mut self) {
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.at <= self.now);
        self.messages = later;
        let due: Vec<Message> = due;
        for message in due {
            if !self.is_awake(message.to) {
                continue;
            }
            let instance = &mut self.instances[message.to];
            let now = self.now + instance.offset;
            message.news.deliver(&mut instance.quarantine, now);
        }
    }
}

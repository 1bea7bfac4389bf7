//! Callers with sound and bad prompts, instances that exchange evidence, and upstreams that bad
//! prompts end.

use crate::support::News;
use entity::{Moment, Span};
use quarantine::{Extent, Part, Policy, Progress, Quarantine, SOUND_TIME, Victim};
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
/// Time after a whole answer for which its upstream is watched.
const WATCH_TIME: Span = Span::from_secs(1);
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
    /// Only ends after the head of an answer and before its first event are recorded.
    HeadsOnly,
    /// An answer clears its parts although the upstream may still end by it.
    NotOutlived,
}

/// When a bad prompt ends its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Before the head of the answer.
    Waiting,
    /// After the head.
    Head,
    /// After some events.
    Within,
    /// After [`SOUND_TIME`].
    Late,
    /// Right after the whole answer.
    Whole,
}

/// All stages.
const STAGES: [Stage; 5] = [
    Stage::Waiting,
    Stage::Head,
    Stage::Within,
    Stage::Late,
    Stage::Whole,
];
/// Time from the end of a whole answer to that of its upstream.
const END_TIME: Span = Span::from_millis(30);

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
    sent_at: Moment,
    head_at: Moment,
    first_event_at: Moment,
    /// When it is whole.
    whole_at: Moment,
    /// When it is whole, or ends its upstream.
    end_at: Moment,
    is_sound: bool,
}

impl Answer {
    /// Makes the answer end its upstream at a stage.
    fn set_stage(&mut self, stage: Stage) {
        let never = self.head_at + RESTART_TIME.scaled(100.0);
        let lasts = self.end_at.since(self.head_at);
        self.whole_at = never;
        match stage {
            Stage::Waiting => {
                self.end_at = self.sent_at + lasts;
                self.head_at = never;
                self.first_event_at = never;
            }
            Stage::Head => self.first_event_at = never,
            Stage::Within => self.end_at = self.end_at + Span::from_millis(400),
            Stage::Late => self.end_at = self.end_at + SOUND_TIME + Span::from_millis(400),
            Stage::Whole => {
                self.whole_at = self.end_at;
                self.end_at = self.end_at + END_TIME;
            }
        }
    }

    fn progress(&self, now: Moment) -> Progress {
        let since_head = now.since(self.head_at);
        if self.head_at > now {
            Progress::Waiting {
                since_sent: now.since(self.sent_at),
                is_stream: true,
            }
        } else if self.whole_at <= now {
            Progress::Whole { since_head }
        } else {
            Progress::Begun {
                since_head,
                delivered: self.first_event_at <= now,
            }
        }
    }
}

struct Upstream {
    incarnation: u64,
    up_at: Moment,
    answers: Vec<Answer>,
    /// Whole answers, for the time in which it is watched after them.
    watched: Vec<Answer>,
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
    lost: Vec<(Prompt, u64, Progress)>,
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
    /// When each of the bad parts ends its upstream.
    stages: [Stage; 2],
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
    /// Creates a world in which the bad parts end upstreams at any stage of a run.
    pub fn with_stages(seed: u64, mutation: Mutation) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(!seed);
        Self {
            stages: [0; 2].map(|_| STAGES[random.random_range(0..STAGES.len())]),
            ..Self::new(seed, mutation)
        }
    }

    /// Creates a world in which the bad parts end upstreams after the head of an answer.
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
            watched: Vec::new(),
        });
        Self {
            loss,
            mutation,
            stages: [Stage::Head; 2],
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
        let mut answer = Answer {
            instance: index,
            life,
            sent_at: self.now,
            head_at,
            first_event_at: head_at + Span::from_millis(delay),
            whole_at: head_at + lasts,
            end_at: head_at + lasts,
            is_sound: false,
            prompt,
        };
        if let Some(bad) = answer.prompt.bad() {
            answer.set_stage(self.stages[bad]);
        }
        self.upstreams[number].answers.push(answer);
        true
    }

    fn run_upstreams(&mut self) {
        for number in 0..UPSTREAM_COUNT {
            let mut answers = std::mem::take(&mut self.upstreams[number].answers);
            let mut ends = false;
            for answer in &mut answers {
                ends |= answer.prompt.bad().is_some() && answer.end_at <= self.now;
                let goes_on = answer.head_at + SOUND_TIME <= self.now;
                if (answer.whole_at <= self.now || goes_on) && !answer.is_sound {
                    answer.is_sound = true;
                    self.record_sound(answer, Extent::Begun);
                }
            }
            let is_whole =
                |answer: &Answer| answer.prompt.bad().is_none() && answer.end_at <= self.now;
            let whole: Vec<Answer> = answers.extract_if(.., |answer| is_whole(answer)).collect();
            let upstream = &mut self.upstreams[number];
            upstream.answers = answers;
            upstream.watched.extend(whole);
            let is_over = |answer: &Answer| answer.end_at + WATCH_TIME <= self.now;
            let outlived = upstream.watched.extract_if(.., |answer| is_over(answer));
            let outlived: Vec<Answer> = outlived.collect();
            for answer in outlived {
                self.record_sound(&answer, Extent::Outlived);
            }
            if ends {
                self.end_upstream(number);
            }
        }
    }

    fn record_sound(&mut self, answer: &Answer, extent: Extent) {
        let index = answer.instance;
        if self.mutation == Mutation::NoRebuttal || !self.is_awake(index) {
            return;
        }
        let extent = match self.mutation {
            Mutation::NotOutlived => Extent::Outlived,
            _ => extent,
        };
        let instance = &mut self.instances[index];
        if instance.life == answer.life {
            let now = self.now + instance.offset;
            let parts = &answer.prompt.parts;
            instance.quarantine.record_sound(parts, extent, now);
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
        let mut answers = std::mem::take(&mut upstream.answers);
        answers.append(&mut upstream.watched);
        for answer in answers {
            if answer.end_at <= now
                && let Some(bad) = answer.prompt.bad()
            {
                self.tallies[bad].crashes.push(now);
            }
            let instance = &mut self.instances[answer.instance];
            if instance.life != answer.life {
                continue;
            }
            let progress = answer.progress(now);
            instance.lost.push((answer.prompt, victim, progress));
        }
    }

    /// Lets instances notice ends of upstreams once they are awake, and try again.
    fn notice_losses(&mut self) {
        for index in 0..INSTANCE_COUNT {
            if !self.is_awake(index) {
                continue;
            }
            for (prompt, victim, progress) in std::mem::take(&mut self.instances[index].lost) {
                self.record_crash(index, &prompt.parts, victim, progress);
                if prompt.runs < MAX_RUNS && is_at_head(progress) {
                    self.send(index, prompt);
                }
            }
        }
    }

    fn record_crash(&mut self, index: usize, parts: &[Part], victim: u64, progress: Progress) {
        if self.mutation == Mutation::HeadsOnly && !is_at_head(progress) {
            return;
        }
        let instance = &mut self.instances[index];
        let now = self.now + instance.offset;
        if self.mutation != Mutation::NoExplanation {
            let quarantine = &mut instance.quarantine;
            quarantine.record_crash(parts, Victim(victim), progress, now);
            return;
        }
        for part in parts {
            let own = Victim(victim + part.0 * 1_000_000);
            let quarantine = &mut instance.quarantine;
            quarantine.record_crash(&[*part], own, progress, now);
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

/// Returns whether the head of an answer had arrived, and nothing else.
fn is_at_head(progress: Progress) -> bool {
    matches!(
        progress,
        Progress::Begun {
            delivered: false,
            ..
        }
    )
}

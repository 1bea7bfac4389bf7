//! Callers whose requests come again, instances that exchange evidence, and upstreams that one request ends.

use crate::support::News;
use entity::{Moment, Span};
use quarantine::{Extent, Part, Policy, Progress, Quarantine, Victim};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Span = Span::from_millis(20);
const STEP_COUNT: u64 = 5000;
const INSTANCE_COUNT: usize = 6;
const UPSTREAM_COUNT: usize = 3;
/// Time that an upstream needs to start again.
const RESTART_TIME: Span = Span::from_secs(3);
/// Time after the third crash, or after a fault of an instance, from which it is bound.
const STABILITY_TIME: Span = Span::from_secs(3);
/// Largest number of upstreams that run one attempt of a caller.
const MAX_RUNS: u32 = 2;
/// Crashes after which a deadly request must stop.
const CRASHES: usize = 3;
/// Deadly requests that may still be sent then.
const MAX_LATE: usize = 3;
/// Steps at which the deadly requests come.
const DEADLY_STEPS: std::ops::Range<u64> = 200..STEP_COUNT;
/// Step from which the second deadly request is sound, as its upstreams were mended.
const MENDED_STEP: u64 = 600;
/// Steps in which a request that is sound again must be served at last.
const LAST_STEPS: u64 = 500;
/// The requests that end upstreams.
const DEADLY: [Part; 2] = [Part(1), Part(2)];
/// A sound request that is sent again and again.
const POPULAR: Part = Part(3);
/// Largest share of the popular request's attempts that may be held, in per cent.
const MAX_HELD_PERCENT: usize = 10;

/// A guard that is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    None,
    /// Instances tell each other nothing.
    NothingTold,
    /// Answers are not recorded.
    NoRebuttal,
    /// All instances try a held request again at once.
    AllProbe,
}

#[derive(Clone, Copy)]
struct Request {
    fingerprint: Part,
    runs: u32,
    instance: usize,
    /// Life of the instance that sent it.
    life: u64,
    sent_at: Moment,
    end_at: Moment,
}

struct Upstream {
    incarnation: u64,
    up_at: Moment,
    running: Vec<Request>,
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
    /// Requests whose upstreams ended, with the incarnations, that it has not noticed yet.
    lost: Vec<(Request, u64)>,
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
    served_at_last: bool,
}

pub struct World {
    random: ChaCha8Rng,
    mutation: Mutation,
    step: u64,
    now: Moment,
    loss: f64,
    next_body: u64,
    instances: Vec<Instance>,
    upstreams: Vec<Upstream>,
    messages: Vec<Message>,
    tallies: [Tally; 2],
    /// Attempts of the popular request, and those that were held.
    popular: (usize, usize),
}

impl World {
    pub fn new(seed: u64, mutation: Mutation) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let loss = random.random_range(0.0..0.5);
        let now = Moment(1_000_000_000);
        let instances = (0..INSTANCE_COUNT).map(|number| {
            let joins = if number == 0 { 8000 } else { 0 };
            Instance {
                life: 0,
                quarantine: Quarantine::new(Policy::REQUESTS),
                offset: Span::from_secs(random.random_range(0..100)),
                up_at: now + Span::from_millis(joins),
                asleep_until: now,
                disturbed_at: now + Span::from_millis(joins),
                lost: Vec::new(),
            }
        });
        let instances = instances.collect();
        let upstreams = (0..UPSTREAM_COUNT).map(|number| Upstream {
            incarnation: number as u64 * 1000,
            up_at: now,
            running: Vec::new(),
        });
        Self {
            loss,
            mutation,
            now,
            step: 0,
            next_body: 1000,
            instances,
            upstreams: upstreams.collect(),
            messages: Vec::new(),
            tallies: Default::default(),
            popular: (0, 0),
            random,
        }
    }

    /// Runs to the end and returns what broke.
    pub fn run(mut self) -> Vec<String> {
        for step in 0..STEP_COUNT {
            self.step = step;
            self.now = self.now + STEP;
            self.disturb();
            self.receive();
            self.notice_losses();
            self.run_upstreams();
            self.arrivals();
            if step % 5 == 0 {
                self.tell();
            }
        }
        self.findings()
    }

    fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        for (index, tally) in self.tallies.iter().enumerate() {
            if tally.late > MAX_LATE {
                let ended = tally.crashes.len();
                findings.push(format!(
                    "deadly {index}: {} late, {ended} ended",
                    tally.late
                ));
            }
        }
        if !self.tallies[1].served_at_last {
            findings.push("the mended request is not served".to_owned());
        }
        let (asked, held) = self.popular;
        if held * 100 > asked * MAX_HELD_PERCENT {
            findings.push(format!("popular: {held} of {asked} held"));
        }
        findings
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability)
    }

    fn millis(&mut self, from: u64, to: u64) -> Span {
        Span::from_millis(self.random.random_range(from..to))
    }

    fn is_deadly(&self, fingerprint: Part) -> bool {
        fingerprint == DEADLY[0] || fingerprint == DEADLY[1] && self.step < MENDED_STEP
    }

    fn disturb(&mut self) {
        if self.chance(0.001) {
            let index = self.random.random_range(0..INSTANCE_COUNT);
            let instance = &mut self.instances[index];
            instance.life += 1;
            instance.quarantine = Quarantine::new(Policy::REQUESTS);
            instance.lost.clear();
            instance.up_at = instance.up_at.max(self.now + Span::from_millis(500));
            instance.disturbed_at = instance.up_at;
        }
        if self.chance(0.001) {
            let index = self.random.random_range(0..INSTANCE_COUNT);
            let pause = self.millis(500, 4000);
            let instance = &mut self.instances[index];
            instance.asleep_until = self.now + pause;
            instance.disturbed_at = instance.disturbed_at.max(instance.asleep_until);
        }
        if self.chance(0.001) {
            // A common cause ends several upstreams.
            for number in 0..2 {
                self.end_upstream(number);
            }
        }
    }

    fn is_awake(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        instance.up_at <= self.now && instance.asleep_until <= self.now
    }

    fn arrivals(&mut self) {
        for _ in 0..2 {
            self.next_body += 1;
            self.arrive(Part(self.next_body));
        }
        if self.step.is_multiple_of(10) {
            self.arrive(POPULAR);
        }
        for (index, fingerprint) in DEADLY.into_iter().enumerate() {
            let begin = DEADLY_STEPS.start + index as u64 * 150;
            if (begin..DEADLY_STEPS.end).contains(&self.step) && self.chance(0.04) {
                self.arrive(fingerprint);
            }
        }
    }

    fn arrive(&mut self, fingerprint: Part) {
        let index = self.random.random_range(0..INSTANCE_COUNT);
        if !self.is_awake(index) {
            return;
        }
        let is_sent = self.send(index, fingerprint, 0);
        if fingerprint == POPULAR {
            self.popular.0 += 1;
            self.popular.1 += usize::from(!is_sent);
        }
    }

    /// Sends a request to an upstream. Returns whether it was not held.
    fn send(&mut self, index: usize, fingerprint: Part, runs: u32) -> bool {
        let instance = &self.instances[index];
        let (life, now) = (instance.life, self.now + instance.offset);
        if instance.quarantine.find(&[fingerprint], now).is_some() {
            return false;
        }
        let number = self.random.random_range(0..UPSTREAM_COUNT);
        if self.upstreams[number].up_at > self.now {
            return true;
        }
        if self.mutation != Mutation::AllProbe {
            let quarantine = &mut self.instances[index].quarantine;
            quarantine.record_dispatch(&[fingerprint], now);
        }
        self.count(index, fingerprint);
        let lasts = if self.is_deadly(fingerprint) {
            self.millis(1, 90)
        } else {
            self.millis(20, 300)
        };
        self.upstreams[number].running.push(Request {
            fingerprint,
            runs: runs + 1,
            instance: index,
            life,
            sent_at: self.now,
            end_at: self.now + lasts,
        });
        true
    }

    fn count(&mut self, index: usize, fingerprint: Part) {
        let Some(deadly) = DEADLY.iter().position(|one| *one == fingerprint) else {
            return;
        };
        let in_touch = self.instances[index].disturbed_at + STABILITY_TIME <= self.now;
        let tally = &mut self.tallies[deadly];
        let third = tally.crashes.get(CRASHES - 1);
        let is_late = third.is_some_and(|&third| self.now.since(third) > STABILITY_TIME);
        let is_deadly = deadly == 0 || self.step < MENDED_STEP;
        tally.late += usize::from(is_late && in_touch && is_deadly);
    }

    fn run_upstreams(&mut self) {
        for number in 0..UPSTREAM_COUNT {
            let running = std::mem::take(&mut self.upstreams[number].running);
            let (done, still): (Vec<Request>, Vec<Request>) = running
                .into_iter()
                .partition(|request| request.end_at <= self.now);
            let deadly = done.iter().find(|done| self.is_deadly(done.fingerprint));
            if deadly.is_none() {
                self.upstreams[number].running = still;
                for request in done {
                    self.record_answer(request);
                }
                continue;
            }
            for request in &done {
                let index = DEADLY.iter().position(|one| *one == request.fingerprint);
                if let Some(index) = index.filter(|_| self.is_deadly(request.fingerprint)) {
                    self.tallies[index].crashes.push(self.now);
                }
            }
            self.upstreams[number].running = still;
            self.upstreams[number].running.extend(done);
            self.end_upstream(number);
        }
    }

    fn record_answer(&mut self, request: Request) {
        if request.fingerprint == DEADLY[1] && self.step + LAST_STEPS >= STEP_COUNT {
            self.tallies[1].served_at_last = true;
        }
        if self.mutation == Mutation::NoRebuttal || !self.is_awake(request.instance) {
            return;
        }
        let instance = &mut self.instances[request.instance];
        if instance.life == request.life {
            let now = self.now + instance.offset;
            instance
                .quarantine
                .record_sound(&[request.fingerprint], Extent::Begun, now);
        }
    }

    fn end_upstream(&mut self, number: usize) {
        let upstream = &mut self.upstreams[number];
        if upstream.up_at > self.now {
            return;
        }
        upstream.up_at = self.now + RESTART_TIME;
        let victim = upstream.incarnation;
        upstream.incarnation += 1;
        for request in std::mem::take(&mut upstream.running) {
            let instance = &mut self.instances[request.instance];
            if instance.life == request.life {
                instance.lost.push((request, victim));
            }
        }
    }

    /// Lets instances notice ends of upstreams once they are awake, and try again.
    fn notice_losses(&mut self) {
        for index in 0..INSTANCE_COUNT {
            if !self.is_awake(index) {
                continue;
            }
            for (request, victim) in std::mem::take(&mut self.instances[index].lost) {
                let instance = &mut self.instances[index];
                let now = self.now + instance.offset;
                let progress = Progress::Waiting {
                    since_sent: self.now.since(request.sent_at),
                    is_stream: false,
                };
                let (fingerprint, victim) = (request.fingerprint, Victim(victim));
                let quarantine = &mut instance.quarantine;
                quarantine.record_end(fingerprint, victim, progress, now);
                if request.runs < MAX_RUNS {
                    self.send(index, fingerprint, request.runs);
                }
            }
        }
    }

    /// Sends the news of each instance to two others.
    fn tell(&mut self) {
        for index in 0..INSTANCE_COUNT {
            if !self.is_awake(index) {
                continue;
            }
            let rank = (0..index).filter(|&other| self.is_awake(other)).count();
            let rank = if self.mutation == Mutation::AllProbe {
                0
            } else {
                rank
            };
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
        let (due, later): (Vec<Message>, _) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.at <= self.now);
        self.messages = later;
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

//! A model of claims as a state machine: instances, a log with late appends and retention, and
//! attempts of one key. Each step runs the product's own fold and holder.

use claims::fold::{Position, Status};
use claims::holder::{Pending, Reading, Released};
use claims::key::{AttemptNumber, Created};
use claims::record::{Answer, Claim, Outcome, Record};
use claims::{Digest, Fold, Key, Window};
use entity::request::Ran;
use entity::{Offset, Span, request};

/// Length of a tick of the log's clock, in milliseconds.
const TICK_MS: u64 = 1000;

/// Number of ticks for which the log retains a record.
const RETENTION_TICKS: u8 = 3;

/// Tick at which the key was created, on the clock of its caller, which is one tick ahead.
const CREATED_TICK: u64 = 1;

/// Offset of the ids that stand for copies of a claim, which a fold without tombstones takes for
/// new attempts.
const ALIAS: u128 = 100;

/// The rule that is omitted from the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The complete protocol.
    None,
    /// An attempt is dispatched before its own claim was read.
    DispatchUnread,
    /// A copy of a released claim counts as a new attempt.
    NoTombstone,
    /// A claim wins although an earlier one precedes it.
    OrderIgnored,
    /// Every attempt that is abandoned in an outage is refused as not run.
    NotRunInOutage,
    /// An attempt is refused as not run although earlier attempts are not excluded.
    NotRunUnexcluded,
    /// A claim outside of the window of its key wins.
    ExpiredAdmitted,
}

/// Bounds on the size of the model.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    pub mutation: Mutation,
    /// Whether callers number their attempts.
    pub numbered: bool,
    /// Number of instances.
    pub instances: u8,
    /// Number of attempts of the key.
    pub attempts: u8,
    /// Maximum number of repeated appends of each attempt.
    pub resends: u8,
    /// Maximum number of failures of instances.
    pub kills: u8,
    /// Maximum number of ticks of the log's clock.
    pub ticks: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Event {
    Claim(u8),
    Release(u8),
    Outcome(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    Idle,
    Claimed,
    Won,
    Dispatched,
    Releasing,
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    NotRun,
    MayHaveRun,
    Stored(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    pub phase: Phase,
    pub runs: u8,
    pub resends: u8,
    pub reply: Option<Reply>,
}

/// An instance that reads the stream. Its fold was created at offset `first`, when the next offset
/// was `next`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Reader {
    first: u8,
    next: u8,
    read: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: u8,
    kills: u8,
    /// Each record with the tick of its append; index 0 has offset 1.
    pub log: Vec<(u8, Event)>,
    /// Appends that were sent and have not taken effect, sorted.
    pub sent: Vec<Event>,
    pub readers: Vec<Option<Reader>>,
    pub attempts: Vec<Attempt>,
}

/// One step of the model, which may be a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// An attempt sends its claim.
    Begin(u8),
    /// An append that was sent takes effect.
    Append(usize),
    /// An attempt repeats an append whose reply was lost.
    LostReply(u8),
    /// An instance reads one record.
    Read(u8),
    /// An attempt looks up the decision on its claim.
    Step(u8),
    /// An attempt that has won is dispatched.
    Dispatch(u8),
    /// A dispatched attempt is answered.
    Settle(u8),
    /// An attempt is released and waits until its release is read.
    Release(u8),
    /// An attempt is abandoned because the log is unavailable.
    Outage(u8),
    /// A released attempt is refused.
    Refuse(u8),
    /// An instance fails, with all its attempts.
    Kill(u8),
    /// The log's clock advances by a tick.
    Tick,
}

impl Spec {
    pub fn start(&self) -> State {
        let attempt = Attempt {
            phase: Phase::Idle,
            runs: 0,
            resends: 0,
            reply: None,
        };
        State {
            now: 0,
            kills: 0,
            log: Vec::new(),
            sent: Vec::new(),
            readers: vec![None; usize::from(self.instances)],
            attempts: vec![attempt; usize::from(self.attempts)],
        }
    }

    /// Returns all steps that are possible in a state, with the states that they lead to.
    pub fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        for action in self.actions(state) {
            let mut next = state.clone();
            if self.act(&mut next, action) {
                next.sent.sort_unstable();
                steps.push((action, next));
            }
        }
        steps
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = vec![Action::Tick];
        actions.extend((0..state.sent.len()).map(Action::Append));
        actions.extend((0..self.instances).flat_map(|k| [Action::Read(k), Action::Kill(k)]));
        for i in 0..self.attempts {
            let of_phase: &[Action] = match state.attempts[usize::from(i)].phase {
                Phase::Idle => &[Action::Begin(i)],
                Phase::Claimed => &[
                    Action::Step(i),
                    Action::Release(i),
                    Action::Outage(i),
                    Action::LostReply(i),
                ],
                Phase::Won => &[Action::Dispatch(i), Action::Release(i), Action::Outage(i)],
                Phase::Dispatched => &[Action::Settle(i)],
                Phase::Releasing => &[Action::Refuse(i), Action::LostReply(i)],
                Phase::Done => &[],
            };
            actions.extend_from_slice(of_phase);
        }
        actions
    }

    fn act(&self, state: &mut State, action: Action) -> bool {
        match action {
            Action::Begin(i) => self.begin(state, i),
            Action::Append(index) => {
                let event = state.sent.remove(index);
                state.log.push((state.now, event));
                true
            }
            Action::LostReply(i) => self.resend(state, i),
            Action::Read(k) => state.read(usize::from(k)),
            Action::Step(i) => self.step(state, i),
            Action::Dispatch(i) => {
                let attempt = &mut state.attempts[usize::from(i)];
                attempt.phase = Phase::Dispatched;
                attempt.runs += 1;
                true
            }
            Action::Settle(i) => {
                state.sent.push(Event::Outcome(i));
                state.finish(i, Reply::Stored(i))
            }
            Action::Release(i) => {
                state.sent.push(Event::Release(i));
                state.attempts[usize::from(i)].phase = Phase::Releasing;
                true
            }
            Action::Outage(i) => self.abandon_in_outage(state, i),
            Action::Refuse(i) => self.refuse(state, i),
            Action::Kill(k) => self.kill(state, k),
            Action::Tick => {
                state.now += 1;
                state.now <= self.ticks
            }
        }
    }

    fn instance(&self, attempt: u8) -> u8 {
        attempt % self.instances
    }

    /// Sends the claim of an attempt.
    fn begin(&self, state: &mut State, i: u8) -> bool {
        let k = usize::from(self.instance(i));
        if state.readers[k].is_none() {
            state.readers[k] = Some(state.open());
        }
        state.attempts[usize::from(i)].phase = Phase::Claimed;
        state.sent.push(Event::Claim(i));
        true
    }

    /// Repeats the last append of an attempt, if it has repeats left.
    fn resend(&self, state: &mut State, i: u8) -> bool {
        let attempt = &mut state.attempts[usize::from(i)];
        if attempt.resends == self.resends {
            return false;
        }
        attempt.resends += 1;
        let event = match attempt.phase {
            Phase::Claimed => Event::Claim(i),
            _ => Event::Release(i),
        };
        state.sent.push(event);
        true
    }

    /// Advances an attempt by the decision on its claim, if it has been read.
    fn step(&self, state: &mut State, i: u8) -> bool {
        let appended = state.log.iter().any(|(_, event)| *event == Event::Claim(i));
        if self.mutation == Mutation::DispatchUnread && appended {
            state.attempts[usize::from(i)].phase = Phase::Won;
            return true;
        }
        let fold = self.fold(state, self.instance(i));
        match self.pending(i).read(&fold) {
            Reading::Unread(_) => false,
            Reading::Won(_) => {
                state.attempts[usize::from(i)].phase = Phase::Won;
                true
            }
            Reading::Lost(_) if self.mutation == Mutation::OrderIgnored => {
                state.attempts[usize::from(i)].phase = Phase::Won;
                true
            }
            Reading::Lost(lost) => match lost.answer(&fold) {
                Some(answer) => state.finish(i, Reply::Stored(answer.status as u8)),
                None => state.finish(i, reply(lost.ran(&fold))),
            },
            Reading::Expired(_) if self.mutation == Mutation::ExpiredAdmitted => {
                state.attempts[usize::from(i)].phase = Phase::Won;
                true
            }
            Reading::Expired(_) => {
                state.sent.push(Event::Release(i));
                state.attempts[usize::from(i)].phase = Phase::Releasing;
                true
            }
        }
    }

    /// Refuses an attempt without waiting for its release to be read.
    fn abandon_in_outage(&self, state: &mut State, i: u8) -> bool {
        state.sent.push(Event::Release(i));
        if self.mutation == Mutation::NotRunInOutage {
            return state.finish(i, Reply::NotRun);
        }
        state.finish(i, reply(self.released(i).ran_if_unread()))
    }

    /// Refuses an attempt once its release has been read.
    fn refuse(&self, state: &mut State, i: u8) -> bool {
        let fold = self.fold(state, self.instance(i));
        let Some(ran) = self.released(i).read(&fold) else {
            return false;
        };
        let free = fold.status(self.key()) == Status::Free;
        if self.mutation == Mutation::NotRunUnexcluded && free {
            return state.finish(i, Reply::NotRun);
        }
        state.finish(i, reply(ran))
    }

    fn kill(&self, state: &mut State, k: u8) -> bool {
        if state.kills == self.kills || state.readers[usize::from(k)].is_none() {
            return false;
        }
        state.kills += 1;
        state.readers[usize::from(k)] = None;
        for i in 0..self.attempts {
            let attempt = &mut state.attempts[usize::from(i)];
            if self.instance(i) == k && attempt.phase != Phase::Idle {
                attempt.phase = Phase::Done;
            }
        }
        true
    }

    fn key(&self) -> Key {
        let organisation = "water".parse().expect("a valid name");
        Key::new(&organisation, "notice-1", Created(CREATED_TICK * TICK_MS))
    }

    fn attempt_number(&self, i: u8) -> AttemptNumber {
        if self.numbered {
            return AttemptNumber::new(u32::from(i) + 1);
        }
        AttemptNumber::UNNUMBERED
    }

    fn claim(&self, i: u8) -> Claim {
        Claim {
            key: self.key(),
            attempt: request::Id(u128::from(i)),
            attempt_number: self.attempt_number(i),
            instance: "entry-1".parse().expect("a valid name"),
            fingerprint: Digest::of(&[b"body"]),
        }
    }

    fn pending(&self, i: u8) -> Pending {
        let retention = Span::from_millis(u64::from(RETENTION_TICKS) * TICK_MS);
        let window = Window::new(
            retention,
            Span::from_millis(2 * TICK_MS),
            Span::from_millis(TICK_MS),
        );
        Pending::open(self.claim(i), Created(CREATED_TICK * TICK_MS), window)
    }

    fn released(&self, i: u8) -> Released {
        self.pending(i).release()
    }

    fn record(&self, event: Event) -> Record {
        match event {
            Event::Claim(i) => self.pending(i).record(),
            Event::Release(i) => self.release(i),
            Event::Outcome(i) => {
                let claim = self.claim(i);
                Record::Outcome(Outcome {
                    key: claim.key,
                    attempt: claim.attempt,
                    fingerprint: claim.fingerprint,
                    answer: Answer::new(u16::from(i), "", b""),
                })
            }
        }
    }

    fn release(&self, i: u8) -> Record {
        let mut record = self.released(i).record();
        if let Record::Release(release) = &mut record
            && self.mutation == Mutation::NotRunUnexcluded
        {
            release.attempt_number = AttemptNumber::UNNUMBERED;
        }
        record
    }

    /// Returns the product's fold of the records that an instance has read.
    pub fn fold(&self, state: &State, k: u8) -> Fold {
        let reader = state.readers[usize::from(k)].expect("an attempt's instance reads");
        let mut fold = Fold::open(offset(reader.first), offset(reader.next));
        for index in reader.first - 1..reader.read {
            let (tick, event) = state.log[usize::from(index)];
            let mut record = self.record(event);
            if self.mutation == Mutation::NoTombstone && state.released_before(index, event) {
                alias(&mut record);
            }
            let at = Position {
                offset: offset(index + 1),
                time_ms: u64::from(tick) * TICK_MS,
            };
            fold.apply(at, &[record]);
        }
        fold
    }

    /// Returns the invariant that a state violates, if any.
    pub fn violation(&self, state: &State) -> Option<&'static str> {
        let runs: u8 = state.attempts.iter().map(|attempt| attempt.runs).sum();
        if runs > 1 {
            return Some("a key was dispatched twice");
        }
        for (i, attempt) in state.attempts.iter().enumerate() {
            let earlier = if self.numbered {
                i + 1
            } else {
                state.attempts.len()
            };
            let ran = state.attempts[..earlier].iter().any(|other| other.runs > 0);
            if attempt.reply == Some(Reply::NotRun) && ran {
                return Some("an attempt that was dispatched was reported as not run");
            }
            if let Some(Reply::Stored(of)) = attempt.reply
                && state.attempts[usize::from(of)].runs != 1
            {
                return Some("a repeated attempt got an outcome without a run");
            }
        }
        self.held_after_release(state)
    }

    /// Checks that no attempt holds the key after its release. An attempt with both a release and
    /// an outcome would be an exception, but the holder's states exclude it.
    fn held_after_release(&self, state: &State) -> Option<&'static str> {
        for k in 0..self.instances {
            let Some(reader) = state.readers[usize::from(k)] else {
                continue;
            };
            let fold = self.fold(state, k);
            let Status::Held(holder) = fold.status(self.key()) else {
                continue;
            };
            let release = Event::Release((holder.0 % ALIAS) as u8);
            let read = &state.log[usize::from(reader.first) - 1..usize::from(reader.read)];
            if read.iter().any(|(_, event)| *event == release) {
                return Some("a released attempt holds the key");
            }
        }
        None
    }
}

impl State {
    /// Returns the first retained offset.
    fn first(&self) -> u8 {
        let expired = |(tick, _): &&(u8, Event)| tick + RETENTION_TICKS <= self.now;
        self.log.iter().take_while(expired).count() as u8 + 1
    }

    fn open(&self) -> Reader {
        let first = self.first();
        Reader {
            first,
            next: self.log.len() as u8 + 1,
            read: first - 1,
        }
    }

    /// Reads one record. After a gap, the fold is created anew.
    fn read(&mut self, k: usize) -> bool {
        let Some(reader) = self.readers[k] else {
            return false;
        };
        if usize::from(reader.read) == self.log.len() {
            return false;
        }
        if reader.read + 1 < self.first() {
            self.readers[k] = Some(self.open());
            return true;
        }
        self.readers[k] = Some(Reader {
            read: reader.read + 1,
            ..reader
        });
        true
    }

    fn finish(&mut self, i: u8, reply: Reply) -> bool {
        let attempt = &mut self.attempts[usize::from(i)];
        attempt.phase = Phase::Done;
        attempt.reply = Some(reply);
        true
    }

    fn released_before(&self, index: u8, event: Event) -> bool {
        let Event::Claim(i) = event else {
            return false;
        };
        let earlier = &self.log[..usize::from(index)];
        earlier.iter().any(|(_, e)| *e == Event::Release(i))
    }
}

fn offset(number: u8) -> Offset {
    Offset(u64::from(number))
}

fn reply(ran: Ran) -> Reply {
    match ran {
        Ran::No => Reply::NotRun,
        Ran::Maybe => Reply::MayHaveRun,
    }
}

fn alias(record: &mut Record) {
    if let Record::Claim(claim) = record {
        claim.attempt = request::Id(claim.attempt.0 + ALIAS);
    }
}

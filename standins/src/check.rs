//! A check of the whole history: what callers were told, what ran and what was billed.

mod gather;

use crate::load::attempt::Outcome;
use crate::load::report::Exchange;
use serde::{Deserialize, Serialize};
use std::fmt;

pub use gather::{Error, Sources, gather};

/// A request that ran at an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default)]
pub struct Call {
    /// The id of the request.
    pub request: Box<str>,
    /// Its idempotency key, empty where there was none.
    pub key: Box<str>,
    /// The organisation; empty at engines, which are not told.
    pub organisation: Box<str>,
    /// The method and path at a plain service; empty at engines.
    pub path: Box<str>,
    /// The hash of the prompt at an engine; empty at plain services.
    pub digest: Box<str>,
    /// How often it ran.
    pub count: u64,
}

/// A usage record.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Usage {
    /// The request that is billed.
    pub request: Box<str>,
    /// Who is billed.
    pub organisation: Box<str>,
    /// The service.
    pub service: Box<str>,
    /// The whole record, by which copies are told from others.
    #[serde(skip)]
    pub text: Box<str>,
}

/// All that is known of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// What callers were told.
    pub exchanges: Vec<Exchange>,
    /// What ran.
    pub calls: Vec<Call>,
    /// What was billed; copies of a record are billed once.
    pub usage: Vec<Usage>,
}

/// What must not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request that must not be repeated ran more than once.
    RanTwice,
    /// A request that was refused as `not-run` ran.
    NotRunRan,
    /// A request that was refused as `not-run` was billed.
    NotRunBilled,
    /// An answered request was not billed.
    NotBilled,
    /// A request was billed by records that differ, or a key by records of several requests.
    BilledTwice,
    /// A request ran or was billed for another organisation or service.
    WrongOrganisation,
    /// A reply was no answer to its request.
    WrongAnswer,
}

/// A rule that was broken, and by which request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The id of the request or its key.
    pub request: Box<str>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}", self.rule, self.request)
    }
}

/// A history with what is looked up in it in order.
struct Index<'a> {
    by_request: Vec<(&'a str, &'a Call)>,
    by_name: Vec<(&'a str, &'a Call)>,
    /// One usage record for each distinct text.
    usage: Vec<&'a Usage>,
    found: Vec<Violation>,
}

/// All violations of a history, sorted.
pub fn violations(history: &History) -> Vec<Violation> {
    let mut index = Index::new(history);
    for exchange in &history.exchanges {
        index.check(exchange);
    }
    index.found.sort();
    index.found.dedup();
    index.found
}

fn range<'a, T>(sorted: &'a [(&'a str, T)], name: &str) -> &'a [(&'a str, T)] {
    let begin = sorted.partition_point(|entry| entry.0 < name);
    let end = sorted.partition_point(|entry| entry.0 <= name);
    &sorted[begin..end]
}

/// What tells the runs of one exchange from all others: the key, the path of a read, or the hash
/// of the question.
fn name(exchange: &Exchange) -> &str {
    match (&exchange.key, &exchange.path) {
        (Some(key), _) => key,
        (None, Some(path)) => path,
        (None, None) => &exchange.digest,
    }
}

impl<'a> Index<'a> {
    fn new(history: &'a History) -> Self {
        let mut by_request = Vec::new();
        let mut by_name = Vec::new();
        for call in &history.calls {
            by_request.push((&*call.request, call));
            let names = [&call.key, &call.path, &call.digest];
            let name = names.into_iter().find(|name| !name.is_empty());
            by_name.extend(name.map(|name| (&**name, call)));
        }
        let mut usage: Vec<_> = history.usage.iter().collect();
        by_request.sort_unstable();
        by_name.sort_unstable();
        usage.sort_unstable();
        usage.dedup();
        Self {
            by_request,
            by_name,
            usage,
            found: Vec::new(),
        }
    }

    fn billed(&self, request: &str) -> Vec<&'a Usage> {
        let begin = self
            .usage
            .partition_point(|usage| *usage.request < *request);
        let mut billed = Vec::new();
        for usage in &self.usage[begin..] {
            if *usage.request != *request {
                break;
            }
            billed.push(*usage);
        }
        billed
    }

    fn add(&mut self, rule: Rule, request: &str) {
        let request = request.into();
        self.found.push(Violation { rule, request });
    }

    fn check(&mut self, exchange: &Exchange) {
        self.check_runs(exchange);
        let mut billed = 0;
        let mut requests = Vec::new();
        for attempt in &exchange.attempts {
            match attempt {
                Outcome::Answered(answer) => {
                    requests.push(&*answer.request);
                    requests.push(&*answer.ran);
                    if self.billed(&answer.ran).is_empty() {
                        self.add(Rule::NotBilled, &answer.ran);
                    }
                }
                Outcome::Refused { request, run, .. } => {
                    requests.push(&**request);
                    if **run == *"not-run" {
                        self.check_not_run(request);
                    }
                }
                Outcome::Lost { request, .. } => requests.push(&**request),
                Outcome::Wrong { request, .. } => self.add(Rule::WrongAnswer, request),
            }
        }
        requests.sort_unstable();
        requests.dedup();
        for request in requests.into_iter().filter(|request| !request.is_empty()) {
            billed += usize::from(self.check_bill(exchange, request));
        }
        if exchange.key.is_some() && billed > 1 {
            self.add(Rule::BilledTwice, name(exchange));
        }
    }

    /// Checks what ran for any sending of a request.
    fn check_runs(&mut self, exchange: &Exchange) {
        let name = name(exchange);
        let runs: Vec<&Call> = range(&self.by_name, name).iter().map(|run| run.1).collect();
        let count: u64 = runs.iter().map(|call| call.count).sum();
        if exchange.key.is_some() && count > 1 {
            self.add(Rule::RanTwice, name);
        }
        let refused = exchange
            .attempts
            .iter()
            .all(|attempt| matches!(attempt, Outcome::Refused { run, .. } if **run == *"not-run"));
        if refused && count > 0 {
            self.add(Rule::NotRunRan, name);
        }
        for call in runs {
            if !call.organisation.is_empty() && call.organisation != exchange.organisation {
                self.add(Rule::WrongOrganisation, &call.request);
            }
        }
    }

    fn check_not_run(&mut self, request: &str) {
        if request.is_empty() {
            return;
        }
        if !range(&self.by_request, request).is_empty() {
            self.add(Rule::NotRunRan, request);
        }
        if !self.billed(request).is_empty() {
            self.add(Rule::NotRunBilled, request);
        }
    }

    /// Checks the usage of one sending and returns whether there is any.
    fn check_bill(&mut self, exchange: &Exchange, request: &str) -> bool {
        let billed = self.billed(request);
        if billed.len() > 1 {
            self.add(Rule::BilledTwice, request);
        }
        for usage in &billed {
            if usage.organisation != exchange.organisation || usage.service != exchange.service {
                self.add(Rule::WrongOrganisation, request);
            }
        }
        !billed.is_empty()
    }
}

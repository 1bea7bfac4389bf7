//! A consistency check of the history of a run: what callers received, what was executed and what
//! was billed.

mod gather;

use crate::load::attempt::Outcome;
use crate::load::report::Exchange;
use serde::{Deserialize, Serialize};
use std::fmt;

pub use gather::{Error, Sources, gather};

/// A request that was executed by an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default)]
pub struct Call {
    /// Id of the request.
    pub request: Box<str>,
    /// Its idempotency key, empty if there was none.
    pub key: Box<str>,
    /// Organisation that sent it; empty for engines, which do not receive it.
    pub organisation: Box<str>,
    /// Method and path at a plain service; empty for engines.
    pub path: Box<str>,
    /// Hash of the prompt at an engine; empty for plain services.
    pub digest: Box<str>,
    /// Number of times that it was executed.
    pub count: u64,
}

/// A usage record.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Usage {
    /// Request that is billed.
    pub request: Box<str>,
    /// Organisation that is billed.
    pub organisation: Box<str>,
    /// Service that was used.
    pub service: Box<str>,
    /// Text of the complete record, by which copies are recognised.
    #[serde(skip)]
    pub text: Box<str>,
}

/// The recorded history of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests with the results that callers received.
    pub exchanges: Vec<Exchange>,
    /// Requests that upstreams executed.
    pub calls: Vec<Call>,
    /// Usage records; copies of a record are billed once.
    pub usage: Vec<Usage>,
}

/// A consistency rule, named by its violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request that must not be repeated was executed more than once.
    RanTwice,
    /// A request that was refused as `not-run` was executed.
    NotRunRan,
    /// A request that was refused as `not-run` was billed.
    NotRunBilled,
    /// An answered request was not billed.
    NotBilled,
    /// A request was billed by records that differ, or a key by records of several requests.
    BilledTwice,
    /// A request was executed or billed for another organisation or service.
    WrongOrganisation,
    /// A reply did not answer its request.
    WrongAnswer,
}

/// A violation of a rule by a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Violation {
    /// Rule that is violated.
    pub rule: Rule,
    /// Id of the request, or its key.
    pub request: Box<str>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}", self.rule, self.request)
    }
}

/// Lookup tables of a history, sorted by their keys.
struct Index<'a> {
    by_request: Vec<(&'a str, &'a Call)>,
    by_identity: Vec<(&'a str, &'a Call)>,
    /// Usage records without copies, sorted by request.
    usage: Vec<&'a Usage>,
    violations: Vec<Violation>,
}

/// Returns all violations of a history, sorted and without duplicates.
pub fn violations(history: &History) -> Vec<Violation> {
    let mut index = Index::new(history);
    for exchange in &history.exchanges {
        index.check(exchange);
    }
    index.violations.sort();
    index.violations.dedup();
    index.violations
}

fn entries_of<'a, T>(sorted: &'a [(&'a str, T)], identity: &str) -> &'a [(&'a str, T)] {
    let begin = sorted.partition_point(|entry| entry.0 < identity);
    let end = sorted.partition_point(|entry| entry.0 <= identity);
    &sorted[begin..end]
}

/// Returns the value that identifies the executions of one exchange: the key, the path of a read,
/// or the hash of the question.
fn identity(exchange: &Exchange) -> &str {
    match (&exchange.key, &exchange.path) {
        (Some(key), _) => key,
        (None, Some(path)) => path,
        (None, None) => &exchange.digest,
    }
}

impl<'a> Index<'a> {
    fn new(history: &'a History) -> Self {
        let mut by_request = Vec::new();
        let mut by_identity = Vec::new();
        for call in &history.calls {
            by_request.push((&*call.request, call));
            let identities = [&call.key, &call.path, &call.digest];
            let identity = identities.into_iter().find(|identity| !identity.is_empty());
            by_identity.extend(identity.map(|identity| (&**identity, call)));
        }
        let mut usage: Vec<_> = history.usage.iter().collect();
        by_request.sort_unstable();
        by_identity.sort_unstable();
        usage.sort_unstable();
        usage.dedup();
        Self {
            by_request,
            by_identity,
            usage,
            violations: Vec::new(),
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

    fn record_violation(&mut self, rule: Rule, request: &str) {
        let request = request.into();
        self.violations.push(Violation { rule, request });
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
                        self.record_violation(Rule::NotBilled, &answer.ran);
                    }
                }
                Outcome::Refused { request, run, .. } => {
                    requests.push(&**request);
                    if **run == *"not-run" {
                        self.check_not_run(request);
                    }
                }
                Outcome::Lost { request, .. } => requests.push(&**request),
                Outcome::Wrong { request, .. } => self.record_violation(Rule::WrongAnswer, request),
            }
        }
        requests.sort_unstable();
        requests.dedup();
        for request in requests.into_iter().filter(|request| !request.is_empty()) {
            billed += usize::from(self.check_bill(exchange, request));
        }
        if exchange.key.is_some() && billed > 1 {
            self.record_violation(Rule::BilledTwice, identity(exchange));
        }
    }

    /// Checks the executions of all attempts of an exchange.
    fn check_runs(&mut self, exchange: &Exchange) {
        let identity = identity(exchange);
        let executions: Vec<&Call> = entries_of(&self.by_identity, identity)
            .iter()
            .map(|run| run.1)
            .collect();
        let count: u64 = executions.iter().map(|call| call.count).sum();
        if exchange.key.is_some() && count > 1 {
            self.record_violation(Rule::RanTwice, identity);
        }
        let refused = exchange
            .attempts
            .iter()
            .all(|attempt| matches!(attempt, Outcome::Refused { run, .. } if **run == *"not-run"));
        if refused && count > 0 {
            self.record_violation(Rule::NotRunRan, identity);
        }
        for call in executions {
            if !call.organisation.is_empty() && call.organisation != exchange.organisation {
                self.record_violation(Rule::WrongOrganisation, &call.request);
            }
        }
    }

    fn check_not_run(&mut self, request: &str) {
        if request.is_empty() {
            return;
        }
        if !entries_of(&self.by_request, request).is_empty() {
            self.record_violation(Rule::NotRunRan, request);
        }
        if !self.billed(request).is_empty() {
            self.record_violation(Rule::NotRunBilled, request);
        }
    }

    /// Checks the usage records of one request id and returns whether there are any.
    fn check_bill(&mut self, exchange: &Exchange, request: &str) -> bool {
        let billed = self.billed(request);
        if billed.len() > 1 {
            self.record_violation(Rule::BilledTwice, request);
        }
        for usage in &billed {
            if usage.organisation != exchange.organisation || usage.service != exchange.service {
                self.record_violation(Rule::WrongOrganisation, request);
            }
        }
        !billed.is_empty()
    }
}

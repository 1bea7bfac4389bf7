//! Checks of the answers that callers got against the runs at upstreams.

use crate::load::{Kind, Outcome};
use crate::system::{REVOCATION_LIMIT, System};
use crate::upstream::EVENT_COUNT;

/// Statuses with which the router itself answers that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Returns the numbers of requests by status, so that a run without load is noticed.
pub fn summary(outcomes: &[Outcome], system: &System) -> String {
    let mut statuses: Vec<(u16, usize)> = Vec::new();
    for outcome in outcomes {
        let status = outcome.status.unwrap_or(0);
        match statuses.binary_search_by_key(&status, |(other, _)| *other) {
            Ok(index) => statuses[index].1 += 1,
            Err(index) => statuses.insert(index, (status, 1)),
        }
    }
    let runs = system.runs.lock().unwrap().len();
    format!(
        "{} requests, {runs} runs, by status {statuses:?}",
        outcomes.len()
    )
}

/// Returns a description of each violated guarantee.
pub fn audit(outcomes: &[Outcome], system: &System) -> Vec<String> {
    let runs = system.runs.lock().unwrap().clone();
    let mut findings = Vec::new();
    for outcome in outcomes {
        let own_runs: Vec<_> = runs.iter().filter(|run| run.id == outcome.id).collect();
        let mut report = |problem: &str| findings.push(format!("{problem}: {outcome:?}"));
        if outcome.kind == Kind::Unsafe && own_runs.len() > 1 {
            report("ran twice");
        }
        if own_runs.iter().any(|run| run.tenant != tenant(outcome.key)) {
            report("ran for another organisation");
        }
        let status = outcome.status.unwrap_or(0);
        if NOT_RUN_STATUSES.contains(&status) && !outcome.sealed && !own_runs.is_empty() {
            report("refused as not run, but ran");
        }
        if status == 200 && !outcome.sealed {
            report("success without a signature");
        }
        if let (200, Some(body)) = (status, &outcome.body)
            && *body != expected(outcome)
        {
            report("the body differs from the upstream's");
        }
        let revoked = system.revoked.filter(|_| outcome.key == "passing");
        if revoked.is_some_and(|at| outcome.sent > at + REVOCATION_LIMIT) && !own_runs.is_empty() {
            report("ran with a revoked key");
        }
    }
    let sent = |id: &str| outcomes.iter().any(|outcome| outcome.id == id);
    for run in &runs {
        if !sent(&run.id) && !run.id.starts_with("00000000ffff") {
            findings.push(format!("no caller requested {run:?}"));
        }
    }
    findings
}

/// Returns the organisation that a key belongs to.
fn tenant(key: &str) -> &'static str {
    match key {
        "passing" => "schools",
        _ => "clinics",
    }
}

/// Returns the complete body that the upstream sends for a request.
fn expected(outcome: &Outcome) -> String {
    if outcome.kind != Kind::Stream {
        return format!("answer:{}", outcome.id);
    }
    (1..=EVENT_COUNT)
        .map(|event| format!("id: {event}\ndata: e{event}\n\n"))
        .collect()
}

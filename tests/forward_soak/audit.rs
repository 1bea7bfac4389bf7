//! What must hold, by what callers and upstreams saw.

use crate::load::{Kind, Outcome};
use crate::system::{KEY_LIFE, System};
use crate::upstream::EVENTS;

/// Statuses of the router's own that promise that a request did not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// How many requests ended how, so that a run without load is noticed.
pub fn summary(outcomes: &[Outcome], system: &System) -> String {
    let mut statuses: Vec<(u16, usize)> = Vec::new();
    for outcome in outcomes {
        let status = outcome.status.unwrap_or(0);
        match statuses.binary_search_by_key(&status, |(known, _)| *known) {
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

pub fn audit(outcomes: &[Outcome], system: &System) -> Vec<String> {
    let runs = system.runs.lock().unwrap().clone();
    let mut findings = Vec::new();
    for outcome in outcomes {
        let own: Vec<_> = runs.iter().filter(|run| run.id == outcome.id).collect();
        let mut find = |problem: &str| findings.push(format!("{problem}: {outcome:?}"));
        if outcome.kind == Kind::Unsafe && own.len() > 1 {
            find("ran twice");
        }
        if own.iter().any(|run| run.payer != payer(outcome.key)) {
            find("ran for another organisation");
        }
        let status = outcome.status.unwrap_or(0);
        if PROMISES.contains(&status) && !outcome.sealed && !own.is_empty() {
            find("refused as not run, and ran");
        }
        if status == 200 && !outcome.sealed {
            find("success without a signature");
        }
        if let (200, Some(body)) = (status, &outcome.body)
            && *body != expected(outcome)
        {
            find("another body than the upstream's");
        }
        let revoked = system.revoked.filter(|_| outcome.key == "passing");
        if revoked.is_some_and(|at| outcome.sent > at + KEY_LIFE) && !own.is_empty() {
            find("ran with a key that was taken away");
        }
    }
    let sent = |id: &str| outcomes.iter().any(|outcome| outcome.id == id);
    for run in &runs {
        if !sent(&run.id) && !run.id.starts_with("00000000ffff") {
            findings.push(format!("nobody asked for {run:?}"));
        }
    }
    findings
}

fn payer(key: &str) -> &'static str {
    match key {
        "passing" => "schools",
        _ => "clinics",
    }
}

fn expected(outcome: &Outcome) -> String {
    if outcome.kind != Kind::Stream {
        return format!("answer:{}", outcome.id);
    }
    (1..=EVENTS)
        .map(|event| format!("id: {event}\ndata: e{event}\n\n"))
        .collect()
}

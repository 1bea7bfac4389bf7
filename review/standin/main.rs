//! Plays one case of the review: `standin CASE RECORD`. The exit status is 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run. With `TROUBLE=0` there is no disruption.

mod cases;
mod client;
mod http;
mod platform;
mod record;
mod server;
mod store;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// What came of a case.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::open(Path::new(path));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let play = || match case.as_str() {
        "truncated-by-carrier" => cases::truncated_by_carrier(&record, has_trouble),
        "waiting-at-shutdown" => cases::waiting_at_shutdown(&record, has_trouble),
        "silence-at-shutdown" => cases::silence_at_shutdown(&record, has_trouble),
        "stale-ruling" => cases::stale_ruling(&record, has_trouble),
        "revoked-key" => cases::revoked_key(&record, has_trouble),
        _ => Verdict::NotRun,
    };
    // A panic ends the processes that were started, as all else does.
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play));
    let verdict = verdict.unwrap_or(Verdict::NotRun);
    let (code, text) = match verdict {
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::Held => (0, "the rule held"),
        Verdict::NotRun => (2, "the case could not run"),
    };
    record.line(text);
    println!("{case}: {text}");
    ExitCode::from(code)
}

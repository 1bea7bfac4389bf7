//! Cases of the second review: each starts the program of the deploy file before stand-ins of the
//! store, of servers and of clients, and judges what these see.
//!
//! `standin CASE FOLDER` writes `record.txt` in the folder. It exits with 1 if the rule was broken, 0
//! if it held and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod http;
mod store;
mod world;

use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;
use world::Record;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = words.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Record::create(&format!("{folder}/record.txt"));
    record.say(format!("case {case}, disruption {is_troubled}"));
    // A panic ends the processes that were started, as any end of a case does, and is no verdict.
    let verdict = panic::catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "late-entry" => cases::late_entry(&record, is_troubled),
        "cold-again" => cases::cold_again(&record, is_troubled),
        "broken-release" => cases::broken_release(&record, is_troubled),
        "restored-key" => cases::restored_key(&record, is_troubled),
        "doubt" => cases::doubt(&record, is_troubled),
        "false-promise" => cases::false_promise(&record, is_troubled),
        _ => Err(format!("there is no case {case}")),
    }));
    match verdict.unwrap_or_else(|_| Err("a stand-in has panicked".to_owned())) {
        Ok(None) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(breach)) => {
            record.say(format!("the rule was broken: {breach}"));
            ExitCode::from(1)
        }
        Err(problem) => {
            record.say(format!("the case could not run: {problem}"));
            ExitCode::from(2)
        }
    }
}

//! Tests of the fault plan and of the event log checks, without processes.

use googletest::prelude::*;
use harness::soak::audit::{Events, panics, repeated_runs};
use harness::soak::plan::{Fault, InjectedFault, plan};
use serde_json::json;
use standins::check::Call;
use std::path::PathBuf;
use std::time::Duration;

const LOAD_DURATION: Duration = Duration::from_secs(15);
/// Mask of the edit that withdraws advisory-small/1.
const SMALL_1_WITHDRAWN: usize = 1;
/// Mask of the edit that sets advice-1 to leaving.
const ADVICE_1_LEAVING: usize = 1 << 4;

/// An event log in a folder that only one test uses.
struct Log {
    folder: PathBuf,
    text: String,
}

impl Log {
    fn new(test: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let text = String::new();
        Self { folder, text }
    }

    fn add(&mut self, at: u64, kind: &str, fields: &serde_json::Value) {
        let mut event =
            json!({"instance": "entry-1", "clock": format!("{at}.00000"), "kind": kind});
        for (name, value) in fields.as_object().expect("fields have names") {
            event[name] = value.clone();
        }
        self.text.push_str(&format!("{event}\n"));
    }

    fn adopted(&mut self, at: u64, generation: u64, mask: usize) {
        let author = format!("soak-{mask}");
        let fields = json!({"generation": generation, "author": author});
        self.add(at, "adopted", &fields);
    }

    fn sent(&mut self, at: u64, request: &str, version: &str, upstream: &str) {
        let routed = json!({"request": request, "version": version});
        self.add(at, "routed", &routed);
        let sent = json!({"request": request, "upstream": upstream});
        self.add(at, "sent", &sent);
    }

    fn events(&self) -> Events {
        let path = self.folder.join("entry-1.jsonl");
        std::fs::write(path, &self.text).expect("the file can be written");
        Events::read(&self.folder).expect("the file can be read")
    }
}

fn injected(fault: Fault, begin: u64, end: u64) -> InjectedFault {
    InjectedFault {
        begin,
        end,
        fault,
        instance: Some("entry-1".to_owned()),
    }
}

#[gtest]
fn the_seed_determines_the_plan() {
    expect_that!(plan(7, 3, LOAD_DURATION), eq(&plan(7, 3, LOAD_DURATION)));
    expect_that!(
        plan(7, 3, LOAD_DURATION),
        not(eq(&plan(8, 3, LOAD_DURATION)))
    );
}

#[gtest]
fn plans_contain_pairs_kills_and_edits() {
    let mut steps = Vec::new();
    for seed in 0..50 {
        steps.extend(plan(seed, 3, LOAD_DURATION));
    }
    let pairs = steps.windows(2).filter(|two| two[0].begin == two[1].begin);
    expect_that!(pairs.count(), gt(50));
    let kills = steps
        .iter()
        .filter(|step| matches!(step.fault, Fault::Kill(_)));
    expect_that!(kills.count(), gt(5));
    let edits = steps
        .iter()
        .filter(|step| matches!(step.fault, Fault::Edit(_)));
    expect_that!(edits.count(), gt(20));
    expect_true!(steps.iter().all(|step| step.begin < step.end));
}

#[gtest]
fn work_sent_late_to_a_withdrawn_version_is_reported() {
    let mut log = Log::new("withdrawn");
    log.adopted(1000, 2, SMALL_1_WITHDRAWN);
    log.sent(6000, "in-time", "advisory-small/1", "advisory-1");
    log.sent(6001, "late", "advisory-small/1", "advisory-1");
    log.sent(6002, "other", "advisory-large/1", "advisory-1");
    log.adopted(8000, 3, 0);
    log.sent(8001, "after", "advisory-small/1", "advisory-1");
    let barred = log.events().barred_tries(&[]);
    expect_that!(barred.checked_tries, eq(2));
    expect_that!(barred.found.len(), eq(1));
    expect_that!(barred.found[0].detail, contains_substring("late"));
}

#[gtest]
fn a_log_outage_extends_the_time_to_adopt_an_edit() {
    let mut log = Log::new("outage");
    log.adopted(1000, 2, ADVICE_1_LEAVING);
    log.sent(9000, "known", "advice-small/3", "advice-1");
    log.sent(15_000, "late", "advice-small/3", "advice-1");
    let outage = injected(Fault::LogDown, 3000, 8000);
    let barred = log.events().barred_tries(&[outage]);
    expect_that!(barred.found.len(), eq(1));
    expect_that!(barred.found[0].detail, contains_substring("late"));
    for unrelated in [Fault::RatingDown, Fault::LogRefuses, Fault::LogSlow] {
        let fault = injected(unrelated, 3000, 8000);
        expect_that!(log.events().barred_tries(&[fault]).found.len(), eq(2));
    }
}

#[gtest]
fn a_decreasing_generation_is_reported() {
    let mut log = Log::new("reverted");
    log.adopted(1000, 2, 0);
    log.adopted(1001, 4, 0);
    expect_that!(log.events().reverted_generations(), is_empty());
    log.adopted(1002, 3, 0);
    expect_that!(log.events().reverted_generations().len(), eq(1));
}

#[gtest]
fn a_key_that_ran_at_two_services_is_reported() {
    let call = |key: &str| Call {
        key: key.into(),
        count: 1,
        ..Call::default()
    };
    expect_that!(repeated_runs(&[call("a"), call("b"), call("")]), is_empty());
    let twice = repeated_runs(&[call("a"), call("b"), call("a"), call(""), call("")]);
    expect_that!(twice.len(), eq(1));
    expect_that!(twice[0].detail, contains_substring("a ran 2 times"));
}

#[gtest]
fn a_panic_of_an_instance_is_reported() -> anyhow::Result<()> {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("panicked");
    std::fs::create_dir_all(&folder)?;
    std::fs::write(folder.join("entry-1.stderr"), "a warning\n")?;
    expect_that!(panics(&folder)?, is_empty());
    let text = "thread 'main' panicked at src/x.rs:1:1:\nassertion failed\n";
    std::fs::write(folder.join("entry-2.stderr"), text)?;
    expect_that!(panics(&folder)?.len(), eq(1));
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

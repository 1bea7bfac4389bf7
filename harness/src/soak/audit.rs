//! Checks of a run's event logs, in addition to the checks of `standins::check`.

use super::edit::{BarredTarget, EDITS, mask_from_author};
use super::plan::{Fault, InjectedFault};
use anyhow::{Context, Result};
use serde_json::Value;
use standins::check::{Call, History};
use standins::load::attempt::Outcome;
use std::fmt;
use std::path::Path;

/// Time within which an instance has to adopt an edit after its acceptance, in milliseconds.
const ADOPTION_LIMIT_MS: u64 = 5000;

/// A violation of a rule that a run has to keep.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// Description of the violation, with the instances and requests concerned.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.detail)
    }
}

/// An event of an instance's event log.
#[derive(Clone, Debug)]
struct Event {
    at: u64,
    instance: String,
    kind: String,
    request: String,
    fields: Value,
}

impl Event {
    fn parse(line: &str) -> Option<Self> {
        let fields: Value = serde_json::from_str(line).ok()?;
        let text = |name: &str| fields[name].as_str().unwrap_or_default().to_owned();
        let clock = text("clock");
        let at = clock.split('.').next()?.parse().ok()?;
        Some(Self {
            at,
            instance: text("instance"),
            kind: text("kind"),
            request: text("request"),
            fields,
        })
    }
}

/// A period in which an edit was in force, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug)]
struct EditSpan {
    barred_target: BarredTarget,
    begin: u64,
    end: u64,
}

/// Tries that were sent after an instance should have adopted an edit.
#[derive(Debug, Default)]
pub struct BarredTries {
    /// Number of these tries, counted once for each edit.
    pub checked_tries: usize,
    /// Tries that were sent to a target that the edit excludes.
    pub found: Vec<Violation>,
}

impl BarredTries {
    fn check(&mut self, span: EditSpan, event: &Event, version: &str) {
        let upstream = event.fields["upstream"].as_str().unwrap_or_default();
        let barred = match span.barred_target {
            BarredTarget::Version(name) => version == name,
            BarredTarget::Upstreams(names) => names.contains(&upstream),
            BarredTarget::Nothing => false,
        };
        if !barred {
            return;
        }
        let delay_ms = event.at - span.begin;
        self.found.push(Violation {
            rule: "barred-work",
            detail: format!(
                "{} sent {} to {upstream} {version} {delay_ms} ms after the edit {:?}",
                event.instance, event.request, span.barred_target
            ),
        });
    }
}

/// Events of all instances, in the order of their times.
#[derive(Debug, Default)]
pub struct Events(Vec<Event>);

impl Events {
    /// Reads all event logs of a folder, which are its files with the extension `jsonl`.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder or a file can't be read.
    pub fn read(folder: &Path) -> Result<Self> {
        let mut events = Vec::new();
        for entry in std::fs::read_dir(folder)? {
            let path = entry?.path();
            if path
                .extension()
                .is_none_or(|extension| extension != "jsonl")
            {
                continue;
            }
            let text = std::fs::read_to_string(&path).context("reading an event log")?;
            // The last line of a killed instance may be truncated.
            events.extend(text.lines().filter_map(Event::parse));
        }
        events.sort_by_key(|event| event.at);
        Ok(Self(events))
    }

    /// Returns each generation with the mask of its edits and the time at which the first instance
    /// adopted it.
    fn generations(&self) -> Vec<(u64, usize, u64)> {
        let mut generations: Vec<(u64, usize, u64)> = Vec::new();
        for event in self.0.iter().filter(|event| event.kind == "adopted") {
            let generation = event.fields["generation"].as_u64().unwrap_or_default();
            let author = event.fields["author"].as_str().unwrap_or_default();
            if generations.iter().all(|entry| entry.0 != generation) {
                generations.push((generation, mask_from_author(author).unwrap_or(0), event.at));
            }
        }
        generations.sort_unstable();
        generations
    }

    /// Compares all tries with the edits that their instances should have adopted.
    pub fn barred_tries(&self, injected: &[InjectedFault]) -> BarredTries {
        let generations = self.generations();
        let mut barred = BarredTries::default();
        for (bit, edit) in EDITS.iter().enumerate() {
            for (begin, end) in spans(&generations, bit) {
                let span = EditSpan {
                    barred_target: edit.barred_target,
                    begin,
                    end,
                };
                self.check_span(span, injected, &mut barred);
            }
        }
        barred
    }

    fn check_span(&self, span: EditSpan, injected: &[InjectedFault], barred: &mut BarredTries) {
        // Requests and their versions. An escalation event does not name the new version, so its
        // request is removed.
        let mut versions: Vec<(&str, &str)> = Vec::new();
        for event in &self.0 {
            match &*event.kind {
                "routed" => {
                    let version = event.fields["version"].as_str().unwrap_or_default();
                    versions.retain(|entry| entry.0 != event.request);
                    versions.push((&event.request, version));
                    continue;
                }
                "escalated" | "answered" | "refused" | "cancelled" => {
                    versions.retain(|entry| entry.0 != event.request);
                    continue;
                }
                "sent" => {}
                _ => continue,
            }
            let readable_at = readable_since(span.begin, &event.instance, injected);
            if event.at <= readable_at.saturating_add(ADOPTION_LIMIT_MS) || event.at >= span.end {
                continue;
            }
            barred.checked_tries += 1;
            let version = versions.iter().find(|entry| entry.0 == event.request);
            barred.check(span, event, version.map_or("", |entry| entry.1));
        }
    }

    /// Returns a violation for each generation that an instance adopted after a later one.
    pub fn reverted_generations(&self) -> Vec<Violation> {
        let mut last: Vec<(&str, u64)> = Vec::new();
        let mut found = Vec::new();
        for event in self.0.iter().filter(|event| event.kind == "adopted") {
            let generation = event.fields["generation"].as_u64().unwrap_or_default();
            let Some(previous) = last.iter_mut().find(|entry| entry.0 == event.instance) else {
                last.push((&event.instance, generation));
                continue;
            };
            if generation < previous.1 {
                found.push(Violation {
                    rule: "reverted",
                    detail: format!("{} adopted {generation} after {}", previous.0, previous.1),
                });
            }
            previous.1 = generation;
        }
        found
    }

    /// Returns a violation for each answer that was truncated at an instance that was shut down
    /// gracefully.
    pub fn truncated_answers(
        &self,
        history: &History,
        injected: &[InjectedFault],
    ) -> Vec<Violation> {
        let mut found = Vec::new();
        for exchange in &history.exchanges {
            for attempt in &exchange.attempts {
                let Outcome::Lost { request, reason } = attempt else {
                    continue;
                };
                let arrived = self
                    .0
                    .iter()
                    .find(|event| event.kind == "arrived" && *event.request == **request);
                let Some(arrived) = arrived.filter(|_| !request.is_empty()) else {
                    continue;
                };
                let was_terminated = injected.iter().any(|fault| {
                    matches!(fault.fault, Fault::Terminate(_))
                        && fault.instance.as_deref() == Some(&arrived.instance)
                });
                if was_terminated {
                    found.push(Violation {
                        rule: "cut-off",
                        detail: format!("{request} at {}: {reason}", arrived.instance),
                    });
                }
            }
        }
        found
    }
}

/// Returns the periods, in milliseconds, in which the edit of a bit was in the text.
fn spans(generations: &[(u64, usize, u64)], bit: usize) -> Vec<(u64, u64)> {
    let mut spans = Vec::new();
    let mut begin = None;
    for (_, mask, at) in generations {
        let on = mask & 1 << bit != 0;
        match (on, begin) {
            (true, None) => begin = Some(*at),
            (false, Some(since)) => {
                spans.push((since, *at));
                begin = None;
            }
            _ => {}
        }
    }
    spans.extend(begin.map(|since| (since, u64::MAX)));
    spans
}

/// Returns the time since which an instance could read an edit that was accepted at `begin`. Faults
/// that block the instance before its time to adopt the edit has passed postpone this time to their
/// end.
fn readable_since(begin: u64, instance: &str, injected: &[InjectedFault]) -> u64 {
    let mut since = begin;
    for fault in injected {
        let frozen =
            matches!(fault.fault, Fault::Stop(_)) && fault.instance.as_deref() == Some(instance);
        if !frozen && !fault.fault.blocks_log_reads() {
            continue;
        }
        if fault.begin <= since.saturating_add(ADOPTION_LIMIT_MS) && fault.end > since {
            since = fault.end;
        }
    }
    since
}

/// Returns a violation for each panic on the standard error of instances, read from the files of a
/// folder that have the extension `stderr`.
///
/// # Errors
///
/// Returns an error if the folder or a file can't be read.
pub fn panics(folder: &Path) -> Result<Vec<Violation>> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path
            .extension()
            .is_none_or(|extension| extension != "stderr")
        {
            continue;
        }
        let text =
            std::fs::read_to_string(&path).context("reading the standard error of an instance")?;
        for line in text.lines().filter(|line| line.contains("panicked at")) {
            let name = path.file_stem().unwrap_or_default().display();
            found.push(Violation {
                rule: "panicked",
                detail: format!("{name}: {line}"),
            });
        }
    }
    Ok(found)
}

/// Returns a violation for each idempotency key that ran more than once at plain services, even if
/// no caller got an answer that says so.
pub fn repeated_runs(calls: &[Call]) -> Vec<Violation> {
    let mut counts: Vec<(&str, u64)> = Vec::new();
    for call in calls.iter().filter(|call| !call.key.is_empty()) {
        match counts.binary_search_by_key(&&*call.key, |entry| entry.0) {
            Ok(index) => counts[index].1 += call.count,
            Err(index) => counts.insert(index, (&call.key, call.count)),
        }
    }
    let mut found = Vec::new();
    for (key, count) in counts {
        if count > 1 {
            found.push(Violation {
                rule: "ran-twice",
                detail: format!("{key} ran {count} times"),
            });
        }
    }
    found
}

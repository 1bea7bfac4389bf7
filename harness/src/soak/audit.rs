//! Checks of a run's history beyond those of `standins::check`, from the event logs of instances.

use super::edit::{ALL, Bar, mask_of};
use super::plan::{Caused, Fault};
use anyhow::{Context, Result};
use serde_json::Value;
use standins::check::{Call, History};
use standins::load::attempt::Outcome;
use std::fmt;
use std::path::Path;

/// How long after its acceptance an edit may go unheeded, in milliseconds.
const FOLLOW_MS: u64 = 5000;

/// What must not be, and where it was.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Breach {
    /// The rule that was broken.
    pub rule: &'static str,
    /// Where and how.
    pub detail: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.detail)
    }
}

/// An event, with the fields that are looked at.
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

/// An edit that was in the text from one time to another, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug)]
struct Span {
    bars: Bar,
    begin: u64,
    end: u64,
}

/// Sendings while an edit was in force for long enough.
#[derive(Debug, Default)]
pub struct Barred {
    /// How many there were, once for each edit.
    pub compared: usize,
    /// Those that the edit bars.
    pub found: Vec<Breach>,
}

impl Barred {
    fn check(&mut self, span: Span, event: &Event, version: &str) {
        let upstream = event.fields["upstream"].as_str().unwrap_or_default();
        let barred = match span.bars {
            Bar::Version(name) => version == name,
            Bar::Upstreams(names) => names.contains(&upstream),
            Bar::Nothing => false,
        };
        if !barred {
            return;
        }
        let late = event.at - span.begin;
        self.found.push(Breach {
            rule: "barred-work",
            detail: format!(
                "{} sent {} to {upstream} {version} {late} ms after the edit {:?}",
                event.instance, event.request, span.bars
            ),
        });
    }
}

/// The events of all instances, in the order of time.
#[derive(Debug, Default)]
pub struct Events(Vec<Event>);

impl Events {
    /// Reads all event logs of a folder, which are its files with the extension `jsonl`.
    ///
    /// # Errors
    ///
    /// The folder or a file can't be read.
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
            let text = std::fs::read_to_string(&path).context("an event log")?;
            // The last line of a killed instance may be cut off.
            events.extend(text.lines().filter_map(Event::parse));
        }
        events.sort_by_key(|event| event.at);
        Ok(Self(events))
    }

    /// When each generation was first in force anywhere, with the mask of its edits.
    fn generations(&self) -> Vec<(u64, usize, u64)> {
        let mut generations: Vec<(u64, usize, u64)> = Vec::new();
        for event in self.0.iter().filter(|event| event.kind == "adopted") {
            let generation = event.fields["generation"].as_u64().unwrap_or_default();
            let author = event.fields["author"].as_str().unwrap_or_default();
            if generations.iter().all(|known| known.0 != generation) {
                generations.push((generation, mask_of(author).unwrap_or(0), event.at));
            }
        }
        generations.sort_unstable();
        generations
    }

    /// Compares all sendings with the edits that were in force for long enough.
    pub fn barred(&self, caused: &[Caused]) -> Barred {
        let generations = self.generations();
        let mut barred = Barred::default();
        for (bit, edit) in ALL.iter().enumerate() {
            for (begin, end) in spans(&generations, bit) {
                let span = Span {
                    bars: edit.bars,
                    begin,
                    end,
                };
                self.check_span(span, caused, &mut barred);
            }
        }
        barred
    }

    fn check_span(&self, span: Span, caused: &[Caused], barred: &mut Barred) {
        // The version of a request; an escalation does not tell the one that it asks.
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
            let known = reachable_since(span.begin, &event.instance, caused);
            if event.at <= known.saturating_add(FOLLOW_MS) || event.at >= span.end {
                continue;
            }
            barred.compared += 1;
            let version = versions.iter().find(|entry| entry.0 == event.request);
            barred.check(span, event, version.map_or("", |entry| entry.1));
        }
    }

    /// Generations that an instance adopted after a later one.
    pub fn reverted(&self) -> Vec<Breach> {
        let mut last: Vec<(&str, u64)> = Vec::new();
        let mut found = Vec::new();
        for event in self.0.iter().filter(|event| event.kind == "adopted") {
            let generation = event.fields["generation"].as_u64().unwrap_or_default();
            let Some(known) = last.iter_mut().find(|entry| entry.0 == event.instance) else {
                last.push((&event.instance, generation));
                continue;
            };
            if generation < known.1 {
                found.push(Breach {
                    rule: "reverted",
                    detail: format!("{} adopted {generation} after {}", known.0, known.1),
                });
            }
            known.1 = generation;
        }
        found
    }

    /// Answers that broke off at instances that were shut down gracefully.
    pub fn cut_off(&self, history: &History, caused: &[Caused]) -> Vec<Breach> {
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
                let ended = caused.iter().any(|fault| {
                    matches!(fault.fault, Fault::Terminate(_))
                        && fault.instance.as_deref() == Some(&arrived.instance)
                });
                if ended {
                    found.push(Breach {
                        rule: "cut-off",
                        detail: format!("{request} at {}: {reason}", arrived.instance),
                    });
                }
            }
        }
        found
    }
}

/// Times in which the edit of a bit is in the text, in milliseconds.
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

/// Since when an instance could know of an edit: after faults that cut it off and begin before it
/// has had its time.
fn reachable_since(begin: u64, instance: &str, caused: &[Caused]) -> u64 {
    let mut since = begin;
    for fault in caused {
        let frozen =
            matches!(fault.fault, Fault::Stop(_)) && fault.instance.as_deref() == Some(instance);
        if !frozen && !fault.fault.cuts_log() {
            continue;
        }
        if fault.begin <= since.saturating_add(FOLLOW_MS) && fault.end > since {
            since = fault.end;
        }
    }
    since
}

/// Panics that instances told on standard error, in files of a folder with the extension `stderr`.
///
/// # Errors
///
/// The folder or a file can't be read.
pub fn panics(folder: &Path) -> Result<Vec<Breach>> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path
            .extension()
            .is_none_or(|extension| extension != "stderr")
        {
            continue;
        }
        let text = std::fs::read_to_string(&path).context("standard error of an instance")?;
        for line in text.lines().filter(|line| line.contains("panicked at")) {
            let name = path.file_stem().unwrap_or_default().display();
            found.push(Breach {
                rule: "panicked",
                detail: format!("{name}: {line}"),
            });
        }
    }
    Ok(found)
}

/// Keys that ran more than once at plain services, whether or not a caller was told.
pub fn repeated(calls: &[Call]) -> Vec<Breach> {
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
            found.push(Breach {
                rule: "ran-twice",
                detail: format!("{key} ran {count} times"),
            });
        }
    }
    found
}

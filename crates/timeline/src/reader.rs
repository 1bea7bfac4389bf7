//! Reads the event logs of processes.
//!
//! A line that can't be parsed is skipped and reported with its line number: a process that is
//! killed can leave its last line incomplete. Other JSON objects, such as the lines of a log, are
//! ignored.

use crate::event::{Event, Field, Kind, Value};
use crate::timeline::Timeline;
use entity::name::Instance;
use entity::request::Id;
use entity::{Findings, Place};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;

/// Event log of one process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Source {
    /// Events in the order of the lines.
    pub events: Vec<Event>,
    /// Findings for the lines that were skipped.
    pub skipped: Findings,
}

#[derive(Deserialize)]
struct EventLine {
    clock: crate::Timestamp,
    instance: Instance,
    request: Option<Id>,
    kind: Kind,
    #[serde(flatten)]
    fields: BTreeMap<Box<str>, Value>,
}

/// A JSON object of another writer to the same sink, which has no clock.
#[derive(Deserialize)]
struct UnrelatedLine {
    #[serde(default)]
    clock: serde_json::Value,
}

/// Reads the event log of one process.
///
/// # Errors
///
/// Returns any error of reading the input. A line that is not an event is a finding and not an
/// error.
pub fn read(input: impl Read) -> io::Result<Source> {
    let mut input = BufReader::new(input);
    let mut source = Source::default();
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            break;
        }
        let is_terminated = line.ends_with(b"\n");
        match parse(&line) {
            Ok(event) => source.events.push(event),
            Err(_) if line.trim_ascii().is_empty() || is_unrelated(&line) => {}
            Err(error) => add_skipped(&mut source.skipped, number, is_terminated, &error),
        }
    }
    Ok(source)
}

/// Reads the event logs of many processes into one timeline.
///
/// # Errors
///
/// Returns any error of opening or reading one of the files.
pub fn read_files<P: AsRef<Path>>(paths: &[P]) -> io::Result<(Timeline, Findings)> {
    let mut events = Vec::new();
    let mut skipped = Findings::default();
    for path in paths {
        let path = path.as_ref();
        let source = read(std::fs::File::open(path)?)?;
        events.extend(source.events);
        for mut finding in source.skipped.0 {
            finding.place.section = path.to_string_lossy().into();
            skipped.0.push(finding);
        }
    }
    Ok((Timeline::new(events), skipped))
}

fn parse(line: &[u8]) -> serde_json::Result<Event> {
    let line: EventLine = serde_json::from_slice(line)?;
    let mut fields = Vec::new();
    for (name, value) in line.fields {
        fields.push(Field { name, value });
    }
    Ok(Event {
        clock: line.clock,
        instance: line.instance,
        request: line.request,
        kind: line.kind,
        fields,
    })
}

fn is_unrelated(line: &[u8]) -> bool {
    serde_json::from_slice::<UnrelatedLine>(line).is_ok_and(|other| other.clock.is_null())
}

fn add_skipped(skipped: &mut Findings, line: u32, is_terminated: bool, error: &serde_json::Error) {
    let place = Place {
        line,
        ..Place::default()
    };
    if is_terminated {
        let remedy = "a JSON object with clock, instance, kind and fields";
        skipped.add(place, format!("not an event: {error}"), remedy);
    } else {
        let remedy = "a line that ends in a line feed; the process was killed while writing it";
        skipped.add(place, "the last line is incomplete", remedy);
    }
}

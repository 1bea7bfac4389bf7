//! Reading of what processes recorded.
//!
//! A line that can't be read is skipped and reported with its place: a process that is killed can
//! leave its last line torn. Other JSON objects, such as the lines of a log, are passed over.

use crate::event::{Event, Field, Kind, Value};
use crate::timeline::Timeline;
use entity::name::Instance;
use entity::request::Id;
use entity::{Findings, Place};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;

/// The events of one process, and the lines that were skipped.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Source {
    /// Events, in the order of the lines.
    pub events: Vec<Event>,
    /// Lines that were skipped.
    pub skipped: Findings,
}

#[derive(Deserialize)]
struct Line {
    clock: crate::Timestamp,
    instance: Instance,
    request: Option<Id>,
    kind: Kind,
    #[serde(flatten)]
    fields: BTreeMap<Box<str>, Value>,
}

/// A line of something else that shares the sink.
#[derive(Deserialize)]
struct Other {
    #[serde(default)]
    clock: serde_json::Value,
}

/// Reads the lines of one process.
///
/// # Errors
///
/// Returns the error of reading; a line that is no event is a finding and no error.
pub fn read(input: impl Read) -> io::Result<Source> {
    let mut input = BufReader::new(input);
    let mut source = Source::default();
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            break;
        }
        let whole = line.ends_with(b"\n");
        match parse(&line) {
            Ok(event) => source.events.push(event),
            Err(_) if line.trim_ascii().is_empty() || is_other(&line) => {}
            Err(error) => skip(&mut source.skipped, number, whole, &error),
        }
    }
    Ok(source)
}

/// Reads the files of many processes into one order.
///
/// # Errors
///
/// Returns the error of reading one of them.
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
    let line: Line = serde_json::from_slice(line)?;
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

fn is_other(line: &[u8]) -> bool {
    serde_json::from_slice::<Other>(line).is_ok_and(|other| other.clock.is_null())
}

fn skip(skipped: &mut Findings, line: u32, whole: bool, error: &serde_json::Error) {
    let place = Place {
        line,
        ..Place::default()
    };
    if whole {
        let remedy = "a JSON object with clock, instance, kind and fields";
        skipped.add(place, format!("not an event: {error}"), remedy);
    } else {
        let remedy = "a line that ends in a line feed; the process was killed while it wrote";
        skipped.add(place, "the last line is torn", remedy);
    }
}

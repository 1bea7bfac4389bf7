//! Rendering of a time line as text and as a page.

use crate::event::Event;
use crate::timeline::Timeline;
use serde_json::{Value, json};
use std::fmt::Write;

/// The page, in which the events are put in place of [`EVENTS`].
const PAGE: &str = include_str!("page.html");
/// The place of the events in the page.
const EVENTS: &str = "/* EVENTS */";

/// One line for each event: its timestamp, instance, kind, request and fields.
pub fn text<'a>(events: impl IntoIterator<Item = &'a Event>) -> String {
    let mut out = String::new();
    for event in events {
        let Event {
            clock,
            instance,
            kind,
            ..
        } = event;
        let _ = write!(out, "{clock} {instance:<16} {kind:<14}");
        match event.request {
            Some(request) => {
                let _ = write!(out, " {request}");
            }
            None => out.push_str(" -"),
        }
        for field in &event.fields {
            let _ = write!(out, " {}={}", field.name, field.value);
        }
        out.push('\n');
    }
    out
}

/// A page that needs nothing else: a lane for each instance, with filters by request and kind.
pub fn page(timeline: &Timeline) -> String {
    let mut events = Vec::new();
    for event in timeline.events() {
        events.push(row(event));
    }
    let data = json!({"instances": timeline.instances(), "events": events});
    // Without this, a field could end the script element that holds the data.
    let data = data.to_string().replace('<', "\\u003c");
    PAGE.replacen(EVENTS, &data, 1)
}

fn row(event: &Event) -> Value {
    let mut fields = String::new();
    for field in &event.fields {
        if !fields.is_empty() {
            fields.push(' ');
        }
        let _ = write!(fields, "{}={}", field.name, field.value);
    }
    json!({
        "clock": event.clock,
        "instance": event.instance,
        "kind": event.kind,
        "request": event.request,
        "fields": fields,
    })
}

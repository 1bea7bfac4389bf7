//! Renders a timeline as text or as an HTML page.

use crate::event::Event;
use crate::timeline::Timeline;
use serde_json::{Value, json};
use std::fmt::Write;

/// Template of the page, in which the events replace [`EVENTS_PLACEHOLDER`].
const PAGE_TEMPLATE: &str = include_str!("page.html");
/// Placeholder of the events in the template.
const EVENTS_PLACEHOLDER: &str = "/* EVENTS */";

/// Returns one line for each event, with its timestamp, instance, kind, request and fields.
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

/// Returns a self-contained HTML page with a lane for each instance and filters by request and
/// kind.
pub fn page(timeline: &Timeline) -> String {
    let mut events = Vec::new();
    for event in timeline.events() {
        events.push(row(event));
    }
    let data = json!({"instances": timeline.instances(), "events": events});
    // Prevents a field from closing the script element that contains the data.
    let data = data.to_string().replace('<', "\\u003c");
    PAGE_TEMPLATE.replacen(EVENTS_PLACEHOLDER, &data, 1)
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

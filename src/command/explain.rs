//! `citrontrack explain`: describes the path of one request in plain words.

use crate::command::FINDINGS;
use anyhow::Result;
use argh::FromArgs;
use entity::request;
use serde::Serialize;
use std::process::ExitCode;
use timeline::{Event, Kind};

/// Tell the way of one request by the event logs of all instances.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// one JSON object a line
    #[argh(switch)]
    json: bool,
    /// id of the request, as its caller sent it or as the logs have it
    #[argh(positional)]
    request: String,
    /// event logs, one for each process
    #[argh(positional)]
    files: Vec<String>,
}

/// A step in the path of a request.
#[derive(Serialize)]
struct Step<'a> {
    /// Milliseconds since the first step.
    after_ms: u64,
    instance: &'a str,
    text: String,
}

impl Explain {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode> {
        anyhow::ensure!(!self.files.is_empty(), "give the event log of a process");
        let (timeline, findings) = timeline::reader::read_files(&self.files)?;
        if !findings.is_empty() {
            eprintln!("{findings}");
        }
        let path = timeline.path(id(&self.request));
        let Some(first) = path.first() else {
            eprintln!("no log has an event of request {}", self.request);
            return Ok(ExitCode::from(FINDINGS));
        };
        let start_ms = first.clock.millis();
        for event in &path {
            let step = Step {
                after_ms: event.clock.millis().saturating_sub(start_ms),
                instance: event.instance.as_str(),
                text: describe(event),
            };
            if self.json {
                println!("{}", serde_json::to_string(&step)?);
            } else {
                println!("{:>7} ms  {}  {}", step.after_ms, step.instance, step.text);
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn id(text: &str) -> request::Id {
    server::forward::timeline_id(text)
}

/// Describes an event in words, with all its fields.
fn describe(event: &Event) -> String {
    let field = |name: &str| {
        let value = event.field(name);
        value.map_or_else(|| "?".to_owned(), ToString::to_string)
    };
    let summary = match event.kind {
        Kind::Routed => format!(
            "routed by {} to {} for {}",
            field("route"),
            field("release"),
            field("organisation"),
        ),
        Kind::Sent => format!(
            "sent to upstream {} as try {}",
            field("upstream"),
            field("try")
        ),
        Kind::FirstByte => format!("first event from upstream {}", field("upstream")),
        Kind::Failed => format!(
            "upstream {} failed: {}",
            field("upstream"),
            field("failure")
        ),
        Kind::Retried => "tried again within the bound on repeats".to_owned(),
        Kind::Escalated => "the smallest model doubts its answer: the largest is asked".to_owned(),
        Kind::Accepted => {
            "a doubtful answer is taken, as a better one is not affordable".to_owned()
        }
        Kind::Answered => "answered whole".to_owned(),
        Kind::Refused => format!("refused ({}): {}", field("code"), field("why")),
        Kind::Cancelled => "given up: the caller has gone, or the answer is overdue".to_owned(),
        kind => kind.to_string(),
    };
    let mut details = Vec::new();
    for field in &event.fields {
        details.push(format!("{} {}", field.name, field.value));
    }
    if details.is_empty() {
        return summary;
    }
    format!("{summary} [{}]", details.join(", "))
}

//! The parser of settings.

use crate::model::{Instance, Instances, Limits, Log, Settings, Sink};
use config::{Document, Reader, Section};
use entity::time::Span;
use entity::unit::{Bytes, Share};
use entity::{Findings, Place};
use std::net::SocketAddr;
use std::path::Path;

const ADDRESS: &str = "an IP number and a port, such as 10.0.0.1:8000";
const NAME: &str = "a name such as entry-1";
const SECRET: &str = "the same long random text at all instances";
const SPAN: &str = "a time such as 30s";
const SIZE: &str = "a size such as 8MiB";
const SHARE: &str = "a share such as 10%";
const COUNT: &str = "a whole number";

const LOG_TIMEOUT: Span = Span::from_secs(2);
const LOG_POLL: Span = Span::from_secs(5);
const LOG_RETENTION: Span = Span::from_secs(3600);
const INSTANCES_POLL: Span = Span::from_secs(1);
const INSTANCES_LAG: Span = Span::from_secs(5);
const BODY: Bytes = Bytes(8 << 20);
const HEADER: Bytes = Bytes(16 << 10);
const QUEUE: u32 = 256;
const ISOLATION: Span = Span::from_secs(12);
const DRAIN: Span = Span::from_secs(120);
const RETRY_BUDGET: Share = Share::percent(10);
const USAGE_DELAY: Span = Span::from_millis(5);

const SECTIONS: [&str; 8] = [
    "instance",
    "log",
    "instances",
    "rating",
    "weights",
    "metrics",
    "timeline",
    "limits",
];

/// Reads the settings of a process.
///
/// # Errors
///
/// Every finding of the whole text, sorted by place.
pub fn parse(text: &str) -> Result<Settings, Findings> {
    let mut findings = Findings::default();
    let document = Document::read(text, &mut findings);
    check_headers(&document, &mut findings);
    match settings(&document, &mut findings) {
        Some(settings) => findings.or(settings),
        None => Err(findings.or(()).expect_err("a missing value is a finding")),
    }
}

fn check_headers(document: &Document<'_>, findings: &mut Findings) {
    for (index, section) in document.sections.iter().enumerate() {
        let place = Place {
            line: section.line,
            section: section.header.into(),
            key: "".into(),
        };
        if !SECTIONS.contains(&section.header) {
            let remedy = format!("the sections are {}", SECTIONS.join(", "));
            findings.add(place, "unknown section", remedy);
            continue;
        }
        let mut earlier = document.sections[..index].iter();
        if let Some(first) = earlier.find(|first| first.header == section.header) {
            let problem = format!("the section is there already, in line {}", first.line);
            findings.add(place, problem, "keep one of the two");
        }
    }
}

fn settings(document: &Document<'_>, findings: &mut Findings) -> Option<Settings> {
    let instance = required(document, "instance", findings, instance);
    let log = required(document, "log", findings, log);
    let instances = required(document, "instances", findings, instances);
    let rating = optional(document, "rating", findings, address);
    let weights = optional(document, "weights", findings, address);
    let statsd = optional(document, "metrics", findings, |reader| {
        reader.required("statsd", ADDRESS)
    });
    let timeline = optional(document, "timeline", findings, sink);
    let limits = optional(document, "limits", findings, |reader| Some(limits(reader)));
    let limits = limits.unwrap_or(DEFAULT_LIMITS);
    if let Some(log) = &log {
        check_spans(document, log, &limits, findings);
    }
    Some(Settings {
        instance: instance?,
        log: log?,
        instances: instances?,
        rating,
        weights,
        statsd,
        timeline: timeline.unwrap_or(Sink::Stderr),
        limits,
    })
}

type Read<T> = fn(&mut Reader<'_, '_>) -> Option<T>;

fn required<T>(
    document: &Document<'_>,
    header: &'static str,
    findings: &mut Findings,
    read: Read<T>,
) -> Option<T> {
    if find(document, header).is_none() {
        let problem = format!("the section [{header}] is missing");
        findings.add(Place::default(), problem, format!("add [{header}]"));
        return None;
    }
    optional(document, header, findings, read)
}

fn optional<T>(
    document: &Document<'_>,
    header: &'static str,
    findings: &mut Findings,
    read: Read<T>,
) -> Option<T> {
    let mut reader = Reader::new(find(document, header)?, findings);
    let value = read(&mut reader);
    reader.finish();
    value
}

fn find<'d, 'a>(document: &'d Document<'a>, header: &str) -> Option<&'d Section<'a>> {
    let mut sections = document.sections.iter();
    sections.find(|section| section.header == header)
}

fn instance(reader: &mut Reader<'_, '_>) -> Option<Instance> {
    let name = reader.required("name", NAME);
    let zone = reader.required("zone", NAME);
    let region = reader.required("region", NAME);
    let caller_address = reader.required("caller-address", ADDRESS);
    let fellow_address = reader.required("fellow-address", ADDRESS);
    let operator_address = reader.optional("operator-address", ADDRESS);
    let secret = reader.confidential("secret", SECRET);
    let (caller_address, fellow_address): (SocketAddr, SocketAddr) =
        (caller_address?, fellow_address?);
    if caller_address == fellow_address && caller_address.port() != 0 {
        let problem = "the address is that of caller-address too";
        reader.add("fellow-address", problem, "give another port");
    }
    if fellow_address.ip().is_unspecified() {
        let problem = "other instances can't reach an unspecified address";
        reader.add(
            "fellow-address",
            problem,
            "give the IP number of this instance",
        );
    }
    Some(Instance {
        name: name?,
        zone: zone?,
        region: region?,
        caller_address,
        fellow_address,
        operator_address,
        secret: secret?,
    })
}

fn log(reader: &mut Reader<'_, '_>) -> Option<Log> {
    let address = address(reader);
    let timeout = span(reader, "timeout", LOG_TIMEOUT);
    let poll = span(reader, "poll", LOG_POLL);
    let retention = span(reader, "retention", LOG_RETENTION);
    Some(Log {
        address: address?,
        timeout,
        poll,
        retention,
    })
}

fn instances(reader: &mut Reader<'_, '_>) -> Option<Instances> {
    let address = address(reader);
    let poll = span(reader, "poll", INSTANCES_POLL);
    let lag = span(reader, "lag", INSTANCES_LAG);
    Some(Instances {
        address: address?,
        poll,
        lag,
    })
}

fn address(reader: &mut Reader<'_, '_>) -> Option<SocketAddr> {
    reader.required("address", ADDRESS)
}

/// A span that is not zero.
fn span(reader: &mut Reader<'_, '_>, key: &'static str, default: Span) -> Span {
    let span = reader.optional(key, SPAN).unwrap_or(default);
    if span == Span::ZERO {
        reader.add(key, "no time at all", SPAN);
    }
    span
}

/// What stands for standard error in `[timeline] path`.
const STDERR: &str = "stderr";

fn sink(reader: &mut Reader<'_, '_>) -> Option<Sink> {
    let path: Box<str> = reader
        .required::<String>("path", "a path, or stderr")?
        .into();
    if path.is_empty() {
        reader.add("path", "no path at all", "a path, or stderr");
        return None;
    }
    if &*path == STDERR {
        return Some(Sink::Stderr);
    }
    Some(Sink::File(Path::new(&*path).into()))
}

const DEFAULT_LIMITS: Limits = Limits {
    body: BODY,
    header: HEADER,
    queue: QUEUE,
    isolation: ISOLATION,
    drain: DRAIN,
    retry_budget: RETRY_BUDGET,
    usage_delay: USAGE_DELAY,
};

fn limits(reader: &mut Reader<'_, '_>) -> Limits {
    let limits = Limits {
        body: reader.optional("body", SIZE).unwrap_or(BODY),
        header: reader.optional("header", SIZE).unwrap_or(HEADER),
        queue: reader.optional("queue", COUNT).unwrap_or(QUEUE),
        isolation: span(reader, "isolation", ISOLATION),
        drain: span(reader, "drain", DRAIN),
        retry_budget: reader
            .optional("retry-budget", SHARE)
            .unwrap_or(RETRY_BUDGET),
        usage_delay: reader.optional("usage-delay", SPAN).unwrap_or(USAGE_DELAY),
    };
    for (key, size) in [("body", limits.body), ("header", limits.header)] {
        if size == Bytes(0) {
            reader.add(key, "no request would fit", SIZE);
        }
    }
    limits
}

/// An instance in good health hears from the log within `poll` and `timeout`, so that a shorter
/// `isolation` would refuse without a cause.
fn check_spans(document: &Document<'_>, log: &Log, limits: &Limits, findings: &mut Findings) {
    let quiet = log.poll.duration() + log.timeout.duration();
    if limits.isolation.duration() > quiet {
        return;
    }
    let place = match find(document, "limits") {
        Some(section) => section.place("isolation"),
        None => find(document, "log").map_or_else(Place::default, |log| log.place("poll")),
    };
    let problem = format!(
        "isolation of {} is not over poll and timeout of [log]",
        limits.isolation
    );
    findings.add(place, problem, format!("more than {}", Span::from(quiet)));
}

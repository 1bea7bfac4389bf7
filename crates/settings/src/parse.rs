//! The parser of settings texts.

use crate::model::{Instance, Instances, Limits, Log, Settings, Sink};
use config::{Document, Reader, Section};
use entity::time::Span;
use entity::unit::{Bytes, Share};
use entity::{Findings, Place};
use std::net::SocketAddr;
use std::path::Path;

const ADDRESS_REMEDY: &str = "an IP address and a port, such as 10.0.0.1:8000";
const NAME_REMEDY: &str = "a name such as entry-1";
const SECRET_REMEDY: &str = "the same long random text at all instances";
const SPAN_REMEDY: &str = "a time such as 30s";
const SIZE_REMEDY: &str = "a size such as 8MiB";
const SHARE_REMEDY: &str = "a share such as 10%";
const COUNT_REMEDY: &str = "a whole number";

const DEFAULT_LOG_TIMEOUT: Span = Span::from_secs(2);
const DEFAULT_LOG_POLL: Span = Span::from_secs(5);
const DEFAULT_LOG_RETENTION: Span = Span::from_secs(3600);
const DEFAULT_INSTANCES_POLL: Span = Span::from_secs(1);
const DEFAULT_INSTANCES_LAG: Span = Span::from_secs(5);
const DEFAULT_MAX_BODY: Bytes = Bytes(8 << 20);
const DEFAULT_MAX_HEADER: Bytes = Bytes(16 << 10);
const DEFAULT_MAX_QUEUED_REQUESTS: u32 = 256;
const DEFAULT_ISOLATION: Span = Span::from_secs(12);
const DEFAULT_DRAIN: Span = Span::from_secs(120);
const DEFAULT_RETRY_BUDGET: Share = Share::percent(10);
const DEFAULT_USAGE_DELAY: Span = Span::from_millis(5);

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

/// Parses the settings of a process.
///
/// # Errors
///
/// Returns all findings of the text, sorted by place.
pub fn parse(text: &str) -> Result<Settings, Findings> {
    let mut findings = Findings::default();
    let document = Document::read(text, &mut findings);
    check_headers(&document, &mut findings);
    match settings(&document, &mut findings) {
        Some(settings) => findings.into_result(settings),
        None => Err(findings
            .into_result(())
            .expect_err("a missing value is a finding")),
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
            let problem = format!("duplicate section, first in line {}", first.line);
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
        reader.required("statsd", ADDRESS_REMEDY)
    });
    let timeline = optional(document, "timeline", findings, sink);
    let limits = optional(document, "limits", findings, |reader| Some(limits(reader)));
    let limits = limits.unwrap_or(DEFAULT_LIMITS);
    if let Some(log) = &log {
        check_isolation(document, log, &limits, findings);
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

type SectionReader<T> = fn(&mut Reader<'_, '_>) -> Option<T>;

fn required<T>(
    document: &Document<'_>,
    header: &'static str,
    findings: &mut Findings,
    read: SectionReader<T>,
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
    read: SectionReader<T>,
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
    let name = reader.required("name", NAME_REMEDY);
    let zone = reader.required("zone", NAME_REMEDY);
    let region = reader.required("region", NAME_REMEDY);
    let caller_address = reader.required("caller-address", ADDRESS_REMEDY);
    let peer_address = reader.required("fellow-address", ADDRESS_REMEDY);
    let operator_address = reader.optional("operator-address", ADDRESS_REMEDY);
    let secret = reader.confidential("secret", SECRET_REMEDY);
    let (caller_address, peer_address): (SocketAddr, SocketAddr) = (caller_address?, peer_address?);
    if caller_address == peer_address && caller_address.port() != 0 {
        let problem = "the address is the same as caller-address";
        reader.add("fellow-address", problem, "give another port");
    }
    if peer_address.ip().is_unspecified() {
        let problem = "other instances can't reach an unspecified address";
        reader.add(
            "fellow-address",
            problem,
            "give the IP address of this instance",
        );
    }
    Some(Instance {
        name: name?,
        zone: zone?,
        region: region?,
        caller_address,
        peer_address,
        operator_address,
        secret: secret?,
    })
}

fn log(reader: &mut Reader<'_, '_>) -> Option<Log> {
    let address = address(reader);
    let timeout = span(reader, "timeout", DEFAULT_LOG_TIMEOUT);
    let poll = span(reader, "poll", DEFAULT_LOG_POLL);
    let retention = span(reader, "retention", DEFAULT_LOG_RETENTION);
    Some(Log {
        address: address?,
        timeout,
        poll,
        retention,
    })
}

fn instances(reader: &mut Reader<'_, '_>) -> Option<Instances> {
    let address = address(reader);
    let poll = span(reader, "poll", DEFAULT_INSTANCES_POLL);
    let lag = span(reader, "lag", DEFAULT_INSTANCES_LAG);
    Some(Instances {
        address: address?,
        poll,
        lag,
    })
}

fn address(reader: &mut Reader<'_, '_>) -> Option<SocketAddr> {
    reader.required("address", ADDRESS_REMEDY)
}

/// Reads an optional span and reports it if it is zero.
fn span(reader: &mut Reader<'_, '_>, key: &'static str, default: Span) -> Span {
    let span = reader.optional(key, SPAN_REMEDY).unwrap_or(default);
    if span == Span::ZERO {
        reader.add(key, "the time is 0", SPAN_REMEDY);
    }
    span
}

/// Value of `[timeline] path` that selects standard error.
const STDERR: &str = "stderr";

fn sink(reader: &mut Reader<'_, '_>) -> Option<Sink> {
    let path: Box<str> = reader
        .required::<String>("path", "a path, or stderr")?
        .into();
    if path.is_empty() {
        reader.add("path", "the path is empty", "a path, or stderr");
        return None;
    }
    if &*path == STDERR {
        return Some(Sink::Stderr);
    }
    Some(Sink::File(Path::new(&*path).into()))
}

const DEFAULT_LIMITS: Limits = Limits {
    body: DEFAULT_MAX_BODY,
    header: DEFAULT_MAX_HEADER,
    queue: DEFAULT_MAX_QUEUED_REQUESTS,
    isolation: DEFAULT_ISOLATION,
    drain: DEFAULT_DRAIN,
    retry_budget: DEFAULT_RETRY_BUDGET,
    usage_delay: DEFAULT_USAGE_DELAY,
};

fn limits(reader: &mut Reader<'_, '_>) -> Limits {
    let limits = Limits {
        body: reader
            .optional("body", SIZE_REMEDY)
            .unwrap_or(DEFAULT_MAX_BODY),
        header: reader
            .optional("header", SIZE_REMEDY)
            .unwrap_or(DEFAULT_MAX_HEADER),
        queue: reader
            .optional("queue", COUNT_REMEDY)
            .unwrap_or(DEFAULT_MAX_QUEUED_REQUESTS),
        isolation: span(reader, "isolation", DEFAULT_ISOLATION),
        drain: span(reader, "drain", DEFAULT_DRAIN),
        retry_budget: reader
            .optional("retry-budget", SHARE_REMEDY)
            .unwrap_or(DEFAULT_RETRY_BUDGET),
        usage_delay: reader
            .optional("usage-delay", SPAN_REMEDY)
            .unwrap_or(DEFAULT_USAGE_DELAY),
    };
    for (key, size) in [("body", limits.body), ("header", limits.header)] {
        if size == Bytes(0) {
            reader.add(key, "no request would fit", SIZE_REMEDY);
        }
    }
    limits
}

/// Checks that `isolation` exceeds `poll` + `timeout` of the log. A healthy instance receives a reply
/// from the log within that time; a shorter `isolation` would make it refuse requests needlessly.
fn check_isolation(document: &Document<'_>, log: &Log, limits: &Limits, findings: &mut Findings) {
    let max_reply_gap = log.poll.duration() + log.timeout.duration();
    if limits.isolation.duration() > max_reply_gap {
        return;
    }
    let place = match find(document, "limits") {
        Some(section) => section.place("isolation"),
        None => find(document, "log").map_or_else(Place::default, |log| log.place("poll")),
    };
    let problem = format!(
        "isolation of {} does not exceed poll + timeout of [log]",
        limits.isolation
    );
    findings.add(
        place,
        problem,
        format!("more than {}", Span::from(max_reply_gap)),
    );
}

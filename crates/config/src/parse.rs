//! The parser of configuration texts.

use crate::document::{Document, Section};
use crate::model::{
    AdminState, Config, Fencing, Kind, Organisation, Repeat, Rollout, Route, Service, Stage,
    Upstream, Version, Zone,
};
use crate::outline::{self, Named, Outline, find};
use crate::reader::Reader;
use crate::verify::{self, Draft};
use entity::id::{self, Id};
use entity::time::Span;
use entity::unit::{Cost, Share};
use entity::{Findings, Map, Place, name};
use std::net::{Ipv4Addr, SocketAddr};

/// Maximum length of a text, in bytes when encoded as a JSON string. A publication and a checkpoint
/// with the text must each fit into one record of the platform's log (256 KiB), together with their
/// other fields.
pub const MAX_ENCODED_BYTES: usize = 248 * 1024;

const PRICE_REMEDY: &str = "an amount such as 0.25cr";
const SHARE_REMEDY: &str = "a share such as 12.5%";
const COUNT_REMEDY: &str = "a whole number";
const SPAN_REMEDY: &str = "a time such as 30s";

/// Parses and verifies a configuration text.
///
/// # Errors
///
/// Returns all findings of the text, sorted by place.
pub fn parse(text: &str) -> Result<Config, Findings> {
    let mut findings = Findings::default();
    check_size(text, &mut findings);
    if !findings.is_empty() {
        return Err(findings);
    }
    check_characters(text, &mut findings);
    let document = Document::read(text, &mut findings);
    let outline = Outline::new(document, &mut findings);
    let draft = read_sections(outline, &mut findings);
    verify::verify(&draft, &mut findings);
    findings.into_result(draft.config)
}

/// Returns the length of a text when encoded as a JSON string, in bytes without the quotes. The text
/// must have no control characters except tabs and line ends.
pub fn encoded_bytes(text: &str) -> usize {
    let escaped = text.bytes().filter(|byte| b"\"\\\n\r\t".contains(byte));
    text.len() + escaped.count()
}

fn check_size(text: &str, findings: &mut Findings) {
    let bytes = encoded_bytes(text);
    if bytes > MAX_ENCODED_BYTES {
        let problem = format!("the text has {bytes} bytes as a JSON string");
        let remedy = format!("at most {MAX_ENCODED_BYTES} fit into a record of the log");
        findings.add(Place::default(), problem, remedy);
    }
}

fn check_characters(text: &str, findings: &mut Findings) {
    for (index, line) in text.lines().enumerate() {
        if !line.contains(|c: char| c.is_control() && c != '\t' && c != '\r') {
            continue;
        }
        let place = Place {
            line: u32::try_from(index + 1).unwrap_or(u32::MAX),
            ..Place::default()
        };
        findings.add(place, "a control character", "remove it");
    }
}

fn read_sections<'a>(outline: Outline<'a>, findings: &mut Findings) -> Draft<'a> {
    let mut draft = Draft::default();
    for named in &outline.zones {
        let mut reader = Reader::new(&named.section, findings);
        draft.config.zones.push(zone(named, &mut reader));
        draft.clean.zones.push(reader.finish());
    }
    for named in &outline.services {
        let mut reader = Reader::new(&named.section, findings);
        draft
            .config
            .services
            .push(service(&outline, named, &mut reader));
        draft.clean.services.push(reader.finish());
    }
    for named in &outline.versions {
        let mut reader = Reader::new(&named.section, findings);
        draft.config.versions.push(version(named, &mut reader));
        draft.clean.versions.push(reader.finish());
    }
    for named in &outline.upstreams {
        let mut reader = Reader::new(&named.section, findings);
        draft
            .config
            .upstreams
            .push(upstream(&outline, named, &mut reader));
        draft.clean.upstreams.push(reader.finish());
    }
    for named in &outline.organisations {
        let mut reader = Reader::new(&named.section, findings);
        let organisation = organisation(&outline, named, &mut reader);
        draft.config.organisations.push(organisation);
        draft.clean.organisations.push(reader.finish());
    }
    for header in &outline.routes {
        let mut reader = Reader::new(&header.section, findings);
        draft.config.routes.push(route(header, &mut reader));
        draft.clean.routes.push(reader.finish());
    }
    for header in &outline.rollouts {
        let mut reader = Reader::new(&header.section, findings);
        draft
            .config
            .rollouts
            .push(rollout(&outline, header, &mut reader));
        draft.clean.rollouts.push(reader.finish());
    }
    draft.outline = outline;
    draft
}

fn zone(named: &Named<'_, name::Zone>, reader: &mut Reader<'_, '_>) -> Zone {
    let region = reader.required("region", "the name of a region");
    Zone {
        region: region.unwrap_or_else(|| "unknown".parse().expect("a valid name")),
        state: admin_state(reader, "out"),
        name: named.name.clone(),
    }
}

fn admin_state(reader: &mut Reader<'_, '_>, out: &str) -> AdminState {
    let choices = [("in", AdminState::In), (out, AdminState::Out)];
    let state = reader.choice("state", &choices, Some(AdminState::In));
    state.unwrap_or(AdminState::In)
}

const SERVICE_KINDS: [(&str, Kind); 2] = [("chat", Kind::Chat), ("plain", Kind::Plain)];
const YES_NO: [(&str, bool); 2] = [("yes", true), ("no", false)];

fn service(
    outline: &Outline<'_>,
    named: &Named<'_, name::Service>,
    reader: &mut Reader<'_, '_>,
) -> Service {
    let kind = reader.choice("kind", &SERVICE_KINDS, None);
    let depends = reader.references("depends", "service", |name| find(&outline.services, name));
    let mut service = Service {
        name: named.name.clone(),
        kind: kind.unwrap_or(Kind::Plain),
        depends,
        versions: Vec::new(),
        quality: Share::WHOLE,
        cascade: false,
        deadline: reader
            .required("deadline", SPAN_REMEDY)
            .unwrap_or(Span::ZERO),
        models: Vec::new(),
    };
    // If the kind can't be read, the keys of both kinds are accepted.
    if kind == Some(Kind::Plain) {
        return service;
    }
    service.versions =
        reader.references("versions", "version", |name| find(&outline.versions, name));
    service.cascade = reader.choice("cascade", &YES_NO, Some(false)) == Some(true);
    if kind.is_none() {
        reader.optional::<Share>("quality", SHARE_REMEDY);
        return service;
    }
    if service.versions.is_empty() {
        reader.add(
            "versions",
            "a chat service needs a version",
            "list its versions",
        );
    }
    service.quality = reader
        .required("quality", SHARE_REMEDY)
        .unwrap_or(Share::WHOLE);
    service
}

const STAGES: [(&str, Stage); 2] = [("active", Stage::Active), ("withdrawn", Stage::Withdrawn)];

fn version(named: &Named<'_, name::Version>, reader: &mut Reader<'_, '_>) -> Version {
    let model = reader.required("model", "the name of a model");
    let stage = reader.choice("state", &STAGES, Some(Stage::Active));
    Version {
        model: model.unwrap_or_else(|| "unknown".parse().expect("a valid name")),
        price_in: reader.required("price-in", PRICE_REMEDY).unwrap_or(Cost(0)),
        price_out: reader
            .required("price-out", PRICE_REMEDY)
            .unwrap_or(Cost(0)),
        stage: stage.unwrap_or(Stage::Active),
        name: named.name.clone(),
    }
}

const FENCING_MODES: [(&str, Fencing); 2] =
    [("checked", Fencing::Checked), ("ignored", Fencing::Ignored)];
const UNSPECIFIED_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

fn upstream(
    outline: &Outline<'_>,
    named: &Named<'_, name::Upstream>,
    reader: &mut Reader<'_, '_>,
) -> Upstream {
    let zone = reader.reference("zone", "zone", |name| find(&outline.zones, name));
    let address = reader.required("address", "an IP address and a port, such as 10.0.0.1:8000");
    let fencing = reader.choice("fencing", &FENCING_MODES, Some(Fencing::Ignored));
    Upstream {
        name: named.name.clone(),
        zone: zone.unwrap_or_else(|| id::Zone::new(0)),
        address: address.unwrap_or(UNSPECIFIED_ADDRESS),
        versions: reader.references("versions", "version", |name| find(&outline.versions, name)),
        services: reader.references("services", "service", |name| find(&outline.services, name)),
        warm: reader.required("warm", COUNT_REMEDY).unwrap_or(0),
        cold: reader.required("cold", COUNT_REMEDY).unwrap_or(0),
        fencing: fencing.unwrap_or(Fencing::Ignored),
        state: admin_state(reader, "leaving"),
        registration: None,
    }
}

fn organisation(
    outline: &Outline<'_>,
    named: &Named<'_, name::Organisation>,
    reader: &mut Reader<'_, '_>,
) -> Organisation {
    let services = reader.references("services", "service", |name| find(&outline.services, name));
    let versions = allowed_versions(outline, reader);
    let mut keys = Vec::new();
    for item in reader.list("keys") {
        match item.parse() {
            Ok(key) => keys.push(key),
            Err(error) => reader.add("keys", format!("{error}"), "paste the line that it prints"),
        }
    }
    Organisation {
        name: named.name.clone(),
        services,
        versions,
        weight: reader.optional("weight", COUNT_REMEDY).unwrap_or(1),
        reserve: reader.optional("reserve", COUNT_REMEDY).unwrap_or(0),
        keys,
        priority: None,
        regions: Vec::new(),
    }
}

/// Wildcard for all versions in the list of an organisation.
const ALL_VERSIONS: &str = "*";

fn allowed_versions(outline: &Outline<'_>, reader: &mut Reader<'_, '_>) -> Vec<id::Version> {
    if reader.text("versions") == Some(ALL_VERSIONS) {
        return (0..outline.versions.len()).map(id::Version::new).collect();
    }
    if reader.list("versions").contains(&ALL_VERSIONS) {
        let problem = "* means all versions and cannot be combined with others";
        reader.add("versions", problem, "write * alone, or list the versions");
        return Vec::new();
    }
    reader.references("versions", "version", |name| find(&outline.versions, name))
}

const REPEAT_MODES: [(&str, Repeat); 2] = [("safe", Repeat::Safe), ("never", Repeat::Never)];

fn route(header: &outline::Route<'_>, reader: &mut Reader<'_, '_>) -> Route {
    let repeat = reader.choice("repeat", &REPEAT_MODES, None);
    Route {
        service: header.service,
        method: header.method.into(),
        path: header.path.into(),
        repeat: repeat.unwrap_or(Repeat::Never),
        price: reader.required("price", PRICE_REMEDY).unwrap_or(Cost(0)),
    }
}

fn rollout(
    outline: &Outline<'_>,
    header: &outline::Rollout<'_>,
    reader: &mut Reader<'_, '_>,
) -> Rollout {
    let placeholder = || id::Version::new(0);
    let from = reader.reference("from", "version", |name| find(&outline.versions, name));
    let to = reader.reference("to", "version", |name| find(&outline.versions, name));
    Rollout {
        service: header.service,
        from: from.unwrap_or_else(placeholder),
        to: to.unwrap_or_else(placeholder),
        share: reader
            .required("share", SHARE_REMEDY)
            .unwrap_or(Share::NONE),
        limit: reader
            .required("limit", SHARE_REMEDY)
            .unwrap_or(Share::WHOLE),
        false_alarm: reader
            .required("false-alarm", SHARE_REMEDY)
            .unwrap_or(Share::NONE),
    }
}

/// Records for each section whether it was read without a finding.
#[derive(Clone, Debug, Default)]
pub(crate) struct Clean {
    pub(crate) zones: Map<id::Zone, bool>,
    pub(crate) services: Map<id::Service, bool>,
    pub(crate) versions: Map<id::Version, bool>,
    pub(crate) upstreams: Map<id::Upstream, bool>,
    pub(crate) organisations: Map<id::Organisation, bool>,
    pub(crate) routes: Vec<bool>,
    pub(crate) rollouts: Vec<bool>,
}

/// Returns the section of an entity, for use in findings.
pub(crate) fn section<'d, 'a, N>(sections: &'d [Named<'a, N>], id: impl Id) -> &'d Section<'a> {
    &sections[id.index()].section
}

//! Instances are replaced one after the other, so that each build exchanges messages with the one before.
//! Messages that build 041d6c8 wrote must still be read with the same values, and written with the same
//! bytes; and the definitions of messages may only grow by optional fields, or that build would refuse
//! what this one writes.

mod recorded;

use googletest::prelude::*;
use peer::beacon::{self, Datagram};
use peer::frame;
use peer::message::{Opened, Tunnel};
use peer::tunnel;
use recorded::definition::{self, Member};
use recorded::messages;
use thrift::protocol::{TCompactOutputProtocol, TSerializable};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Messages as that build encoded them, by name, in hexadecimal.
const MESSAGES: &str = include_str!("recorded/041d6c8.hex");
/// A beacon as build 984ea69 encoded it, and one of this build that it has read.
const LATER_MESSAGES: &str = include_str!("recorded/984ea69.hex");
/// A question for a connection and its answer as this build encodes them, which build 01c4e79 has read.
const FRAMED_MESSAGES: &str = include_str!("recorded/01c4e79.hex");
/// A beacon with evidence against parts as this build encodes it, which build 843b588 has read.
const EVIDENCE_MESSAGES: &str = include_str!("recorded/843b588.hex");
/// Members of the structs, unions and enums in that build's `fellow.thrift`.
const DEFINITION: &str = include_str!("recorded/041d6c8.fields");
const CURRENT: &str = include_str!("../fellow.thrift");
/// Number from which on fields belong to a clock; a datagram is told by the number of its first one.
const FIRST_CLOCK_FIELD: i16 = 20;

fn bytes(name: &str) -> Vec<u8> {
    bytes_of(MESSAGES, name)
}

fn bytes_of(messages: &str, name: &str) -> Vec<u8> {
    let lines = messages.lines().map(|line| line.split_once(' ').unwrap());
    let (_, hex) = lines.into_iter().find(|(key, _)| *key == name).unwrap();
    let digits = hex.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

/// Encodes a message in the compact protocol.
fn encode(message: &impl TSerializable) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut protocol = TCompactOutputProtocol::new(&mut bytes);
    message.write_to_out_protocol(&mut protocol).unwrap();
    bytes
}

#[gtest]
fn recorded_datagrams_are_read_and_written_alike() {
    let bare = messages::bare_beacon();
    for (name, expected) in [
        (
            "full-beacon",
            Datagram::Beacon(Box::new(messages::full_beacon())),
        ),
        ("bare-beacon", Datagram::Beacon(Box::new(bare))),
        ("clock-question", Datagram::Clock(messages::clock(None))),
        ("clock-answer", Datagram::Clock(messages::clock(Some(55)))),
    ] {
        let recorded = bytes(name);
        expect_that!(beacon::decode(&recorded).unwrap(), eq(&expected), "{name}");
        let written = match &expected {
            Datagram::Beacon(beacon) => beacon::encode(&**beacon),
            Datagram::Clock(clock) => beacon::encode(clock),
        };
        expect_that!(written.unwrap(), eq(&recorded), "{name}");
    }
}

/// The build before steps of a release's share were told. Its beacons name none, and it has to read those
/// that do.
#[gtest]
fn beacons_of_build_984ea69_are_read_and_written_alike() {
    let recorded = bytes_of(LATER_MESSAGES, "full-beacon");
    let expected = Datagram::Beacon(Box::new(messages::later_beacon()));
    expect_that!(beacon::decode(&recorded).unwrap(), eq(&expected));
    let written = beacon::encode(&messages::later_beacon()).unwrap();
    expect_that!(written, eq(&recorded));
    // That build read these bytes: it skips the fields that it doesn't know.
    let mut next = messages::later_beacon();
    next.newcomer = Some(true);
    next.trials[0].steps = Some(vec![12_000_000, 12_750_000]);
    next.trials[0].kept = Vec::new();
    let next_bytes = bytes_of(LATER_MESSAGES, "next-beacon");
    expect_that!(beacon::encode(&next).unwrap(), eq(&next_bytes));
}

/// The build before late ends of upstreams and answers that an upstream outlived were told skips what it doesn't know
/// of them.
#[gtest]
fn build_843b588_reads_evidence() {
    let recorded = bytes_of(EVIDENCE_MESSAGES, "evidence-beacon");
    let beacon = messages::evidence_beacon();
    expect_that!(beacon::encode(&beacon).unwrap(), eq(&recorded));
    let expected = Datagram::Beacon(Box::new(beacon));
    expect_that!(beacon::decode(&recorded).unwrap(), eq(&expected));
}

#[gtest]
fn recorded_envelopes_are_read_and_written_alike() {
    let envelopes = messages::envelopes();
    expect_that!(envelopes.len(), eq(14));
    for envelope in envelopes {
        let recorded = bytes(&format!("envelope-{}", envelope.number));
        expect_that!(frame::decode(&recorded).unwrap(), eq(&envelope));
        expect_that!(frame::encode(&envelope).unwrap(), eq(&recorded));
    }
}

/// Sends a recorded message to a reader on another connection.
async fn deliver(name: &str) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let payload = bytes(name);
    sender.write_u16(payload.len() as u16).await.unwrap();
    sender.write_all(&payload).await.unwrap();
    listener.accept().await.unwrap().0
}

#[tokio::test]
async fn recorded_questions_for_connections_are_read() {
    let question: Tunnel = tunnel::read(&mut deliver("tunnel").await).await.unwrap();
    assert_eq!(question, messages::tunnel());
    let answer: Opened = tunnel::read(&mut deliver("opened").await).await.unwrap();
    assert_eq!(answer, messages::opened());
}

/// The build before frames skips the fields that ask for them and confirm them. What it writes itself is
/// recorded above: it neither asks nor confirms.
#[gtest]
fn build_01c4e79_reads_messages_about_frames() {
    let question = Tunnel::new("10.0.1.4:8080".to_owned(), true);
    expect_that!(
        encode(&question),
        eq(&bytes_of(FRAMED_MESSAGES, "framed-tunnel"))
    );
    let answer = Opened::new(String::new(), true);
    expect_that!(
        encode(&answer),
        eq(&bytes_of(FRAMED_MESSAGES, "framed-opened"))
    );
    expect_that!(messages::tunnel().framed, none());
    expect_that!(messages::opened().framed, none());
}

#[gtest]
fn definitions_only_grow_by_optional_fields() {
    let recorded = definition::read_table(DEFINITION);
    let current = definition::parse(CURRENT);
    expect_that!(recorded.len(), eq(132));
    for member in &recorded {
        expect_true!(
            current.contains(member),
            "{member} was removed, retyped, renumbered or made required"
        );
    }
    for member in &current {
        let is_known = recorded.iter().any(|known| known.owner == member.owner);
        if !is_known || recorded.contains(member) {
            continue;
        }
        expect_true!(may_be_added(member), "{member} would not be read");
    }
    let clock = current.iter().filter(|member| &*member.owner == "Clock");
    for member in clock {
        expect_that!(member.number, ge(FIRST_CLOCK_FIELD), "{member}");
    }
}

/// Returns whether the recorded build reads a message with a member that it doesn't know: it skips an
/// optional field, and answers an unknown body with an error.
fn may_be_added(member: &Member) -> bool {
    match &*member.kind {
        "struct" => &*member.requirement == "optional",
        "union" => true,
        _ => false,
    }
}

/// The check above has to see each of the changes that it is for.
#[gtest]
fn every_breaking_change_is_seen() {
    let recorded = definition::read_table(DEFINITION);
    for (from, to) in [
        ("3: required bool leaving,", ""),
        ("3: required bool leaving,", "3: required i32 leaving,"),
        ("3: required bool leaving,", "30: required bool leaving,"),
        ("8: optional string zone,", "8: required string zone,"),
        ("BAD = 2,", "BAD = 3,"),
    ] {
        assert!(CURRENT.contains(from), "{from}");
        let changed = definition::parse(&CURRENT.replacen(from, to, 1));
        let is_kept = recorded.iter().all(|member| changed.contains(member));
        expect_false!(is_kept, "{from} to {to}");
    }
    let with_field = CURRENT.replacen(
        "18: optional bool cut_off,",
        "18: optional bool cut_off,\n  99: required bool other,",
        1,
    );
    let added = definition::parse(&with_field);
    let added = added.iter().find(|member| member.number == 99).unwrap();
    expect_false!(may_be_added(added));
}

//! Tests of the settings parser: the documented example, defaults and findings.

use googletest::prelude::*;
use settings::{Settings, Sink};

const EXAMPLE: &str = include_str!("../../../examples/instance.ini");

const MINIMAL: &str = "\
[instance]
name = entry-1
zone = amman-a
region = amman
caller-address = 127.0.0.1:8080
fellow-address = 127.0.0.1:8081
secret = replace-this-by-a-long-random-text-of-your-own
[log]
address = 127.0.0.1:9001
[instances]
address = 127.0.0.1:9002
";

fn findings(text: &str) -> String {
    let found = settings::parse(text).expect_err("findings");
    found.to_string()
}

#[gtest]
fn the_example_gives_every_key_its_default() -> Result<()> {
    let example: Settings = settings::parse(EXAMPLE)?;
    let mut minimal = settings::parse(MINIMAL)?;
    // Optional addresses have no default.
    expect_that!(example.instance.operator_address, some(anything()));
    expect_that!(minimal.instance.operator_address, none());
    minimal.instance.operator_address = example.instance.operator_address;
    expect_that!(example.limits, eq(minimal.limits));
    expect_that!(example.log, eq(minimal.log));
    expect_that!(example.instances, eq(minimal.instances));
    expect_that!(example.instance, eq(&minimal.instance));
    expect_that!(example.timeline, eq(&Sink::Stderr));
    expect_that!(example.rating, some(anything()));
    expect_that!(example.weights, some(anything()));
    expect_that!(example.statsd, some(anything()));
    expect_that!(minimal.rating, none());
    Ok(())
}

#[gtest]
fn an_empty_text_yields_three_missing_sections() {
    let found = settings::parse("").expect_err("findings");
    expect_that!(found.0.len(), eq(3));
}

#[gtest]
fn all_findings_are_reported_with_their_lines() {
    let text = MINIMAL.replace("zone = amman-a\n", "").replace(
        "secret = replace-this-by-a-long-random-text-of-your-own",
        "secret = short",
    ) + "[log]\naddress = 127.0.0.1:1\n[limits]\ndrain = 30\nbody = 0B\nisolation = 7s\nqueues = 1\n";
    let found = findings(&text);
    for expected in [
        "line 1, [instance], zone: the key is missing",
        "line 6, [instance], secret: a secret has at least 32 characters",
        "line 11, [log]: duplicate section, first in line 7",
        "line 14, [limits], drain: \"30\": the unit is missing",
        "line 15, [limits], body: no request would fit",
        "line 16, [limits], isolation: isolation of 7s does not exceed poll + timeout of [log]",
        "line 17, [limits], queues: unknown key",
    ] {
        expect_that!(found, contains_substring(expected));
    }
}

#[gtest]
fn isolation_must_exceed_the_time_between_two_replies_of_the_log() {
    let text = format!("{MINIMAL}[limits]\nisolation = 7s\n");
    let expected =
        "line 13, [limits], isolation: isolation of 7s does not exceed poll + timeout of [log]";
    expect_that!(findings(&text), contains_substring(expected));
}

#[gtest]
fn an_unspecified_peer_address_is_rejected() {
    let text = MINIMAL.replace("127.0.0.1:8081", "0.0.0.0:8081");
    expect_that!(findings(&text), contains_substring("unspecified address"));
}

#[gtest]
fn a_secret_is_never_printed() -> Result<()> {
    let settings = settings::parse(MINIMAL)?;
    expect_that!(
        format!("{settings:?}"),
        not(contains_substring("replace-this"))
    );
    Ok(())
}

#[gtest]
fn a_malformed_secret_is_not_quoted() {
    let text = MINIMAL.replace("replace-this-by-a-long-random-text-of-your-own", "hunter");
    expect_that!(findings(&text), not(contains_substring("hunter")));
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn damaged_settings_never_panic(
        edits in proptest::collection::vec((0..EXAMPLE.len(), proptest::num::u8::ANY), 1..20),
    ) {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        for (index, byte) in edits {
            bytes[index] = byte;
        }
        if let Err(found) = settings::parse(&String::from_utf8_lossy(&bytes)) {
            proptest::prop_assert!(!found.is_empty());
        }
    }
}

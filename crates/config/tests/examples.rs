//! Checks that the texts in `examples/` parse, have the expected sizes and contain the documented
//! keys.

use config::Config;
use entity::Map;
use googletest::prelude::*;

const WADI: &str = include_str!("../../../examples/wadi.ini");
const VERMEULEN: &str = include_str!("../../../examples/vermeulen.ini");
const DEMO: &str = include_str!("../../../examples/demo.ini");

fn parse(text: &str) -> Result<Config> {
    Ok(config::parse(text)?)
}

fn count_upstreams(config: &Config, with_versions: bool) -> usize {
    let upstreams = config.upstreams.values().iter();
    upstreams
        .filter(|upstream| upstream.versions.is_empty() != with_versions)
        .count()
}

#[gtest]
fn wadi_has_the_expected_size() -> Result<()> {
    let config = parse(WADI)?;
    expect_that!(config.zones.len(), eq(4));
    expect_that!(count_upstreams(&config, true), eq(10));
    expect_that!(count_upstreams(&config, false), eq(4));
    expect_that!(config.organisations.len(), eq(10));
    Ok(())
}

#[gtest]
fn vermeulen_has_the_expected_size() -> Result<()> {
    let config = parse(VERMEULEN)?;
    expect_that!(config.zones.len(), eq(3));
    expect_that!(count_upstreams(&config, true), eq(20));
    expect_that!(count_upstreams(&config, false), eq(3));
    expect_that!(config.organisations.len(), eq(10));
    expect_that!(config.rollouts.len(), eq(1));
    Ok(())
}

#[gtest]
fn keys_match_the_documented_bearers() -> Result<()> {
    for text in [WADI, VERMEULEN, DEMO] {
        let config = parse(text)?;
        for (id, organisation) in config.organisations.iter() {
            let bearer = format!("demo-key-{}", organisation.name);
            let owners: Vec<_> = config
                .organisations
                .iter()
                .filter(|(_, other)| other.keys.iter().any(|key| key.matches(&bearer)))
                .map(|(id, _)| id)
                .collect();
            expect_that!(owners, eq(&vec![id]), "{bearer}");
        }
    }
    Ok(())
}

#[gtest]
fn every_upstream_is_on_loopback() -> Result<()> {
    for text in [WADI, VERMEULEN, DEMO] {
        let config = parse(text)?;
        let upstreams: &Map<_, _> = &config.upstreams;
        for upstream in upstreams.values() {
            expect_true!(upstream.address.ip().is_loopback());
        }
    }
    Ok(())
}

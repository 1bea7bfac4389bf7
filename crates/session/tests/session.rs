//! Tests of session tokens and of the split of sessions: only authentic tokens verify, and the split
//! is monotone in the share and independent of unrelated configuration.

use config::{Config, Kind, Organisation, Rollout, Service, Stage, Version};
use entity::id::{self, Id};
use entity::time::Span;
use entity::unit::{Cost, Share};
use entity::{Generation, Map};
use googletest::prelude::*;
use proptest::prelude::{any, proptest};
use session::{Error, Resolution, Signer, Token, assign, resolve};

const SECRET: &[u8] = b"0123456789abcdef0123456789abcdef";

fn token() -> Token {
    Token {
        session: "caller 7".into(),
        service: "advice".parse().unwrap(),
        version: "large/1".parse().unwrap(),
        generation: Generation(12),
    }
}

fn config(services: &[&str], versions: &[&str]) -> Config {
    let all: Vec<id::Version> = (0..versions.len()).map(id::Version::new).collect();
    let version = |name: &&str| Version {
        name: name.parse().unwrap(),
        model: "large".parse().unwrap(),
        price_in: Cost(1),
        price_out: Cost(2),
        stage: Stage::Active,
    };
    let service = |name: &&str| Service {
        name: name.parse().unwrap(),
        kind: Kind::Chat,
        depends: Vec::new(),
        versions: all.clone(),
        quality: Share::percent(80),
        cascade: false,
        deadline: Span::from_secs(30),
        models: Vec::new(),
    };
    let organisation = Organisation {
        name: "branch".parse().unwrap(),
        services: (0..services.len()).map(id::Service::new).collect(),
        versions: all.clone(),
        weight: 1,
        reserve: 0,
        keys: Vec::new(),
        priority: None,
        regions: Vec::new(),
    };
    Config {
        services: Map::new(services.iter().map(service).collect()),
        versions: Map::new(versions.iter().map(version).collect()),
        organisations: Map::new(vec![organisation]),
        ..Config::default()
    }
}

fn rollout(config: &Config) -> Rollout {
    Rollout {
        service: config.service("advice").unwrap(),
        from: config.version("large/1").unwrap(),
        to: config.version("large/2").unwrap(),
        share: Share::percent(10),
        limit: Share::percent(50),
        false_alarm: Share::percent(1),
    }
}

#[gtest]
fn a_signed_token_verifies() {
    let signer = Signer::checked(SECRET).unwrap();
    expect_that!(signer.verify(&signer.sign(&token())), ok(eq(&token())));
}

#[gtest]
fn a_token_signed_with_another_secret_is_rejected() {
    let text = Signer::new(b"another").sign(&token());
    expect_that!(
        Signer::new(SECRET).verify(&text),
        err(eq(&Error::InvalidSignature))
    );
}

#[gtest]
fn a_short_secret_is_rejected() {
    expect_that!(Signer::checked(b"short").is_err(), eq(true));
}

#[gtest]
fn every_altered_character_is_detected() {
    let signer = Signer::new(SECRET);
    let text = signer.sign(&token());
    for (index, character) in text.char_indices() {
        let mut bytes = text.as_bytes().to_vec();
        bytes[index] = if character == 'A' { b'B' } else { b'A' };
        let altered = String::from_utf8(bytes).unwrap();
        expect_that!(signer.verify(&altered), err(anything()), "{altered}");
    }
}

#[gtest]
fn a_long_text_is_rejected_before_decoding() {
    expect_that!(
        Signer::new(SECRET).verify(&"A".repeat(2000)),
        err(eq(&Error::TooLong))
    );
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn any_session_id_round_trips(session in "\\PC{0,64}|[a\n.]{0,64}", generation in any::<u64>()) {
        let signer = Signer::new(SECRET);
        let token = Token { session: session.into(), generation: Generation(generation), ..token() };
        assert_eq!(signer.verify(&signer.sign(&token)), Ok(token));
    }

    #[test]
    fn a_growing_share_moves_sessions_only_to_the_candidate(
        session in "\\PC{0,32}", small in 0..=1_000_000u32, large in 0..=1_000_000u32,
    ) {
        let (small, large) = (small.min(large), small.max(large));
        let config = config(&["advice"], &["large/1", "large/2"]);
        let rollout = rollout(&config);
        let before = assign(&session, &config, &rollout, Share::from_ppm(small));
        let after = assign(&session, &config, &rollout, Share::from_ppm(large));
        assert!(before == rollout.from || after == rollout.to);
    }

    #[test]
    fn an_unrelated_edit_moves_no_session(session in "\\PC{0,32}", share in 0..=1_000_000u32) {
        let share = Share::from_ppm(share);
        let old = config(&["advice"], &["large/1", "large/2"]);
        let new = config(&["a-new-service", "advice"], &["a-new/1", "large/1", "large/2"]);
        let before = assign(&session, &old, &rollout(&old), share);
        let after = assign(&session, &new, &rollout(&new), share);
        assert_eq!(old.versions[before].name, new.versions[after].name);
    }
}

#[gtest]
fn the_split_matches_the_share() {
    let config = config(&["advice"], &["large/1", "large/2"]);
    let rollout = rollout(&config);
    let mut moved = 0;
    for session in 0..10_000 {
        let version = assign(&session.to_string(), &config, &rollout, rollout.share);
        moved += u32::from(version == rollout.to);
    }
    // Within 4 standard deviations of a binomial distribution with 10,000 trials at one in ten.
    expect_that!(moved, all![ge(880), le(1120)]);
}

#[gtest]
fn shares_of_none_and_whole_are_exact() {
    let config = config(&["advice"], &["large/1", "large/2"]);
    let rollout = rollout(&config);
    for session in 0..1000 {
        let session = session.to_string();
        let at_none = assign(&session, &config, &rollout, Share::NONE);
        let at_whole = assign(&session, &config, &rollout, Share::WHOLE);
        expect_that!((at_none, at_whole), eq((rollout.from, rollout.to)));
    }
}

#[gtest]
fn the_configuration_takes_precedence_over_the_token() {
    let mut config = config(&["advice", "tags"], &["large/1", "large/2"]);
    let organisation = id::Organisation::new(0);
    let advice = config.service("advice").unwrap();
    let tags = config.service("tags").unwrap();
    let version = config.version("large/1").unwrap();
    let resolve_with = |config: &Config, session, service| {
        resolve(&token(), session, config, organisation, service)
    };
    expect_that!(
        resolve_with(&config, None, advice),
        eq(Resolution::Kept(version))
    );
    expect_that!(
        resolve_with(&config, Some("caller 8"), advice),
        eq(Resolution::Foreign)
    );
    expect_that!(resolve_with(&config, None, tags), eq(Resolution::Foreign));
    config.versions[version].stage = Stage::Withdrawn;
    expect_that!(resolve_with(&config, None, advice), eq(Resolution::Lost));
    config.versions[version].stage = Stage::Active;
    config.organisations[organisation].versions.remove(0);
    expect_that!(resolve_with(&config, None, advice), eq(Resolution::Lost));
}

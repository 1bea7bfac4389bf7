//! Deltas between successive values of a key.

use forward::delta::{Delta, Error, hash};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Builds a configuration with one key for each organisation but the one numbered `without`.
fn value(organisations: u32, without: u32) -> Vec<u8> {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut text = format!("{{\"version\":{}", 100 + without);
    for organisation in 0..organisations {
        let key = random.random::<u128>();
        if organisation != without {
            text += &format!(",\"organisation-{organisation}\":\"{key:032x}\"");
        }
    }
    (text + "}").into_bytes()
}

#[gtest]
fn removal_of_one_key_from_a_long_configuration_has_a_short_delta() {
    let (old, new) = (value(300, 300), value(300, 120));
    expect_that!(old.len(), gt(12_000));
    let delta = Delta::between(&old, &new).unwrap();
    expect_that!(delta.bytes.len(), lt(200));
    expect_that!(delta.apply(&old), ok(eq(&new.clone().into_boxed_slice())));
}

#[gtest]
fn delta_does_not_apply_to_another_base() {
    let (old, new) = (value(30, 30), value(30, 12));
    let delta = Delta::between(&old, &new).unwrap();
    expect_that!(delta.apply(&new), err(eq(&Error::Base)));
}

#[gtest]
fn corrupt_delta_is_an_error() {
    let (old, new) = (value(30, 30), value(30, 12));
    let whole = Delta::between(&old, &new).unwrap();
    let cut = Delta {
        bytes: whole.bytes[..whole.bytes.len() / 2].into(),
        ..whole.clone()
    };
    expect_true!(cut.apply(&old).is_err());
    let long = Delta {
        length: u32::MAX,
        ..whole
    };
    expect_that!(long.apply(&old), err(eq(&Error::Length)));
}

#[gtest]
fn randomly_corrupted_delta_never_panics() {
    let (old, new) = (value(30, 30), value(30, 12));
    let whole = Delta::between(&old, &new).unwrap();
    let mut random = ChaCha8Rng::seed_from_u64(11);
    for _ in 0..2000 {
        let mut damaged = whole.clone();
        let place = random.random_range(0..damaged.bytes.len());
        damaged.bytes[place] = random.random();
        damaged.length = random.random_range(0..4000);
        if let Ok(value) = damaged.apply(&old) {
            expect_that!(value.len(), eq(damaged.length as usize));
        }
    }
}

#[gtest]
fn value_over_the_maximum_length_has_no_delta() {
    expect_that!(Delta::between(&[], &vec![0; 70_000]), none());
    expect_that!(hash(b"one"), not(eq(hash(b"two"))));
}

//! Messages in datagrams.

use googletest::prelude::*;
use peer::beacon::{Datagram, Error, decode, encode};
use peer::message::{Beacon, Clock, Crash, Limit, Pace, Rebuttal, Suspect, Tried};

fn beacon() -> Beacon {
    Beacon {
        instance: "front-1".into(),
        address: "10.0.0.1:7340".into(),
        leaving: false,
        trials: Vec::new(),
        loads: Vec::new(),
        sights: Vec::new(),
        told: Vec::new(),
        zone: None,
        acquaintances: None,
        sent_us: Some(5),
        run: Some(-7),
        departures: None,
        suspects: Some(vec![Suspect::new(
            7,
            vec![Crash::new(3, 9, true, 60, true)],
            4,
        )]),
        rebuttals: Some(vec![Rebuttal::new(8, 1, true)]),
        limits: Some(vec![Limit::new("i-1".to_owned(), 2, 1900, 5)]),
        requests: Some(vec![Suspect::new(
            9,
            vec![Crash::new(4, 9, true, 60, None)],
            None,
        )]),
        request_rebuttals: Some(vec![Rebuttal::new(10, 1, None)]),
        cut_off: Some(true),
        build: Some("0.1.0 0a1b2c".into()),
        tried: Some(vec![Tried::new("i-1".to_owned(), 2, 5, 4, 1, 70, 60, None)]),
        paces: Some(vec![Pace::new("i-1".to_owned(), 2, 900, 120)]),
        newcomer: Some(true),
        answered_run: Some(-7),
    }
}

fn clock(asked_us: Option<i64>) -> Clock {
    Clock {
        instance: "front-1".into(),
        address: "10.0.0.1:7340".into(),
        run: -7,
        sent_us: 5,
        asked_us,
    }
}

#[gtest]
fn messages_are_told_apart() {
    let whole = decode(&encode(&beacon()).unwrap()).unwrap();
    expect_that!(whole, eq(&Datagram::Beacon(Box::new(beacon()))));
    for asked_us in [None, Some(3)] {
        let whole = decode(&encode(&clock(asked_us)).unwrap()).unwrap();
        expect_that!(whole, eq(&Datagram::Clock(clock(asked_us))));
    }
}

/// A malformed datagram must be an error and never end the process.
#[gtest]
fn every_torn_or_changed_message_is_an_error_or_a_message() {
    for payload in [encode(&beacon()).unwrap(), encode(&clock(Some(3))).unwrap()] {
        for length in 0..payload.len() {
            let torn = decode(&payload[..length]);
            expect_true!(matches!(torn, Err(Error::Payload(_))));
        }
        for index in 0..payload.len() {
            for byte in 0..=u8::MAX {
                let mut changed = payload.clone();
                changed[index] = byte;
                // Any result is fine, as long as there is one.
                let _ = decode(&changed);
            }
        }
    }
}

/// The generated reader allocates the space for a list by the length that the message gives.
#[gtest]
fn list_that_is_longer_than_any_message_is_an_error() {
    // Field 4, a list of 2^31 - 1 structs.
    let payload = [0x49, 0xfc, 0xff, 0xff, 0xff, 0xff, 0x07];
    expect_true!(matches!(decode(&payload), Err(Error::Payload(_))));
}

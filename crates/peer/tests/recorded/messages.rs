//! Messages with a value in every field that build 041d6c8 has.

use peer::message::{
    Acquaintance, Append, Appended, Assign, Assigned, Beacon, Body, Clock, Counted, Crash,
    Departure, Digest, Done, Drop, Envelope, Evidence, Held, Hold, Limit, Opened, Orphan, Pace,
    Pull, Rebuttal, Refusal, Ruling, Running, Sight, Suspect, Suspicion, Tally, Text, Told, Trial,
    Tried, Tunnel, UpstreamLoad, Verdicts,
};

/// A beacon with every field.
pub fn full_beacon() -> Beacon {
    let trial = Trial::new(
        "advice".into(),
        "advice/v2".into(),
        1_500_000,
        Ruling::BAD,
        true,
        vec![Counted::new(
            "entry-1.77".into(),
            vec![Tally::new(-9_000_000_000_000_000_000, 300, 2, 40, 11)],
        )],
        vec![-5, 6],
        vec![7],
        3,
        None,
    );
    let suspect = |part| Suspect::new(part, vec![Crash::new(-3, 90_000, true, 60, None)], 400);
    Beacon {
        instance: "entry-1".into(),
        address: "10.0.0.1:7340".into(),
        leaving: true,
        trials: vec![trial],
        loads: vec![UpstreamLoad::new("i-1".into(), 4_000, 3)],
        sights: vec![Sight::new(1, -8, 250_000, 2)],
        told: vec![
            Told::new(0, "config".into(), 41, vec![1, 0, 255], 77, 512, 2),
            Told::new(1, "i-1".into(), 42, b"{}".to_vec(), None, None, 2),
        ],
        zone: Some("a".into()),
        acquaintances: Some(vec![Acquaintance::new(
            "entry-2".into(),
            "10.0.0.2:7340".into(),
            "b".to_owned(),
            350,
        )]),
        sent_us: Some(123_456_789),
        run: Some(-7),
        departures: Some(vec![Departure::new("i-2".into(), 1_700_000_000_123)]),
        suspects: Some(vec![suspect(8)]),
        rebuttals: Some(vec![Rebuttal::new(9, 1_000, None)]),
        limits: Some(vec![Limit::new("i-3".into(), 5, 1_900, 20)]),
        requests: Some(vec![suspect(-10)]),
        request_rebuttals: Some(vec![Rebuttal::new(11, 2_000, None)]),
        cut_off: Some(true),
        ..bare_beacon()
    }
}

/// A beacon with every field that build 984ea69 has.
pub fn later_beacon() -> Beacon {
    Beacon {
        build: Some("0.1.0 984ea69".into()),
        tried: Some(vec![Tried::new("i-1".to_owned(), 2, 5, 4, 1, 70, 60, None)]),
        paces: Some(vec![Pace::new("i-1".to_owned(), 2, 900, 120)]),
        ..full_beacon()
    }
}

/// A beacon with evidence against parts of prompts as this build tells it.
pub fn evidence_beacon() -> Beacon {
    let crashes = vec![
        Crash::new(-3, 90_000, false, 2_400_000, true),
        Crash::new(4, 80_000, true, 60, None),
    ];
    Beacon {
        suspects: Some(vec![Suspect::new(8, crashes, None)]),
        rebuttals: Some(vec![
            Rebuttal::new(9, 1_000, true),
            Rebuttal::new(10, 1_000, None),
        ]),
        ..bare_beacon()
    }
}

/// A beacon with the required fields only.
pub fn bare_beacon() -> Beacon {
    Beacon {
        instance: "entry-1".into(),
        address: "10.0.0.1:7340".into(),
        leaving: false,
        trials: Vec::new(),
        loads: Vec::new(),
        sights: Vec::new(),
        told: Vec::new(),
        zone: None,
        acquaintances: None,
        sent_us: None,
        run: None,
        departures: None,
        suspects: None,
        rebuttals: None,
        limits: None,
        requests: None,
        request_rebuttals: None,
        cut_off: None,
        build: None,
        tried: None,
        newcomer: None,
        answered_run: None,
        paces: None,
    }
}

/// A question about a clock, or the answer to one.
pub fn clock(asked_us: Option<i64>) -> Clock {
    Clock::new(
        "entry-1".into(),
        "10.0.0.1:7340".into(),
        -7,
        123_456,
        asked_us,
    )
}

/// A request for a carried connection.
pub fn tunnel() -> Tunnel {
    Tunnel::new("10.0.1.4:8080".into(), None)
}

/// The answer to it.
pub fn opened() -> Opened {
    Opened::new("refused".into(), None)
}

/// One envelope with each body, in the order of their numbers.
pub fn envelopes() -> Vec<Envelope> {
    let digest = Digest::new(
        "entry-1".into(),
        "a".into(),
        12,
        40,
        99,
        vec![Suspicion::new("i-1".into(), 70)],
        true,
        -4,
        vec![Running::new("i-2".into(), 3)],
    );
    let held = Held::new("entry-1".into(), "r-1".into(), vec![1, 2]);
    let assign = Assign::new(
        "s-1".into(),
        "advice".into(),
        "branch".into(),
        "large/1".into(),
        String::new(),
    );
    let bodies = [
        Body::Digest(digest),
        Body::Pull(Pull::new(11)),
        Body::Text(Text::new(12, 2, "ops".into(), "text".into())),
        Body::Hold(Hold::new(vec![held])),
        Body::Drop(Drop::new("entry-1".into(), vec!["r-1".into()])),
        Body::Done(Done::new(5)),
        Body::Refusal(Refusal::new("full".into())),
        Body::Assign(assign),
        Body::Assigned(Assigned::new("large/1".into())),
        Body::Verdicts(Verdicts::new(vec![vec![3]])),
        Body::Evidence(Evidence::new(vec![vec![4]], vec![vec![5, 6]])),
        Body::Orphan(Orphan::new("entry-1".into())),
        Body::Append(Append::new("usage".into(), b"[]".to_vec())),
        Body::Appended(Appended::new(-1)),
    ];
    let mut envelopes = Vec::new();
    for (number, body) in (1..).zip(bodies) {
        envelopes.push(Envelope::new(number, body));
    }
    envelopes
}

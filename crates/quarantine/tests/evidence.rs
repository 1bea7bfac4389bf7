//! Which parts are held back by the evidence of one instance, and for how long.

use entity::{Moment, Span};
use googletest::prelude::*;
use quarantine::{Extent, Part, Policy, Probe, Progress, Quarantine, Rebuttal, Victim, Weight};

const SHARED: Part = Part(1);
const BAD: Part = Part(2);
const RARE: Part = Part(3);
/// The head of an answer came 60 milliseconds before the end, and nothing else.
const BEGUN: Progress = Progress::Begun {
    since_head: Span::from_millis(60),
    delivered: false,
};

fn at(millis: u64) -> Moment {
    Moment(1_000_000_000) + Span::from_millis(millis)
}

/// Returns a quarantine that has seen the parts in the ends of so many upstreams, a second apart.
fn after(parts: &[Part], count: u64) -> Quarantine {
    let mut quarantine = Quarantine::new(Policy::PARTS);
    for victim in 0..count {
        let now = at(victim * 1000);
        quarantine.record_crash(parts, Victim(victim), BEGUN, now);
    }
    quarantine
}

/// One upstream that ends tells nothing against the prompts that it had begun.
#[gtest]
fn one_end_is_not_enough() {
    let quarantine = after(&[SHARED, BAD], 1);
    expect_that!(quarantine.find(&[SHARED, BAD], at(1)), none());
}

#[gtest]
fn part_that_ends_upstreams_is_held() {
    let quarantine = after(&[SHARED, BAD], 2);
    let hold = quarantine.find(&[SHARED, BAD], at(1001));
    expect_that!(hold, some(anything()));
    expect_that!(hold.unwrap().victims, eq(2));
}

/// All requests of a kind share their first part; it must not be held for one that is bad.
#[gtest]
fn shared_part_is_not_held_without_the_bad_one() {
    let quarantine = after(&[SHARED, BAD], 5);
    expect_that!(quarantine.find(&[SHARED], at(5000)), none());
    expect_that!(quarantine.find(&[SHARED, RARE], at(5000)), none());
}

/// Two bad parts end upstreams in turn, so that only the part that they share is in all ends.
#[gtest]
fn shared_part_of_two_bad_ones_is_not_held() {
    let mut quarantine = after(&[SHARED, BAD], 2);
    for victim in 10..12 {
        let now = at(victim * 1000);
        quarantine.record_crash(&[SHARED, RARE], Victim(victim), BEGUN, now);
    }
    expect_that!(quarantine.find(&[SHARED], at(12_000)), none());
    expect_that!(
        quarantine.find(&[SHARED, BAD], at(12_000)),
        some(anything())
    );
    expect_that!(
        quarantine.find(&[SHARED, RARE], at(12_000)),
        some(anything())
    );
}

/// A bad part that has only come with one other part is held with any part once it has ended an
/// upstream without that one.
#[gtest]
fn bad_part_is_held_with_any_other_part() {
    let mut quarantine = after(&[SHARED, BAD], 2);
    quarantine.record_crash(&[RARE, BAD], Victim(9), BEGUN, at(9000));
    expect_that!(quarantine.find(&[Part(7), BAD], at(9001)), some(anything()));
}

/// A zone that loses power ends many upstreams at once, with whatever prompts they had begun.
#[gtest]
fn ends_at_the_same_moment_count_once() {
    let mut quarantine = Quarantine::new(Policy::PARTS);
    for victim in 0..6 {
        quarantine.record_crash(&[SHARED], Victim(victim), BEGUN, at(victim * 10));
    }
    expect_that!(quarantine.find(&[SHARED], at(100)), none());
}

/// A retry of a request can end the next upstream soon after the first.
#[gtest]
fn ends_one_after_the_other_count_each() {
    let mut quarantine = Quarantine::new(Policy::PARTS);
    for victim in 0..2 {
        let now = at(victim * 70);
        quarantine.record_crash(&[BAD], Victim(victim), BEGUN, now);
    }
    expect_that!(quarantine.find(&[BAD], at(100)), some(anything()));
}

#[gtest]
fn one_upstream_counts_once() {
    let mut quarantine = Quarantine::new(Policy::PARTS);
    for second in 0..6 {
        quarantine.record_crash(&[SHARED], Victim(1), BEGUN, at(second * 1000));
    }
    expect_that!(quarantine.find(&[SHARED], at(6000)), none());
}

/// Upstreams also end for other reasons, while sound prompts begin there.
#[gtest]
fn part_of_an_answer_that_went_on_is_not_held() {
    let mut quarantine = Quarantine::new(Policy::PARTS);
    quarantine.record_sound(&[SHARED], Extent::Begun, at(0));
    for second in 1..9 {
        let victim = Victim(second);
        quarantine.record_crash(&[SHARED], victim, BEGUN, at(second * 1000));
    }
    expect_that!(quarantine.find(&[SHARED], at(9000)), none());
}

#[gtest]
fn answer_that_goes_on_releases_a_part() {
    let mut quarantine = after(&[SHARED], 3);
    expect_that!(quarantine.find(&[SHARED], at(3000)), some(anything()));
    let cleared = quarantine.record_sound(&[SHARED], Extent::Begun, at(3000));
    expect_that!(cleared, elements_are![eq(&SHARED)]);
    expect_that!(quarantine.find(&[SHARED], at(3000)), none());
    expect_that!(quarantine.rebuttals(at(3001)), len(eq(1)));
}

/// A part that was sound may end upstreams of a new release.
#[gtest]
fn sound_part_can_become_bad() {
    let mut quarantine = Quarantine::new(Policy::PARTS);
    quarantine.record_sound(&[BAD], Extent::Begun, at(0));
    for second in [11, 12] {
        let victim = Victim(second);
        quarantine.record_crash(&[BAD], victim, BEGUN, at(second * 1000));
    }
    expect_that!(quarantine.find(&[BAD], at(12_001)), some(anything()));
}

/// All instances know the part, and only one of them finds out whether it still ends upstreams.
#[gtest]
fn held_part_is_probed_by_one_instance() {
    let mut quarantine = after(&[BAD], 2);
    let late = at(1000) + Span::from_secs(6);
    expect_that!(quarantine.find(&[BAD], late), some(anything()));
    quarantine.set_rank(Some(1));
    expect_that!(quarantine.find(&[BAD], late), some(anything()));
    quarantine.set_rank(Some(0));
    expect_that!(quarantine.find(&[BAD], late), none());
    expect_true!(quarantine.record_dispatch(&[BAD], late));
    expect_that!(quarantine.find(&[BAD], late), some(anything()));
    let mut peer = after(&[BAD], 2);
    peer.set_rank(Some(0));
    for probe in quarantine.probes(late) {
        peer.receive_probe(probe);
    }
    expect_that!(peer.find(&[BAD], late), some(anything()));
    quarantine.record_crash(&[BAD], Victim(77), BEGUN, late);
    let later = late + Span::from_secs(14);
    expect_that!(quarantine.find(&[BAD], later), some(anything()));
    expect_that!(quarantine.find(&[BAD], late + Span::from_secs(16)), none());
}

#[gtest]
fn retry_time_is_when_the_part_may_be_sent() {
    let mut quarantine = after(&[BAD], 2);
    quarantine.set_rank(Some(3));
    let hold = quarantine.find(&[BAD], at(1000)).unwrap();
    let before = hold.until - Span::from_millis(1);
    expect_that!(quarantine.find(&[BAD], before), some(anything()));
    expect_that!(quarantine.find(&[BAD], hold.until), none());
}

/// A peer's evidence reaches this instance many times, also after it was rebutted.
#[gtest]
fn told_evidence_counts_once_and_not_after_a_rebuttal() {
    let told = after(&[BAD], 3).crashes(at(2001));
    let mut quarantine = Quarantine::new(Policy::PARTS);
    let mut held = 0;
    for _ in 0..5 {
        held += quarantine.receive_crashes(&told, at(2100)).len();
    }
    expect_that!(held, eq(1));
    let part = BAD;
    let rebuttal = Rebuttal {
        part,
        at: at(2200),
        extent: Extent::Begun,
    };
    expect_true!(quarantine.receive_rebuttal(rebuttal, at(2200)));
    quarantine.receive_crashes(&told, at(2300));
    expect_that!(quarantine.find(&[BAD], at(2300)), none());
    // Peers that still have the evidence are told.
    expect_that!(quarantine.rebuttals(at(2301)), len(eq(1)));
}

/// Nothing that callers send can make an instance, or its messages, grow without limit.
#[gtest]
fn everything_is_bounded() {
    let mut quarantine = after(&[BAD], 3);
    for number in 0..50_000 {
        let now = at(3000 + number);
        let part = Part(1000 + number);
        quarantine.record_sound(&[Part(1_000_000 + number)], Extent::Begun, now);
        quarantine.record_crash(&[part], Victim(number), BEGUN, now);
    }
    let now = at(53_000);
    expect_that!(quarantine.crashes(now).len(), le(256));
    expect_that!(quarantine.rebuttals(now).len(), le(16));
    expect_that!(quarantine.find(&[BAD], now), some(anything()));
}

/// Sound prompts wait or go on at most ends, so that each tells little, but a bad part is in all of them.
#[gtest]
fn end_in_the_middle_of_an_answer_tells_little() {
    let begun = |millis, delivered| Progress::Begun {
        since_head: Span::from_millis(millis),
        delivered,
    };
    expect_that!(Weight::of(begun(1000, true)), eq(Weight::WEAK));
    expect_that!(Weight::of(begun(1000, false)), eq(Weight::STRONG));
    expect_that!(Weight::of(begun(100, true)), eq(Weight::WEAK));
}

/// A part that ends upstreams late in an answer was cleared by the answer itself, before it ended.
#[gtest]
fn answer_that_goes_on_does_not_void_late_ends() {
    let late = Progress::Begun {
        since_head: Span::from_millis(2400),
        delivered: true,
    };
    let whole = Progress::Whole {
        since_head: Span::from_millis(600),
    };
    for progress in [late, whole] {
        let mut quarantine = Quarantine::new(Policy::PARTS);
        for victim in 0..4 {
            let now = at(victim * 1000);
            quarantine.record_sound(&[BAD], Extent::Begun, now);
            quarantine.record_crash(&[BAD], Victim(victim), progress, now);
        }
        expect_that!(quarantine.find(&[BAD], at(3001)), some(anything()));
        let told = quarantine.crashes(at(3001));
        let mut peer = Quarantine::new(Policy::PARTS);
        peer.record_sound(&[BAD], Extent::Begun, at(3000));
        expect_that!(peer.receive_crashes(&told, at(3001)), len(eq(1)));
        quarantine.record_sound(&[BAD], Extent::Outlived, at(3500));
        expect_that!(quarantine.find(&[BAD], at(3501)), none());
        let told = quarantine.rebuttals(at(3501));
        expect_that!(told, len(eq(1)));
        peer.receive_rebuttal(told[0], at(3502));
        expect_that!(peer.find(&[BAD], at(3502)), none());
    }
}

/// A peer knows only that the answer went on, and tells it after the upstream outlived it.
#[gtest]
fn weaker_rebuttal_does_not_replace_a_stronger_one() {
    let mut quarantine = after(&[BAD], 3);
    quarantine.record_sound(&[BAD], Extent::Outlived, at(3000));
    let told = after(&[BAD], 3).crashes(at(2001));
    quarantine.record_sound(&[BAD], Extent::Begun, at(3001));
    quarantine.receive_crashes(&told, at(3002));
    let extents = quarantine.rebuttals(at(3003)).into_iter();
    let extents: Vec<Extent> = extents.map(|rebuttal| rebuttal.extent).collect();
    expect_that!(extents, elements_are![eq(&Extent::Outlived)]);
}

#[gtest]
fn part_is_written_in_hexadecimal() {
    let part: Part = "a05928d8452a".parse().unwrap();
    expect_that!(part.to_string(), eq("a05928d8452a"));
    expect_that!("".parse::<Part>(), err(anything()));
}

/// A storm of ends fills what is kept of a part. A probe that ends an upstream later was not counted, so
/// that the part was probed again and again.
#[gtest]
fn probe_counts_after_a_storm_of_ends() {
    let mut quarantine = after(&[BAD], 40);
    quarantine.set_rank(Some(0));
    let late = at(39_000) + Span::from_secs(60);
    expect_that!(quarantine.find(&[BAD], late), none());
    quarantine.record_dispatch(&[BAD], late);
    let told = quarantine.crashes(late);
    quarantine.record_crash(&[BAD], Victim(99), BEGUN, late);
    // Peers still tell ends that were dropped for it.
    quarantine.receive_crashes(&told, late);
    let later = late + Span::from_secs(14);
    expect_that!(quarantine.find(&[BAD], later), some(anything()));
}

/// A plain request has no head of an answer before it ends its upstream.
const RUNNING: Progress = Progress::Waiting {
    since_sent: Span::from_millis(20),
    is_stream: false,
};

/// Returns a quarantine in which a request has ended upstreams, a second apart.
fn after_ends(request: Part, victims: std::ops::Range<u64>) -> Quarantine {
    let mut quarantine = Quarantine::new(Policy::REQUESTS);
    for victim in victims {
        let now = at(victim * 1000);
        quarantine.record_end(request, Victim(victim), RUNNING, now);
    }
    quarantine
}

#[gtest]
fn plain_request_that_ends_two_upstreams_is_held() {
    expect_that!(after_ends(BAD, 0..1).find(&[BAD], at(1)), none());
    let quarantine = after_ends(BAD, 0..2);
    expect_that!(quarantine.find(&[BAD], at(1001)), some(anything()));
    expect_that!(quarantine.find(&[RARE], at(1001)), none());
}

/// Sound requests were in the same ends by chance, some of them in two in a row.
#[gtest]
fn company_of_a_deadly_request_is_released() {
    let mut quarantine = after_ends(BAD, 0..3);
    for victim in 0..2 {
        let now = at(victim * 1000);
        quarantine.record_end(RARE, Victim(victim), RUNNING, now);
    }
    expect_that!(quarantine.find(&[BAD], at(2001)), some(anything()));
    expect_that!(quarantine.find(&[RARE], at(2001)), none());
}

/// Streams wait at an engine without a head for long, so that an end tells little against each of them.
#[gtest]
fn streams_that_wait_are_weak_suspects() {
    let waiting = Progress::Waiting {
        since_sent: Span::from_millis(900),
        is_stream: true,
    };
    expect_that!(Weight::of(waiting), eq(Weight::WEAK));
    expect_that!(Weight::of(RUNNING), eq(Weight::STRONG));
}

/// A caller who sends new bodies that end with their upstreams must not push out what is known.
#[gtest]
fn new_bodies_do_not_push_out_a_held_request() {
    let mut quarantine = after_ends(BAD, 0..2);
    for number in 0..20_000 {
        let now = at(2000 + number / 10);
        quarantine.record_end(Part(1000 + number), Victim(2 + number), RUNNING, now);
        quarantine.record_sound(&[Part(1_000_000 + number)], Extent::Begun, now);
    }
    expect_that!(quarantine.find(&[BAD], at(4000)), some(anything()));
    expect_that!(quarantine.crashes(at(4000)).len(), le(256));
}

/// A probe was told back and forth, each time a little later, so that the part was held for ever.
#[gtest]
fn probe_that_is_told_on_does_not_last() {
    let mut both = [after(&[BAD], 2), after(&[BAD], 2)];
    both[0].set_rank(Some(0));
    let probed = at(1000) + Span::from_secs(6);
    both[0].record_dispatch(&[BAD], probed);
    let transit = Span::from_millis(200);
    for round in 1..170 {
        let now = probed + Span::from_millis(100 * round);
        for teller in 0..2 {
            for probe in both[teller].probes(now) {
                let at = probe.at + transit;
                both[1 - teller].receive_probe(Probe { at, ..probe });
            }
        }
    }
    let [mut quarantine, _] = both;
    // The hold after a probe that is not answered, and some transits.
    let later = probed + Span::from_secs(16);
    expect_that!(quarantine.find(&[BAD], later), none());
    // A probe of another instance after that counts.
    quarantine.receive_probe(Probe {
        part: BAD,
        at: later,
    });
    expect_that!(quarantine.find(&[BAD], later), some(anything()));
}

/// An instance sent a probe and ended before it could tell that the probe had ended its upstream, and two
/// others tried next at the same moment.
#[gtest]
fn probe_without_an_answer_counts_as_a_crash() {
    let mut peer = after(&[BAD], 2);
    peer.set_rank(Some(1));
    let probed = at(1000) + Span::from_secs(6);
    let part = BAD;
    peer.receive_probe(Probe { part, at: probed });
    let late = probed + Span::from_secs(13);
    expect_that!(peer.find(&[BAD], late), some(anything()));
    let extent = Extent::Begun;
    let at = late;
    peer.receive_rebuttal(Rebuttal { part, at, extent }, late);
    expect_that!(peer.find(&[BAD], late), none());
}

/// Each dispatch looked at all suspects, of which there are many after the end of an upstream.
#[gtest]
fn steps_of_a_dispatch_do_not_grow_with_the_suspects() {
    let mut quarantine = Quarantine::new(Policy::REQUESTS);
    for number in 0..500 {
        quarantine.record_end(Part(number), Victim(1), RUNNING, at(0));
    }
    let dispatch = || quarantine.record_dispatch(&[Part(77)], at(1));
    let (is_suspected, steps) = entity::work::measure(dispatch);
    expect_true!(is_suspected);
    expect_that!(steps, eq(1));
}

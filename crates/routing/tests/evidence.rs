//! Guards against evidence that counts twice, too long, for another incarnation, or for more than its
//! sender may say.

mod common;

use common::{START, config, engine, instance, millis};
use config::{Config, Registration};
use entity::id::{self, Id};
use entity::{Moment, Span};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::evidence::{
    Counts, End, Evidence, MAX_ENDS_PER_WORD, MAX_TOLD, Stamp, Sum, Tried, WORD_TTL,
};
use routing::restriction::Incarnation;

fn registered(number: u64) -> Config {
    let mut config = config(4);
    for (_, upstream) in config.upstreams.iter_mut() {
        upstream.registration = Some(Registration {
            incarnation: number,
            memory: None,
            cold_until: Moment(0),
            cold_rate: 40,
        });
    }
    config
}

fn evidence() -> (Evidence, Config) {
    let config = registered(1);
    let mut evidence = Evidence::default();
    evidence.configure(&config);
    (evidence, config)
}

fn incarnation(index: usize) -> Incarnation {
    Incarnation {
        upstream: engine(index),
        number: 1,
    }
}

fn tried(index: usize, ended: u32, failed: u32, unreachable: u32) -> Tried {
    Tried {
        incarnation: incarnation(index),
        counts: Counts {
            ended,
            failed,
            unreachable,
        },
        answered: None,
        failed: None,
    }
}

fn sum(evidence: &Evidence, index: usize, now: Moment) -> Sum {
    evidence.sum(id::Upstream::new(index), &incarnation(index), now)
}

fn stamp(run: u64, sent: u64) -> Stamp {
    Stamp {
        run,
        sent: Moment(sent),
    }
}

#[gtest]
fn own_tries_slide_out_of_the_window() {
    let (mut evidence, _) = evidence();
    for _ in 0..3 {
        evidence.record(&incarnation(0), End::Failed, START);
    }
    evidence.record(&incarnation(0), End::Well, START + millis(600));
    let own = evidence.own(&incarnation(0), START + millis(600));
    expect_that!((own.ended, own.failed), eq((4, 3)));
    let own = evidence.own(&incarnation(0), START + millis(2500));
    expect_that!((own.ended, own.failed), eq((1, 0)));
    let own = evidence.own(&incarnation(0), START + millis(3100));
    expect_that!(own, eq(Counts::default()));
    // The buckets are used again.
    evidence.record(&incarnation(0), End::Failed, START + millis(2500));
    let own = evidence.own(&incarnation(0), START + millis(2500));
    expect_that!((own.ended, own.failed), eq((2, 1)));
}

#[gtest]
fn an_answer_ends_unreachability() {
    let (mut evidence, _) = evidence();
    evidence.record(&incarnation(0), End::Unreachable, START);
    evidence.record(&incarnation(0), End::Unreachable, START);
    let before = sum(&evidence, 0, START);
    expect_that!((before.unreachable, before.answered), eq((1, 0)));
    evidence.record(&incarnation(0), End::Well, START + millis(700));
    let after = sum(&evidence, 0, START + millis(700));
    expect_that!((after.unreachable, after.answered), eq((0, 1)));
    expect_that!((after.counts.ended, after.counts.bad()), eq((3, 2)));
    let later = sum(&evidence, 0, START + millis(1100));
    expect_that!(later.answered, eq(0));
}

#[gtest]
fn words_count_until_they_expire() {
    let (mut evidence, config) = evidence();
    for peer in 1..=3 {
        let word = vec![tried(0, 4, 1, 2)];
        evidence.record_word(&config, &instance(peer), (stamp(1, 1), START), word, START);
    }
    let all = sum(&evidence, 0, START);
    expect_that!(
        (all.counts.ended, all.counts.failed, all.counts.unreachable),
        eq((12, 3, 6))
    );
    expect_that!((all.failing, all.unreachable), eq((3, 3)));
    evidence.expire(&config, START + WORD_TTL - millis(1));
    expect_that!(sum(&evidence, 0, START).failing, eq(3));
    evidence.expire(&config, START + WORD_TTL);
    expect_that!(sum(&evidence, 0, START), eq(Sum::default()));
}

#[gtest]
fn old_repeated_and_late_words_change_nothing() {
    let (mut evidence, config) = evidence();
    let peer = instance(1);
    let say = |evidence: &mut Evidence, stamp, sent_at, now, failed| {
        let word = vec![tried(0, 8, failed, 0)];
        evidence.record_word(&config, &peer, (stamp, sent_at), word, now);
        sum(evidence, 0, now).counts.failed
    };
    expect_that!(say(&mut evidence, stamp(1, 10), START, START, 3), eq(3));
    // A repeat, and one that was sent before.
    expect_that!(say(&mut evidence, stamp(1, 10), START, START, 5), eq(3));
    expect_that!(say(&mut evidence, stamp(1, 9), START, START, 5), eq(3));
    expect_that!(say(&mut evidence, stamp(1, 11), START, START, 4), eq(4));
    // A repeat doesn't prolong a word.
    let later = START + WORD_TTL - millis(1);
    say(&mut evidence, stamp(1, 11), later, later, 4);
    let over = START + WORD_TTL;
    evidence.expire(&config, over);
    expect_that!(sum(&evidence, 0, over).counts.failed, eq(0));
    // Nor does it count anew after it has expired.
    expect_that!(say(&mut evidence, stamp(1, 11), over, over, 4), eq(0));
    // One that was long on its way.
    let now = START + Span::from_secs(5);
    let sent_at = now - WORD_TTL;
    expect_that!(say(&mut evidence, stamp(1, 12), sent_at, now, 4), eq(0));
    // A process that started again counts from the beginning.
    expect_that!(say(&mut evidence, stamp(2, 1), now, now, 2), eq(2));
}

#[gtest]
fn the_word_of_one_peer_is_capped() {
    let (mut evidence, config) = evidence();
    let most = u32::MAX;
    expect_that!(MAX_ENDS_PER_WORD, le(8));
    let lies = vec![
        tried(0, most, most, most),
        tried(0, most, 0, most),
        tried(1, 2, 7, 7),
        tried(2, 0, 5, 0),
        tried(3, 1000, 10, 0),
    ];
    evidence.record_word(&config, &instance(1), (stamp(1, 1), START), lies, START);
    for index in 0..4 {
        let all = sum(&evidence, index, START);
        expect_that!(all.counts.ended, le(MAX_ENDS_PER_WORD));
        expect_that!(all.counts.bad(), le(all.counts.ended));
        expect_that!(all.failing, le(1));
    }
    expect_that!(sum(&evidence, 2, START), eq(Sum::default()));
    // A share stays in proportion, rounded up.
    expect_that!(sum(&evidence, 3, START).counts.failed, eq(1));
    let many = (0..1000).map(|index| tried(index % 4, 8, 8, 0)).collect();
    evidence.record_word(&config, &instance(2), (stamp(1, 1), START), many, START);
    expect_that!(sum(&evidence, 3, START).failing, eq(2));
}

#[gtest]
fn a_new_incarnation_has_no_record() {
    let (mut evidence, config) = evidence();
    let word = vec![tried(0, 4, 4, 0)];
    evidence.record_word(&config, &instance(1), (stamp(1, 1), START), word, START);
    evidence.record(&incarnation(0), End::Failed, START);
    expect_that!(sum(&evidence, 0, START).failing, eq(2));
    let next = registered(2);
    evidence.configure(&next);
    let reborn = Incarnation {
        number: 2,
        ..incarnation(0)
    };
    let now = evidence.sum(id::Upstream::new(0), &reborn, START);
    expect_that!(now, eq(Sum::default()));
    // A word on the former one comes later, and another one on the new one early.
    let word = vec![tried(0, 4, 4, 0)];
    evidence.record_word(&next, &instance(2), (stamp(1, 1), START), word, START);
    let now = evidence.sum(id::Upstream::new(0), &reborn, START);
    expect_that!(now, eq(Sum::default()));
    evidence.expire(&next, START + WORD_TTL);
    expect_that!(evidence.failing_peers(id::Upstream::new(0)), eq(0));
}

#[gtest]
fn what_was_before_a_return_is_forgotten() {
    let (mut evidence, config) = evidence();
    let word = vec![tried(0, 4, 4, 0), tried(1, 4, 4, 0)];
    evidence.record_word(&config, &instance(1), (stamp(1, 1), START), word, START);
    evidence.record(&incarnation(0), End::Failed, START);
    evidence.forget(&config, &incarnation(0));
    expect_that!(sum(&evidence, 0, START), eq(Sum::default()));
    expect_that!(sum(&evidence, 1, START).failing, eq(1));
    // The word that it was part of is taken off later without it.
    evidence.expire(&config, START + WORD_TTL);
    expect_that!(sum(&evidence, 1, START), eq(Sum::default()));
}

#[gtest]
fn those_with_bad_ends_are_told_first() {
    let (mut evidence, _) = evidence();
    for index in 0..100 {
        evidence.record(&incarnation(index), End::Well, START);
    }
    evidence.record(&incarnation(99), End::Failed, START);
    let is_plain = |one: &Incarnation| one.upstream == engine(98);
    let told = evidence.told(false, is_plain, START);
    expect_that!(told[0].incarnation, eq(&incarnation(99)));
    expect_that!(told[1].incarnation, eq(&incarnation(98)));
    expect_that!(told.len(), le(MAX_TOLD));
    for index in 0..100 {
        evidence.record(&incarnation(index), End::Failed, START);
    }
    expect_that!(evidence.told(false, is_plain, START).len(), eq(MAX_TOLD));
    expect_that!(evidence.told(true, is_plain, START), is_empty());
    expect_that!(evidence.own(&incarnation(0), START), eq(Counts::default()));
    expect_that!(sum(&evidence, 0, START), eq(Sum::default()));
    let late = START + Span::from_secs(5);
    expect_that!(evidence.told(false, is_plain, late), is_empty());
}

/// Sums that change by what each message changes are those of the words in force, whatever is lost, late,
/// repeated, or sent by a process that started again.
#[gtest]
fn sums_are_those_of_the_words_in_force() {
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let configs = [registered(1), registered(2)];
        let mut config = &configs[0];
        let mut evidence = Evidence::default();
        evidence.configure(config);
        // What each peer told last: stamp, time of sending, and counts of each upstream and number.
        let mut model: Vec<Option<(Stamp, Moment, Vec<Tried>)>> = vec![None; 5];
        let mut now = START;
        for _ in 0..200 {
            now = now + millis(random.random_range(0..300));
            match random.random_range(0..20) {
                0 => {
                    config = &configs[random.random_range(0..2)];
                    evidence.configure(config);
                    continue;
                }
                1 => {
                    let upstream = incarnation(random.random_range(0..4));
                    evidence.forget(config, &upstream);
                    for (_, _, words) in model.iter_mut().flatten() {
                        words.retain(|word| word.incarnation != upstream);
                    }
                    continue;
                }
                _ => {}
            }
            let peer = random.random_range(0..5);
            let delay = random.random_range(0..2000);
            let sent_at = now - millis(delay);
            let stamp = stamp(random.random_range(0..2), sent_at.0);
            let mut words = Vec::new();
            for index in 0..4 {
                let ended = random.random_range(0..9);
                let mut word = tried(index, ended, random.random_range(0..=ended), 0);
                word.incarnation.number = random.random_range(1..3);
                words.push(word);
            }
            evidence.record_word(
                config,
                &instance(peer),
                (stamp, sent_at),
                words.clone(),
                now,
            );
            let known = model[peer]
                .as_ref()
                .filter(|known| now.since(known.1) < Span::from_secs(10))
                .is_some_and(|known| known.0.run == stamp.run && stamp.sent <= known.0.sent);
            if now.since(sent_at) < WORD_TTL && !known {
                model[peer] = Some((stamp, sent_at, words));
            }
            for (id, upstream) in config.upstreams.iter() {
                let number = upstream.registration.as_ref().unwrap().incarnation;
                let meant = Incarnation {
                    upstream: upstream.name.clone(),
                    number,
                };
                let in_force = model
                    .iter()
                    .flatten()
                    .filter(|one| now.since(one.1) < WORD_TTL);
                let words = in_force.flat_map(|one| &one.2);
                let failed = words.filter(|word| word.incarnation == meant);
                let failed: u32 = failed.map(|word| word.counts.failed).sum();
                let counted = evidence.sum(id, &meant, now).counts.failed;
                assert_that!(counted, eq(failed), "seed {seed}");
            }
        }
    }
}

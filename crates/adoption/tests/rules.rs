//! The checkpoint schedule and the isolation rule.

use adoption::{Contact, Isolation, Schedule, Verdict};
use entity::unit::Share;
use entity::{Moment, Span};
use googletest::prelude::*;

const RETENTION: Span = Span::from_secs(3600);
const BOUND: Span = Span::from_secs(12);

fn at(seconds: u64) -> Moment {
    Moment(0) + Span::from_secs(seconds)
}

fn after_checkpoint(written: u64, jitter: Share) -> Schedule {
    let mut schedule = Schedule::new(RETENTION, at(0), jitter);
    schedule.checkpoint(at(written), jitter);
    schedule
}

#[gtest]
fn checkpoints_are_due_after_a_quarter_to_three_eighths_of_the_retention() {
    let early = after_checkpoint(0, Share::NONE);
    let late = after_checkpoint(0, Share::WHOLE);
    expect_that!(early.due(), eq(at(900)));
    expect_that!(late.due(), eq(at(1350)));
    expect_false!(early.is_due(at(899)));
    expect_true!(early.is_due(at(900)));
}

#[gtest]
fn checkpoint_of_another_instance_restarts_the_wait() {
    let mut schedule = after_checkpoint(0, Share::NONE);
    schedule.checkpoint(at(600), Share::NONE);
    expect_that!(schedule.due(), eq(at(1500)));
}

#[gtest]
fn fresh_instance_waits_by_the_age_of_the_checkpoint_that_it_reads() {
    let mut schedule = Schedule::new(RETENTION, at(2000), Share::NONE);
    schedule.checkpoint(at(1200), Share::NONE);
    expect_that!(schedule.due(), eq(at(2100)));
}

#[gtest]
fn instance_that_has_read_no_checkpoint_writes_after_the_jitter() {
    let schedule = Schedule::new(RETENTION, at(0), Share::percent(50));
    expect_that!(schedule.due(), eq(at(225)));
}

#[gtest]
fn checkpoint_is_due_early_after_64_records() {
    let mut schedule = after_checkpoint(0, Share::WHOLE);
    for _ in 0..63 {
        schedule.record();
    }
    expect_that!(schedule.due(), eq(at(1350)));
    schedule.record();
    expect_that!(schedule.due(), lt(at(10)));
}

fn evaluate(log: Option<u64>, listed: u32, offered: u32, answered: u32) -> Verdict {
    Isolation::new(BOUND).evaluate(&Contact {
        log: log.map(Span::from_secs),
        listed,
        offered,
        answered,
    })
}

#[gtest]
fn recent_reply_of_the_log_is_sufficient_to_serve() {
    expect_that!(evaluate(Some(12), 9, 10, 0), eq(Verdict::Serve));
    expect_that!(evaluate(Some(13), 9, 10, 0), eq(Verdict::Refuse));
    expect_that!(evaluate(None, 9, 0, 0), eq(Verdict::Refuse));
}

#[gtest]
fn outage_of_the_log_alone_does_not_stop_service() {
    for listed in [1, 2, 3, 6, 9, 320] {
        expect_that!(evaluate(Some(9999), listed, 20, 20), eq(Verdict::Serve));
    }
}

#[gtest]
fn network_partition_serves_only_with_a_majority() {
    // Of 9 instances, 5 (4 peers) are a majority; of 8, 4 are not.
    expect_that!(evaluate(None, 9, 8, 4), eq(Verdict::Serve));
    expect_that!(evaluate(None, 9, 8, 3), eq(Verdict::Refuse));
    expect_that!(evaluate(None, 8, 7, 3), eq(Verdict::Refuse));
    expect_that!(evaluate(None, 2, 5, 0), eq(Verdict::Refuse));
}

#[gtest]
fn two_network_partitions_never_both_serve() {
    // With exact samples, at most one side of every split of the list serves.
    for listed in 2..40 {
        for first_side in 1..listed {
            let second_side = listed - first_side;
            let first_verdict = evaluate(None, listed, listed - 1, first_side - 1);
            let second_verdict = evaluate(None, listed, listed - 1, second_side - 1);
            expect_false!(first_verdict == Verdict::Serve && second_verdict == Verdict::Serve);
        }
    }
}

#[gtest]
fn instance_that_has_read_no_list_refuses() {
    expect_that!(evaluate(Some(60), 0, 0, 0), eq(Verdict::Refuse));
}

#[gtest]
fn only_listed_instance_serves_through_an_outage() {
    expect_that!(evaluate(Some(60), 1, 0, 0), eq(Verdict::Serve));
}

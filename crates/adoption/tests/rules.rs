//! The schedule of checkpoints, and the rule for instances that are cut off.

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
fn a_checkpoint_of_another_instance_begins_the_wait_anew() {
    let mut schedule = after_checkpoint(0, Share::NONE);
    schedule.checkpoint(at(600), Share::NONE);
    expect_that!(schedule.due(), eq(at(1500)));
}

#[gtest]
fn a_fresh_instance_goes_by_the_age_of_the_checkpoint_that_it_reads() {
    let mut schedule = Schedule::new(RETENTION, at(2000), Share::NONE);
    schedule.checkpoint(at(1200), Share::NONE);
    expect_that!(schedule.due(), eq(at(2100)));
}

#[gtest]
fn an_instance_that_has_seen_no_checkpoint_writes_soon() {
    let schedule = Schedule::new(RETENTION, at(0), Share::percent(50));
    expect_that!(schedule.due(), eq(at(225)));
}

#[gtest]
fn many_records_make_a_checkpoint_due_early() {
    let mut schedule = after_checkpoint(0, Share::WHOLE);
    for _ in 0..63 {
        schedule.record();
    }
    expect_that!(schedule.due(), eq(at(1350)));
    schedule.record();
    expect_that!(schedule.due(), lt(at(10)));
}

fn judge(log: Option<u64>, listed: u32, offered: u32, answered: u32) -> Verdict {
    Isolation::new(BOUND).judge(&Contact {
        log: log.map(Span::from_secs),
        listed,
        offered,
        answered,
    })
}

#[gtest]
fn contact_with_the_log_is_enough() {
    expect_that!(judge(Some(12), 9, 10, 0), eq(Verdict::Serve));
    expect_that!(judge(Some(13), 9, 10, 0), eq(Verdict::Refuse));
    expect_that!(judge(None, 9, 0, 0), eq(Verdict::Refuse));
}

#[gtest]
fn an_outage_of_the_log_alone_does_not_stop_service() {
    for listed in [1, 2, 3, 6, 9, 320] {
        expect_that!(judge(Some(9999), listed, 20, 20), eq(Verdict::Serve));
    }
}

#[gtest]
fn an_island_serves_only_if_it_is_a_majority() {
    // Of nine instances, five (four others) are a majority; of eight, four are not.
    expect_that!(judge(None, 9, 8, 4), eq(Verdict::Serve));
    expect_that!(judge(None, 9, 8, 3), eq(Verdict::Refuse));
    expect_that!(judge(None, 8, 7, 3), eq(Verdict::Refuse));
    expect_that!(judge(None, 2, 5, 0), eq(Verdict::Refuse));
}

#[gtest]
fn two_islands_of_one_list_never_both_serve() {
    // With exact samples: every split of the list has at most one side that serves.
    for listed in 2..40 {
        for here in 1..listed {
            let there = listed - here;
            let ours = judge(None, listed, listed - 1, here - 1);
            let theirs = judge(None, listed, listed - 1, there - 1);
            expect_false!(ours == Verdict::Serve && theirs == Verdict::Serve);
        }
    }
}

#[gtest]
fn an_instance_that_has_read_no_list_does_not_take_itself_for_a_majority() {
    expect_that!(judge(Some(60), 0, 0, 0), eq(Verdict::Refuse));
}

#[gtest]
fn an_instance_that_is_alone_on_the_list_serves_through_an_outage() {
    expect_that!(judge(Some(60), 1, 0, 0), eq(Verdict::Serve));
}

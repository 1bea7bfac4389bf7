//! Tests of fairness and bounds of the queue, of reserves, and of the accounting of idle reserve.

mod common;

use common::{START, instance, secs};
use entity::{Moment, Span, name};
use googletest::prelude::*;
use proptest::prelude::proptest;
use routing::Priority;
use routing::admission::{Cause, Entry, Queue};
use routing::reserve::{self, Ledger};

fn organisation(name: &str) -> name::Organisation {
    name.parse().unwrap()
}

fn entry(item: u32) -> Entry<u32> {
    Entry {
        priority: Priority(1),
        cost: 1,
        deadline: START + secs(3600),
        item,
    }
}

/// Serves `count` requests and returns their organisations in order.
fn serve(queue: &mut Queue<u32>, count: usize) -> Vec<Box<str>> {
    let mut served = Vec::new();
    for _ in 0..count {
        let (name, ..) = queue.pop(START, |_, _| Some(())).unwrap();
        served.push(name.as_str().into());
    }
    served
}

fn count(served: &[Box<str>], name: &str) -> usize {
    served.iter().filter(|served| &***served == name).count()
}

#[gtest]
fn service_is_shared_by_weight() {
    let mut queue = Queue::new(1000);
    let (large, small) = (organisation("large"), organisation("small"));
    queue.set_organisation(&large, 3, 0);
    queue.set_organisation(&small, 1, 0);
    for item in 0..400 {
        expect_that!(queue.push(&large, entry(item), START), none());
    }
    for item in 0..100 {
        expect_that!(queue.push(&small, entry(item), START), none());
    }
    let served = serve(&mut queue, 100);
    expect_that!(count(&served, "small"), all![ge(24), le(26)]);
}

#[gtest]
fn an_idle_organisation_accumulates_no_credit() {
    let mut queue = Queue::new(1000);
    let (busy, late) = (organisation("busy"), organisation("late"));
    for item in 0..300 {
        queue.push(&busy, entry(item), START);
    }
    serve(&mut queue, 100);
    for item in 0..100 {
        queue.push(&late, entry(item), START);
    }
    let served = serve(&mut queue, 100);
    expect_that!(count(&served, "late"), all![ge(49), le(51)]);
}

#[gtest]
fn a_full_queue_sheds_from_the_organisation_with_the_most_requests() {
    let mut queue = Queue::new(10);
    let (flood, other) = (organisation("flood"), organisation("other"));
    for item in 0..10 {
        expect_that!(queue.push(&flood, entry(item), START), none());
    }
    let shed = queue.push(&flood, entry(10), START).unwrap();
    expect_that!((shed.entry.item, shed.cause), eq((10, Cause::Full)));
    let shed = queue.push(&other, entry(99), START).unwrap();
    expect_that!((shed.entry.item, shed.cause), eq((9, Cause::Full)));
    expect_that!(shed.retry_after, ge(secs(1)));
    expect_that!(queue.len(), eq(10));
}

#[gtest]
fn a_request_that_would_miss_its_deadline_is_shed_at_once() {
    let mut queue = Queue::new(1000);
    let one = organisation("one");
    for item in 0..100 {
        queue.push(&one, entry(item), START);
    }
    let mut now = START;
    for _ in 0..50 {
        now = now + secs(1);
        queue.pop(now, |_, _| Some(())).unwrap();
    }
    let urgent = Entry {
        deadline: now + secs(10),
        ..entry(7)
    };
    let shed = queue.push(&one, urgent, now).unwrap();
    expect_that!(shed.cause, eq(Cause::Late));
}

/// Before the first answer nothing was learned, and all requests waited up to their deadlines.
#[gtest]
fn a_request_that_the_upstreams_cannot_serve_in_time_is_shed_from_the_start_on() {
    let mut queue = Queue::new(1000);
    let one = organisation("one");
    queue.set_pace(Span::from_millis(20));
    let in_a_second = |item| Entry {
        deadline: START + secs(1),
        ..entry(item)
    };
    for item in 0..50 {
        expect_that!(queue.push(&one, in_a_second(item), START), none());
    }
    let shed = queue.push(&one, in_a_second(50), START).unwrap();
    expect_that!((shed.entry.item, shed.cause), eq((50, Cause::Late)));
    expect_that!(queue.push(&one, entry(51), START), none());
}

/// Twice the load that the upstreams can serve: nearly all that aren't served must know at once.
#[gtest]
fn requests_beyond_the_capacity_do_not_wait_in_vain() {
    let mut queue = Queue::new(1000);
    let one = organisation("one");
    queue.set_pace(Span::from_millis(20));
    let (mut served, mut shed, mut expired) = (0, 0, 0);
    for step in 0..1000 {
        let now = START + Span::from_millis(10 * step);
        let urgent = Entry {
            deadline: now + secs(1),
            ..entry(0)
        };
        shed += usize::from(queue.push(&one, urgent, now).is_some());
        expired += queue.expire(now).len();
        if step % 2 == 0 {
            served += usize::from(queue.pop(now, |_, _| Some(())).is_some());
        }
    }
    expect_that!(served, ge(499));
    expect_that!(shed, ge(400));
    expect_that!(expired, le(10));
}

/// A slow minute must not shed requests of a later one.
#[gtest]
fn a_learned_pace_ages() {
    let mut queue = Queue::new(1000);
    let one = organisation("one");
    for item in 0..40 {
        queue.push(&one, entry(item), START);
    }
    let mut now = START;
    while queue.pop(now, |_, _| Some(())).is_some() {
        now = now + secs(1);
    }
    now = now + secs(60);
    for item in 0..40 {
        let soon = Entry {
            deadline: now + secs(1),
            ..entry(item)
        };
        expect_that!(queue.push(&one, soon, now), none());
    }
}

#[gtest]
fn the_earliest_deadline_comes_first_within_a_priority() {
    let mut queue = Queue::new(10);
    let one = organisation("one");
    let due = |item, after| Entry {
        deadline: START + secs(after),
        ..entry(item)
    };
    for (item, after) in [(1, 30), (2, 3), (3, 30)] {
        queue.push(&one, due(item, after), START);
    }
    let mut order = Vec::new();
    while let Some((_, entry, ())) = queue.pop(START, |_, _| Some(())) {
        order.push(entry.item);
    }
    expect_that!(order, eq(&vec![2, 1, 3]));
}

#[gtest]
fn expired_requests_are_removed() {
    let mut queue = Queue::new(10);
    let one = organisation("one");
    let soon = Entry {
        deadline: START + secs(1),
        ..entry(1)
    };
    queue.push(&one, soon, START);
    queue.push(&one, entry(2), START);
    expect_that!(queue.expire(START).len(), eq(0));
    expect_that!(queue.expire(START + secs(1))[0].entry.item, eq(1));
    expect_that!(queue.len(), eq(1));
}

#[gtest]
fn urgent_requests_come_first_within_an_organisation() {
    let mut queue = Queue::new(10);
    let one = organisation("one");
    queue.push(&one, entry(1), START);
    let urgent = Entry {
        priority: Priority(0),
        ..entry(2)
    };
    queue.push(&one, urgent, START);
    let (_, first, ()) = queue.pop(START, |_, _| Some(())).unwrap();
    expect_that!(first.item, eq(2));
}

#[gtest]
fn a_lent_reserve_returns_to_its_owner_on_demand() {
    let mut queue = Queue::new(1000);
    let (owner, borrower) = (organisation("owner"), organisation("borrower"));
    queue.set_organisation(&owner, 1, 2);
    queue.set_organisation(&borrower, 100, 0);
    for item in 0..500 {
        queue.push(&borrower, entry(item), START);
    }
    serve(&mut queue, 10);
    expect_that!(queue.can_bypass(&borrower), eq(false));
    expect_that!(queue.can_bypass(&owner), eq(true));
    for item in 0..20 {
        queue.push(&owner, entry(item), START);
    }
    for _ in 0..2 {
        let (name, ..) = queue.pop(START, |_, _| Some(())).unwrap();
        expect_that!(name.as_str(), eq("owner"));
        queue.record_start(&name);
    }
    // Beyond its reserve the owner gets its share by weight: one in 101, in addition to its first
    // turn.
    let served = serve(&mut queue, 202);
    expect_that!(count(&served, "owner"), all![ge(2), le(3)]);
}

#[gtest]
fn requests_beyond_the_share_have_lower_priority() {
    let mut queue = Queue::new(20);
    let (flood, small) = (organisation("flood"), organisation("small"));
    for item in 0..10 {
        queue.push(&flood, entry(item), START);
    }
    serve(&mut queue, 4);
    queue.push(&small, entry(1), START);
    expect_that!(&*serve(&mut queue, 1)[0], eq("small"));
    expect_that!(
        queue.effective_priority(&flood, Priority(1)),
        gt(Priority(1))
    );
    expect_that!(
        queue.effective_priority(&small, Priority(1)),
        eq(Priority(1))
    );
    queue.set_organisation(&flood, 1, 10);
    expect_that!(
        queue.effective_priority(&flood, Priority(1)),
        eq(Priority(1))
    );
}

#[gtest]
fn a_request_that_is_not_placed_keeps_its_position() {
    let mut queue = Queue::new(10);
    let (one, two) = (organisation("one"), organisation("two"));
    queue.push(&one, entry(1), START);
    queue.push(&two, entry(2), START);
    let placed = queue.pop(START, |name, _| (*name == two).then_some(()));
    expect_that!(placed.unwrap().1.item, eq(2));
    expect_that!(queue.pop(START, |_, _| None::<()>).is_none(), eq(true));
    expect_that!(queue.len(), eq(1));
}

#[gtest]
fn shares_of_a_reserve_add_up() {
    let one = organisation("one");
    let live: Vec<_> = (0..9).map(instance).collect();
    for reserve in 0..30 {
        let shares = live
            .iter()
            .map(|own| reserve::share(&one, reserve, own, &live));
        expect_that!(shares.sum::<u32>(), eq(reserve));
    }
}

/// Requests that are served without a queue don't tell how long a queue takes, and must not keep what an
/// overload taught for longer than its time.
#[gtest]
fn a_learned_pace_ages_while_requests_are_served_without_waiting() {
    let mut queue = Queue::new(100);
    let one = organisation("one");
    for step in 0..60 {
        let now = START + secs(step);
        queue.push(&one, entry(0), now);
        queue.push(&one, entry(0), now);
        queue.pop(now, |_, _| Some(()));
        queue.pop(now + secs(1), |_, _| Some(()));
    }
    for step in 0..10 {
        let now = START + secs(70 + 5 * step);
        expect_that!(queue.push(&one, entry(0), now), none());
        queue.pop(now, |_, _| Some(()));
    }
    let now = START + secs(130);
    expect_that!(queue.push(&one, entry(0), now), none());
    let urgent = Entry {
        deadline: now + Span::from_millis(100),
        ..entry(1)
    };
    expect_that!(queue.push(&one, urgent, now), none());
}

#[gtest]
fn idle_and_lent_reserve_are_traced_to_their_owner() {
    let (owner, borrower) = (organisation("owner"), organisation("borrower"));
    let mut ledger = Ledger::new(10, START);
    ledger.set_reserve(&owner, 4, START);
    for _ in 0..8 {
        ledger.record_start(&borrower, START);
    }
    // Of ten, six are unreserved, so two of the eight use the owner's reserve of four.
    let later = START + secs(10);
    ledger.record_start(&owner, later);
    let usage = ledger.usages(Moment(later.0))[1].clone();
    expect_that!(usage.organisation, eq(&owner));
    expect_that!((usage.lent, usage.idle), eq((20.0, 20.0)));
}

#[gtest]
fn a_removed_organisation_keeps_no_reserve() {
    let (gone, kept) = (organisation("gone"), organisation("kept"));
    let mut ledger = Ledger::new(10, START);
    for organisation in [&gone, &kept] {
        ledger.set_reserve(organisation, 2, START);
    }
    let removed = START + secs(10);
    ledger.retain(&[&kept], removed);
    let idle: Vec<_> = ledger
        .usages(removed + secs(10))
        .iter()
        .map(|usage| usage.idle)
        .collect();
    expect_that!(idle, elements_are![eq(&20.0), eq(&40.0)]);
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn the_queue_stays_bounded_and_loses_no_request(pushes in proptest::collection::vec((0..4usize, 0..3u8), 0..200)) {
        let mut queue = Queue::new(20);
        let (mut shed, mut pushed) = (0, 0);
        for (index, priority) in pushes {
            let name = organisation(["a", "b", "c", "d"][index]);
            let priority = Priority(priority);
            shed += usize::from(queue.push(&name, Entry { priority, ..entry(0) }, START).is_some());
            pushed += 1;
            assert!(queue.len() <= 20);
        }
        assert_eq!(queue.len() + shed, pushed);
    }
}

/// Guards against requests that wait in an instance until it ends: none waits any more in a closed queue.
#[gtest]
fn closed_queue_sheds_all_requests() {
    let mut queue = Queue::new(1000);
    let (one, two) = (organisation("one"), organisation("two"));
    for item in 0..3 {
        expect_that!(queue.push(&one, entry(item), START), none());
        expect_that!(queue.push(&two, entry(10 + item), START), none());
    }
    let shed = queue.close();
    expect_true!(shed.iter().all(|one| one.cause == Cause::Closed));
    let mut items: Vec<u32> = shed.iter().map(|one| one.entry.item).collect();
    items.sort_unstable();
    expect_that!(items, eq(&vec![0, 1, 2, 10, 11, 12]));
    expect_true!(queue.is_empty());
    let late = queue.push(&one, entry(20), START);
    expect_that!(late.map(|shed| shed.cause), some(eq(Cause::Closed)));
    expect_true!(queue.is_empty());
}

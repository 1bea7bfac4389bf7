//! Choice by expected wait: an upstream with a queue must not be chosen while another has room, and
//! instances with equal views must not all choose the same one.

mod common;

use common::{START, millis, secs};
use googletest::prelude::*;
use routing::placement::{self, Place, ServiceTime};

fn place(running: f64) -> Place {
    Place {
        limit: 6.0,
        running,
        service_time: Some(0.05),
        is_local: false,
        is_doubtful: false,
        was_refused: false,
    }
}

/// Returns how often each place is chosen by instances with the same view.
fn counts(places: &[Place]) -> Vec<usize> {
    let mut counts = vec![0; places.len()];
    for random in 0..300 {
        counts[placement::choose(places, random).unwrap()] += 1;
    }
    counts
}

#[gtest]
fn equal_views_lead_to_different_choices() {
    expect_that!(counts(&[place(2.0); 3]), each(eq(&100)));
    let nearly_equal = [place(1.0), place(2.0), place(12.0)];
    expect_that!(
        counts(&nearly_equal),
        elements_are![eq(&150), eq(&150), eq(&0)]
    );
}

#[gtest]
fn a_queue_counts_by_the_time_that_it_takes() {
    expect_that!(counts(&[place(7.0), place(4.0)])[0], eq(0));
    let slow = Place {
        service_time: Some(0.2),
        ..place(0.0)
    };
    expect_that!(counts(&[slow, place(7.0)])[0], eq(0));
    expect_that!(counts(&[slow, place(40.0)])[1], eq(0));
    expect_that!(placement::choose(&[], 1), none());
}

/// A server that fails all requests at once is idle, which must not attract more.
#[gtest]
fn an_upstream_that_failed_counts_as_loaded_as_the_others() {
    let failed = Place {
        is_doubtful: true,
        ..place(0.0)
    };
    expect_that!(counts(&[failed, place(1.0), place(6.0)])[0], eq(0));
    expect_that!(counts(&[failed, place(6.0), place(6.0)])[0], eq(100));
    expect_that!(counts(&[failed]), elements_are![eq(&300)]);
}

/// A full server refuses at once and looks empty. All instances together must not go on asking it while
/// others have room.
#[gtest]
fn an_upstream_that_refused_is_asked_again_only_where_others_are_loaded() {
    let refused = Place {
        was_refused: true,
        ..place(0.0)
    };
    expect_that!(counts(&[refused, place(0.0), place(2.0)])[0], eq(0));
    expect_that!(counts(&[refused, place(7.0), place(7.0)])[0], eq(300));
}

#[gtest]
fn own_zone_comes_first_only_among_equals() {
    let local = |running| Place {
        is_local: true,
        ..place(running)
    };
    expect_that!(counts(&[local(2.0), place(2.0)])[1], eq(0));
    expect_that!(counts(&[local(6.0), place(2.0)])[0], eq(0));
}

/// One that answers errors at once is quicker than the others.
#[gtest]
fn an_upstream_is_not_preferred_because_it_is_quick() {
    let quick = Place {
        service_time: Some(0.001),
        ..place(2.0)
    };
    expect_that!(
        counts(&[quick, place(2.0), place(2.0)]),
        elements_are![eq(&100), eq(&100), eq(&100)]
    );
}

/// An upstream that is not known yet must be tried.
#[gtest]
fn an_unknown_upstream_counts_as_a_usual_one() {
    let unknown = Place {
        service_time: None,
        ..place(2.0)
    };
    expect_that!(counts(&[unknown, place(2.0)]), each(gt(&0)));
    expect_that!(counts(&[unknown; 2]), each(gt(&0)));
}

/// A wait at the upstream, or one answer that takes long, is not its service time.
#[gtest]
fn the_service_time_follows_the_quick_answers_and_ages() {
    let mut time = ServiceTime::default();
    for index in 0..200 {
        let sample = if index % 2 == 0 { 50 } else { 400 };
        time.record(millis(sample), START + millis(10 * index));
    }
    expect_that!(time.get(START + secs(2)), some(all![ge(0.045), le(0.075)]));
    time.record(secs(3600), START + secs(2));
    expect_that!(time.get(START + secs(2)), some(le(0.08)));
    expect_that!(time.get(START + secs(32)), none());
}

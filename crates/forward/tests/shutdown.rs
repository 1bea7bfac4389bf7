//! Phases of a shutdown, whatever the grace period. Requests were taken until right before the end of a short
//! grace period, and cut with no answer.

use entity::Span;
use forward::shutdown::Phases;
use googletest::prelude::*;

#[gtest]
fn phases_leave_time_for_what_was_taken() {
    for millis in (100..40_000).step_by(50) {
        let grace = Span::from_millis(millis);
        let Phases {
            closing,
            giving_up,
            exit,
        } = Phases::within(grace);
        expect_that!(closing, le(giving_up), "{grace}");
        expect_that!(giving_up, lt(exit), "{grace}");
        expect_that!(exit, lt(grace), "{grace}");
        // What was taken last has a quarter of the period to end.
        let left = Span::from_micros(giving_up.as_micros() - closing.as_micros());
        expect_that!(left, ge(grace.scaled(0.24)), "{grace}");
    }
}

/// The load balancer probes once a second and takes an instance out after two failures.
#[gtest]
fn instance_goes_on_until_it_is_out_of_rotation() {
    let phases = Phases::within(Span::from_secs(8));
    expect_that!(phases.closing, ge(Span::from_millis(2_500)));
    expect_that!(phases.giving_up, ge(Span::from_millis(7_500)));
}

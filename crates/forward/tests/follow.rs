//! When a topic is read, and what counts as an outage of the store.

use entity::{Moment, Span};
use forward::follow::{Follow, Timing};
use googletest::prelude::*;

const START: Moment = Moment(1_000_000_000);

fn timing() -> Timing {
    Timing {
        reader_interval: Span::from_millis(600),
        max_age: Span::from_millis(1950),
        disagreement_limit: Span::from_millis(450),
    }
}

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

/// Returns the state after a read at the start.
fn read_once() -> Follow {
    let mut follow = Follow::new(timing());
    follow.record_read(START, at(4));
    follow.confirm(START);
    follow
}

/// An instance that learns from its peers seldom reads the store itself. It must not take that for
/// an outage, after which removed upstreams stay in use for a grace period.
#[gtest]
fn rare_reads_are_no_outage() {
    let mut follow = read_once();
    for millis in (400..9600).step_by(400) {
        follow.record_sight(0, Span::from_millis(300), at(millis));
    }
    expect_false!(follow.record_read(at(11_400), at(11_404)));
}

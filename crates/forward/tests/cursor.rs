//! The place up to which a topic was read.

use entity::{Era, Offset};
use forward::cursor::{Coverage, Cursor};
use forward::source::{Error, Item, Listing, Page, Position};
use googletest::prelude::*;

/// Returns a page of records from offset `from` up to `next` of a topic that ends at `end`.
fn page(from: u64, next: u64, end: u64) -> Page {
    let item = |offset| Item {
        key: "config".into(),
        position: Position {
            offset: Offset(offset),
            ..Position::default()
        },
        entry: Ok(None),
        value: Box::default(),
    };
    Page {
        items: (from..next).map(item).collect(),
        next: Offset(next),
        end: Offset(end),
        era: Era::default(),
    }
}

fn listed(end: u64) -> Cursor {
    let mut cursor = Cursor::default();
    let listing = Listing {
        items: Vec::new(),
        end: Offset(end),
        era: Era::default(),
    };
    cursor.accept_listing(&listing).unwrap();
    cursor
}

#[gtest]
fn topic_is_listed_first_and_after_its_records_expired() {
    let mut cursor = Cursor::default();
    expect_that!(cursor.next(), none());
    cursor = listed(7);
    expect_that!(cursor.next(), some(eq(Offset(7))));
    cursor.reset();
    expect_that!(cursor.next(), none());
}

/// A page of limited size brings old records while newer ones are acknowledged already. It must not
/// show that the state is as recent as the read.
#[gtest]
fn page_that_ends_before_its_topic_covers_only_a_part() {
    let mut cursor = listed(7);
    expect_that!(
        cursor.accept_page(&page(7, 9, 12)),
        ok(eq(&Coverage::Partial))
    );
    expect_that!(cursor.next(), some(eq(Offset(9))));
    expect_that!(
        cursor.accept_page(&page(9, 12, 12)),
        ok(eq(&Coverage::Whole))
    );
    expect_that!(
        cursor.accept_page(&page(12, 12, 12)),
        ok(eq(&Coverage::Whole))
    );
}

/// A store that withholds records must not be read in a loop without a pause.
#[gtest]
fn page_without_the_records_that_the_store_has_is_an_error() {
    let mut cursor = listed(7);
    let withheld = cursor.accept_page(&page(7, 7, 9));
    expect_true!(matches!(withheld, Err(Error::Malformed(_))));
    expect_that!(cursor.next(), some(eq(Offset(7))));
}

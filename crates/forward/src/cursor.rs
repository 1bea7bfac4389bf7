//! The place up to which one instance has read a topic of the store.
//!
//! A page of records has a limited size, so that it can end before the topic does. Only a page that
//! reaches the end of the topic shows that nothing else was acknowledged before the read.

use crate::source::{Error, Listing, Page};
use entity::{Era, Offset};

/// What a reader learns from an answer of the store, besides its records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// The answer has everything that the store had acknowledged when the read was sent.
    Whole,
    /// Further records follow, which have to be read at once.
    Partial,
}

/// Place up to which a topic was read, none before the first listing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cursor {
    next: Option<Offset>,
    /// Newest era of the store in which this instance read the topic.
    era: Era,
}

impl Cursor {
    /// Returns the offset to read from; none if the topic has to be listed.
    pub fn next(&self) -> Option<Offset> {
        self.next
    }

    /// Forgets the place, because the records after it are no longer retained.
    pub fn reset(&mut self) {
        self.next = None;
    }

    /// Continues after a listing.
    ///
    /// # Errors
    ///
    /// Fails if the listing is of an earlier era.
    pub fn accept_listing(&mut self, listing: &Listing) -> Result<Coverage, Error> {
        if listing.era < self.era {
            return Err(Error::Outdated(listing.era));
        }
        self.era = listing.era;
        self.next = Some(listing.end);
        Ok(Coverage::Whole)
    }

    /// Continues after a page.
    ///
    /// # Errors
    ///
    /// Fails if the page is of another era, in which offsets have another meaning, or if it lacks the
    /// records that the store has.
    pub fn accept_page(&mut self, page: &Page) -> Result<Coverage, Error> {
        if page.era < self.era {
            return Err(Error::Outdated(page.era));
        }
        if page.era > self.era {
            return Err(Error::Expired);
        }
        if page.items.is_empty() && page.next < page.end {
            return Err(Error::Malformed("the page lacks its records".into()));
        }
        self.next = Some(page.next);
        Ok(if page.next < page.end {
            Coverage::Partial
        } else {
            Coverage::Whole
        })
    }
}

//! Positions in the streams of the platform's log.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

macro_rules! position {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

position! {
    /// The position of a record in its stream; the first record of a stream has offset 1.
    Offset
}
position! {
    /// A configuration in force, identified by the offset of its accepted publication; 0 means none.
    Generation
}

position! {
    /// The number of times that a log has come back from a copy of itself. Offsets of two eras don't
    /// compare: those after the end of the copy are given out again.
    Era
}

impl Offset {
    /// Returns the position after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl From<Offset> for Generation {
    fn from(offset: Offset) -> Self {
        Self(offset.0)
    }
}

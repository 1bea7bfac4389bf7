//! Ids of what requests have in common.

use std::fmt;
use std::str::FromStr;

/// Id of a part of a prompt, or the fingerprint of a whole request, which all repeats of it share. It
/// is written in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part(pub u64);

/// The text is not the id of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a hexadecimal number of at most 64 bits")]
pub struct Error;

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for Part {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        u64::from_str_radix(text, 16).map(Self).map_err(|_| Error)
    }
}

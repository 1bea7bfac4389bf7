//! Names that operators write: one newtype for each kind of thing.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;

/// Longest name, in bytes.
pub const MAX_BYTES: usize = 64;

/// Why a text is not a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text has no characters.
    #[error("a name may not be empty")]
    Empty,
    /// The text has more than [`MAX_BYTES`] bytes.
    #[error("a name has at most {MAX_BYTES} bytes")]
    Long,
    /// The text holds a character that names may not have.
    #[error("a name has only letters, digits, '-', '_', '.', '/' and ':', not {0:?}")]
    Character(char),
}

fn check(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_BYTES {
        return Err(Error::Long);
    }
    for character in text.chars() {
        if !(character.is_ascii_alphanumeric() || "-_./:".contains(character)) {
            return Err(Error::Character(character));
        }
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Box<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.into()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name! {
    /// A customer whose requests are served and billed.
    Organisation
}
name! {
    /// What callers ask for: a set of versions, or a plain service.
    Service
}
name! {
    /// A model, of which there are versions.
    Model
}
name! {
    /// A version of a model, such as `advice-large/4`.
    Version
}
name! {
    /// A server that runs requests.
    Upstream
}
name! {
    /// An entry instance of the system.
    Instance
}
name! {
    /// An availability zone.
    Zone
}
name! {
    /// A region: zones that are close to each other.
    Region
}

//! Names of entities, as operators write them: one newtype for each kind of entity.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;

/// Maximum length of a name, in bytes.
pub const MAX_BYTES: usize = 64;

/// Error for a text that is not a valid name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is empty.
    #[error("a name may not be empty")]
    Empty,
    /// The text has more than [`MAX_BYTES`] bytes.
    #[error("a name has at most {MAX_BYTES} bytes")]
    TooLong,
    /// The text has a character that is not allowed in names.
    #[error("a name has only letters, digits, '-', '_', '.', '/' and ':', not {0:?}")]
    InvalidCharacter(char),
}

fn check(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_BYTES {
        return Err(Error::TooLong);
    }
    for character in text.chars() {
        if !(character.is_ascii_alphanumeric() || "-_./:".contains(character)) {
            return Err(Error::InvalidCharacter(character));
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
            /// Returns the name as text.
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
    /// A service that callers request: a set of versions, or a plain service.
    Service
}
name! {
    /// A model, which has versions.
    Model
}
name! {
    /// A version of a model, such as `advice-large/4`.
    Version
}
name! {
    /// A server that executes requests.
    Upstream
}
name! {
    /// An instance of the router.
    Instance
}
name! {
    /// An availability zone.
    Zone
}
name! {
    /// A region: a group of zones that are close to each other.
    Region
}

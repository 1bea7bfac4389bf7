//! Dense ids: indices into the sorted vectors of one generation of the configuration.
//!
//! A dense id is valid only together with the configuration that issued it. Data that outlives a
//! generation is keyed by [name](crate::name).

use std::fmt;

/// An index that serves as the key of a [`Map`](crate::Map).
pub trait Id: Copy + Eq + Ord {
    /// Creates the id for an index.
    fn new(index: usize) -> Self;
    /// Returns the index of this id.
    fn index(self) -> usize;
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl Id for $name {
            fn new(index: usize) -> Self {
                Self(u32::try_from(index).expect("fewer than 2^32 entities"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

id! {
    /// An organisation of one configuration.
    Organisation, "org"
}
id! {
    /// A service of one configuration.
    Service, "svc"
}
id! {
    /// A version of one configuration.
    Version, "ver"
}
id! {
    /// An upstream of one configuration.
    Upstream, "up"
}
id! {
    /// An availability zone of one configuration.
    Zone, "zone"
}

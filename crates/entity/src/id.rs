//! Dense ids: indices into the sorted vectors of one generation of the configuration.
//!
//! A dense id is meaningful only together with the configuration that issued it; what outlives a
//! generation is kept by [name](crate::name).

use std::fmt;

/// An index that keys a [`Map`](crate::Map).
pub trait Id: Copy + Eq + Ord {
    /// The id for an index.
    fn new(index: usize) -> Self;
    /// The index of this id.
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

//! Session tokens: a session keeps its version.

//! HTTP interface towards callers.

//! HTTP client for the platform's services: one call with a timeout and a typed failure.

mod call;

pub use call::{Answer, Client, Error};

//! Interface to the log.

use bytes::Bytes;
use entity::{Offset, Span};
use std::future::Future;

/// Calls of the log that this crate uses; a trait, so that tests can replace the client.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends a record and returns its offset.
    ///
    /// [`logs::Error::Refused`] means that the record can never appear on the log;
    /// [`logs::Error::Unknown`] means that it may have been appended, or may be appended later.
    fn append(
        &self,
        stream: &str,
        data: Bytes,
    ) -> impl Future<Output = Result<Offset, logs::Error>> + Send;

    /// Reads up to `limit` records from an offset and waits up to `wait` for the first one.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Span,
    ) -> impl Future<Output = Result<logs::Page, logs::Error>> + Send;
}

impl Log for logs::Client {
    async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, logs::Error> {
        Self::append(self, stream, data).await
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Span,
    ) -> Result<logs::Page, logs::Error> {
        Self::read(self, stream, from, limit, wait).await
    }
}

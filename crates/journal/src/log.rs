//! What this package needs of a log.

use bytes::Bytes;
use entity::{Offset, Span};
use std::future::Future;

/// The log's two calls, so that tests can replace the client.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends a record and returns its offset.
    ///
    /// [`logs::Error::Refused`] means that the record can never appear on the log;
    /// [`logs::Error::Unknown`] that it may have been appended, or may be later.
    fn append(
        &self,
        stream: &str,
        data: Bytes,
    ) -> impl Future<Output = Result<Offset, logs::Error>> + Send;

    /// Reads up to `limit` records from an offset, waiting up to `wait` for the first.
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

//! HTTP client for appends and reads.

use crate::page::Page;
use bytes::Bytes;
use entity::{Offset, Span};
use hyper::{Method, StatusCode};
use serde::Deserialize;
use std::net::SocketAddr;

/// Delay before a retry if the log refuses without a retry-after time.
const DEFAULT_RETRY_AFTER: Span = Span::from_secs(1);

/// Reason why an append or a read failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The call certainly had no effect.
    #[error("the log refused: {reason}")]
    Refused {
        /// Response status, or the connection error.
        reason: Box<str>,
        /// Time to wait before a retry.
        retry_after: Span,
    },
    /// The call may have taken effect, or may still do so.
    #[error("no reply from the log: {0}")]
    Unknown(Box<str>),
}

impl From<client::Error> for Error {
    fn from(error: client::Error) -> Self {
        match error {
            client::Error::Unsent(reason) => Self::Refused {
                reason,
                retry_after: DEFAULT_RETRY_AFTER,
            },
            client::Error::Unknown(reason) => Self::Unknown(reason),
        }
    }
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

/// Client of the platform's log.
#[derive(Clone, Debug)]
pub struct Client {
    http: client::Client,
}

impl Client {
    /// Creates a client whose calls take at most `timeout`, in addition to the wait of a long poll.
    pub fn new(address: SocketAddr, timeout: Span) -> Self {
        Self {
            http: client::Client::new(address, timeout),
        }
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] only if the record can never appear on the log.
    pub async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, Error> {
        let path = format!("/streams/{stream}/records");
        let answer = self
            .http
            .call(Method::POST, &path, data, Span::ZERO)
            .await?;
        let answer = accept(answer)?;
        let appended: Appended = parse(&answer.body)?;
        Ok(appended.offset)
    }

    /// Reads up to `limit` records from an offset and waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be reached, or its answer can't be parsed or has a gap.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Span,
    ) -> Result<Page, Error> {
        let wait_ms = wait.as_micros() / 1000;
        let path = format!("/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}");
        let answer = self
            .http
            .call(Method::GET, &path, Bytes::new(), wait)
            .await?;
        let page: Page = parse(&accept(answer)?.body)?;
        check(&page, from)?;
        Ok(page)
    }
}

fn accept(answer: client::Answer) -> Result<client::Answer, Error> {
    match answer.status {
        StatusCode::OK => Ok(answer),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Err(Error::Refused {
            reason: answer.status.to_string().into(),
            retry_after: answer.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
        }),
        // Any other status, for example of a gateway, leaves open whether the record is appended.
        status => Err(Error::Unknown(status.to_string().into())),
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Unknown(error.to_string().into()))
}

/// Rejects a page with a gap, so that no fold skips a retained record.
fn check(page: &Page, from: Offset) -> Result<(), Error> {
    let mut expected = from.max(page.first);
    for record in &page.records {
        if record.offset != expected {
            return Err(Error::Unknown("the page has a gap".into()));
        }
        expected = expected.next();
    }
    Ok(())
}

//! Client that reads the instance list.

use crate::list::List;
use client::Error;
use entity::Span;
use hyper::StatusCode;
use std::net::SocketAddr;

/// Client of the platform's instance list.
#[derive(Clone, Debug)]
pub struct Client {
    http: client::Client,
}

impl Client {
    /// Creates a client whose reads take at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Span) -> Self {
        Self {
            http: client::Client::new(address, timeout),
        }
    }

    /// Reads the current list, sorted by name.
    ///
    /// # Errors
    ///
    /// Returns an error if the list can't be read or parsed.
    pub async fn read(&self) -> Result<List, Error> {
        let answer = self.http.get("/instances").await?;
        if answer.status != StatusCode::OK {
            return Err(Error::Unknown(answer.status.to_string().into()));
        }
        let mut list: List = serde_json::from_slice(&answer.body)
            .map_err(|error| Error::Unknown(error.to_string().into()))?;
        list.instances.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(list)
    }
}

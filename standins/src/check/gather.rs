//! Collection of a history from the load tool's report and from stand-ins.

use super::{Call, History, Usage};
use crate::client::{self, Client};
use crate::load::report::Exchange;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The stream of usage records.
const USAGE: &str = "/streams/usage/records";
/// Records of one read.
const PAGE: usize = 1000;

/// Where the history is to be had.
#[derive(Clone, Debug)]
pub struct Sources {
    /// Engines and plain services.
    pub upstreams: Vec<SocketAddr>,
    /// The log.
    pub log: SocketAddr,
}

/// Why there is no whole history.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in gave no whole reply.
    #[error("{0} gave no whole reply")]
    Reply(SocketAddr, #[source] client::Error),
    /// A reply, a report or a record has another form.
    #[error("reading {0}")]
    Form(&'static str, #[source] serde_json::Error),
    /// A record of the log is no base64 text.
    #[error("reading a record of the log")]
    Base64(#[from] base64::DecodeError),
    /// The log no longer has its first records.
    #[error("the log has forgotten records before {0}")]
    Forgotten(u64),
}

#[derive(Deserialize)]
struct Report {
    requests: Vec<Exchange>,
}

#[derive(Deserialize)]
struct Page {
    first: u64,
    records: Vec<Record>,
}

#[derive(Deserialize)]
struct Record {
    offset: u64,
    data: Box<str>,
}

/// Collects the history of a run from the JSON of its report.
///
/// # Errors
///
/// Returns an error where a part of the history can't be had.
pub async fn gather(report: &[u8], sources: &Sources) -> Result<History, Error> {
    let client = Client::default();
    let report: Report = form("the report", serde_json::from_slice(report))?;
    let mut history = History {
        exchanges: report.requests,
        ..History::default()
    };
    for upstream in &sources.upstreams {
        let reply = get(&client, *upstream, "/calls").await?;
        let calls: Vec<Call> = form("calls", serde_json::from_value(reply))?;
        history.calls.extend(calls);
    }
    let mut from = 1;
    loop {
        let path = format!("{USAGE}?from={from}&limit={PAGE}");
        let reply = get(&client, sources.log, &path).await?;
        let page: Page = form("a page", serde_json::from_value(reply))?;
        if page.first > from {
            return Err(Error::Forgotten(page.first));
        }
        let Some(last) = page.records.last() else {
            return Ok(history);
        };
        from = last.offset + 1;
        for record in &page.records {
            batch(&mut history.usage, &STANDARD.decode(&*record.data)?)?;
        }
    }
}

/// Adds the requests of a batch; intervals of reserved capacity are passed over.
fn batch(usage: &mut Vec<Usage>, data: &[u8]) -> Result<(), Error> {
    let entries: Vec<Value> = form("a batch of usage", serde_json::from_slice(data))?;
    for entry in entries {
        let Some(request) = entry.get("request") else {
            continue;
        };
        let mut billed: Usage = form("usage", Usage::deserialize(request))?;
        billed.text = request.to_string().into();
        usage.push(billed);
    }
    Ok(())
}

async fn get(client: &Client, address: SocketAddr, path: &str) -> Result<Value, Error> {
    let reply = client.get(address, path).await;
    Ok(reply.map_err(|error| Error::Reply(address, error))?.1)
}

fn form<T>(what: &'static str, result: serde_json::Result<T>) -> Result<T, Error> {
    result.map_err(|error| Error::Form(what, error))
}

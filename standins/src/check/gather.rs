//! Collects a history from the load tool's report and from stand-ins.

use super::{Call, History, Usage};
use crate::client::{self, Client};
use crate::load::report::Exchange;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Path of the records of the usage stream.
const USAGE: &str = "/streams/usage/records";
/// Number of records that one read asks for.
const PAGE: usize = 1000;

/// Addresses from which a history is collected.
#[derive(Clone, Debug)]
pub struct Sources {
    /// Addresses of engines and plain services.
    pub upstreams: Vec<SocketAddr>,
    /// Address of the log.
    pub log: SocketAddr,
}

/// Reason why a history could not be collected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in did not send a complete reply.
    #[error("{0} did not send a complete reply")]
    Reply(SocketAddr, #[source] client::Error),
    /// A reply, a report or a record has an unexpected format.
    #[error("parsing {0}")]
    Format(&'static str, #[source] serde_json::Error),
    /// A record of the log is not valid base64.
    #[error("decoding a record of the log")]
    Base64(#[from] base64::DecodeError),
    /// The log no longer retains its first records.
    #[error("the log no longer retains records before offset {0}")]
    Expired(u64),
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
/// Returns an error if a part of the history can't be read.
pub async fn gather(report: &[u8], sources: &Sources) -> Result<History, Error> {
    let client = Client::default();
    let report: Report = parsed("the report", serde_json::from_slice(report))?;
    let mut history = History {
        exchanges: report.requests,
        ..History::default()
    };
    for upstream in &sources.upstreams {
        let reply = get(&client, *upstream, "/calls").await?;
        let calls: Vec<Call> = parsed("calls", serde_json::from_value(reply))?;
        history.calls.extend(calls);
    }
    let mut from = 1;
    loop {
        let path = format!("{USAGE}?from={from}&limit={PAGE}");
        let reply = get(&client, sources.log, &path).await?;
        let page: Page = parsed("a page of records", serde_json::from_value(reply))?;
        if page.first > from {
            return Err(Error::Expired(page.first));
        }
        let Some(last) = page.records.last() else {
            return Ok(history);
        };
        from = last.offset + 1;
        for record in &page.records {
            add_usage_batch(&mut history.usage, &STANDARD.decode(&*record.data)?)?;
        }
    }
}

/// Adds the request records of a usage batch; intervals of reserved capacity are skipped.
fn add_usage_batch(usage: &mut Vec<Usage>, data: &[u8]) -> Result<(), Error> {
    let entries: Vec<Value> = parsed("a usage batch", serde_json::from_slice(data))?;
    for entry in entries {
        let Some(request) = entry.get("request") else {
            continue;
        };
        let mut billed: Usage = parsed("a usage record", Usage::deserialize(request))?;
        billed.text = request.to_string().into();
        usage.push(billed);
    }
    Ok(())
}

async fn get(client: &Client, address: SocketAddr, path: &str) -> Result<Value, Error> {
    let reply = client.get(address, path).await;
    Ok(reply.map_err(|error| Error::Reply(address, error))?.1)
}

fn parsed<T>(what: &'static str, result: serde_json::Result<T>) -> Result<T, Error> {
    result.map_err(|error| Error::Format(what, error))
}

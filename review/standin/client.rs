//! Stand-in of a client: one request on a connection of its own.

use crate::http::{End, Reader};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// What a client asks for, and where.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub node: SocketAddr,
    pub path: &'static str,
    /// Whether a model answers.
    pub is_draft: bool,
    pub key: &'static str,
    pub deadline: Duration,
}

/// What the client saw.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// Time at which the last byte of the request was sent, or the connection was asked for.
    pub sent: Duration,
    /// Whether the whole request was sent.
    pub is_sent: bool,
    /// Time at which the answer or the connection ended.
    pub ended: Duration,
    /// Status of the answer; 0 if none arrived.
    pub status: u16,
    pub is_sealed: bool,
    /// Ids of the events.
    pub events: Vec<u64>,
    /// The machine that was asked.
    pub node: SocketAddr,
    /// Whether the answer is complete by the rules of HTTP.
    pub is_complete: bool,
}

/// Sends a request in a thread of its own.
pub fn send(request: Request, record: &Record) -> JoinHandle<Outcome> {
    let record = record.clone();
    thread::spawn(move || {
        let mut outcome = Outcome {
            id: request.id.clone(),
            sent: record.now(),
            is_sent: false,
            ended: Duration::ZERO,
            status: 0,
            is_sealed: false,
            events: Vec::new(),
            node: request.node,
            is_complete: false,
        };
        exchange(&request, &record, &mut outcome);
        outcome.ended = record.now();
        record.line(&format!(
            "client: {} ends, status {}, events {:?}, {}",
            outcome.id,
            outcome.status,
            outcome.events,
            if outcome.is_complete {
                "complete"
            } else {
                "cut"
            }
        ));
        outcome
    })
}

fn exchange(request: &Request, record: &Record, outcome: &mut Outcome) {
    let timeout = Duration::from_secs(1);
    let Ok(mut stream) = TcpStream::connect_timeout(&request.node, timeout) else {
        record.line(&format!("client: {} gets no connection", request.id));
        return;
    };
    let _ = stream.set_nodelay(true);
    // The client leaves at its deadline.
    let _ = stream.set_read_timeout(Some(request.deadline));
    let body = "{\"prompt\":\"a notice for the district\"}";
    let prompt = format!(
        "Model: *\r\nToken-Counts: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,{}:660\r\n",
        request.id
    );
    let prompt = if request.is_draft { &prompt } else { "" };
    let text = format!(
        "POST {} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {}\r\n{prompt}Deadline-Ms: {}\r\n\
         Authorization: Bearer {}\r\nContent-Length: {}\r\n\r\n{body}",
        request.path,
        request.id,
        request.deadline.as_millis(),
        request.key,
        body.len()
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return;
    }
    outcome.sent = record.now();
    outcome.is_sent = true;
    record.line(&format!(
        "client: {} is sent to {}",
        request.id, request.node
    ));
    let mut reader = Reader::new(stream);
    let Ok(Some(head)) = reader.head() else {
        return;
    };
    outcome.status = head.status();
    outcome.is_sealed = head.get("server-seal").is_some();
    let retry_after = head.get("retry-after").unwrap_or("none").to_owned();
    record.line(&format!(
        "client: {} gets {}, retry after {retry_after}",
        request.id,
        head.status()
    ));
    let mut bytes = Vec::new();
    let end = reader.answer_body(&head, &mut |piece| bytes.extend_from_slice(piece));
    let text = String::from_utf8_lossy(&bytes);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    outcome.events = ids.filter_map(|id| id.parse().ok()).collect();
    outcome.is_complete = end == End::Complete;
}

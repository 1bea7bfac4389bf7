//! Stand-in of the platform's store, for topics of keyed records. It is linearizable, loses nothing and
//! answers every call.

use crate::http::{self, Head, Reader};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

type Topics = BTreeMap<String, Vec<(String, Vec<u8>)>>;

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Topics>, Condvar)>,
}

/// Whether the store turns a machine away.
#[derive(Clone, Default)]
pub struct Gate {
    closed: Arc<AtomicBool>,
    /// When a read of the operators' topic was last turned away.
    last_read: Arc<Mutex<Option<Instant>>>,
}

impl Gate {
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    pub fn open(&self) {
        self.closed.store(false, Ordering::SeqCst);
    }

    /// Returns whether a read of the operators' topic was turned away within a time.
    pub fn has_refused_a_read(&self, within: Duration) -> bool {
        let last = *self.last_read.lock().unwrap();
        last.is_some_and(|last| last.elapsed() < within)
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }
}

impl Store {
    /// Serves the calls of one machine on an address. While the gate is closed, the machine is turned away.
    pub fn serve(&self, address: SocketAddr) -> Gate {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let (store, gate) = (self.clone(), Gate::default());
        let opened = gate.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, gate) = (store.clone(), opened.clone());
                thread::spawn(move || store.connection(stream, &gate));
            }
        });
        gate
    }

    /// Appends a record of a key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.shared.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
        self.shared.1.notify_all();
    }

    /// Returns the values of a key, the oldest first.
    pub fn values(&self, topic: &str, key: &str) -> Vec<String> {
        let topics = self.shared.0.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], |records| &records[..]);
        let own = records.iter().filter(|(name, _)| name == key);
        own.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
            .collect()
    }

    fn connection(&self, mut stream: TcpStream, gate: &Gate) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(clone);
        while let Ok(Some(head)) = reader.head() {
            let body = reader.request_body(&head);
            if self.answer(&mut stream, &head, &body, gate).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        head: &Head,
        body: &[u8],
        gate: &Gate,
    ) -> std::io::Result<()> {
        let turn_away =
            |stream: &mut TcpStream| http::answer(stream, "503 Service Unavailable", "", b"");
        if gate.is_closed() {
            if head.target().starts_with("/-/log-read?topic=keyed.op&") {
                *gate.last_read.lock().unwrap() = Some(Instant::now());
            }
            return turn_away(stream);
        }
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| decode(value))
        };
        let number = |name: &str| value(name).and_then(|text| text.parse::<u64>().ok());
        let topic = value("topic").unwrap_or_default();
        let json = "Content-Type: application/json\r\n";
        match path {
            "/-/log-newest" => {
                let text = self.newest(&topic, value("after"));
                http::answer(stream, "200 OK", json, text.as_bytes())
            }
            "/-/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                let page = self.read(&topic, number("from").unwrap_or(0) as usize, wait);
                if gate.is_closed() {
                    return turn_away(stream);
                }
                match page {
                    Some(page) => http::answer(stream, "200 OK", "", &page),
                    None => http::answer(stream, "410 Gone", json, br#"{"first":0}"#),
                }
            }
            "/-/log-append" => {
                let (offset, end) = self.append(&topic, body);
                let text = format!(r#"{{"offset":{offset},"end":{end}}}"#);
                http::answer(stream, "200 OK", json, text.as_bytes())
            }
            _ => http::answer(stream, "404 Not Found", json, b"{}"),
        }
    }

    fn append(&self, topic: &str, body: &[u8]) -> (usize, usize) {
        let mut records = Vec::new();
        let mut rest = body;
        while rest.len() > 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + length];
            let key_end = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            records.push((key, record[key_end..].to_vec()));
            rest = &rest[4 + length..];
        }
        let mut topics = self.shared.0.lock().unwrap();
        let log = topics.entry(topic.to_owned()).or_default();
        let offset = log.len();
        log.extend(records);
        self.shared.1.notify_all();
        (offset, log.len())
    }

    fn newest(&self, topic: &str, after: Option<String>) -> String {
        let topics = self.shared.0.lock().unwrap();
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|key, (_, value)| {
            !value.is_empty() && after.as_deref().is_none_or(|after| *key > after)
        });
        let items: Vec<String> = newest
            .iter()
            .take(500)
            .map(|(key, (offset, value))| {
                format!(
                    r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#,
                    base64(value)
                )
            })
            .collect();
        let (truncated, end) = (newest.len() > 500, records.len());
        format!(
            r#"{{"items":[{}],"truncated":{truncated},"end":{end}}}"#,
            items.join(",")
        )
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Option<Vec<u8>> {
        let deadline = Instant::now() + wait;
        let mut topics = self.shared.0.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], |records| &records[..]);
            if from > records.len() {
                return None;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut page = (records.len() as u64).to_be_bytes().to_vec();
                page.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    let length = (1 + key.len() + value.len()) as u32;
                    page.extend_from_slice(&length.to_be_bytes());
                    page.push(key.len() as u8);
                    page.extend_from_slice(key.as_bytes());
                    page.extend_from_slice(value);
                }
                return Some(page);
            }
            topics = self.shared.1.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let word = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= group.len() {
                text.push(char::from(DIGITS[(word >> (18 - 6 * digit)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

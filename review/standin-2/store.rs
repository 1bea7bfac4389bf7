//! The platform's store: keyed topics of one partition.

use crate::http::{self, Request};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

type Records = Vec<(String, Vec<u8>)>;

/// The store. Clones share its records.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<BTreeMap<String, Records>>>,
    appended: Arc<Condvar>,
    /// Value of `Store-Era`.
    era: Arc<AtomicU64>,
    /// Whether it gives no answers.
    is_away: Arc<AtomicBool>,
}

/// A copy of all records.
pub struct Copy(BTreeMap<String, Records>);

impl Store {
    /// Starts to serve and returns the address.
    pub fn open(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    /// Appends a record, which acknowledges it. An empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().expect("no panic");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.appended.notify_all();
    }

    /// Returns the newest value of a key.
    pub fn newest_of(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.topics.lock().expect("no panic");
        let mut records = topics.get(topic)?.iter().rev();
        let (_, value) = records.find(|(known, _)| known == key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Returns a copy, from which it can come back.
    pub fn copy(&self) -> Copy {
        Copy(self.topics.lock().expect("no panic").clone())
    }

    /// Ends all connections without an answer from now on.
    pub fn leave(&self) {
        self.is_away.store(true, Ordering::Relaxed);
    }

    /// Comes back from a copy in the next era.
    pub fn come_back(&self, copy: Copy) {
        *self.topics.lock().expect("no panic") = copy.0;
        self.era.fetch_add(1, Ordering::Relaxed);
        self.is_away.store(false, Ordering::Relaxed);
        self.appended.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            // The store of the sheets takes 4 ms for an answer.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            if self.is_away.load(Ordering::Relaxed) {
                let _ = writer.shutdown(std::net::Shutdown::Both);
                return;
            }
            let era = self.era.load(Ordering::Relaxed).to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
            if http::write_answer(&mut writer, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        match (request.method.as_str(), request.path()) {
            ("GET", "/-/log-newest") => (200, self.newest(&topic, request.query("after"))),
            ("GET", "/-/log-read") => {
                let number = |name| request.query(name).and_then(|text| text.parse().ok());
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                self.read(&topic, number("from").unwrap_or(0) as usize, wait)
            }
            ("POST", "/-/log-append") => self.append(&topic, request),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, Vec::new());
        }
        let mut topics = self.topics.lock().expect("no panic");
        let records = topics.entry(topic.to_owned()).or_default();
        let at = request.query("at").and_then(|text| text.parse().ok());
        if at.is_some_and(|at: usize| at != records.len()) {
            return (412, format!("{{\"end\":{}}}", records.len()).into_bytes());
        }
        let offset = records.len();
        let mut rest = request.body.as_slice();
        while rest.len() >= 5 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + length];
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = &rest[4 + length..];
        }
        let answer = format!("{{\"offset\":{offset},\"end\":{}}}", records.len());
        self.appended.notify_all();
        (200, answer.into_bytes())
    }

    fn newest(&self, topic: &str, after: Option<String>) -> Vec<u8> {
        let topics = self.topics.lock().expect("no panic");
        let none = Vec::new();
        let records = topics.get(topic).unwrap_or(&none);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let rest: Vec<_> = newest
            .into_iter()
            .filter(|(key, _)| after.as_deref().is_none_or(|after| *key > after))
            .collect();
        let items: Vec<String> = rest
            .iter()
            .take(500)
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, truncated) = (items.join(","), rest.len() > 500);
        let end = records.len();
        format!("{{\"items\":[{items}],\"truncated\":{truncated},\"end\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
        let deadline = Instant::now() + wait;
        let mut topics = self.topics.lock().expect("no panic");
        loop {
            let length = topics.get(topic).map_or(0, Vec::len);
            if from > length {
                return (410, b"{\"first\":0}".to_vec());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if length > from || left.is_zero() {
                break;
            }
            let waited = self.appended.wait_timeout(topics, left);
            topics = waited.expect("no panic").0;
        }
        let none = Vec::new();
        let records = topics.get(topic).unwrap_or(&none);
        let mut page = (records.len() as u64).to_be_bytes().to_vec();
        page.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in &records[from..] {
            let length = 1 + key.len() + value.len();
            page.extend_from_slice(&(length as u32).to_be_bytes());
            page.push(key.len() as u8);
            page.extend_from_slice(key.as_bytes());
            page.extend_from_slice(value);
        }
        (200, page)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

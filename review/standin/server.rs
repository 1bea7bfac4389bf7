//! Stand-in of a server of a service: it runs a bounded number of requests at once and queues some more.

use crate::http::{self, Head, Reader};
use crate::record::Record;
use crate::store::Store;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Interval between a server's entries in the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time for which a server that is leaving goes on, longer than `drainMs`.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Requests that wait for a slot, at most.
const QUEUE: usize = 24;
/// New connections that may wait to be accepted.
const BACKLOG: i32 = 128;

unsafe extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
}

/// How the bodies of streams are framed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// In chunks.
    Chunks,
    /// In chunks, but for every so manieth answer of the server that names this id: it has no length and ends
    /// with its connection.
    ChunksBut { each: usize, at: &'static str },
}

/// What the answers of a server look like.
#[derive(Clone)]
pub enum Plan {
    /// Streams, with the pauses before each of their events.
    Stream {
        framing: Framing,
        pauses: Vec<Duration>,
    },
    /// Plain answers after some work.
    Plain { work: Duration },
}

/// Static properties of a server.
#[derive(Clone)]
pub struct Properties {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub slots: usize,
    pub version: &'static str,
}

#[derive(Clone)]
pub struct Server {
    pub properties: Properties,
    plan: Plan,
    record: Record,
    busy: Arc<(Mutex<(usize, usize)>, Condvar)>,
    reachable: Arc<AtomicBool>,
    /// Ids of the requests that arrived, and when.
    arrived: Arc<Mutex<Vec<(String, Duration)>>>,
    /// Whether every second plain answer is a failure.
    is_bad: Arc<AtomicBool>,
    /// Answers so far.
    answers: Arc<AtomicUsize>,
    /// When the plain answers that failed were sent.
    failed: Arc<Mutex<Vec<Duration>>>,
    /// Ids of the requests that ran.
    ran: Arc<Mutex<Vec<String>>>,
    /// Whether the server is leaving.
    is_draining: Arc<AtomicBool>,
    /// Whether the server has ended.
    has_ended: Arc<AtomicBool>,
    /// Descriptor of the listening socket, which lasts as long as the process.
    socket: i32,
}

impl Server {
    /// Starts a server and registers it.
    pub fn open(properties: Properties, plan: Plan, record: Record, store: &Store) -> Self {
        let listener = TcpListener::bind(properties.address).expect("a server's address is free");
        let server = Self {
            properties,
            plan,
            record,
            busy: Arc::default(),
            reachable: Arc::new(AtomicBool::new(true)),
            arrived: Arc::default(),
            is_bad: Arc::default(),
            answers: Arc::default(),
            failed: Arc::default(),
            has_ended: Arc::default(),
            ran: Arc::default(),
            is_draining: Arc::default(),
            socket: listener.as_raw_fd(),
        };
        let shared = server.clone();
        thread::spawn(move || {
            loop {
                while !shared.reachable.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(1));
                }
                let Ok((stream, _)) = listener.accept() else {
                    return;
                };
                if shared.has_ended() {
                    return;
                }
                let shared = shared.clone();
                thread::spawn(move || shared.connection(stream));
            }
        });
        let (shared, store) = (server.clone(), store.clone());
        shared.register(&store, 1);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                if shared.has_ended() {
                    return;
                }
                shared.register(&store, sequence);
            }
        });
        server
    }

    fn register(&self, store: &Store, sequence: u64) {
        let Properties {
            id,
            service,
            zone,
            address,
            slots,
            version,
        } = &self.properties;
        let is_draining = self.is_draining.load(Ordering::SeqCst);
        let state = if is_draining { "draining" } else { "ready" };
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"{state}","coldRemainingMs":0,"stage":"prefill_decode","models":[{{"name":"m0","version":1,"adapters":[]}}],"sequence":{sequence},"born":1764900000000}}"#
        );
        store.put("keyed.servers", id, entry.as_bytes());
    }

    /// Drops the opening packets of new connections until [`Server::join`], as a cut link does. Open
    /// connections go on.
    pub fn cut(&self) -> Vec<TcpStream> {
        self.reachable.store(false, Ordering::SeqCst);
        self.set_backlog(0);
        // The accepting thread takes one more connection; two fill the queue.
        (0..3)
            .filter_map(|_| {
                let timeout = Duration::from_millis(50);
                TcpStream::connect_timeout(&self.properties.address, timeout).ok()
            })
            .collect()
    }

    /// Ends a cut.
    pub fn join(&self, fillers: Vec<TcpStream>) {
        self.set_backlog(BACKLOG);
        self.reachable.store(true, Ordering::SeqCst);
        drop(fillers);
    }

    /// Sets how many new connections may wait. Opening packets beyond these are dropped.
    fn set_backlog(&self, count: i32) {
        // SAFETY: the call takes two numbers; the descriptor is that of the listening socket.
        unsafe { listen(self.socket, count) };
    }

    /// Returns when a request arrived here; none if it didn't.
    pub fn arrival(&self, id: &str) -> Option<Duration> {
        let arrived = self.arrived.lock().unwrap();
        let found = arrived.iter().find(|(seen, _)| seen == id);
        found.map(|(_, at)| *at)
    }

    /// Makes every second plain answer a failure from now on.
    pub fn turn_bad(&self) {
        self.is_bad.store(true, Ordering::SeqCst);
    }

    /// Returns when the plain answers that failed were sent.
    pub fn failures(&self) -> Vec<Duration> {
        self.failed.lock().unwrap().clone()
    }

    /// Returns whether a request ran here.
    pub fn has_run(&self, id: &str) -> bool {
        self.ran.lock().unwrap().iter().any(|ran| ran == id)
    }

    /// Reports that the server is leaving, and ends it some time after.
    pub fn drain(&self, store: &Store) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.register(store, 1_000_000);
        let (server, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            thread::sleep(DRAIN_TIME);
            server.stop(&store);
        });
    }

    /// Ends the server at once. Its entry is removed.
    pub fn stop(&self, store: &Store) {
        self.has_ended.store(true, Ordering::SeqCst);
        store.put("keyed.servers", &self.properties.id, b"");
        // Wakes the accepting thread, which closes the listening socket.
        let _ = TcpStream::connect(self.properties.address);
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    fn connection(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(clone);
        while let Ok(Some(head)) = reader.head() {
            let _ = reader.request_body(&head);
            if self.has_ended() {
                return;
            }
            if !self.request(&mut stream, &head) {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection is kept.
    fn request(&self, stream: &mut TcpStream, head: &Head) -> bool {
        let own = &self.properties.id;
        let Some(id) = head.get("request-id").map(str::to_owned) else {
            let headers = format!("Instance-Id: {own}\r\n");
            return http::answer(stream, "200 OK", &headers, b"{}").is_ok();
        };
        if head
            .get("expect-instance")
            .is_some_and(|expected| expected != own)
        {
            let headers = format!("Instance-Id: {own}\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n");
            return http::answer(stream, "421 Misdirected Request", &headers, b"").is_ok();
        }
        let last = head.get("last-event-id").and_then(|text| text.parse().ok());
        let last: usize = last.unwrap_or(0);
        self.record.line(&format!(
            "server {own}: {id} arrives, last event {last}, Deadline-Ms {}",
            head.get("deadline-ms").unwrap_or("none")
        ));
        let arrival = (id.clone(), self.record.now());
        self.arrived.lock().unwrap().push(arrival);
        if !self.begin() {
            self.record
                .line(&format!("server {own}: {id} is rejected, not run"));
            let headers = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n");
            return http::answer(stream, "503 Service Unavailable", &headers, b"").is_ok();
        }
        self.ran.lock().unwrap().push(id.clone());
        self.record.line(&format!("server {own}: {id} runs"));
        let is_kept = match &self.plan {
            Plan::Stream { framing, pauses } => self.stream(stream, (&id, last), *framing, pauses),
            Plan::Plain { work } => self.plain(stream, &id, *work),
        };
        self.finish();
        is_kept
    }

    /// Waits for a slot; false if too many wait.
    fn begin(&self) -> bool {
        let (lock, changed) = &*self.busy;
        let mut busy = lock.lock().unwrap();
        if busy.0 >= self.properties.slots {
            if busy.1 >= QUEUE {
                return false;
            }
            busy.1 += 1;
            while busy.0 >= self.properties.slots {
                busy = changed.wait(busy).unwrap();
            }
            busy.1 -= 1;
        }
        busy.0 += 1;
        true
    }

    fn finish(&self) {
        self.busy.0.lock().unwrap().0 -= 1;
        self.busy.1.notify_all();
    }

    fn plain(&self, stream: &mut TcpStream, id: &str, work: Duration) -> bool {
        let own = &self.properties.id;
        thread::sleep(work);
        let headers = format!("Request-Id: {id}\r\nServer-Seal: 3e1b.07.{own}\r\n");
        let is_second = self.answers.fetch_add(1, Ordering::SeqCst) % 2 == 1;
        let is_bad = self.is_bad.load(Ordering::SeqCst) && is_second;
        if is_bad {
            self.failed.lock().unwrap().push(self.record.now());
        }
        let status = if is_bad {
            "500 Internal Server Error"
        } else {
            "200 OK"
        };
        self.record
            .line(&format!("server {own}: {id} has run, {status}"));
        http::answer(stream, status, &headers, b"booked").is_ok()
    }

    fn stream(
        &self,
        stream: &mut TcpStream,
        (id, last): (&str, usize),
        framing: Framing,
        pauses: &[Duration],
    ) -> bool {
        let own = &self.properties.id;
        let count = 1 + self.answers.fetch_add(1, Ordering::SeqCst);
        let is_chunked = match framing {
            Framing::Chunks => true,
            Framing::ChunksBut { each, at } => at != own || count % each != 0,
        };
        let framing = if is_chunked {
            "Transfer-Encoding: chunked"
        } else {
            "Connection: close"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: 3e1b.07.{own}\r\nContent-Type: text/event-stream\r\nConfidence: 100\r\nWeight-Versions: 1\r\n{framing}\r\n\r\n"
        );
        let mut sent = stream.write_all(head.as_bytes());
        let count = pauses.len();
        // A resumed run makes the events after the last one, without the pause of the first run.
        for number in last + 1..=count {
            let pause = pauses[number - 1];
            thread::sleep(if last > 0 {
                pause.min(Duration::from_millis(100))
            } else {
                pause
            });
            let event = format!("id: {number}\ndata: part {number} of {count}\n\n");
            let bytes = if is_chunked {
                format!("{:x}\r\n{event}\r\n", event.len())
            } else {
                event
            };
            sent = sent.and_then(|()| stream.write_all(bytes.as_bytes()));
            if sent.is_err() {
                self.record.line(&format!(
                    "server {own}: {id} stops before event {number}, the connection is closed"
                ));
                return false;
            }
        }
        if is_chunked {
            sent = sent.and_then(|()| stream.write_all(b"0\r\n\r\n"));
        }
        self.record.line(&format!(
            "server {own}: {id} has run, {count} events in all"
        ));
        is_chunked && sent.is_ok()
    }
}

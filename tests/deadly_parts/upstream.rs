//! Upstreams of one service that end, with all their connections, at a moment of each run of a prompt with a
//! certain part, and return under another id at another address.

use crate::support::store::FakeStore;
use crate::support::wire;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Part that ends upstreams.
pub const DEADLY_PART: &str = "bad1:300";
/// Time from the end of an upstream to its return.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time from a request to the head of its answer.
const HEAD_TIME: Duration = Duration::from_millis(50);
/// Time from the head of an answer, or from an event, to the next event.
const EVENT_TIME: Duration = Duration::from_millis(150);
/// Time from what precedes the end of an upstream to the end.
const END_TIME: Duration = Duration::from_millis(30);

/// What an upstream has sent of an answer when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing.
    Waiting,
    /// The head.
    Head,
    /// The event with this number. The rest of an answer, after that event, ends no upstream.
    Event(u32),
    /// So many events, also of the rest of an answer.
    Events(u32),
    /// The whole answer.
    Whole,
}

/// The upstreams, and what they received.
#[derive(Clone)]
pub struct Upstreams {
    store: FakeStore,
    stage: Stage,
    /// Number of events of an answer.
    event_count: u32,
    /// Arrivals of prompts with the part.
    arrivals: Arc<Mutex<Vec<Instant>>>,
    ends: Arc<Mutex<Vec<Instant>>>,
}

impl Upstreams {
    /// Starts upstreams and registers them in a store.
    pub async fn spawn(count: usize, stage: Stage, event_count: u32, store: FakeStore) -> Self {
        let upstreams = Self {
            store,
            stage,
            event_count,
            arrivals: Arc::default(),
            ends: Arc::default(),
        };
        for number in 0..count {
            let listener = upstreams.register(number, 0).await;
            tokio::spawn(upstreams.clone().run(number, listener));
        }
        upstreams
    }

    /// Returns the number of ends.
    pub fn end_count(&self) -> usize {
        self.ends.lock().unwrap().len()
    }

    /// Returns the number of arrivals of the part later than `grace` after the end numbered `number`.
    pub fn arrivals_after(&self, number: usize, grace: Duration) -> usize {
        let ends = self.ends.lock().unwrap();
        let Some(&end) = ends.get(number - 1) else {
            return 0;
        };
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|&&at| at > end + grace).count()
    }

    async fn register(&self, number: usize, life: u32) -> TcpListener {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let entry = format!(
            r#"{{"service":"llm","address":"{}","zone":"a","version":"v1","slots":16,"state":"ready","born":{}}}"#,
            listener.local_addr().unwrap(),
            life + 1
        );
        self.store.put("keyed.servers", &id(number, life), &entry);
        listener
    }

    async fn run(self, number: usize, mut listener: TcpListener) {
        for life in 0.. {
            self.live(listener).await;
            self.ends.lock().unwrap().push(Instant::now());
            sleep(RESTART_TIME).await;
            self.store.drop_key("keyed.servers", &id(number, life));
            listener = self.register(number, life + 1).await;
        }
    }

    /// Serves until a prompt with the part has come as far as the stage.
    async fn live(&self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted.unwrap();
                    connections.spawn(self.clone().serve(stream));
                }
                Some(is_end) = connections.join_next() => if is_end.unwrap() {
                    return;
                },
            }
        }
    }

    /// Serves a connection. Returns whether the upstream ends.
    async fn serve(self, mut stream: TcpStream) -> bool {
        let mut buffer = Vec::new();
        while let Some((head, _)) = wire::read_request(&mut stream, &mut buffer).await {
            let is_deadly = head.contains(DEADLY_PART);
            if is_deadly {
                self.arrivals.lock().unwrap().push(Instant::now());
            }
            match self.answer(&mut stream, &head, is_deadly).await {
                Ok(true) => return true,
                Ok(false) => {}
                Err(_) => return false,
            }
        }
        false
    }

    /// Streams an answer. Returns whether the upstream ends.
    async fn answer(
        &self,
        stream: &mut TcpStream,
        head: &str,
        is_deadly: bool,
    ) -> std::io::Result<bool> {
        let ends_at = |stage| is_deadly && stage == self.stage;
        if ends_at(Stage::Waiting) {
            sleep(END_TIME).await;
            return Ok(true);
        }
        sleep(HEAD_TIME).await;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nserver-seal: 3e1b\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            wire::value(head, "request-id")
        );
        stream.write_all(answer.as_bytes()).await?;
        if ends_at(Stage::Head) {
            sleep(END_TIME).await;
            return Ok(true);
        }
        let last: u32 = wire::value(head, "last-event-id").parse().unwrap();
        for event in last + 1..=self.event_count {
            sleep(EVENT_TIME).await;
            let data = format!("id: {event}\ndata: e{event}\n\n");
            let chunk = format!("{:x}\r\n{data}\r\n", data.len());
            stream.write_all(chunk.as_bytes()).await?;
            if ends_at(Stage::Event(event)) || ends_at(Stage::Events(event - last)) {
                sleep(END_TIME).await;
                return Ok(true);
            }
        }
        stream.write_all(b"0\r\n\r\n").await?;
        if ends_at(Stage::Whole) {
            sleep(END_TIME).await;
            return Ok(true);
        }
        Ok(false)
    }
}

fn id(number: usize, life: u32) -> String {
    format!("i-{number}-{life}")
}

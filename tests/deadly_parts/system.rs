//! Instances as processes, and their callers.

use crate::process;
use crate::support::store::FakeStore;
use nix::sys::signal::Signal;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Child;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CONFIG: &str = r#"{"version":1,"routes":[
 {"name":"draft","host":"a.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":8000,
  "targetLatencyMs":2000,"service":"llm","maxAttempts":3,"resumable":true,"gapAimMs":800}],
 "services":[{"name":"llm"}],
 "tenants":[{"name":"clinics","apiKeys":["secret"]}]}"#;
/// Longest time from the start of an instance to its readiness.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two polls of the readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which instances that are ready find each other.
const MEETING_TIME: Duration = Duration::from_millis(1500);

/// Instances that share a store.
pub struct System {
    children: Vec<Child>,
    /// Addresses of the instances for callers.
    pub callers: Vec<SocketAddr>,
    directory: PathBuf,
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

impl System {
    /// Starts instances, with their settings and logs in a directory that is named after the process and the
    /// test.
    pub async fn spawn(test: &str, count: usize, store: FakeStore) -> Self {
        let directory = format!("deadly-parts-{}-{test}", std::process::id());
        let mut system = Self {
            children: Vec::new(),
            callers: Vec::new(),
            directory: std::env::temp_dir().join(directory),
        };
        std::fs::create_dir_all(&system.directory).unwrap();
        store.put("keyed.op", "config", CONFIG);
        let address = store.open().await;
        for number in 0..count {
            let ready = system.spawn_instance(number, address);
            wait_until_ready(ready).await;
        }
        tokio::time::sleep(MEETING_TIME).await;
        system
    }

    /// Starts an instance and returns its address for readiness probes.
    fn spawn_instance(&mut self, number: usize, store: SocketAddr) -> SocketAddr {
        let caller = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let ready = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let internal = process::free_lasting_port();
        let text = format!(
            "nodeName = \"front-{number}\"\nzone = \"a\"\nip = \"127.0.0.1\"\n\
             internalPorts = [{internal},{internal}]\nheartbeatMs = 1200\n[zones]\na = \"r\"\n\
             [listen]\nfront = \"{caller}\"\nready = \"{ready}\"\n\
             [bounds]\ngraceS = 4\nrevokeFailClosed = true\nrevokeMs = 5000\nbudgetRatio = 0.9\n\
             budgetWindowS = 10\n[platform]\naddress = \"{store}\"\n"
        );
        let settings = self.directory.join(format!("front-{number}.toml"));
        std::fs::write(&settings, text).unwrap();
        let log = self.directory.join(format!("front-{number}.jsonl"));
        self.children.push(process::spawn(&settings, &log));
        self.callers.push(caller);
        ready
    }

    /// Returns the directory of the settings and logs.
    pub fn directory(&self) -> String {
        self.directory.display().to_string()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for child in &mut self.children {
            process::signal(child, Signal::SIGKILL);
            // Reaps the child process.
            let _ = child.wait();
        }
    }
}

async fn wait_until_ready(address: SocketAddr) {
    let end = tokio::time::Instant::now() + START_TIMEOUT;
    while tokio::time::Instant::now() < end {
        let answer = call(address, "GET /-/readiness HTTP/1.1\r\nHost: x\r\n", "").await;
        if answer.starts_with("HTTP/1.1 200") {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the instance is not ready");
}

/// Sends a draft whose prompt has shared parts and one of its own. Returns the whole answer, up to the end of the
/// connection.
pub async fn draft(caller: SocketAddr, shared: &str, own: usize) -> String {
    let body = format!("draft {own}");
    let head = format!(
        "POST /draft/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {own:016x}\r\n\
         Deadline-Ms: 8000\r\nAuthorization: Bearer secret\r\n\
         Token-Counts: 700,80\r\nPrompt-Prefix: {shared},{:x}:50\r\nContent-Length: {}\r\n",
        0x1000 + own,
        body.len()
    );
    call(caller, &head, &body).await
}

async fn call(address: SocketAddr, head: &str, body: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    let request = format!("{head}Connection: close\r\n\r\n{body}");
    let mut answer = Vec::new();
    // An aborted connection ends with an error; the bytes received before it are kept.
    if stream.write_all(request.as_bytes()).await.is_ok() {
        let _ = stream.read_to_end(&mut answer).await;
    }
    String::from_utf8_lossy(&answer).into_owned()
}

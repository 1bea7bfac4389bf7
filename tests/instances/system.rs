//! Instances as processes.
#![allow(dead_code, reason = "each test binary uses only some of the items")]

use crate::process;
use crate::support::store::FakeStore;
use nix::sys::signal::Signal;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Child;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest time from the start of an instance to its readiness.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two polls of the readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which instances that are ready find each other.
const MEETING_TIME: Duration = Duration::from_millis(1500);

/// What the instances of a test are like.
pub struct Setup<'a> {
    /// Name of the test.
    pub test: &'a str,
    /// Number of instances.
    pub count: usize,
    /// Configuration of the operators.
    pub config: &'a str,
    /// Section `limits` of the settings; empty if there is none.
    pub limits: &'a str,
    /// Largest number of descriptors of an instance; none if the system's own holds.
    pub descriptors: Option<u32>,
}

/// Instances that share a store.
pub struct System {
    pub children: Vec<Child>,
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
    pub async fn spawn(setup: &Setup<'_>, store: FakeStore) -> Self {
        let directory = format!("citrontrack-{}-{}", std::process::id(), setup.test);
        let mut system = Self {
            children: Vec::new(),
            callers: Vec::new(),
            directory: std::env::temp_dir().join(directory),
        };
        std::fs::create_dir_all(&system.directory).unwrap();
        store.put("keyed.op", "config", setup.config);
        let address = store.open().await;
        for number in 0..setup.count {
            let ready = system.spawn_instance(setup, number, address);
            wait_until_ready(ready).await;
        }
        tokio::time::sleep(MEETING_TIME).await;
        system
    }

    /// Starts an instance and returns its address for readiness probes.
    fn spawn_instance(
        &mut self,
        setup: &Setup<'_>,
        number: usize,
        store: SocketAddr,
    ) -> SocketAddr {
        let limits = setup.limits;
        let caller = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let ready = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let internal = process::free_lasting_port();
        let text = format!(
            "nodeName = \"front-{number}\"\nzone = \"a\"\nip = \"127.0.0.1\"\n\
             internalPorts = [{internal},{internal}]\nheartbeatMs = 1200\n[zones]\na = \"r\"\n\
             [listen]\nfront = \"{caller}\"\nready = \"{ready}\"\n\
             [bounds]\ngraceS = 4\nrevokeFailClosed = true\nrevokeMs = 5000\nbudgetRatio = 0.9\n\
             budgetWindowS = 10\n{limits}[platform]\naddress = \"{store}\"\n"
        );
        let settings = self.directory.join(format!("front-{number}.toml"));
        std::fs::write(&settings, text).unwrap();
        let log = self.directory.join(format!("front-{number}.jsonl"));
        let child = process::spawn_limited(&settings, &log, setup.descriptors);
        self.children.push(child);
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

/// Sends a request and returns the whole answer, up to the end of the connection.
pub async fn call(address: SocketAddr, head: &str, body: &str) -> String {
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

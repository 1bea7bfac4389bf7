//! Stand-in of the platform: it starts the processes of the deploy file with their settings, probes them
//! and ends them.

use crate::http::Reader;
use crate::record::Record;
use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest time for a node to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Ports on the loopback address, some for each machine and one for each server.
#[derive(Clone, Copy)]
pub struct Ports(u16);

/// Ports of a machine: for clients, for probes, for the other machines, and that of the store for it.
const PORTS_PER_NODE: u16 = 4;
const MAX_NODES: u16 = 6;
const MAX_SERVERS: u16 = 4;

impl Ports {
    /// Finds ports that are free now, below those of outgoing connections.
    pub fn find() -> Option<Self> {
        let count = MAX_NODES * PORTS_PER_NODE + MAX_SERVERS;
        let first = 12_000 + (std::process::id() % 500) as u16 * count;
        (0..200).map(|step| first + step * count).find_map(|base| {
            let is_free = (base..base + count).all(|port| {
                let address = SocketAddr::new(LOOPBACK, port);
                TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
            });
            is_free.then_some(Self(base))
        })
    }

    /// Returns the address at which a machine finds the store.
    pub fn store(self, node: u16) -> SocketAddr {
        SocketAddr::new(LOOPBACK, self.of_node(node) + 3)
    }

    /// Returns the address of a server.
    pub fn server(self, number: u16) -> SocketAddr {
        let first = self.0 + MAX_NODES * PORTS_PER_NODE;
        SocketAddr::new(LOOPBACK, first + number)
    }

    fn of_node(self, number: u16) -> u16 {
        self.0 + number * PORTS_PER_NODE
    }
}

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// A machine with one process of the role `entry`.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Arc<Mutex<Child>>,
    is_ready: Arc<AtomicBool>,
    record: Record,
}

/// The machines, and a folder for their settings and logs.
pub struct Platform {
    pub nodes: Vec<Node>,
    directory: PathBuf,
}

impl Platform {
    /// Creates a platform without machines.
    pub fn new() -> Option<Self> {
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&directory).ok()?;
        Some(Self {
            nodes: Vec::new(),
            directory,
        })
    }

    /// Starts a machine in each of the zones named and waits until all are ready; none if they don't
    /// become so.
    pub fn start(&mut self, zones: &[&str], ports: Ports, record: &Record) -> Option<()> {
        for (number, zone) in zones.iter().enumerate() {
            let node = self.start_node(number as u16, zone, ports, record)?;
            self.nodes.push(node);
        }
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            if self.nodes.iter().all(Node::is_in_rotation) {
                record.line("platform: all nodes are ready");
                return Some(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line("platform: the nodes don't become ready");
        None
    }

    /// Records which machines wrote a ruling, by their logs.
    pub fn record_rulings(&self, record: &Record) {
        for node in &self.nodes {
            let log = fs::read_to_string(self.directory.join(format!("{}.log", node.name)));
            let log = log.unwrap_or_default();
            for line in log.lines().filter(|line| line.contains("\"judged\"")) {
                record.line(&format!("log of {}: {line}", node.name));
            }
        }
    }

    fn start_node(&self, number: u16, zone: &str, ports: Ports, record: &Record) -> Option<Node> {
        let name = format!("front-{zone}-{}", number + 1);
        let first = ports.of_node(number);
        let settings = self.directory.join(format!("{name}.toml"));
        fs::write(&settings, settings_text(&name, zone, number, ports)).ok()?;
        let log = File::create(self.directory.join(format!("{name}.log"))).ok()?;
        let child = Command::new("target/release/citrontrack")
            .args(["forward", "--cascade", "55"])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", &self.directory)
            .env("CITRONTRACK_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        record.line(&format!(
            "platform: {name} is started, process {}",
            child.id()
        ));
        let node = Node {
            name,
            front: SocketAddr::new(LOOPBACK, first),
            ready: SocketAddr::new(LOOPBACK, first + 1),
            child: Arc::new(Mutex::new(child)),
            is_ready: Arc::new(AtomicBool::new(false)),
            record: record.clone(),
        };
        node.watch();
        Some(node)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for node in &self.nodes {
            let mut child = node.child.lock().unwrap();
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl Node {
    /// Returns whether the platform sends new connections to the node.
    pub fn is_in_rotation(&self) -> bool {
        self.is_ready.load(Ordering::SeqCst)
    }

    /// Probes the node once a second. Two misses take it out, one answer takes it in.
    fn watch(&self) {
        let (address, is_ready) = (self.ready, self.is_ready.clone());
        let (record, name) = (self.record.clone(), self.name.clone());
        thread::spawn(move || {
            let mut misses = 0;
            loop {
                misses = if probe(address) { 0 } else { misses + 1 };
                let was = is_ready.load(Ordering::SeqCst);
                let is = misses == 0 || was && misses < 2;
                if is != was {
                    let what = if is { "in" } else { "out of" };
                    record.line(&format!("platform: {name} is {what} rotation"));
                }
                is_ready.store(is, Ordering::SeqCst);
                thread::sleep(Duration::from_secs(1));
            }
        });
    }

    /// Sends SIGTERM, and SIGKILL after the grace period. Returns the thread that waits for the end.
    pub fn terminate(&self, grace: Duration) -> thread::JoinHandle<Option<ExitStatus>> {
        self.signal("TERM");
        let (child, record, name) = (self.child.clone(), self.record.clone(), self.name.clone());
        thread::spawn(move || {
            let end = Instant::now() + grace;
            while Instant::now() < end {
                if let Ok(Some(status)) = child.lock().unwrap().try_wait() {
                    record.line(&format!("platform: {name} has ended, {status}"));
                    return Some(status);
                }
                thread::sleep(Duration::from_millis(10));
            }
            let _ = child.lock().unwrap().kill();
            record.line(&format!("platform: {name} gets SIGKILL"));
            None
        })
    }

    /// Sends SIGKILL.
    pub fn kill(&self) {
        self.record
            .line(&format!("platform: {} gets SIGKILL", self.name));
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Stops the process without a notice; `wake` lets it go on.
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Lets a frozen process go on.
    pub fn wake(&self) {
        self.signal("CONT");
    }

    fn signal(&self, signal: &str) {
        self.record
            .line(&format!("platform: {} gets SIG{signal}", self.name));
        let process = self.child.lock().unwrap().id();
        let command = format!("kill -{signal} {process}");
        let _ = Command::new("sh").args(["-c", &command]).status();
    }
}

fn probe(address: SocketAddr) -> bool {
    let timeout = Duration::from_secs(1);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(timeout));
    let question = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    if stream.write_all(question.as_bytes()).is_err() {
        return false;
    }
    let head = Reader::new(stream).head();
    matches!(head, Ok(Some(head)) if head.status() == 200)
}

fn settings_text(name: &str, zone: &str, number: u16, ports: Ports) -> String {
    let (ip, front) = (LOOPBACK, ports.of_node(number));
    let (ready, internal) = (front + 1, front + 2);
    let store = ports.store(number);
    format!(
        r#"nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "amman"
internalPorts = [{internal},{internal}]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","rollout"]
[zones]
amman-a = "amman"
amman-b = "amman"
amman-c = "amman"
amman-d = "amman"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
revokeFailClosed = true
revokeMs = 5000
budgetRatio = 0.9
budgetWindowS = 10
budgetSlack = 52
exposeShare = 0.15
exposeSlack = 30
rollbackMs = 5000
coldOver = 1.5
coldSlack = 5
evacMs = 5000
recoverS = 12
passMs = 120
againS = 10
sessionS = 5
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
"#
    )
}

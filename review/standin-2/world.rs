//! A small deployment: the store, servers, instances as processes, and what is recorded of them.

use crate::http::{self, Answer, Request};
use crate::store::Store;
use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval of the entries that a server writes (`heartbeatMs`).
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Returns a duration of so many milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The log of a case, written to `record.txt` as well.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            begun: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Returns the seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// Writes a line with the time.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("no panic");
        let _ = writeln!(file, "{:8.3} {}", self.now(), text.as_ref());
    }

    /// Writes a line that is shown as well.
    pub fn say(&self, text: impl AsRef<str>) {
        self.line(text.as_ref());
        println!("{:8.3} {}", self.now(), text.as_ref());
    }
}

/// A request that reached a server, which ran it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub server: String,
    pub id: String,
    pub path: String,
}

/// What a server does with a request that it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deed {
    /// Answers with a status and a body.
    Answer(u16),
    /// Streams so many events, and names its confidence.
    Stream { events: u32, confidence: u32 },
    /// Streams one event, half of another one, and closes the connection.
    BreakOff,
}

/// Decides what a server does with a request.
pub type Conduct = Arc<dyn Fn(&Request) -> Deed + Send + Sync>;

/// What a server is, without its state.
#[derive(Clone)]
pub struct Kind {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub version: &'static str,
    pub slots: u32,
    /// Time that an answer, or the first event, takes.
    pub work: Duration,
    /// `coldStartS` after each start, zero if it never is cold.
    pub cold: Duration,
    pub conduct: Conduct,
}

struct Life {
    born: u64,
    cold_until: Instant,
    draining: bool,
    up: bool,
    sequence: u64,
}

/// A server, whose entry is written to the store at every heartbeat.
#[derive(Clone)]
pub struct Server {
    pub kind: Kind,
    pub address: SocketAddr,
    life: Arc<Mutex<Life>>,
    store: Store,
    record: Record,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

/// Returns the Unix time in milliseconds.
fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Server {
    /// Starts a server and registers it.
    pub fn start(kind: Kind, world: &World) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            address: listener.local_addr().expect("a bound address"),
            life: Arc::new(Mutex::new(Life {
                born: unix_ms(),
                cold_until: Instant::now() + kind.cold,
                draining: false,
                up: true,
                sequence: 0,
            })),
            kind,
            store: world.store.clone(),
            record: world.record.clone(),
            arrivals: world.arrivals.clone(),
            open: Arc::default(),
        };
        server.listen(listener);
        server.keep_registered();
        server
    }

    /// Writes an entry now and at each heartbeat until the server crashes.
    fn keep_registered(&self) {
        self.beat();
        let (server, born) = (self.clone(), self.born());
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            if !server.is_up() || server.born() != born {
                return;
            }
            server.beat();
        });
    }

    /// Accepts connections until the server crashes; then nobody listens at the address.
    fn listen(&self, listener: TcpListener) {
        listener
            .set_nonblocking(true)
            .expect("a listener can be polled");
        let (server, born) = (self.clone(), self.born());
        thread::spawn(move || {
            while server.is_up() && server.born() == born {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ms(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(kept) = stream.try_clone() {
                    server.open.lock().expect("no panic").push(kept);
                }
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
    }

    pub fn is_up(&self) -> bool {
        self.life.lock().expect("no panic").up
    }

    pub fn born(&self) -> u64 {
        self.life.lock().expect("no panic").born
    }

    /// Returns the next entry of the server.
    pub fn entry(&self) -> String {
        let mut life = self.life.lock().expect("no panic");
        life.sequence += 1;
        let left = life.cold_until.saturating_duration_since(Instant::now());
        let state = if life.draining { "draining" } else { "ready" };
        let Kind {
            service,
            zone,
            version,
            slots,
            ..
        } = self.kind;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":{slots},\"state\":\"{state}\",\
             \"coldRemainingMs\":{},\"sequence\":{},\"born\":{}}}",
            self.address,
            left.as_millis(),
            life.sequence,
            life.born
        )
    }

    /// Writes an entry, which the store acknowledges.
    pub fn beat(&self) {
        let entry = self.entry();
        self.write(&entry);
    }

    /// Writes an entry that was made before.
    pub fn write(&self, entry: &str) {
        self.store.put("keyed.servers", &self.kind.id, entry);
        self.record.line(format!("entry {} {entry}", self.kind.id));
    }

    /// Reports that it drains. The store has acknowledged that on return.
    pub fn drain(&self) {
        self.life.lock().expect("no panic").draining = true;
        self.beat();
    }

    /// Ends without a word; open connections are reset.
    pub fn crash(&self) {
        self.life.lock().expect("no panic").up = false;
        // The thread that accepts ends within this time.
        thread::sleep(ms(20));
        for stream in self.open.lock().expect("no panic").drain(..) {
            reset(&stream);
        }
        self.record.say(format!("{} has crashed", self.kind.id));
    }

    /// Starts again under its id and address, cold as after any start.
    pub fn restart(&self) {
        let listener = TcpListener::bind(self.address).expect("the own port is free again");
        let mut life = self.life.lock().expect("no panic");
        life.born = unix_ms();
        life.cold_until = Instant::now() + self.kind.cold;
        life.up = true;
        life.sequence = 0;
        drop(life);
        self.listen(listener);
        self.keep_registered();
        self.record
            .say(format!("{} has started again", self.kind.id));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let id = request.header("request-id").unwrap_or_default().to_owned();
            let wanted = request.header("expect-instance");
            if wanted.is_some_and(|wanted| wanted != self.kind.id) {
                let own = [("Instance-Id", self.kind.id.as_str())];
                let _ = http::write_answer(&mut writer, 421, &own, b"");
                continue;
            }
            let deed = (self.kind.conduct)(&request);
            let arrival = Arrival {
                at: self.record.now(),
                server: self.kind.id.clone(),
                id: id.clone(),
                path: request.target.clone(),
            };
            self.record.line(format!(
                "arrival {id} {} at {} does {deed:?}",
                request.target, self.kind.id
            ));
            self.arrivals.lock().expect("no panic").push(arrival);
            thread::sleep(self.kind.work);
            let leaving = self.life.lock().expect("no panic").draining;
            if self
                .act(&mut writer, &request, (&id, deed), leaving)
                .is_none()
            {
                reset(&writer);
                return;
            }
        }
    }

    /// Answers; none if the connection ends with it.
    fn act(
        &self,
        writer: &mut TcpStream,
        request: &Request,
        (id, deed): (&str, Deed),
        leaving: bool,
    ) -> Option<()> {
        let mut headers = vec![("Request-Id", id), ("Server-Seal", "3e1b.07")];
        if leaving {
            headers.push(("Server-Leaving", "1"));
        }
        let last = request.header("last-event-id");
        let last: u32 = last.and_then(|text| text.parse().ok()).unwrap_or(0);
        match deed {
            Deed::Answer(status) => {
                http::write_answer(writer, status, &headers, b"the answer").ok()
            }
            Deed::Stream { events, confidence } => {
                let confidence = confidence.to_string();
                headers.push(("Confidence", confidence.as_str()));
                begin_stream(writer, &headers)?;
                for event in last + 1..=events {
                    write_chunk(writer, &format!("id: {event}\ndata: e{event}\n\n"))?;
                    thread::sleep(ms(5));
                }
                writer.write_all(b"0\r\n\r\n").ok()
            }
            Deed::BreakOff => {
                headers.push(("Confidence", "90"));
                begin_stream(writer, &headers)?;
                let event = last + 1;
                write_chunk(writer, &format!("id: {event}\ndata: e{event}\n\n"))?;
                thread::sleep(ms(20));
                write_chunk(writer, &format!("id: {}\nda", event + 1))?;
                thread::sleep(ms(5));
                None
            }
        }
    }
}

fn begin_stream(writer: &mut TcpStream, headers: &[(&str, &str)]) -> Option<()> {
    let mut head = String::from(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    writer.write_all(head.as_bytes()).ok()
}

fn write_chunk(writer: &mut TcpStream, text: &str) -> Option<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    writer.write_all(chunk.as_bytes()).ok()
}

/// Ends a connection at once.
fn reset(stream: &TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// An instance as a process.
pub struct Instance {
    child: Child,
    pub caller: SocketAddr,
    ready: SocketAddr,
}

impl Instance {
    /// Asks for the readiness as the platform does.
    fn is_ready(&self) -> bool {
        let head = format!("GET /-/readiness HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        http::call(self.ready, &head, b"", ms(500)).status == 200
    }
}

/// The deployment.
pub struct World {
    pub store: Store,
    pub record: Record,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub instances: Vec<Instance>,
    address: SocketAddr,
    directory: PathBuf,
    next: Arc<AtomicU64>,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Ask {
    pub method: &'static str,
    pub path: String,
    pub key: &'static str,
    /// Headers besides those that all requests have, each with its line end.
    pub extra: String,
    pub deadline_ms: u64,
}

/// The answer to a request, with its id.
#[derive(Clone, Debug)]
pub struct Told {
    pub id: String,
    pub sent: f64,
    pub answer: Answer,
}

impl World {
    /// Opens a deployment without instances.
    pub fn open(record: &Record, config: &str) -> Self {
        let store = Store::default();
        store.put("keyed.op", "config", config);
        record.line(format!("config {config}"));
        let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a temporary folder");
        Self {
            address: store.open(),
            store,
            record: record.clone(),
            arrivals: Arc::default(),
            instances: Vec::new(),
            directory,
            next: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Starts the program of the deploy file on so many machines and waits until all are ready.
    pub fn start_instances(&mut self, count: u8) -> Result<(), String> {
        for index in 0..count {
            let instance = self.spawn(index)?;
            self.instances.push(instance);
        }
        let end = Instant::now() + ms(10_000);
        while Instant::now() < end {
            if self.instances.iter().all(Instance::is_ready) {
                // All have heard of each other by then.
                thread::sleep(ms(1500));
                self.record.say("all instances are ready");
                return Ok(());
            }
            thread::sleep(ms(200));
        }
        Err("the instances did not become ready".into())
    }

    /// Kills an instance and starts it again after a short delay, with the same settings.
    pub fn restart_instance(&mut self, index: usize) -> Result<(), String> {
        let instance = &mut self.instances[index];
        let _ = instance.child.kill();
        let _ = instance.child.wait();
        self.record.say(format!("instance {index} is killed"));
        thread::sleep(ms(300));
        let path = self.directory.join(format!("boot-{index}.toml"));
        let log = self.directory.join(format!("log-{index}-again.jsonl"));
        instance.child = start(&path, &log)?;
        self.record
            .say(format!("instance {index} is started again"));
        Ok(())
    }

    fn spawn(&self, index: u8) -> Result<Instance, String> {
        let ip = Ipv4Addr::new(127, 0, 0, 11 + index);
        let free = || {
            let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
            let port = listener
                .local_addr()
                .map_err(|error| error.to_string())?
                .port();
            UdpSocket::bind((ip, port)).map_err(|error| error.to_string())?;
            Ok::<u16, String>(port)
        };
        let (front, ready, internal) = (free()?, free()?, free()?);
        let zone = ["amman-a", "amman-b", "amman-c"][usize::from(index) % 3];
        let settings = format!(
            "nodeName = \"front-{zone}-{index}\"\nrole = \"entry\"\nmachineClass = \"front\"\n\
             serves = [\"front\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"amman\"\n\
             internalPorts = [{internal},{internal}]\nseeds = []\nbootstrap = true\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
             [zones]\namman-a = \"amman\"\namman-b = \"amman\"\namman-c = \"amman\"\n\
             [listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\nstabilityWindowMs = 3000\nackMs = 4000\n\
             catchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n\
             rollbackSlackMs = 250\nmaxStretchMs = 5000\nrevokeFailClosed = true\n\
             revokeMs = 5000\nbudgetRatio = 0.9\nbudgetWindowS = 10\nbudgetSlack = 52\n\
             exposeShare = 0.15\nexposeSlack = 30\nrollbackMs = 5000\ncoldOver = 1.5\n\
             coldSlack = 5\nevacMs = 5000\nrecoverS = 12\npassMs = 120\nagainS = 10\n\
             sessionS = 5\n[platform]\naddress = \"{}\"\nform = \"log\"\n",
            self.address
        );
        let path = self.directory.join(format!("boot-{index}.toml"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = self.directory.join(format!("log-{index}.jsonl"));
        let child = start(&path, &log)?;
        Ok(Instance {
            child,
            caller: (ip, front).into(),
            ready: (ip, ready).into(),
        })
    }

    /// Sends requests at a steady rate to all instances in turn until it is ended.
    pub fn load(&self, every: Duration, ask: impl Fn(u64) -> Ask + Send + 'static) -> Load {
        self.clumps(1, every, ask)
    }

    /// Sends so many requests at once, again and again, until it is ended.
    pub fn clumps(
        &self,
        size: u64,
        every: Duration,
        ask: impl Fn(u64) -> Ask + Send + 'static,
    ) -> Load {
        let callers: Vec<SocketAddr> = self.instances.iter().map(|one| one.caller).collect();
        let (record, next) = (self.record.clone(), self.next.clone());
        let load = Load::default();
        let (stop, told) = (load.stop.clone(), load.told.clone());
        thread::spawn(move || {
            let mut due = Instant::now();
            for turn in 0_u64.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let number = next.fetch_add(1, Ordering::Relaxed);
                let caller = callers[turn as usize % callers.len()];
                let (record, told, ask) = (record.clone(), told.clone(), ask(turn));
                thread::spawn(move || {
                    let answer = send(&record, caller, number, &ask);
                    told.lock().expect("no panic").push(answer);
                });
                if turn % size != size - 1 {
                    continue;
                }
                due += every;
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
        });
        load
    }

    /// Returns the requests that reached servers so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("no panic").clone()
    }
}

/// Starts the program of the deploy file.
fn start(settings: &Path, log: &Path) -> Result<Child, String> {
    let log = File::create(log).map_err(|error| error.to_string())?;
    Command::new("target/release/citrontrack")
        .args(["forward", "--cascade", "55"])
        .env("CITRONTRACK_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .spawn()
        .map_err(|error| format!("target/release/citrontrack: {error}"))
}

/// Returns the id and the head of a request.
fn head_of(number: u64, ask: &Ask) -> (String, String) {
    let id = format!("{number:016x}");
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Authorization: Bearer {}\r\nContent-Length: 0\r\n{}\r\n",
        ask.method, ask.path, ask.deadline_ms, ask.key, ask.extra
    );
    (id, head)
}

fn send(record: &Record, caller: SocketAddr, number: u64, ask: &Ask) -> Told {
    let (id, head) = head_of(number, ask);
    let sent = record.now();
    record.line(format!(
        "request {id} {} {} to {caller}",
        ask.method, ask.path
    ));
    let answer = http::call(caller, &head, b"", ms(ask.deadline_ms + 500));
    record.line(format!(
        "answer {id} {} whole {} bytes {} sealed {}",
        answer.status,
        answer.whole,
        answer.body.len(),
        answer.header("server-seal").is_some()
    ));
    Told { id, sent, answer }
}

/// A running load and its answers.
#[derive(Clone, Default)]
pub struct Load {
    stop: Arc<AtomicBool>,
    told: Arc<Mutex<Vec<Told>>>,
}

impl Load {
    /// Returns the answers so far.
    pub fn told(&self) -> Vec<Told> {
        self.told.lock().expect("no panic").clone()
    }

    pub fn end(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            let _ = instance.child.kill();
            let _ = instance.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

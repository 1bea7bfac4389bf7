//! Instances as processes, before a store and upstreams that are reached through proxies.

use crate::proxy::{HARMS, Harm, Proxy};
use crate::support::store::FakeStore;
use crate::upstream::{self, Runs};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const INSTANCES: usize = 3;
const UPSTREAMS: [&str; 3] = ["i-0", "i-1", "i-2"];
/// From the acknowledgement of a configuration to the last run with a key that it took away.
pub const KEY_LIFE: Duration = Duration::from_secs(5);

struct Instance {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    caller: SocketAddr,
    stopped: bool,
}

pub struct System {
    store: FakeStore,
    store_proxies: Vec<Proxy>,
    upstream_proxies: Vec<Proxy>,
    instances: Vec<Instance>,
    directory: PathBuf,
    version: u64,
    pub runs: Runs,
    pub revoked: Option<Instant>,
}

fn free_port() -> u16 {
    let tcp = TcpListener::bind("127.0.0.1:0").unwrap();
    tcp.local_addr().unwrap().port()
}

fn free_udp_port() -> u16 {
    let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
    udp.local_addr().unwrap().port()
}

fn config(version: u64, passing: bool) -> String {
    let key = if passing { r#""passing""# } else { "" };
    format!(
        r#"{{"version":{version},"routes":[
 {{"name":"book","host":"a.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1500,
  "targetLatencyMs":150,"service":"core","maxAttempts":1}},
 {{"name":"read","host":"a.example","pathPrefix":"/read/","kind":"safe","timeoutMs":1500,
  "targetLatencyMs":150,"service":"core","maxAttempts":2}},
 {{"name":"draft","host":"a.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":2000,
  "targetLatencyMs":500,"service":"core","maxAttempts":3,"resumable":true,"gapAimMs":300}}],
 "services":[{{"name":"core"}}],
 "tenants":[{{"name":"clinics","apiKeys":["lasting"]}},{{"name":"schools","apiKeys":[{key}]}}]}}"#
    )
}

impl System {
    pub async fn open(seed: u64) -> Self {
        let directory =
            std::env::temp_dir().join(format!("forward-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let (store, runs) = (FakeStore::default(), Runs::default());
        store.put("keyed.op", "config", &config(1, true));
        let mut upstream_proxies = Vec::new();
        for name in UPSTREAMS {
            let proxy = Proxy::open(upstream::open(name, runs.clone()).await).await;
            let entry = format!(
                r#"{{"service":"core","address":"{}","zone":"a","version":"v1","slots":16,"state":"ready","born":1}}"#,
                proxy.address
            );
            store.put("keyed.servers", name, &entry);
            upstream_proxies.push(proxy);
        }
        let address = store.clone().open().await;
        let mut system = Self {
            store,
            store_proxies: Vec::new(),
            upstream_proxies,
            instances: Vec::new(),
            directory,
            version: 1,
            runs,
            revoked: None,
        };
        for index in 0..INSTANCES {
            let proxy = Proxy::open(address).await;
            system.start(index, proxy.address);
            system.store_proxies.push(proxy);
        }
        tokio::time::sleep(Duration::from_millis(700)).await;
        system
    }

    fn start(&mut self, index: usize, store: SocketAddr) {
        let caller: SocketAddr = ([127, 0, 0, 1], free_port()).into();
        let internal = free_udp_port();
        let text = format!(
            "nodeName = \"front-{index}\"\nzone = \"a\"\nip = \"127.0.0.1\"\n\
             internalPorts = [{internal},{internal}]\nheartbeatMs = 1200\n[zones]\na = \"r\"\n\
             [listen]\nfront = \"{caller}\"\nready = \"127.0.0.1:{}\"\n\
             [bounds]\ngraceS = 4\nrevokeFailClosed = true\nrevokeMs = {}\nbudgetRatio = 0.9\n\
             budgetWindowS = 10\n[platform]\naddress = \"{store}\"\n",
            free_port(),
            KEY_LIFE.as_millis(),
        );
        let settings = self.directory.join(format!("front-{index}.toml"));
        std::fs::write(&settings, text).unwrap();
        let log = self.directory.join(format!("front-{index}.jsonl"));
        let child = spawn(&settings, &log);
        self.instances.push(Instance {
            child,
            settings,
            log,
            caller,
            stopped: false,
        });
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|one| one.caller).collect()
    }

    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Does one harm, or undoes one.
    pub async fn fault(&mut self, random: &mut ChaCha8Rng) {
        let index = random.random_range(0..INSTANCES);
        let harm = HARMS[random.random_range(0..HARMS.len())];
        match random.random_range(0..12) {
            0 => self.instances[index].signal(Signal::SIGKILL),
            1 => self.instances[index].signal(Signal::SIGTERM),
            2 => self.instances[index].signal(Signal::SIGHUP),
            3 => self.instances[index].pause(),
            4 | 5 => self.upstream_proxies[index].set(harm),
            6 => self.store_proxies[index].set(harm),
            7 => self.store.refuse(503, 5),
            8 => self.store.trim("keyed.servers"),
            9 => {
                self.version += 3;
                let passing = self.revoked.is_none() && random.random_range(0..2) == 0;
                self.store
                    .put("keyed.op", "config", &config(self.version, passing));
                if !passing && self.revoked.is_none() {
                    self.revoked = Some(Instant::now());
                }
            }
            _ => self.heal().await,
        }
        self.restart();
    }

    /// Starts again what has ended, on its old addresses.
    fn restart(&mut self) {
        for instance in &mut self.instances {
            if instance.child.try_wait().unwrap().is_some() {
                instance.child = spawn(&instance.settings, &instance.log);
                instance.stopped = false;
            }
        }
    }

    /// Undoes all harms.
    pub async fn heal(&mut self) {
        for proxy in self.store_proxies.iter().chain(&self.upstream_proxies) {
            proxy.set(Harm::None);
        }
        for instance in &mut self.instances {
            instance.wake();
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        self.restart();
    }

    /// Goes on starting again what ends, for a while.
    pub async fn recover(&mut self, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            self.restart();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    pub async fn close(&mut self) {
        for instance in &mut self.instances {
            instance.wake();
            instance.signal(Signal::SIGKILL);
            // Reaps the process that this soak started.
            let _ = instance.child.wait();
        }
    }
}

impl Instance {
    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).unwrap());
        // A process that has ended takes no signal.
        let _ = kill(pid, signal);
    }

    fn pause(&mut self) {
        self.signal(Signal::SIGSTOP);
        self.stopped = true;
    }

    fn wake(&mut self) {
        if self.stopped {
            self.signal(Signal::SIGCONT);
            self.stopped = false;
        }
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).unwrap();
    Command::new(env!("CARGO_BIN_EXE_citrontrack"))
        .args(["forward", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap()
}

//! Instances as processes, which reach a store and upstreams through proxies.

use crate::process;
use crate::proxy::{LINK_FAULTS, LinkFault, Proxy};
use crate::support::store::FakeStore;
use crate::upstream::{self, Runs};
use nix::sys::signal::Signal;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Child;
use std::time::{Duration, Instant};

const INSTANCES: usize = 3;
const UPSTREAMS: [&str; 3] = ["i-0", "i-1", "i-2"];
/// Longest time from the acknowledgement of a configuration to the last run with a key that it
/// revokes.
pub const REVOCATION_LIMIT: Duration = Duration::from_secs(5);

/// An instance process with its files and its address for callers.
struct Instance {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    caller: SocketAddr,
    frozen: bool,
}

/// A running system: store, upstreams, their proxies and the instances.
pub struct System {
    store: FakeStore,
    store_proxies: Vec<Proxy>,
    upstream_proxies: Vec<Proxy>,
    instances: Vec<Instance>,
    directory: PathBuf,
    version: u64,
    /// All runs at the upstreams.
    pub runs: Runs,
    /// Time at which the key `passing` was revoked.
    pub revoked: Option<Instant>,
}

fn free_port() -> u16 {
    let tcp = TcpListener::bind("127.0.0.1:0").unwrap();
    tcp.local_addr().unwrap().port()
}

/// Returns a configuration, with or without the key `passing`.
fn config(version: u64, revocable_key_valid: bool) -> String {
    let key = if revocable_key_valid {
        r#""passing""#
    } else {
        ""
    };
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
    /// Starts the system, with a directory that is named after the process and the seed.
    pub async fn start(seed: u64) -> Self {
        let directory =
            std::env::temp_dir().join(format!("forward-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let (store, runs) = (FakeStore::default(), Runs::default());
        store.put("keyed.op", "config", &config(1, true));
        let mut upstream_proxies = Vec::new();
        for name in UPSTREAMS {
            let proxy = Proxy::spawn(upstream::spawn(name, runs.clone()).await).await;
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
            let proxy = Proxy::spawn(address).await;
            system.start_instance(index, proxy.address);
            system.store_proxies.push(proxy);
        }
        tokio::time::sleep(Duration::from_millis(700)).await;
        system
    }

    fn start_instance(&mut self, index: usize, store: SocketAddr) {
        let caller: SocketAddr = ([127, 0, 0, 1], free_port()).into();
        let internal = process::free_lasting_port();
        let text = format!(
            "nodeName = \"front-{index}\"\nzone = \"a\"\nip = \"127.0.0.1\"\n\
             internalPorts = [{internal},{internal}]\nheartbeatMs = 1200\n[zones]\na = \"r\"\n\
             [listen]\nfront = \"{caller}\"\nready = \"127.0.0.1:{}\"\n\
             [bounds]\ngraceS = 4\nrevokeFailClosed = true\nrevokeMs = {}\nbudgetRatio = 0.9\n\
             budgetWindowS = 10\n[platform]\naddress = \"{store}\"\n",
            free_port(),
            REVOCATION_LIMIT.as_millis(),
        );
        let settings = self.directory.join(format!("front-{index}.toml"));
        std::fs::write(&settings, text).unwrap();
        let log = self.directory.join(format!("front-{index}.jsonl"));
        let child = process::spawn(&settings, &log);
        self.instances.push(Instance {
            child,
            settings,
            log,
            caller,
            frozen: false,
        });
    }

    /// Returns the addresses of the instances for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.instances
            .iter()
            .map(|instance| instance.caller)
            .collect()
    }

    /// Returns the directory of the settings and logs.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Injects a random fault, or clears all faults of proxies and all freezes.
    pub async fn inject_fault(&mut self, rng: &mut ChaCha8Rng) {
        let index = rng.random_range(0..INSTANCES);
        let link_fault = LINK_FAULTS[rng.random_range(0..LINK_FAULTS.len())];
        match rng.random_range(0..12) {
            0 => self.instances[index].signal(Signal::SIGKILL),
            1 => self.instances[index].signal(Signal::SIGTERM),
            2 => self.instances[index].signal(Signal::SIGHUP),
            3 => self.instances[index].freeze(),
            4 | 5 => self.upstream_proxies[index].set(link_fault),
            6 => self.store_proxies[index].set(link_fault),
            7 => self.store.refuse(503, 5),
            8 => self.store.trim("keyed.servers"),
            9 => {
                self.version += 3;
                let revocable_key_valid = self.revoked.is_none() && rng.random_range(0..2) == 0;
                self.store.put(
                    "keyed.op",
                    "config",
                    &config(self.version, revocable_key_valid),
                );
                if !revocable_key_valid && self.revoked.is_none() {
                    self.revoked = Some(Instant::now());
                }
            }
            _ => self.clear_faults().await,
        }
        self.restart_ended();
    }

    /// Restarts instances that have exited, with their old settings and addresses.
    fn restart_ended(&mut self) {
        for instance in &mut self.instances {
            if instance.child.try_wait().unwrap().is_some() {
                instance.child = process::spawn(&instance.settings, &instance.log);
                instance.frozen = false;
            }
        }
    }

    /// Clears the faults of all proxies, resumes frozen instances and restarts those that exited.
    pub async fn clear_faults(&mut self) {
        for proxy in self.store_proxies.iter().chain(&self.upstream_proxies) {
            proxy.set(LinkFault::None);
        }
        for instance in &mut self.instances {
            instance.resume();
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        self.restart_ended();
    }

    /// Restarts instances that exit during the given time.
    pub async fn restart_ended_for(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.restart_ended();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Kills all instances.
    pub async fn stop(&mut self) {
        for instance in &mut self.instances {
            instance.resume();
            instance.signal(Signal::SIGKILL);
            // Reaps the child process.
            let _ = instance.child.wait();
        }
    }
}

impl Instance {
    fn signal(&self, signal: Signal) {
        process::signal(&self.child, signal);
    }

    fn freeze(&mut self) {
        self.signal(Signal::SIGSTOP);
        self.frozen = true;
    }

    fn resume(&mut self) {
        if self.frozen {
            self.signal(Signal::SIGCONT);
            self.frozen = false;
        }
    }
}

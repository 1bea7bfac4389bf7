//! Instances as processes, one store, and upstreams of several services.

use crate::probe::Answer;
use crate::process;
use crate::proxy::Proxy;
use crate::support::store::FakeStore;
use crate::support::{serve, whole};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::time::{Duration, Instant};

/// Longest time from the acknowledgement of a change until it is in force at every instance.
pub const APPLY_LIMIT: Duration = Duration::from_millis(2000);
/// Time after a disturbance during which an instance may be behind.
const SETTLE_PERIOD: Duration = Duration::from_millis(3000);
/// Services among which the route moves.
const SERVICE_COUNT: usize = 8;

struct Instance {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    caller: SocketAddr,
    /// Beginnings and ends of its disturbances; the last one may not have ended.
    disturbed: Vec<(Instant, Option<Instant>)>,
}

/// An acknowledged change of the configuration.
pub struct Change {
    /// Time of the acknowledgement.
    pub at: Instant,
    /// Service that the route has from then on.
    pub service: usize,
}

/// A running system.
pub struct Fleet {
    store: FakeStore,
    /// Link of each instance to the store.
    pub store_links: Vec<Proxy>,
    instances: Vec<Instance>,
    /// Acknowledged changes, the oldest first.
    pub changes: Vec<Change>,
    directory: PathBuf,
}

/// Returns a configuration whose route runs at a service, with `fillers` further routes.
fn config(version: usize, service: usize, fillers: usize) -> String {
    let mut routes = format!(
        r#"{{"name":"moved","host":"a.example","pathPrefix":"/moved/","kind":"safe","timeoutMs":1200,
            "targetLatencyMs":300,"service":"s{service}","maxAttempts":1}}"#
    );
    for filler in 0..fillers {
        routes.push_str(&format!(
            r#",{{"name":"filler-{filler}","host":"b.example","pathPrefix":"/filler-{filler}/",
                "kind":"safe","timeoutMs":1200,"targetLatencyMs":300,"service":"s0","maxAttempts":1}}"#
        ));
    }
    let services: Vec<String> = (0..SERVICE_COUNT)
        .map(|service| format!(r#"{{"name":"s{service}"}}"#))
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{}],
            "tenants":[{{"name":"clinics","apiKeys":["lasting"]}}]}}"#,
        services.join(",")
    )
}

async fn answer(service: usize, request: Request<Incoming>) -> Response<crate::support::Body> {
    let header = |name| request.headers().get(name).cloned();
    let mut response = Response::new(whole(format!("s{service}")));
    if let Some(id) = header("request-id") {
        response.headers_mut().insert("request-id", id);
    }
    response
        .headers_mut()
        .insert("server-seal", "3e1b".parse().unwrap());
    if header("expect-instance").is_none_or(|name| name != format!("i-{service}")) {
        *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
    }
    response
}

impl Fleet {
    /// Starts the system, with a directory that is named after the process and the seed.
    pub async fn start(seed: u64, count: usize) -> Self {
        let directory =
            std::env::temp_dir().join(format!("forward-config-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let store = FakeStore::default();
        for service in 0..SERVICE_COUNT {
            let address = serve(move |request| answer(service, request)).await;
            let entry = format!(
                r#"{{"service":"s{service}","address":"{address}","zone":"z0","version":"v1","slots":64,"state":"ready","born":1}}"#
            );
            store.put("keyed.servers", &format!("i-{service}"), &entry);
        }
        let mut fleet = Self {
            store,
            store_links: Vec::new(),
            instances: Vec::new(),
            changes: Vec::new(),
            directory,
        };
        fleet.change(0);
        let address = fleet.store.clone().open().await;
        for index in 0..count {
            let link = Proxy::spawn(address).await;
            let instance = fleet.start_instance(index, link.address);
            fleet.instances.push(instance);
            fleet.store_links.push(link);
        }
        tokio::time::sleep(SETTLE_PERIOD).await;
        fleet
    }

    fn start_instance(&self, index: usize, store: SocketAddr) -> Instance {
        let caller: SocketAddr = ([127, 0, 0, 1], process::free_lasting_port()).into();
        let (internal, zone) = (process::free_lasting_port(), index % 3);
        let text = format!(
            "nodeName = \"front-{index}\"\nzone = \"z{zone}\"\nip = \"127.0.0.1\"\n\
             internalPorts = [{internal},{internal}]\nheartbeatMs = 1200\n\
             [zones]\nz0 = \"r\"\nz1 = \"r\"\nz2 = \"r\"\n\
             [listen]\nfront = \"{caller}\"\nready = \"127.0.0.1:{}\"\n\
             [bounds]\ngraceS = 4\nconfigApplyMs = {}\nrevokeFailClosed = true\nrevokeMs = 5000\n\
             budgetRatio = 0.9\nbudgetWindowS = 10\n[platform]\naddress = \"{store}\"\n",
            process::free_lasting_port(),
            APPLY_LIMIT.as_millis(),
        );
        let settings = self.directory.join(format!("front-{index}.toml"));
        std::fs::write(&settings, text).unwrap();
        let log = self.directory.join(format!("front-{index}.jsonl"));
        let child = process::spawn(&settings, &log);
        Instance {
            child,
            settings,
            log,
            caller,
            disturbed: vec![(Instant::now(), Some(Instant::now()))],
        }
    }

    /// Returns the addresses of the instances for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|one| one.caller).collect()
    }

    /// Moves the route to the next service, in a configuration with `fillers` further routes.
    pub fn change(&mut self, fillers: usize) {
        let number = self.changes.len();
        let service = number % SERVICE_COUNT;
        let text = config(3 * number + 1, service, fillers);
        self.store.put("keyed.op", "config", &text);
        self.changes.push(Change {
            at: Instant::now(),
            service,
        });
    }

    /// Stops a process until it is resumed.
    pub fn freeze(&mut self, index: usize) {
        self.instances[index].disturb(Signal::SIGSTOP);
    }

    /// Kills a process; it starts again.
    pub fn kill(&mut self, index: usize) {
        self.instances[index].disturb(Signal::SIGKILL);
    }

    /// Resumes all frozen processes.
    pub fn resume_all(&mut self) {
        for instance in &mut self.instances {
            instance.signal(Signal::SIGCONT);
            instance.end_disturbances();
        }
    }

    /// Starts processes that have ended again, with their settings and addresses.
    pub fn restart_ended(&mut self) {
        for instance in &mut self.instances {
            if instance.child.try_wait().unwrap().is_some() {
                instance.child = process::spawn(&instance.settings, &instance.log);
                instance.end_disturbances();
            }
        }
    }

    /// Returns a description of each answer that only an older configuration allows than the one that
    /// had to be in force.
    pub fn audit(&self, answers: &[Answer]) -> Vec<String> {
        let mut findings = Vec::new();
        for answer in answers {
            let instance = &self.instances[answer.instance];
            if instance.is_disturbed(answer.sent) || !matches!(answer.status, 200 | 404) {
                continue;
            }
            let overdue = |change: &&Change| change.at + APPLY_LIMIT < answer.sent;
            let oldest = self
                .changes
                .iter()
                .filter(overdue)
                .count()
                .saturating_sub(1);
            let mut allowed = self.changes[oldest..].iter();
            if allowed.any(|change| answer.body == format!("s{}", change.service)) {
                continue;
            }
            let late = answer.sent - self.changes[oldest].at;
            let (name, body) = (answer.instance, &answer.body);
            findings.push(format!(
                "front-{name}: status {} by {body:?} {late:?} after the change to s{}; logs in {}",
                answer.status,
                self.changes[oldest].service,
                self.directory.display()
            ));
        }
        findings
    }

    /// Kills all instances.
    pub fn stop(&mut self) {
        for instance in &mut self.instances {
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

    fn disturb(&mut self, signal: Signal) {
        self.signal(signal);
        self.disturbed.push((Instant::now(), None));
    }

    /// Ends all disturbances that go on: an instance may have been frozen twice, or killed while frozen.
    fn end_disturbances(&mut self) {
        let now = Instant::now();
        for (_, end) in &mut self.disturbed {
            end.get_or_insert(now);
        }
    }

    fn is_disturbed(&self, at: Instant) -> bool {
        let covers = |&(from, to): &(Instant, Option<Instant>)| {
            from <= at && to.is_none_or(|to| at <= to + SETTLE_PERIOD)
        };
        self.disturbed.iter().any(covers)
    }
}

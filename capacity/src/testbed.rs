//! A test bed of stand-ins and instances in one process, with traffic meters between them.

use crate::configuration;
use crate::gauge::STANDIN_THREAD_NAME;
use crate::meter::{Counter, Meter};
use ::adoption::{FORMAT, Id, Publication, Record};
use anyhow::{Context, Result};
use entity::{Generation, Span};
use serde_json::json;
use server::Instance;
use standins::client::Client;
use standins::{engine, instances, log, server::Handle};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};
use tokio_util::sync::CancellationToken;

/// Number of worker threads of each runtime.
const WORKER_THREADS: usize = 2;
/// Maximum number of upstreams that are reached through a meter, since a meter takes four file
/// descriptors a connection.
pub const MAX_METERED_UPSTREAMS: usize = 30;
/// Maximum time until a configuration is in force.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(60);

/// Size of a test bed.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of instances.
    pub instances: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of versions; each upstream holds one.
    pub versions: usize,
}

/// Traffic of the instances by the kind of the remote side.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Traffic with the log.
    pub log: Arc<Counter>,
    /// Traffic with the instance list.
    pub list: Arc<Counter>,
    /// Traffic between instances.
    pub peer: Arc<Counter>,
    /// Traffic with the metered upstreams, which are the first ones.
    pub upstream: Arc<Counter>,
}

/// Running stand-ins and instances with the meters between them.
pub struct Testbed {
    /// Traffic counters of the meters.
    pub counters: Counters,
    /// Running instances.
    pub instances: Vec<Instance>,
    /// The log.
    pub log: Handle,
    /// Addresses of the upstreams in the configuration.
    pub addresses: Vec<SocketAddr>,
    size: Size,
    list: Handle,
    /// Meters in front of the log: one for the first instance and one for all others.
    logs: [Meter; 2],
    /// Handles of the upstreams, which stop when they are dropped.
    _upstreams: Vec<Handle>,
    peer_meters: Vec<Meter>,
    generation: u64,
    changes: u64,
    client: Client,
    cancel: CancellationToken,
}

/// Creates the runtime of stand-ins and meters.
///
/// # Errors
///
/// Returns an error if no thread can be started.
pub fn standin_runtime() -> Result<Runtime> {
    runtime(STANDIN_THREAD_NAME)
}

/// Creates the runtime of instances. It must not be dropped in an asynchronous context, hence not
/// by an early return either; it is shut down in the background instead.
///
/// # Errors
///
/// Returns an error if no thread can be started.
pub fn instance_runtime() -> Result<Runtime> {
    runtime("instance")
}

fn runtime(name: &str) -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    let builder = builder.worker_threads(WORKER_THREADS).thread_name(name);
    Ok(builder.enable_all().build()?)
}

fn settings_text(index: usize, log: SocketAddr, list: SocketAddr) -> String {
    let zone = index % configuration::ZONES.len();
    format!(
        "[instance]\nname = entry-{index}\nzone = {}\nregion = region-{}\n\
         caller-address = 127.0.0.1:0\nfellow-address = 127.0.0.1:0\n\
         secret = a-secret-of-the-capacity-measurement\n\
         [log]\naddress = {log}\n[instances]\naddress = {list}\n[timeline]\npath = /dev/null\n",
        configuration::ZONES[zone],
        zone / 3,
    )
}

async fn upstreams(
    size: Size,
    counter: &Arc<Counter>,
    cancel: &CancellationToken,
) -> Result<(Vec<Handle>, Vec<SocketAddr>)> {
    let (mut handles, mut addresses) = (Vec::new(), Vec::new());
    for index in 0..size.upstreams {
        let options = engine::Options {
            versions: vec![configuration::version_of(index, size.versions).into()],
            slots: 512,
            queue: 512,
            ..engine::Options::default()
        };
        let handle = engine::spawn(options, cancel).await?;
        let address = match index {
            0..MAX_METERED_UPSTREAMS => Meter::bind(handle.address, counter.clone()).await?.address,
            _ => handle.address,
        };
        addresses.push(address);
        handles.push(handle);
    }
    Ok((handles, addresses))
}

impl Testbed {
    /// Starts stand-ins on the current runtime and instances on their own one, publishes a
    /// configuration and waits until it is in force.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in or an instance does not start.
    pub async fn start(size: Size, runtime: &Runtime) -> Result<Self> {
        let cancel = CancellationToken::new();
        let counters = Counters::default();
        let mut options = log::Options::default();
        options.faults.rate_per_s = 0;
        let log = log::spawn(options, &cancel).await?;
        let list = instances::spawn(instances::Options::default(), &cancel).await?;
        let (upstreams, addresses) = upstreams(size, &counters.upstream, &cancel).await?;
        let logs = [
            Meter::bind(log.address, counters.log.clone()).await?,
            Meter::bind(log.address, counters.log.clone()).await?,
        ];
        let mut testbed = Self {
            counters,
            instances: Vec::new(),
            log,
            addresses,
            size,
            list,
            logs,
            _upstreams: upstreams,
            peer_meters: Vec::new(),
            generation: 0,
            changes: 0,
            client: Client::default(),
            cancel,
        };
        for index in 0..size.instances {
            testbed.start_instance(index, runtime).await?;
        }
        testbed.publish().await?;
        testbed.wait_in_force().await?;
        Ok(testbed)
    }

    /// Returns the settings of a process that joins as a further instance without an entry in the
    /// list.
    pub fn process_settings(&self) -> String {
        settings_text(self.size.instances, self.logs[1].address, self.list.address)
    }

    async fn start_instance(&mut self, index: usize, runtime: &Runtime) -> Result<()> {
        let list = Meter::bind(self.list.address, self.counters.list.clone()).await?;
        let zone = configuration::ZONES[index % configuration::ZONES.len()];
        let log = self.logs[index.min(1)].address;
        let settings = settings_text(index, log, list.address);
        let settings = settings::parse(&settings).map_err(|found| anyhow::anyhow!("{found}"))?;
        let instance = runtime.spawn(Instance::open(settings)).await??;
        let peer_address = instance.addresses().peer;
        let peer_meter = Meter::bind(peer_address, self.counters.peer.clone()).await?;
        let entry = json!({
            "zone": zone,
            "region": format!("region-{}", index % configuration::ZONES.len() / 3),
            "address": peer_meter.address,
            "state": "live",
        });
        let request = hyper::Request::put(format!(
            "http://{}/instances/entry-{index}",
            self.list.address
        ));
        let body = http_body_util::Full::new(bytes::Bytes::from(entry.to_string()));
        let reply = self.client.send(request.body(body)?).await?;
        anyhow::ensure!(
            reply.status().is_success(),
            "the instance list refused the entry"
        );
        self.peer_meters.push(peer_meter);
        self.instances.push(instance);
        Ok(())
    }

    /// Publishes the next change of the configuration and returns the time at which the log had
    /// accepted it.
    ///
    /// # Errors
    ///
    /// Returns an error if the log does not accept it.
    pub async fn publish(&mut self) -> Result<Instant> {
        self.changes += 1;
        let text = configuration::text(&self.addresses, self.size.versions, self.changes);
        let record = Record::Publication(Publication {
            format: FORMAT,
            id: Id(u128::from(self.changes)),
            base: Generation(self.generation),
            author: "capacity".into(),
            text: text.into(),
        });
        let log = logs::Client::new(self.log.address, Span::from_secs(20));
        let offset = log.append("config", record.encode().into()).await;
        self.generation = offset.context("publishing")?.0;
        Ok(Instant::now())
    }

    /// Returns whether the last change is in force at an instance.
    pub fn is_in_force(&self, instance: &Instance) -> bool {
        instance.generation().0 == self.generation
    }

    /// Waits until the last change is in force at all instances.
    ///
    /// # Errors
    ///
    /// Returns an error after [`CONFIGURATION_TIMEOUT`].
    pub async fn wait_in_force(&self) -> Result<()> {
        let end = Instant::now() + CONFIGURATION_TIMEOUT;
        while !self.instances.iter().all(|one| self.is_in_force(one)) {
            anyhow::ensure!(
                Instant::now() < end,
                "the configuration was not in force within {CONFIGURATION_TIMEOUT:?}"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Opens or closes the connection to the log, for the first instance and for all others.
    pub fn set_log_access(&self, first: bool, others: bool) {
        self.logs[0].set_open(first);
        self.logs[1].set_open(others);
    }

    /// Changes the fault switches of the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be reached or refuses the change.
    pub async fn set_log_faults(&self, faults: &serde_json::Value) -> Result<()> {
        let (status, _) = self
            .client
            .post(self.log.address, "/faults", faults)
            .await?;
        anyhow::ensure!(status < 300, "the log refused the fault switches");
        Ok(())
    }

    /// Stops all stand-ins at once.
    pub fn close(self) {
        self.cancel.cancel();
    }
}

//! Stand-ins and instances in one process, with meters between them.

use crate::gauge::STANDIN_THREAD;
use crate::meter::{Count, Meter};
use crate::text;
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

/// Threads of each runtime.
const THREADS: usize = 2;
/// Most upstreams that are reached through a meter, which takes four descriptors a connection.
pub const METERED: usize = 30;
/// Longest wait for a configuration to be in force.
const LIMIT: Duration = Duration::from_secs(60);

/// How many of each there are.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entry instances.
    pub instances: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Versions, each upstream holding one.
    pub versions: usize,
}

/// Counts of what passed between instances and each peer.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// The log.
    pub log: Arc<Count>,
    /// The instance list.
    pub list: Arc<Count>,
    /// Other instances.
    pub fellow: Arc<Count>,
    /// The first upstreams.
    pub upstream: Arc<Count>,
}

/// Running stand-ins and instances.
pub struct Stage {
    /// What passed.
    pub counts: Counts,
    /// The instances.
    pub instances: Vec<Instance>,
    /// The log.
    pub log: Handle,
    /// Addresses of the upstreams, as configured.
    pub addresses: Vec<SocketAddr>,
    size: Size,
    list: Handle,
    /// The log for the first instance, and for the others.
    logs: [Meter; 2],
    /// Kept so that they go on.
    _upstreams: Vec<Handle>,
    fellows: Vec<Meter>,
    generation: u64,
    changes: u64,
    client: Client,
    cancel: CancellationToken,
}

/// The runtime of stand-ins and meters.
///
/// # Errors
///
/// No thread can be started.
pub fn standin_runtime() -> Result<Runtime> {
    runtime(STANDIN_THREAD)
}

/// The runtime of instances. It can't be dropped where tasks run, hence not by an early return
/// either: it is to be shut down in the background.
///
/// # Errors
///
/// No thread can be started.
pub fn instance_runtime() -> Result<Runtime> {
    runtime("instance")
}

fn runtime(name: &str) -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    let builder = builder.worker_threads(THREADS).thread_name(name);
    Ok(builder.enable_all().build()?)
}

fn settings_text(index: usize, log: SocketAddr, list: SocketAddr) -> String {
    let zone = index % text::ZONES.len();
    format!(
        "[instance]\nname = entry-{index}\nzone = {}\nregion = region-{}\n\
         caller-address = 127.0.0.1:0\nfellow-address = 127.0.0.1:0\n\
         secret = a-secret-of-the-capacity-measurement\n\
         [log]\naddress = {log}\n[instances]\naddress = {list}\n[timeline]\npath = /dev/null\n",
        text::ZONES[zone],
        zone / 3,
    )
}

async fn upstreams(
    size: Size,
    count: &Arc<Count>,
    cancel: &CancellationToken,
) -> Result<(Vec<Handle>, Vec<SocketAddr>)> {
    let (mut handles, mut addresses) = (Vec::new(), Vec::new());
    for index in 0..size.upstreams {
        let options = engine::Options {
            versions: vec![text::held(index, size.versions).into()],
            slots: 512,
            queue: 512,
            ..engine::Options::default()
        };
        let handle = engine::spawn(options, cancel).await?;
        let address = match index {
            0..METERED => Meter::bind(handle.address, count.clone()).await?.address,
            _ => handle.address,
        };
        addresses.push(address);
        handles.push(handle);
    }
    Ok((handles, addresses))
}

impl Stage {
    /// Starts stand-ins here and instances on their own runtime, publishes a configuration and
    /// waits until it is in force.
    ///
    /// # Errors
    ///
    /// Something did not start.
    pub async fn open(size: Size, runtime: &Runtime) -> Result<Self> {
        let cancel = CancellationToken::new();
        let counts = Counts::default();
        let mut options = log::Options::default();
        options.faults.rate_per_s = 0;
        let log = log::spawn(options, &cancel).await?;
        let list = instances::spawn(instances::Options::default(), &cancel).await?;
        let (upstreams, addresses) = upstreams(size, &counts.upstream, &cancel).await?;
        let logs = [
            Meter::bind(log.address, counts.log.clone()).await?,
            Meter::bind(log.address, counts.log.clone()).await?,
        ];
        let mut stage = Self {
            counts,
            instances: Vec::new(),
            log,
            addresses,
            size,
            list,
            logs,
            _upstreams: upstreams,
            fellows: Vec::new(),
            generation: 0,
            changes: 0,
            client: Client::default(),
            cancel,
        };
        for index in 0..size.instances {
            stage.start(index, runtime).await?;
        }
        stage.publish().await?;
        stage.wait_in_force().await?;
        Ok(stage)
    }

    /// Settings of a process that joins as one more instance, unlisted.
    pub fn settings_of_process(&self) -> String {
        settings_text(self.size.instances, self.logs[1].address, self.list.address)
    }

    async fn start(&mut self, index: usize, runtime: &Runtime) -> Result<()> {
        let list = Meter::bind(self.list.address, self.counts.list.clone()).await?;
        let zone = text::ZONES[index % text::ZONES.len()];
        let log = self.logs[index.min(1)].address;
        let settings = settings_text(index, log, list.address);
        let settings = settings::parse(&settings).map_err(|found| anyhow::anyhow!("{found}"))?;
        let instance = runtime.spawn(Instance::open(settings)).await??;
        let fellow = instance.addresses().fellow;
        let fellow = Meter::bind(fellow, self.counts.fellow.clone()).await?;
        let entry = json!({
            "zone": zone,
            "region": format!("region-{}", index % text::ZONES.len() / 3),
            "address": fellow.address,
            "state": "live",
        });
        let request = hyper::Request::put(format!(
            "http://{}/instances/entry-{index}",
            self.list.address
        ));
        let body = http_body_util::Full::new(bytes::Bytes::from(entry.to_string()));
        let reply = self.client.send(request.body(body)?).await?;
        anyhow::ensure!(reply.status().is_success(), "the list took no entry");
        self.fellows.push(fellow);
        self.instances.push(instance);
        Ok(())
    }

    /// Publishes the next change and returns when the log had taken it.
    ///
    /// # Errors
    ///
    /// The log did not take it.
    pub async fn publish(&mut self) -> Result<Instant> {
        self.changes += 1;
        let text = text::text(&self.addresses, self.size.versions, self.changes);
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

    /// Whether the last change is in force at an instance.
    pub fn is_in_force(&self, instance: &Instance) -> bool {
        instance.generation().0 == self.generation
    }

    /// Waits until the last change is in force everywhere.
    ///
    /// # Errors
    ///
    /// That took too long.
    pub async fn wait_in_force(&self) -> Result<()> {
        let end = Instant::now() + LIMIT;
        while !self.instances.iter().all(|one| self.is_in_force(one)) {
            anyhow::ensure!(Instant::now() < end, "not in force in time");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Lets only the first instance reach the log, or nobody, or all.
    pub fn reach_log(&self, first: bool, others: bool) {
        self.logs[0].set_open(first);
        self.logs[1].set_open(others);
    }

    /// Changes the faults of the log.
    ///
    /// # Errors
    ///
    /// The log can't be reached.
    pub async fn log_faults(&self, faults: &serde_json::Value) -> Result<()> {
        let (status, _) = self
            .client
            .post(self.log.address, "/faults", faults)
            .await?;
        anyhow::ensure!(status < 300, "the log refused the faults");
        Ok(())
    }

    /// Ends everything at once.
    pub fn close(self) {
        self.cancel.cancel();
    }
}

//! A system of the stand-ins and instances of the demo configuration, on free ports.

use crate::process::Process;
use anyhow::{Context, Result, ensure};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use standins::client::Client;
use standins::server::Handle;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::process::Command;
use tokio_util::sync::CancellationToken;

/// Longest wait for a condition of an instance.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Secret with which the instances sign session tokens and the frames between them.
const SHARED_SECRET: &str = "a secret of the demo, shared by its instances";
/// Lag of the instance list in the settings of the instances.
const LIST_LAG: &str = "500ms";

/// Quality of the answers of small versions, from 0 to 1.
const SMALL_MODEL_QUALITY: f64 = 0.8;
/// Quality of the answers of large versions, from 0 to 1.
const LARGE_MODEL_QUALITY: f64 = 0.97;

/// Where the stand-ins run.
#[derive(Clone, Debug)]
pub enum StandinHost {
    /// In separate processes of the program `standin` at this path.
    Processes(PathBuf),
    /// In tasks of the current process.
    InProcess,
}

/// A running stand-in.
#[derive(Debug)]
pub struct Standin {
    /// Name of the stand-in; for an upstream, its name in the configuration.
    pub name: Box<str>,
    /// Address at which the stand-in listens.
    pub address: SocketAddr,
    process: Option<Process>,
    _handle: Option<Handle>,
}

impl Standin {
    async fn spawn(program: &Path, name: &str, arguments: &[&str]) -> Result<Self> {
        let process = Process::spawn(name, program, arguments).await?;
        let address = process.address("listening")?;
        Ok(Self {
            name: name.into(),
            address,
            process: Some(process),
            _handle: None,
        })
    }

    fn in_process(name: &str, handle: Handle) -> Self {
        let address = handle.address;
        Self {
            name: name.into(),
            address,
            process: None,
            _handle: Some(handle),
        }
    }
}

impl StandinHost {
    async fn start_log(&self, cancel: &CancellationToken) -> Result<Standin> {
        match self {
            Self::Processes(program) => Standin::spawn(program, "log", &["log"]).await,
            Self::InProcess => {
                let handle = standins::log::spawn(Default::default(), cancel).await?;
                Ok(Standin::in_process("log", handle))
            }
        }
    }

    async fn start_list(&self, cancel: &CancellationToken) -> Result<Standin> {
        match self {
            Self::Processes(program) => Standin::spawn(program, "list", &["instances"]).await,
            Self::InProcess => {
                let handle = standins::instances::spawn(Default::default(), cancel).await?;
                Ok(Standin::in_process("list", handle))
            }
        }
    }

    async fn start_rating(&self, cancel: &CancellationToken) -> Result<Standin> {
        match self {
            Self::Processes(program) => Standin::spawn(program, "rating", &["rating"]).await,
            Self::InProcess => {
                let handle = standins::rating::spawn(Default::default(), cancel).await?;
                Ok(Standin::in_process("rating", handle))
            }
        }
    }

    async fn start_plain(&self, name: &str, cancel: &CancellationToken) -> Result<Standin> {
        match self {
            Self::Processes(program) => Standin::spawn(program, name, &["plain"]).await,
            Self::InProcess => {
                let handle = standins::plain::spawn(Default::default(), cancel).await?;
                Ok(Standin::in_process(name, handle))
            }
        }
    }

    async fn start_engine(
        &self,
        name: &str,
        versions: &[&str],
        cancel: &CancellationToken,
    ) -> Result<Standin> {
        let qualities = versions
            .iter()
            .map(|version| (*version, answer_quality(version)));
        match self {
            Self::Processes(program) => {
                let mut arguments = vec!["engine".to_owned()];
                for (version, quality) in qualities {
                    arguments.push("--version".to_owned());
                    arguments.push(format!("{version}={quality}"));
                }
                let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
                Standin::spawn(program, name, &arguments).await
            }
            Self::InProcess => {
                let mut options = standins::engine::Options {
                    versions: versions.iter().map(|version| (*version).into()).collect(),
                    ..Default::default()
                };
                let qualities = qualities.map(|(version, quality)| (version.into(), quality));
                options.faults.skill = qualities.collect();
                let handle = standins::engine::spawn(options, cancel).await?;
                Ok(Standin::in_process(name, handle))
            }
        }
    }
}

/// Returns the quality of a version's answers, from 0 to 1.
fn answer_quality(version: &str) -> f64 {
    if version.contains("-small/") {
        SMALL_MODEL_QUALITY
    } else {
        LARGE_MODEL_QUALITY
    }
}

/// A running instance.
#[derive(Debug)]
pub struct Instance {
    /// Process of the instance.
    pub process: Process,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// File of the instance's event log.
    pub events: PathBuf,
}

/// A running system: the stand-ins and the instances.
#[derive(Debug)]
pub struct System {
    program: PathBuf,
    folder: PathBuf,
    cancel: CancellationToken,
    client: Client,
    /// Stand-in of the platform's log.
    pub log: Standin,
    /// Stand-in of the instance list.
    pub list: Standin,
    /// Stand-in of the rating service.
    pub rating: Standin,
    /// Stand-ins of the upstreams, in the order of the configuration text.
    pub upstreams: Vec<Standin>,
    /// Running instances; a slot is an index into this list.
    pub instances: Vec<Instance>,
    /// Whether the standard error of instances started from now on goes to a file
    /// `INSTANCE.stderr` in the folder.
    pub capture_stderr: bool,
    /// Configuration text that was published last.
    pub text: String,
    generation: u64,
    zones: Vec<(&'static str, &'static str)>,
    started_count: usize,
}

/// Returns the bearer key of an organisation of the demo configuration.
pub fn bearer_key(organisation: &str) -> String {
    format!("demo-key-{organisation}")
}

async fn start_upstreams(
    host: &StandinHost,
    text: &str,
    cancel: &CancellationToken,
) -> Result<Vec<Standin>> {
    let mut upstreams = Vec::new();
    for section in text
        .split("\n[")
        .filter(|section| section.starts_with("upstream "))
    {
        let name = section.split(']').next().unwrap_or_default();
        let name = name.trim_start_matches("upstream ");
        let versions = section
            .lines()
            .find_map(|line| line.strip_prefix("versions = "));
        let upstream = match versions {
            None => host.start_plain(name, cancel).await?,
            Some(versions) => {
                let versions: Vec<&str> = versions.split(", ").collect();
                host.start_engine(name, &versions, cancel).await?
            }
        };
        upstreams.push(upstream);
    }
    Ok(upstreams)
}

/// Replaces the addresses in the text by those of the stand-ins, in the order of its upstreams.
fn substitute_addresses(text: &str, upstreams: &[Standin]) -> Result<String> {
    let mut result = String::new();
    let mut next = upstreams.iter();
    for line in text.lines() {
        if line.starts_with("address = ") {
            let upstream = next.next().context("fewer stand-ins than upstreams")?;
            result.push_str(&format!("address = {}\n", upstream.address));
            continue;
        }
        result.push_str(line);
        result.push('\n');
    }
    Ok(result)
}

impl System {
    /// Starts the stand-ins for a configuration text, without any instance.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in does not start, or the folder can't be created.
    pub async fn start(
        host: &StandinHost,
        program: &Path,
        text: &str,
        folder: &Path,
    ) -> Result<Self> {
        std::fs::create_dir_all(folder)?;
        let cancel = CancellationToken::new();
        let log = host.start_log(&cancel).await?;
        let list = host.start_list(&cancel).await?;
        let rating = host.start_rating(&cancel).await?;
        let upstreams = start_upstreams(host, text, &cancel).await?;
        let text = substitute_addresses(text, &upstreams)?;
        Ok(Self {
            program: program.to_owned(),
            folder: folder.to_owned(),
            cancel,
            client: Client::default(),
            log,
            list,
            rating,
            upstreams,
            instances: Vec::new(),
            capture_stderr: false,
            text,
            generation: 0,
            zones: vec![
                ("amman-a", "amman"),
                ("amman-b", "amman"),
                ("be-central-a", "be-central"),
            ],
            started_count: 0,
        })
    }

    /// Returns the path of the program `citrontrack`, which runs instances and operators' commands.
    pub fn program(&self) -> &Path {
        &self.program
    }

    /// Returns the folder of the settings and event logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the text of an instance's settings file.
    fn settings(&self, name: &str, zone: (&str, &str), events: &Path) -> Result<String> {
        let (zone, region) = zone;
        Ok(format!(
            "[instance]\nname = {name}\nzone = {zone}\nregion = {region}\n\
             caller-address = 127.0.0.1:0\nfellow-address = 127.0.0.1:0\n\
             operator-address = 127.0.0.1:0\nsecret = {SHARED_SECRET}\n\
             [log]\naddress = {}\ntimeout = 1s\npoll = 2s\nretention = 1h\n\
             [instances]\naddress = {}\npoll = 200ms\nlag = {LIST_LAG}\n\
             [rating]\naddress = {}\n\
             [timeline]\npath = {}\n\
             [limits]\nisolation = 4s\ndrain = 20s\n",
            self.log.address,
            self.list.address,
            self.rating.address,
            events.display(),
        ))
    }

    /// Starts an instance in the next zone, adds it to the instance list and returns its index.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance does not start, or the instance list can't be reached.
    pub async fn start_instance(&mut self) -> Result<usize> {
        let zone = self.zones[self.started_count % self.zones.len()];
        self.started_count += 1;
        let name = format!("entry-{}", self.started_count);
        let events = self.folder.join(format!("{name}.jsonl"));
        let settings = self.folder.join(format!("{name}.ini"));
        std::fs::write(&settings, self.settings(&name, zone, &events)?)?;
        let path = settings
            .to_str()
            .context("the path of the settings is not valid UTF-8")?;
        let program = &self.program;
        let stderr = if self.capture_stderr {
            Stdio::from(File::create(self.folder.join(format!("{name}.stderr")))?)
        } else {
            Stdio::inherit()
        };
        let arguments = ["serve", "--settings", path];
        let process = Process::spawn_with_stderr(&name, program, &arguments, stderr).await?;
        let entry = json!({
            "zone": zone.0,
            "region": zone.1,
            "address": process.address("fellow")?,
            "state": "live",
        });
        self.set_list_entry(&name, &entry).await?;
        let (caller, operator) = (process.address("caller")?, process.address("operator")?);
        self.instances.push(Instance {
            process,
            caller,
            operator,
            events,
        });
        Ok(self.instances.len() - 1)
    }

    /// Sets the entry of an instance on the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance list can't be reached or rejects the entry.
    pub async fn set_list_entry(&self, name: &str, entry: &Value) -> Result<()> {
        let list = self.list.address;
        let path = format!("/instances/{name}");
        let (status, _) = self
            .client
            .call(hyper::Method::PUT, list, &path, entry)
            .await?;
        ensure!(status == 200, "the instance list answered {status}");
        Ok(())
    }

    /// Removes an instance from the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance list can't be reached.
    pub async fn remove_from_list(&self, name: &str) -> Result<()> {
        let list = self.list.address;
        let path = format!("/instances/{name}");
        self.client
            .call(hyper::Method::DELETE, list, &path, &Value::Null)
            .await?;
        Ok(())
    }

    /// Changes fault settings of a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in can't be reached, or does not have one of the settings.
    pub async fn set_faults(&self, standin: &Standin, faults: &Value) -> Result<()> {
        let address = standin.address;
        let (status, body) = self.client.post(address, "/faults", faults).await?;
        ensure!(status == 200, "{} answered {status} {body}", standin.name);
        Ok(())
    }

    /// Reads a JSON document from a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in can't be reached.
    pub async fn read_json(&self, standin: &Standin, path: &str) -> Result<Value> {
        let (_, body) = self.client.get(standin.address, path).await?;
        Ok(body)
    }

    /// Reads the status that an instance reports to operators.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance can't be reached.
    pub async fn status(&self, instance: usize) -> Result<Value> {
        let (_, body) = self
            .client
            .get(self.instances[instance].operator, "/status")
            .await?;
        Ok(body)
    }

    /// Runs a command of `citrontrack` and returns its exit code, or -1 if a signal ended it, and
    /// its standard output followed by its standard error.
    ///
    /// # Errors
    ///
    /// Returns an error if the command does not start, or does not read its input.
    pub async fn run_command(&self, arguments: &[&str], input: &str) -> Result<(i32, String)> {
        let mut child = Command::new(&self.program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let mut stdin = child.stdin.take().context("standard input is not piped")?;
        stdin.write_all(input.as_bytes()).await?;
        drop(stdin);
        let output = child.wait_with_output().await?;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        Ok((output.status.code().unwrap_or(-1), text))
    }

    /// Publishes a configuration text, waits until it is in force at all instances and returns its
    /// generation.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is rejected, or is not in force at all instances in time.
    pub async fn publish(&mut self, text: &str) -> Result<u64> {
        let generation = self.append_text(text).await?;
        self.wait_in_force(generation).await?;
        Ok(generation)
    }

    /// Appends a configuration text to the log, based on the generation published last, and returns
    /// its generation.
    ///
    /// # Errors
    ///
    /// Returns an error if the publication is not accepted.
    pub async fn append_text(&mut self, text: &str) -> Result<u64> {
        let log = self.log.address.to_string();
        let base = self.generation.to_string();
        let arguments = [
            "publish", "--log", &log, "--author", "harness", "--base", &base, "--json",
        ];
        let (code, output) = self.run_command(&arguments, text).await?;
        ensure!(code == 0, "publish exited with {code}: {output}");
        let report: Value =
            serde_json::from_str(&output).context("the report of publish is not JSON")?;
        let generation = report["generation"]
            .as_u64()
            .context("the report of publish has no generation")?;
        self.generation = generation;
        self.text = text.to_owned();
        Ok(generation)
    }

    /// Waits until a generation, or a later one, is in force at all instances and they are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if this takes too long at an instance.
    pub async fn wait_in_force(&self, generation: u64) -> Result<()> {
        for instance in 0..self.instances.len() {
            self.wait_for(instance, "the generation to be in force", |status| {
                status["generation"].as_u64() >= Some(generation) && status["serving"] == true
            })
            .await?;
            self.wait_ready(instance).await?;
        }
        Ok(())
    }

    /// Waits until an instance reports readiness to the load balancer.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance is not ready in time.
    pub async fn wait_ready(&self, instance: usize) -> Result<()> {
        let end = Instant::now() + WAIT_TIMEOUT;
        let caller = self.instances[instance].caller;
        while self
            .client
            .get(caller, "/readyz")
            .await
            .map_or(0, |(status, _)| status)
            != 200
        {
            ensure!(Instant::now() < end, "timed out waiting for readiness");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until the status of an instance meets a condition, and returns that status.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition is not met in time.
    pub async fn wait_for(
        &self,
        instance: usize,
        description: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> Result<Value> {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            let status = self.status(instance).await.unwrap_or_default();
            if condition(&status) {
                return Ok(status);
            }
            ensure!(
                Instant::now() < end,
                "timed out waiting for {description}: {status}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Stops all instances, gracefully, and then the stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not exit in time, or exits with a code other than 0.
    pub async fn stop(self) -> Result<()> {
        for instance in self.instances {
            instance.process.stop().await?;
        }
        for standin in self
            .upstreams
            .into_iter()
            .chain([self.log, self.list, self.rating])
        {
            if let Some(process) = standin.process {
                process.stop().await?;
            }
        }
        self.cancel.cancel();
        Ok(())
    }

    /// Returns the generation that was published last.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the stand-in of the upstream with this name.
    ///
    /// # Panics
    ///
    /// Panics if the configuration has no upstream with this name.
    pub fn upstream(&self, name: &str) -> &Standin {
        let found = self
            .upstreams
            .iter()
            .find(|upstream| &*upstream.name == name);
        found.unwrap_or_else(|| panic!("the configuration has no upstream {name}"))
    }

    /// Reads the entries of all batches in a stream of the log, in offset order.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be read, or a record is not a batch.
    pub async fn stream_entries(&self, stream: &str) -> Result<Vec<Value>> {
        let path = format!("/streams/{stream}/records?from=1&limit=100000&wait_ms=0");
        let page = self.read_json(&self.log, &path).await?;
        let mut entries = Vec::new();
        for record in page["records"]
            .as_array()
            .context("the page has no records")?
        {
            let data = STANDARD.decode(record["data"].as_str().unwrap_or_default())?;
            let batch: Vec<Value> = serde_json::from_slice(&data)?;
            entries.extend(batch);
        }
        Ok(entries)
    }
}

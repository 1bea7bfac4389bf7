//! The stand-ins and instances of the demo configuration, on free ports.

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

/// Longest wait for something that takes seconds.
const LIMIT: Duration = Duration::from_secs(30);
/// Time between two looks.
const PAUSE: Duration = Duration::from_millis(100);
/// The secret that the instances share.
const SECRET: &str = "a secret of the demo, shared by its instances";
/// Lag that instances assume of the instance list.
const LIST_LAG: &str = "500ms";

/// Quality of answers of small versions, from 0 to 1.
const SMALL_SKILL: f64 = 0.8;
/// Quality of answers of large versions, from 0 to 1.
const LARGE_SKILL: f64 = 0.97;

/// How stand-ins run.
#[derive(Clone, Debug)]
pub enum Stage {
    /// As processes of their own, by the program `standin`.
    Processes(PathBuf),
    /// Inside of this process.
    Inside,
}

/// A running stand-in.
#[derive(Debug)]
pub struct Standin {
    /// What it is called.
    pub name: Box<str>,
    /// Where it listens.
    pub address: SocketAddr,
    process: Option<Process>,
    _handle: Option<Handle>,
}

impl Standin {
    async fn process(program: &Path, name: &str, arguments: &[&str]) -> Result<Self> {
        let process = Process::spawn(name, program, arguments).await?;
        let address = process.address("listening")?;
        Ok(Self {
            name: name.into(),
            address,
            process: Some(process),
            _handle: None,
        })
    }

    fn inside(name: &str, handle: Handle) -> Self {
        let address = handle.address;
        Self {
            name: name.into(),
            address,
            process: None,
            _handle: Some(handle),
        }
    }
}

impl Stage {
    async fn log(&self, cancel: &CancellationToken) -> Result<Standin> {
        match self {
            Self::Processes(program) => Standin::process(program, "log", &["log"]).await,
            Self::Inside => {
                let handle = standins::log::spawn(Default::default(), cancel).await?;
                Ok(Standin::inside("log", handle))
            }
        }
    }

    async fn list(&self, cancel: &CancellationToken) -> Result<Standin> {
        match self {
            Self::Processes(program) => Standin::process(program, "list", &["instances"]).await,
            Self::Inside => {
                let handle = standins::instances::spawn(Default::default(), cancel).await?;
                Ok(Standin::inside("list", handle))
            }
        }
    }

    async fn rating(&self, cancel: &CancellationToken) -> Result<Standin> {
        match self {
            Self::Processes(program) => Standin::process(program, "rating", &["rating"]).await,
            Self::Inside => {
                let handle = standins::rating::spawn(Default::default(), cancel).await?;
                Ok(Standin::inside("rating", handle))
            }
        }
    }

    async fn plain(&self, name: &str, cancel: &CancellationToken) -> Result<Standin> {
        match self {
            Self::Processes(program) => Standin::process(program, name, &["plain"]).await,
            Self::Inside => {
                let handle = standins::plain::spawn(Default::default(), cancel).await?;
                Ok(Standin::inside(name, handle))
            }
        }
    }

    async fn engine(
        &self,
        name: &str,
        versions: &[&str],
        cancel: &CancellationToken,
    ) -> Result<Standin> {
        let skills = versions.iter().map(|version| (*version, skill(version)));
        match self {
            Self::Processes(program) => {
                let mut arguments = vec!["engine".to_owned()];
                for (version, skill) in skills {
                    arguments.push("--version".to_owned());
                    arguments.push(format!("{version}={skill}"));
                }
                let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
                Standin::process(program, name, &arguments).await
            }
            Self::Inside => {
                let mut options = standins::engine::Options {
                    versions: versions.iter().map(|version| (*version).into()).collect(),
                    ..Default::default()
                };
                let skills = skills.map(|(version, skill)| (version.into(), skill));
                options.faults.skill = skills.collect();
                let handle = standins::engine::spawn(options, cancel).await?;
                Ok(Standin::inside(name, handle))
            }
        }
    }
}

/// The quality of a version's answers, from 0 to 1.
fn skill(version: &str) -> f64 {
    if version.contains("-small/") {
        SMALL_SKILL
    } else {
        LARGE_SKILL
    }
}

/// A running instance.
#[derive(Debug)]
pub struct Instance {
    /// Its process.
    pub process: Process,
    /// Where it listens for callers.
    pub caller: SocketAddr,
    /// Where it answers operators.
    pub operator: SocketAddr,
    /// Its event log.
    pub events: PathBuf,
}

/// Everything that runs.
#[derive(Debug)]
pub struct System {
    program: PathBuf,
    folder: PathBuf,
    cancel: CancellationToken,
    client: Client,
    /// The stand-in of the platform's log.
    pub log: Standin,
    /// The stand-in of the instance list.
    pub list: Standin,
    /// The stand-in of the rating service.
    pub rating: Standin,
    /// The stand-ins of upstreams, in the order of their ports in the demo configuration.
    pub upstreams: Vec<Standin>,
    /// The instances.
    pub instances: Vec<Instance>,
    /// Whether standard error of instances started from now on goes to files of the folder, named
    /// `INSTANCE.stderr`.
    pub keep_errors: bool,
    /// The configuration text as it was last published.
    pub text: String,
    generation: u64,
    zones: Vec<(&'static str, &'static str)>,
    started: usize,
}

/// The bearer key of an organisation of the demo configuration.
pub fn key(organisation: &str) -> String {
    format!("demo-key-{organisation}")
}

async fn start_upstreams(
    stage: &Stage,
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
            None => stage.plain(name, cancel).await?,
            Some(versions) => {
                let versions: Vec<&str> = versions.split(", ").collect();
                stage.engine(name, &versions, cancel).await?
            }
        };
        upstreams.push(upstream);
    }
    Ok(upstreams)
}

/// Puts the addresses of the stand-ins into the text, in the order of its upstreams.
fn place(text: &str, upstreams: &[Standin]) -> Result<String> {
    let mut placed = String::new();
    let mut next = upstreams.iter();
    for line in text.lines() {
        if line.starts_with("address = ") {
            let upstream = next.next().context("fewer stand-ins than upstreams")?;
            placed.push_str(&format!("address = {}\n", upstream.address));
            continue;
        }
        placed.push_str(line);
        placed.push('\n');
    }
    Ok(placed)
}

impl System {
    /// Starts the stand-ins of a configuration text; no instance runs yet.
    ///
    /// # Errors
    ///
    /// One of them did not start.
    pub async fn start(stage: &Stage, program: &Path, text: &str, folder: &Path) -> Result<Self> {
        std::fs::create_dir_all(folder)?;
        let cancel = CancellationToken::new();
        let log = stage.log(&cancel).await?;
        let list = stage.list(&cancel).await?;
        let rating = stage.rating(&cancel).await?;
        let upstreams = start_upstreams(stage, text, &cancel).await?;
        let text = place(text, &upstreams)?;
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
            keep_errors: false,
            text,
            generation: 0,
            zones: vec![
                ("amman-a", "amman"),
                ("amman-b", "amman"),
                ("be-central-a", "be-central"),
            ],
            started: 0,
        })
    }

    /// The program of the instances and of operators' commands.
    pub fn program(&self) -> &Path {
        &self.program
    }

    /// The folder of the settings and event logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// The settings of an instance.
    fn settings(&self, name: &str, zone: (&str, &str), events: &Path) -> Result<String> {
        let (zone, region) = zone;
        Ok(format!(
            "[instance]\nname = {name}\nzone = {zone}\nregion = {region}\n\
             caller-address = 127.0.0.1:0\nfellow-address = 127.0.0.1:0\n\
             operator-address = 127.0.0.1:0\nsecret = {SECRET}\n\
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

    /// Starts an instance in the next zone and puts it on the list. Returns its index.
    ///
    /// # Errors
    ///
    /// It did not start.
    pub async fn start_instance(&mut self) -> Result<usize> {
        let zone = self.zones[self.started % self.zones.len()];
        self.started += 1;
        let name = format!("entry-{}", self.started);
        let events = self.folder.join(format!("{name}.jsonl"));
        let settings = self.folder.join(format!("{name}.ini"));
        std::fs::write(&settings, self.settings(&name, zone, &events)?)?;
        let path = settings.to_str().context("a path in UTF-8")?;
        let program = &self.program;
        let stderr = if self.keep_errors {
            Stdio::from(File::create(self.folder.join(format!("{name}.stderr")))?)
        } else {
            Stdio::inherit()
        };
        let arguments = ["serve", "--settings", path];
        let process = Process::spawn_with(&name, program, &arguments, stderr).await?;
        let entry = json!({
            "zone": zone.0,
            "region": zone.1,
            "address": process.address("fellow")?,
            "state": "live",
        });
        self.put_on_list(&name, &entry).await?;
        let (caller, operator) = (process.address("caller")?, process.address("operator")?);
        self.instances.push(Instance {
            process,
            caller,
            operator,
            events,
        });
        Ok(self.instances.len() - 1)
    }

    /// Changes what the list says about an instance.
    ///
    /// # Errors
    ///
    /// The list can't be reached.
    pub async fn put_on_list(&self, name: &str, entry: &Value) -> Result<()> {
        let list = self.list.address;
        let path = format!("/instances/{name}");
        let (status, _) = self
            .client
            .call(hyper::Method::PUT, list, &path, entry)
            .await?;
        ensure!(status == 200, "the list answered {status}");
        Ok(())
    }

    /// Takes an instance off the list.
    ///
    /// # Errors
    ///
    /// The list can't be reached.
    pub async fn take_off_list(&self, name: &str) -> Result<()> {
        let list = self.list.address;
        let path = format!("/instances/{name}");
        self.client
            .call(hyper::Method::DELETE, list, &path, &Value::Null)
            .await?;
        Ok(())
    }

    /// Sets fault switches of a stand-in.
    ///
    /// # Errors
    ///
    /// It can't be reached, or does not know a switch.
    pub async fn fault(&self, standin: &Standin, faults: &Value) -> Result<()> {
        let address = standin.address;
        let (status, body) = self.client.post(address, "/faults", faults).await?;
        ensure!(status == 200, "{} answered {status} {body}", standin.name);
        Ok(())
    }

    /// Reads JSON of a stand-in.
    ///
    /// # Errors
    ///
    /// It can't be reached.
    pub async fn read(&self, standin: &Standin, path: &str) -> Result<Value> {
        let (_, body) = self.client.get(standin.address, path).await?;
        Ok(body)
    }

    /// The state that an instance tells operators.
    ///
    /// # Errors
    ///
    /// It can't be reached.
    pub async fn status(&self, instance: usize) -> Result<Value> {
        let (_, body) = self
            .client
            .get(self.instances[instance].operator, "/status")
            .await?;
        Ok(body)
    }

    /// Runs a command of `citrontrack` and returns its exit code and output.
    ///
    /// # Errors
    ///
    /// It did not start.
    pub async fn command(&self, arguments: &[&str], input: &str) -> Result<(i32, String)> {
        let mut child = Command::new(&self.program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let mut stdin = child.stdin.take().context("its input is piped")?;
        stdin.write_all(input.as_bytes()).await?;
        drop(stdin);
        let output = child.wait_with_output().await?;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        Ok((output.status.code().unwrap_or(-1), text))
    }

    /// Publishes a text, and waits until it is in force at all instances.
    ///
    /// # Errors
    ///
    /// It was rejected, or not in force everywhere in time.
    pub async fn publish(&mut self, text: &str) -> Result<u64> {
        let generation = self.append_text(text).await?;
        self.wait_in_force(generation).await?;
        Ok(generation)
    }

    /// Appends a text to the log, edited from the one in force, and returns its generation.
    ///
    /// # Errors
    ///
    /// The log did not take it.
    pub async fn append_text(&mut self, text: &str) -> Result<u64> {
        let log = self.log.address.to_string();
        let base = self.generation.to_string();
        let arguments = [
            "publish", "--log", &log, "--author", "harness", "--base", &base, "--json",
        ];
        let (code, output) = self.command(&arguments, text).await?;
        ensure!(code == 0, "publish ended with {code}: {output}");
        let report: Value = serde_json::from_str(&output).context("the report of publish")?;
        let generation = report["generation"]
            .as_u64()
            .context("the report has a generation")?;
        self.generation = generation;
        self.text = text.to_owned();
        Ok(generation)
    }

    /// Waits until a generation, or a later one, is in force at all instances.
    ///
    /// # Errors
    ///
    /// It was not in time.
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

    /// Waits until an instance tells the balancer that it is ready.
    ///
    /// # Errors
    ///
    /// It was not in time.
    pub async fn wait_ready(&self, instance: usize) -> Result<()> {
        let end = Instant::now() + LIMIT;
        let caller = self.instances[instance].caller;
        while self
            .client
            .get(caller, "/readyz")
            .await
            .map_or(0, |(status, _)| status)
            != 200
        {
            ensure!(Instant::now() < end, "waited for readiness in vain");
            tokio::time::sleep(PAUSE).await;
        }
        Ok(())
    }

    /// Waits until the state of an instance is as wanted.
    ///
    /// # Errors
    ///
    /// It was not in time.
    pub async fn wait_for(
        &self,
        instance: usize,
        what: &str,
        wanted: impl Fn(&Value) -> bool,
    ) -> Result<Value> {
        let end = Instant::now() + LIMIT;
        loop {
            let status = self.status(instance).await.unwrap_or_default();
            if wanted(&status) {
                return Ok(status);
            }
            ensure!(Instant::now() < end, "waited for {what} in vain: {status}");
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Ends everything, the instances gracefully.
    ///
    /// # Errors
    ///
    /// One of them did not end, or not with code 0.
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

    /// The generation that was published last.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The upstream of a name.
    ///
    /// # Panics
    ///
    /// There is none.
    pub fn upstream(&self, name: &str) -> &Standin {
        let found = self
            .upstreams
            .iter()
            .find(|upstream| &*upstream.name == name);
        found.unwrap_or_else(|| panic!("the configuration has the upstream {name}"))
    }

    /// All entries of a stream of the log that are batches, in order.
    ///
    /// # Errors
    ///
    /// The log can't be read.
    pub async fn entries(&self, stream: &str) -> Result<Vec<Value>> {
        let path = format!("/streams/{stream}/records?from=1&limit=100000&wait_ms=0");
        let page = self.read(&self.log, &path).await?;
        let mut entries = Vec::new();
        for record in page["records"].as_array().context("a page has records")? {
            let data = STANDARD.decode(record["data"].as_str().unwrap_or_default())?;
            let batch: Vec<Value> = serde_json::from_slice(&data)?;
            entries.extend(batch);
        }
        Ok(entries)
    }
}

//! Commands that send a load and check its history.

use anyhow::{Context, Result, ensure};
use argh::FromArgs;
use standins::check;
use standins::load::workload::Workload;
use standins::load::{Options, pair, run};
use std::fs::File;
use std::io::BufWriter;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Sends a seeded open-loop workload to instances and checks each answer.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct Load {
    /// where an instance listens for callers; may be given several times
    #[argh(option)]
    instance: Vec<SocketAddr>,
    /// wadi, vermeulen, demo, or a file
    #[argh(option, default = "\"demo\".into()")]
    workload: String,
    /// seed of the arrivals
    #[argh(option, default = "1")]
    seed: u64,
    /// how long requests arrive
    #[argh(option, default = "10.0")]
    seconds: f64,
    /// what the rates of the workload are multiplied by
    #[argh(option, default = "1.0")]
    scale: f64,
    /// only plain answers
    #[argh(switch)]
    plain: bool,
    /// only streamed answers; half of them are without --plain and --stream
    #[argh(switch)]
    stream: bool,
    /// file for the whole report
    #[argh(option)]
    json: Option<PathBuf>,
    /// compare with this engine instead, by pairs of requests
    #[argh(option)]
    direct: Option<SocketAddr>,
    /// version that the engine is asked for in a comparison
    #[argh(option, default = "\"small/1\".into()")]
    version: String,
    /// service that the instance is asked for in a comparison
    #[argh(option, default = "\"advisory\".into()")]
    service: String,
    /// organisation that asks in a comparison
    #[argh(option, default = "\"wadi-clinics\".into()")]
    organisation: String,
    /// tokens that are asked for in a comparison
    #[argh(option, default = "8")]
    tokens: usize,
    /// pairs of a comparison
    #[argh(option, default = "500")]
    pairs: u32,
}

/// Checks the history of a load: what callers were told, what ran and what was billed.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// file that load wrote by --json
    #[argh(option)]
    report: PathBuf,
    /// an engine or plain service; may be given several times
    #[argh(option)]
    upstream: Vec<SocketAddr>,
    /// the log
    #[argh(option)]
    log: SocketAddr,
}

/// Prints all violations as JSON lines and fails if there are any.
pub(crate) async fn check(command: Check) -> Result<()> {
    let path = command.report;
    let report = std::fs::read(&path).with_context(|| format!("reading {}", path.display()))?;
    let sources = check::Sources {
        upstreams: command.upstream,
        log: command.log,
    };
    let history = check::gather(&report, &sources).await?;
    let violations = check::violations(&history);
    for violation in &violations {
        println!("{}", serde_json::to_string(violation)?);
    }
    println!(
        "{} requests, {} calls, {} usage records, {} violations",
        history.exchanges.len(),
        history.calls.len(),
        history.usage.len(),
        violations.len()
    );
    ensure!(violations.is_empty(), "the history has violations");
    Ok(())
}

/// Runs the load and fails if a reply was wrong.
pub(crate) async fn load(command: Load) -> Result<()> {
    ensure!(!command.instance.is_empty(), "--instance is missing");
    if let Some(engine) = command.direct {
        return compare(command, engine).await;
    }
    let options = Options {
        workload: workload(&command.workload)?,
        instances: command.instance,
        seed: command.seed,
        time: Duration::try_from_secs_f64(command.seconds).context("reading --seconds")?,
        scale: command.scale,
        streamed: match (command.plain, command.stream) {
            (true, false) => 0.0,
            (false, true) => 1.0,
            _ => 0.5,
        },
    };
    let report = run(options).await;
    println!("{report}");
    if let Some(path) = command.json {
        report.write_json(create(&path)?)?;
    }
    ensure!(
        report.wrong_count() == 0,
        "{} replies were wrong",
        report.wrong_count()
    );
    Ok(())
}

async fn compare(command: Load, engine: SocketAddr) -> Result<()> {
    let options = pair::Options {
        engine,
        version: command.version.into(),
        instance: command.instance[0],
        service: command.service.into(),
        organisation: command.organisation.into(),
        tokens: command.tokens,
        pairs: command.pairs,
    };
    let comparison = pair::run(&options).await?;
    println!("{comparison}");
    if let Some(path) = command.json {
        serde_json::to_writer(create(&path)?, &comparison)?;
    }
    Ok(())
}

fn create(path: &Path) -> Result<BufWriter<File>> {
    let file = File::create(path).with_context(|| format!("creating {}", path.display()))?;
    Ok(BufWriter::new(file))
}

fn workload(name: &str) -> Result<Workload> {
    if let Some(workload) = Workload::named(name) {
        return Ok(workload);
    }
    let text = std::fs::read_to_string(name).with_context(|| format!("reading {name}"))?;
    Workload::parse(&text).with_context(|| format!("reading {name}"))
}

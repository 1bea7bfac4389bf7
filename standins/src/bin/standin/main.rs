//! Command line of the stand-ins and the load tool.

mod measure;
mod serve;

use anyhow::Result;
use argh::FromArgs;
use serve::Serve;

/// Small fakes of the platform and the upstreams, and the load tool.
#[derive(FromArgs)]
struct Standin {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Log(serve::Log),
    Instances(serve::Instances),
    Engine(serve::Engine),
    Plain(serve::Plain),
    Rating(serve::Rating),
    Weights(serve::Weights),
    Load(measure::Load),
    Check(measure::Check),
}

#[tokio::main]
async fn main() -> Result<()> {
    let command = match argh::from_env::<Standin>().command {
        Command::Load(command) => return measure::load(command).await,
        Command::Check(command) => return measure::check(command).await,
        Command::Log(command) => Serve::Log(command),
        Command::Instances(command) => Serve::Instances(command),
        Command::Engine(command) => Serve::Engine(command),
        Command::Plain(command) => Serve::Plain(command),
        Command::Rating(command) => Serve::Rating(command),
        Command::Weights(command) => Serve::Weights(command),
    };
    serve::run(command).await
}

//! `citrontrack status`: shows the state of instances.

use crate::command::{FAILED, block_on};
use anyhow::{Context, Result};
use argh::FromArgs;
use entity::Span;
use server::status::Status as State;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Timeout of the status call to one instance.
const STATUS_TIMEOUT: Span = Span::from_secs(3);

/// Show the state of instances: generation in force, roll-outs, cold upstreams, zones that are out,
/// age of the last read of the log. The exit code is 2 where one of them could not be reached.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// print one line of JSON for each instance
    #[argh(switch)]
    json: bool,
    /// operator addresses of instances, as IP:PORT
    #[argh(positional)]
    instances: Vec<SocketAddr>,
}

impl Status {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode> {
        anyhow::ensure!(
            !self.instances.is_empty(),
            "give the operator address of an instance"
        );
        let mut all_reached = true;
        for address in &self.instances {
            match block_on(read(*address)) {
                Ok(state) if self.json => println!("{}", serde_json::to_string(&state)?),
                Ok(state) => println!("{state}"),
                Err(error) => {
                    eprintln!("{address}: {error:#}");
                    all_reached = false;
                }
            }
        }
        Ok(if all_reached {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(FAILED)
        })
    }
}

async fn read(address: SocketAddr) -> Result<State> {
    let answer = client::Client::new(address, STATUS_TIMEOUT)
        .get("/status")
        .await?;
    serde_json::from_slice(&answer.body).context("the answer is not the state of an instance")
}

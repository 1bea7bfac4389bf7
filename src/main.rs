//! The command line of citrontrack.

mod command;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: command::Citrontrack = argh::from_env();
    match arguments.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("citrontrack: {error:#}");
            ExitCode::from(command::FAILED)
        }
    }
}

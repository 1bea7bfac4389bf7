//! `citrontrack key`: prints the hash of a bearer key for the configuration text.

use anyhow::Result;
use argh::FromArgs;
use std::io::Read;
use std::process::ExitCode;

/// Print the salted hash of a bearer key, for `keys` of an organisation. The bearer key is read
/// from standard input.
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub struct Key {
    /// what operators call the key, to tell keys of one organisation apart
    #[argh(positional)]
    name: String,
}

impl Key {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode> {
        let mut bearer = String::new();
        std::io::stdin().read_to_string(&mut bearer)?;
        let bearer = bearer.trim();
        anyhow::ensure!(
            bearer.len() >= 16,
            "a bearer key has at least 16 characters"
        );
        let key = config::Key::generate(&self.name, bearer, &mut rand::rng());
        println!("{key}");
        Ok(ExitCode::SUCCESS)
    }
}

//! Edits of the configuration text, published by concurrent commands.

use anyhow::{Result, ensure};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::process::Command;

/// Number of publications of one edit before it counts as not accepted.
const MAX_PUBLICATIONS: usize = 4;
/// Time between two publications of one edit.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time that a command waits for the result of its publication.
const PUBLISH_TIMEOUT: &str = "6s";
/// Prefix of the author's name; the mask of the edits in the text follows it.
const AUTHOR: &str = "soak-";

/// A replacement in the configuration text, from `off` to `on`.
pub(super) struct Edit {
    off: &'static str,
    on: &'static str,
    /// Target that gets no new work while the edit is in force.
    pub(super) barred_target: BarredTarget,
}

/// Target that an edit excludes from new work.
#[derive(Clone, Copy, Debug)]
pub(super) enum BarredTarget {
    Version(&'static str),
    Upstreams(&'static [&'static str]),
    Nothing,
}

/// All edits; the index of an edit is its bit in a mask.
pub(super) const EDITS: [Edit; super::plan::EDIT_COUNT] = [
    Edit {
        off: "[version advisory-small/1]\n",
        on: "[version advisory-small/1]\nstate = withdrawn\n",
        barred_target: BarredTarget::Version("advisory-small/1"),
    },
    Edit {
        off: "[version advice-large/4]\n",
        on: "[version advice-large/4]\nstate = withdrawn\n",
        barred_target: BarredTarget::Version("advice-large/4"),
    },
    Edit {
        off: "[zone amman-a]\n",
        on: "[zone amman-a]\nstate = out\n",
        barred_target: BarredTarget::Upstreams(&["advisory-1", "notices-1"]),
    },
    Edit {
        off: "[zone amman-b]\n",
        on: "[zone amman-b]\nstate = out\n",
        barred_target: BarredTarget::Upstreams(&["advisory-2", "notices-2"]),
    },
    Edit {
        off: "[upstream advice-1]\n",
        on: "[upstream advice-1]\nstate = leaving\n",
        barred_target: BarredTarget::Upstreams(&["advice-1"]),
    },
    Edit {
        off: "share = 10%\n",
        on: "share = 30%\n",
        barred_target: BarredTarget::Nothing,
    },
];

/// Returns the text with the edits of a mask applied.
fn apply_edits(base: &str, mask: usize) -> String {
    let mut text = base.to_owned();
    for (bit, edit) in EDITS.iter().enumerate() {
        if mask & 1 << bit != 0 {
            text = text.replacen(edit.off, edit.on, 1);
        }
    }
    text
}

/// Returns the mask of the edits in a publication, which is part of its author's name.
pub(super) fn mask_from_author(author: &str) -> Option<usize> {
    author.strip_prefix(AUTHOR)?.parse().ok()
}

/// Publishes edits with commands of the program `citrontrack`.
#[derive(Clone, Debug)]
pub(super) struct Publisher {
    pub(super) program: PathBuf,
    pub(super) log: SocketAddr,
    pub(super) base: String,
}

impl Publisher {
    async fn run_command(&self, arguments: &[&str], input: &str) -> Result<(bool, String)> {
        let mut child = Command::new(&self.program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()?;
        if let Some(mut stdin) = child.stdin.take() {
            // A command that exits early does not read its input; its exit code shows the failure.
            let _ = stdin.write_all(input.as_bytes()).await;
        }
        let output = child.wait_with_output().await?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        Ok((output.status.success(), text))
    }

    /// Returns the generation in force and the mask of its edits.
    async fn in_force(&self) -> Result<(String, usize)> {
        let log = self.log.to_string();
        let (success, text) = self
            .run_command(&["show", "--log", &log, "--text"], "")
            .await?;
        ensure!(success, "the command `show` failed");
        let first = text.lines().next().unwrap_or_default();
        let generation = first.rsplit(' ').next().unwrap_or_default().to_owned();
        let mut mask = 0;
        for (bit, edit) in EDITS.iter().enumerate() {
            mask |= usize::from(text.contains(edit.on)) << bit;
        }
        Ok((generation, mask))
    }

    async fn publish(&self, base: &str, mask: usize, time: &str) -> Result<bool> {
        let log = self.log.to_string();
        let author = format!("{AUTHOR}{mask}");
        let arguments = [
            "publish", "--log", &log, "--author", &author, "--base", base, "--time", time, "--json",
        ];
        let (success, _) = self
            .run_command(&arguments, &apply_edits(&self.base, mask))
            .await?;
        Ok(success)
    }

    /// Applies or removes an edit with at most [`MAX_PUBLICATIONS`] publications. Returns whether
    /// one of them was accepted or the text in force was already as required.
    pub(super) async fn set_edit(&self, edit: usize, on: bool) -> bool {
        let bit = 1 << edit;
        for _ in 0..MAX_PUBLICATIONS {
            if let Ok((generation, mask)) = self.in_force().await {
                let target_mask = if on { mask | bit } else { mask & !bit };
                let published = self
                    .publish(&generation, target_mask, PUBLISH_TIMEOUT)
                    .await;
                if target_mask == mask || published.unwrap_or(false) {
                    return true;
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        false
    }

    /// Publishes the text without any edit, whichever generation is in force, and returns the new
    /// generation.
    pub(super) async fn reset(&self) -> Result<u64> {
        ensure!(
            self.publish("in-force", 0, "20s").await?,
            "the text without edits was not accepted"
        );
        let (generation, _) = self.in_force().await?;
        Ok(generation.parse()?)
    }
}

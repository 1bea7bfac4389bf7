//! Edits of the configuration text, published by commands that race.

use anyhow::{Result, ensure};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::process::Command;

/// Publications of one edit until it is given up.
const TRIES: usize = 4;
/// Time between two of them.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest wait of a command for its verdict.
const VERDICT: &str = "6s";
/// Beginning of the author's name, which the mask of the edits in the text follows.
const AUTHOR: &str = "soak-";

/// What the text says with an edit and without it.
pub(super) struct Edit {
    off: &'static str,
    on: &'static str,
    /// What gets no new work.
    pub(super) bars: Bar,
}

/// What gets no new work by an edit.
#[derive(Clone, Copy, Debug)]
pub(super) enum Bar {
    Version(&'static str),
    Upstreams(&'static [&'static str]),
    Nothing,
}

/// All edits; the index is the bit in the mask.
pub(super) const ALL: [Edit; super::plan::EDITS] = [
    Edit {
        off: "[version advisory-small/1]\n",
        on: "[version advisory-small/1]\nstate = withdrawn\n",
        bars: Bar::Version("advisory-small/1"),
    },
    Edit {
        off: "[version advice-large/4]\n",
        on: "[version advice-large/4]\nstate = withdrawn\n",
        bars: Bar::Version("advice-large/4"),
    },
    Edit {
        off: "[zone amman-a]\n",
        on: "[zone amman-a]\nstate = out\n",
        bars: Bar::Upstreams(&["advisory-1", "notices-1"]),
    },
    Edit {
        off: "[zone amman-b]\n",
        on: "[zone amman-b]\nstate = out\n",
        bars: Bar::Upstreams(&["advisory-2", "notices-2"]),
    },
    Edit {
        off: "[upstream advice-1]\n",
        on: "[upstream advice-1]\nstate = leaving\n",
        bars: Bar::Upstreams(&["advice-1"]),
    },
    Edit {
        off: "share = 10%\n",
        on: "share = 30%\n",
        bars: Bar::Nothing,
    },
];

/// The text with the edits of a mask.
fn render(base: &str, mask: usize) -> String {
    let mut text = base.to_owned();
    for (bit, edit) in ALL.iter().enumerate() {
        if mask & 1 << bit != 0 {
            text = text.replacen(edit.off, edit.on, 1);
        }
    }
    text
}

/// The mask of the edits that an author's name tells.
pub(super) fn mask_of(author: &str) -> Option<usize> {
    author.strip_prefix(AUTHOR)?.parse().ok()
}

/// Publishes edits by commands of the program.
#[derive(Clone, Debug)]
pub(super) struct Publisher {
    pub(super) program: PathBuf,
    pub(super) log: SocketAddr,
    pub(super) base: String,
}

impl Publisher {
    async fn command(&self, arguments: &[&str], input: &str) -> Result<(bool, String)> {
        let mut child = Command::new(&self.program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()?;
        if let Some(mut stdin) = child.stdin.take() {
            // A command that ended early reads no more; its exit code tells why.
            let _ = stdin.write_all(input.as_bytes()).await;
        }
        let output = child.wait_with_output().await?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        Ok((output.status.success(), text))
    }

    /// The generation in force and the mask of its edits.
    async fn in_force(&self) -> Result<(String, usize)> {
        let log = self.log.to_string();
        let (success, text) = self.command(&["show", "--log", &log, "--text"], "").await?;
        ensure!(success, "the text can't be shown");
        let first = text.lines().next().unwrap_or_default();
        let generation = first.rsplit(' ').next().unwrap_or_default().to_owned();
        let mut mask = 0;
        for (bit, edit) in ALL.iter().enumerate() {
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
        let (success, _) = self.command(&arguments, &render(&self.base, mask)).await?;
        Ok(success)
    }

    /// Puts an edit in or takes it back, and returns whether it was accepted within some tries.
    pub(super) async fn set(&self, edit: usize, on: bool) -> bool {
        let bit = 1 << edit;
        for _ in 0..TRIES {
            if let Ok((generation, mask)) = self.in_force().await {
                let wanted = if on { mask | bit } else { mask & !bit };
                let published = self.publish(&generation, wanted, VERDICT).await;
                if wanted == mask || published.unwrap_or(false) {
                    return true;
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        false
    }

    /// Publishes the text without any edit over whatever is in force, and returns its generation.
    pub(super) async fn reset(&self) -> Result<u64> {
        ensure!(
            self.publish("in-force", 0, "20s").await?,
            "the text without edits was not accepted"
        );
        let (generation, _) = self.in_force().await?;
        Ok(generation.parse()?)
    }
}

//! Passes the commit that is built to `src/build.rs`. Where there is no repository, or no Git, it stays unknown.

use std::path::Path;
use std::process::Command;

/// Number of digits of the commit's hash.
const HASH_DIGITS: &str = "--short=12";

fn main() {
    println!("cargo::rerun-if-changed=build.rs");
    let commit = commit().unwrap_or_else(|| "unknown".to_owned());
    println!("cargo::rustc-env=CITRONTRACK_COMMIT={commit}");
}

fn commit() -> Option<String> {
    // The sources may lie in a directory of some other repository.
    git(&["ls-files", "--error-unmatch", "build.rs"])?;
    // Both change with each commit; watching a file that is missing would build anew each time.
    for name in ["HEAD", "logs/HEAD"] {
        let path = git(&["rev-parse", "--git-path", name])?;
        if Path::new(&path).exists() {
            println!("cargo::rerun-if-changed={path}");
        }
    }
    let commit = git(&["rev-parse", HASH_DIGITS, "HEAD"])?;
    let is_hash = commit.bytes().all(|byte| byte.is_ascii_hexdigit());
    (is_hash && !commit.is_empty()).then_some(commit)
}

fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok()?;
    if !output.status.success() {
        return None;
    }
    Some(String::from_utf8(output.stdout).ok()?.trim().to_owned())
}

//! The build of this program.

use std::net::SocketAddr;
use timeline::{Kind, Recorder};

/// Version of the package.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");
/// Start of the hash of the commit that was built; `unknown` where there was no repository.
pub const COMMIT: &str = env!("CITRONTRACK_COMMIT");

/// Returns version and commit, as beacons name them.
pub fn name() -> Box<str> {
    format!("{VERSION} {COMMIT}").into()
}

/// Records that this build has started to serve callers at an address.
pub fn record_start(recorder: &Recorder, caller: SocketAddr) {
    let event = recorder.event(Kind::Started).text("caller", caller);
    event
        .text("version", VERSION)
        .text("commit", COMMIT)
        .record();
}

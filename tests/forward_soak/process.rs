//! Instances as processes, with their ports.
#![allow(dead_code, reason = "each test binary uses only some of the items")]

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::net::{TcpListener, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// Returns a port that is free for datagrams and for connections. It is below the ports that the system gives to
/// outgoing connections, so that it is still free when an instance starts again.
pub fn free_lasting_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(64);
    for _ in 0..1000 {
        let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = 28_000 + (number % 4_000) as u16;
        let datagrams = UdpSocket::bind(("127.0.0.1", port));
        let connections = TcpListener::bind(("127.0.0.1", port));
        if datagrams.is_ok() && connections.is_ok() {
            return port;
        }
    }
    panic!("no port is free");
}

/// Starts an instance whose output is appended to a file.
pub fn spawn(settings: &Path, log: &Path) -> Child {
    spawn_limited(settings, log, None)
}

/// Starts an instance that may open so many descriptors; none leaves the system's own limit.
pub fn spawn_limited(settings: &Path, log: &Path, descriptors: Option<u32>) -> Child {
    let log = File::options().create(true).append(true).open(log).unwrap();
    let limit = descriptors.map_or(String::new(), |count| format!("ulimit -n {count}; "));
    Command::new("sh")
        .args(["-c", &format!("{limit}exec \"$@\""), "sh"])
        .args([env!("CARGO_BIN_EXE_citrontrack"), "forward", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap()
}

/// Sends a signal to an instance.
pub fn signal(child: &Child, signal: Signal) {
    let pid = Pid::from_raw(i32::try_from(child.id()).unwrap());
    // Sending a signal to a process that has exited fails, which is harmless.
    let _ = kill(pid, signal);
}

//! Tests of an instance, as a process, whose callers don't behave. Each sends a crowd and checks that the process
//! lives, stays within the memory and the descriptors of its settings, and answers an ordinary request.
//!
//! The tests run one at a time, as a crowd would be part of another one's load.

#[path = "crowds/caller.rs"]
mod caller;
#[path = "forward_soak/process.rs"]
mod process;
#[path = "../platform/tests/support/mod.rs"]
mod support;
#[path = "instances/system.rs"]
mod system;
#[path = "crowds/usage.rs"]
mod usage;

use caller::{Crowd, Framing};
use googletest::prelude::*;
use std::time::Duration;
use support::store::FakeStore;
use support::upstream::{Behaviour, Upstream};
use system::{Setup, System, call};
use tokio::sync::Mutex;
use usage::Usage;

const CONFIG: &str = r#"{"version":1,"routes":[
 {"name":"read","host":"a.example","pathPrefix":"/read/","kind":"safe","timeoutMs":8000,
  "targetLatencyMs":150,"service":"core","maxAttempts":2}],
 "services":[{"name":"core"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"clinics","apiKeys":["secret"]}]}"#;
/// Memory of the machine.
const MEMORY_MB: u64 = 96;
/// Descriptors of the machine, and those of them that are reserved for files.
const DESCRIPTORS: u32 = 400;
const FILE_DESCRIPTORS: u32 = 200;
/// Largest body that the configuration allows.
const BODY_BYTES: usize = 4 << 20;
/// Number of times that an ordinary request is sent until it is answered, and the time between two of them.
const ORDINARY_TRIES: usize = 60;
const ORDINARY_PAUSE: Duration = Duration::from_millis(500);

/// Time for which the crowd stays at least.
const STAY_TIME: Duration = Duration::from_secs(2);

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Sends ordinary requests until one is answered. Returns whether one was.
async fn is_ordinary_served(system: &System) -> bool {
    for number in 0..ORDINARY_TRIES {
        let head = format!(
            "POST /read/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {number:016x}\r\n\
             Deadline-Ms: 4000\r\nAuthorization: Bearer secret\r\nContent-Length: 5\r\n"
        );
        let served = tokio::time::timeout(
            Duration::from_secs(5),
            call(system.callers[0], &head, "hello"),
        );
        if served
            .await
            .is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
        {
            return true;
        }
        tokio::time::sleep(ORDINARY_PAUSE).await;
    }
    false
}

/// Sends a crowd to an instance and checks what must hold while it stays and after it.
async fn check(test: &str, crowd: Crowd) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let store = FakeStore::default();
    let upstream = Upstream::open(&[Behaviour::Answer]).await;
    let entry = format!(
        r#"{{"service":"core","address":"{}","zone":"a","version":"v1","slots":64,"state":"ready"}}"#,
        upstream.address
    );
    store.put("keyed.servers", "i-0", &entry);
    let setup = Setup {
        test,
        count: 1,
        config: CONFIG,
        limits: &format!("[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {DESCRIPTORS}\n"),
        descriptors: Some(DESCRIPTORS),
    };
    let mut system = System::spawn(&setup, store).await;
    expect_true!(is_ordinary_served(&system).await, "calm");
    let usage = Usage::watch(system.children[0].id());
    let crowd = crowd.send(system.callers[0]).await;
    expect_true!(is_ordinary_served(&system).await, "beside the crowd");
    tokio::time::sleep(STAY_TIME).await;
    expect_true!(is_ordinary_served(&system).await, "after some time");
    crowd.leave().await;
    expect_true!(is_ordinary_served(&system).await, "after the crowd");
    let (memory, sockets) = usage.largest().await;
    println!("{test}: {} MB, {sockets} sockets", memory >> 20);
    expect_that!(memory, le(MEMORY_MB << 20), "bytes of memory");
    expect_that!(sockets, le((DESCRIPTORS - FILE_DESCRIPTORS) as usize));
    let ended = system.children[0].try_wait().unwrap();
    expect_that!(ended, none(), "the process has ended");
}

/// Whole bodies of legal size that came at once filled the memory.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_at_once_stay_within_memory() {
    let framing = Framing::Length(BODY_BYTES);
    check("whole", Crowd::of(64, framing, BODY_BYTES)).await;
}

/// Bodies that stop just short of their end filled the memory while their connections stayed open.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_short_of_their_end_stay_within_memory() {
    let framing = Framing::Length(BODY_BYTES);
    check("short", Crowd::of(64, framing, BODY_BYTES - 1)).await;
}

/// Bodies in large chunks that never end filled the memory.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_large_chunks_stay_within_memory() {
    let framing = Framing::Chunks(64 << 10);
    check("large-chunks", Crowd::of(64, framing, BODY_BYTES - 1)).await;
}

/// Each chunk of one byte kept the buffer that it was read into.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_tiny_chunks_stay_within_memory() {
    let framing = Framing::Chunks(1);
    check("tiny-chunks", Crowd::of(32, framing, 3000)).await;
}

/// Bodies that announce far more than is allowed were read up to the limit.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_announce_too_much_stay_within_memory() {
    let framing = Framing::Length(10_000_000_000);
    check("announced", Crowd::of(200, framing, 1 << 20)).await;
}

/// Bodies with an unknown key were held as those of known callers are.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_with_an_unknown_key_stay_within_memory() {
    let framing = Framing::Length(BODY_BYTES);
    let crowd = Crowd::of(64, framing, BODY_BYTES - 1);
    check("unknown-key", crowd.with_key("nobody")).await;
}

/// Connections that send nothing took all descriptors, so that nobody else could connect.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_leave_descriptors_for_others() {
    check("silent", Crowd::silent(600)).await;
}

/// Heads that never end took all descriptors.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_without_an_end_leave_descriptors_for_others() {
    check("heads", Crowd::heads(600)).await;
}

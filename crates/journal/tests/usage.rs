//! Usage records through outages of the log and deaths of instances.

mod fake;

use billing::copies::Peer;
use billing::held::Policy as HeldPolicy;
use billing::ledger::{Checkpoint, Horizon, Ledger};
use billing::usage::{self as entries, Record, Target};
use entity::{Offset, Span, name, request};
use fake::{FakeLog, Faults, epoch_ms};
use googletest::prelude::*;
use journal::committer;
use journal::usage::{self, Call, Error, Handle, PeerClient, Policy, Unconfirmed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Duration of a call to a peer.
const CALL_DURATION: Duration = Duration::from_millis(1);

/// A listed instance, with the handle of its usage task once it runs.
type Member = (Peer, Option<Handle>);

/// Instances that call each other in memory.
#[derive(Clone, Default)]
struct Cluster {
    members: Arc<Mutex<Vec<Member>>>,
}

/// The cluster as one instance sees it.
struct View {
    cluster: Cluster,
    own: name::Instance,
}

impl Cluster {
    fn open(log: &FakeLog, zones: &[&str]) -> (Self, Vec<(Handle, CancellationToken)>) {
        let cluster = Self::default();
        for (index, zone) in zones.iter().enumerate() {
            let peer = Peer {
                name: format!("entry-{index}").parse().expect("a valid name"),
                zone: zone.parse().expect("a valid name"),
            };
            cluster.lock().push((peer, None));
        }
        let running = (0..zones.len()).map(|index| cluster.start(log, index));
        let running = running.collect();
        (cluster, running)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Member>> {
        self.members.lock().expect("the lock is never poisoned")
    }

    fn start(&self, log: &FakeLog, index: usize) -> (Handle, CancellationToken) {
        let cancel = CancellationToken::new();
        let policy = committer::Policy {
            drain_timeout: Span::ZERO,
            ..committer::Policy::default()
        };
        let committer = committer::spawn(log.clone(), policy, cancel.clone());
        let own = self.lock()[index].0.clone();
        let view = View {
            cluster: self.clone(),
            own: own.name.clone(),
        };
        let handle = usage::open(
            committer,
            Arc::new(view),
            own.zone,
            usage_policy(),
            cancel.clone(),
        );
        self.lock()[index].1 = Some(handle.clone());
        (handle, cancel)
    }

    /// Removes an instance from the list.
    fn unlist(&self, name: &str) {
        self.lock().retain(|(peer, _)| peer.name.as_str() != name);
    }

    fn handle(&self, name: &name::Instance) -> Option<Handle> {
        let members = self.lock();
        let found = members.iter().find(|(peer, _)| peer.name == *name);
        found.and_then(|(_, handle)| handle.clone())
    }
}

impl PeerClient for View {
    fn peers(&self) -> Vec<Peer> {
        let members = self.cluster.lock();
        let names = members.iter().map(|(peer, _)| peer.clone());
        names.filter(|peer| peer.name != self.own).collect()
    }

    fn hold<'a>(&'a self, peer: &'a name::Instance, records: &'a [Record]) -> Call<'a> {
        Box::pin(async move {
            sleep(CALL_DURATION).await;
            let handle = self.cluster.handle(peer).ok_or(Unconfirmed)?;
            let held = handle.hold(self.own.clone(), records.to_vec()).await;
            held.map_err(|_| Unconfirmed)
        })
    }

    fn drop_held<'a>(&'a self, peer: &'a name::Instance, requests: &'a [request::Id]) -> Call<'a> {
        Box::pin(async move {
            sleep(CALL_DURATION).await;
            let handle = self.cluster.handle(peer).ok_or(Unconfirmed)?;
            let dropped = handle.drop_held(requests.to_vec()).await;
            dropped.map_err(|_| Unconfirmed)
        })
    }
}

fn usage_policy() -> Policy {
    Policy {
        capacity: 5000,
        held: HeldPolicy {
            replay_delay: Span::from_secs(60),
            max_hold: Span::from_secs(3600),
            capacity: 20_000,
        },
        ..Policy::default()
    }
}

fn record(number: u128) -> Record {
    Record {
        request: request::Id(u128::from(epoch_ms()) << 80 | number),
        organisation: "water".parse().expect("a valid name"),
        service: "notices".parse().expect("a valid name"),
        target: Target::Route("POST /notices".into()),
        steps: Vec::new(),
        lender: None,
    }
}

fn down() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}

/// Returns the number of requests billed from the log, and the number of entries including
/// duplicates.
fn billed(log: &FakeLog) -> (u64, usize) {
    let horizon = Horizon(Span::from_secs(7200));
    let mut ledger = Ledger::open(horizon, Checkpoint::default(), Offset(1));
    let mut copies = 0;
    for (index, (time_ms, data)) in log.records("usage").iter().enumerate() {
        let batch = entries::decode(data).expect("a batch");
        copies += batch.len();
        ledger.apply(Offset(index as u64 + 1), *time_ms, &batch);
    }
    let accounts = &ledger.checkpoint().accounts;
    (
        accounts.iter().map(|account| account.requests).sum(),
        copies,
    )
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn record_is_safe_once_appended() {
    let log = FakeLog::open(1);
    let (_cluster, running) = Cluster::open(&log, &["a", "b", "c"]);
    running[0].0.commit(record(1)).await.expect("it is safe");
    expect_that!(billed(&log), eq((1, 1)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn long_outage_delays_no_answer_and_each_request_is_billed_once() {
    let log = FakeLog::open(1);
    let (_cluster, running) = Cluster::open(&log, &["a", "b", "c"]);
    log.set_faults(down());
    let (mut slowest, mut tasks) = (Duration::ZERO, JoinSet::new());
    for number in 0..3000 {
        let handle = running[number as usize % 3].0.clone();
        tasks.spawn(async move {
            let began = Instant::now();
            handle.commit(record(number)).await.expect("it is safe");
            began.elapsed()
        });
        sleep(Duration::from_millis(60)).await;
    }
    while let Some(took) = tasks.join_next().await {
        slowest = slowest.max(took.expect("no panic"));
    }
    let calls = log.append_times().len();
    log.set_faults(Faults::default());
    sleep(Duration::from_secs(30)).await;
    let (requests, copies) = billed(&log);
    println!(
        "180 s of outage, 3 instances: {calls} appends tried, slowest answer {slowest:?}, \
         {requests} of 3000 billed once, {copies} copies"
    );
    expect_that!(calls, le(3 * 200));
    expect_that!(slowest, lt(Duration::from_secs(1)));
    expect_that!(requests, eq(3000));
    for (handle, _) in &running {
        let stats = handle.stats().await.expect("it runs");
        expect_that!((stats.open, stats.held), eq((0, 0)));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn records_of_an_instance_that_died_are_billed_once() {
    let log = FakeLog::open(1);
    let (cluster, running) = Cluster::open(&log, &["a", "b", "c", "a"]);
    log.set_faults(down());
    let mut tasks = JoinSet::new();
    for number in 0..200 {
        let handle = running[0].0.clone();
        tasks.spawn(async move { handle.commit(record(number)).await });
    }
    for committed in tasks.join_all().await {
        committed.expect("it is safe");
    }
    running[0].1.cancel();
    sleep(Duration::from_secs(5)).await;
    cluster.unlist("entry-0");
    // The holders ask their peers to hold the adopted records, so one of the holders may die as
    // well.
    sleep(Duration::from_secs(5)).await;
    running[1].1.cancel();
    cluster.unlist("entry-1");
    sleep(Duration::from_secs(5)).await;
    log.set_faults(Faults::default());
    sleep(Duration::from_secs(30)).await;
    let (requests, copies) = billed(&log);
    println!("owner and a holder died: {requests} of 200 billed once, {copies} copies");
    expect_that!(requests, eq(200));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn leaving_instance_appends_records_waiting_in_its_committer() {
    let log = FakeLog::open(1);
    let cancel = CancellationToken::new();
    let committer = committer::spawn(log.clone(), committer::Policy::default(), cancel.clone());
    let view = View {
        cluster: Cluster::default(),
        own: "entry-0".parse().expect("a valid name"),
    };
    let zone = "a".parse().expect("a valid name");
    let handle = usage::open(
        committer,
        Arc::new(view),
        zone,
        usage_policy(),
        cancel.clone(),
    );
    let waiting = tokio::spawn(async move { handle.commit(record(1)).await });
    sleep(Duration::from_millis(2)).await;
    cancel.cancel();
    expect_that!(waiting.await.expect("no panic"), err(eq(Error::Closed)));
    sleep(Duration::from_secs(1)).await;
    expect_that!(billed(&log), eq((1, 1)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn lone_instance_waits_for_the_log() {
    let log = FakeLog::open(1);
    let (_cluster, running) = Cluster::open(&log, &["a"]);
    log.set_faults(down());
    let handle = running[0].0.clone();
    let waiting = tokio::spawn(async move { handle.commit(record(1)).await });
    sleep(Duration::from_secs(60)).await;
    expect_false!(waiting.is_finished());
    log.set_faults(Faults::default());
    let flushed = timeout(Duration::from_secs(5), running[0].0.flush()).await;
    expect_that!(flushed, ok(ok(())));
    let committed = timeout(Duration::from_secs(5), waiting).await;
    expect_that!(committed.expect("in time").expect("no panic"), ok(()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn records_beyond_the_capacity_are_refused() {
    let log = FakeLog::open(1);
    let (_cluster, running) = Cluster::open(&log, &["a", "b", "c"]);
    log.set_faults(down());
    let mut tasks = JoinSet::new();
    for number in 0..5100 {
        let handle = running[0].0.clone();
        tasks.spawn(async move { handle.commit(record(number)).await });
    }
    let results = tasks.join_all().await;
    let refused = results.iter().filter(|result| **result == Err(Error::Full));
    expect_that!(refused.count(), eq(100));
}

//! The cases.

use crate::Verdict;
use crate::client::{self, Outcome, Request};
use crate::platform::{Platform, Ports};
use crate::record::Record;
use crate::server::{Framing, Plan, Properties, Server};
use crate::store::{Gate, Store};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The grace period of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// Deadline of a draft, which is also the timeout of its route.
const DEADLINE: Duration = Duration::from_secs(25);
/// Time after its last byte within which a request may still cross a close.
const LOSS_SLACK: Duration = Duration::from_millis(200);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-hvz3pfi","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":25000,"targetLatencyMs":2000,"priority":1,"sizes":["m0","m1","m2"],"service":"huvo11a","maxAttempts":3,"public":false,"sticky":true,"resumable":true,"gapAimMs":1000},{"name":"r-6y7z5k6","host":"ficu95.example","pathPrefix":"/puxa403/","kind":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"wuno96b","maxAttempts":1,"public":false}],"services":[{"name":"wuno96b","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0},{"name":"huvo11a","healthPath":"/health","maxConnections":610,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":22.0,"engine":{"slots":128,"kvCapacityTokens":1116687,"kvTokenBytes":18432,"linkMbps":370000.0,"moves":true,"backups":true,"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m0","cost":0.014},{"name":"m1","cost":0.1},{"name":"m2","cost":0.21}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb","anfqasnmgkcuyj8pjbvk"],"priority":1}]}"#;

/// A key that lasts, and one that is taken away.
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const PASSING_KEY: &str = "anfqasnmgkcuyj8pjbvk";

/// A running deployment: the store, two servers of each version in one zone, and the nodes.
struct System {
    ports: Ports,
    store: Store,
    /// Of the store, one for each node.
    gates: Vec<Gate>,
    servers: Vec<Server>,
    platform: Platform,
    record: Record,
}

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// The service of drafts and that of notices.
const DRAFTS: &str = "huvo11a";
const NOTICES: &str = "wuno96b";

impl System {
    /// Starts nodes in some zones and two servers of one version.
    fn start(zones: &[&str], slots: usize, plan: &Plan, record: &Record) -> Option<Self> {
        let (ports, store) = (Ports::find()?, Store::default());
        store.put("keyed.op", "config", CONFIG.as_bytes());
        let gates = (0..zones.len()).map(|node| store.serve(ports.store(node as u16)));
        let gates = gates.collect();
        let service = match plan {
            Plan::Stream { .. } => DRAFTS,
            Plan::Plain { .. } => NOTICES,
        };
        let mut system = Self {
            ports,
            store,
            gates,
            servers: Vec::new(),
            platform: Platform::new()?,
            record: record.clone(),
        };
        system.add_servers((service, "v1"), slots, plan);
        system.platform.start(zones, ports, record)?;
        // The nodes learn of each other, and calm machines come in touch.
        thread::sleep(ms(3500));
        Some(system)
    }

    /// Starts two servers of a version of a service.
    fn add_servers(
        &mut self,
        (service, version): (&'static str, &'static str),
        slots: usize,
        plan: &Plan,
    ) {
        for _ in 0..2 {
            let number = self.servers.len() as u16;
            let properties = Properties {
                id: format!("i-7f3a91c{number}"),
                service,
                zone: "amman-b",
                address: self.ports.server(number),
                slots,
                version,
            };
            let server = Server::open(properties, plan.clone(), self.record.clone(), &self.store);
            self.servers.push(server);
        }
    }

    /// Sends a draft to a node if the platform sends new connections there.
    fn send(&self, node: usize, id: u64) -> JoinHandle<Outcome> {
        let node = &self.platform.nodes[node];
        assert!(
            node.is_in_rotation(),
            "the platform sends nothing to {}",
            node.name
        );
        let request = Request {
            id: format!("9c41d07be2a3{id:04x}"),
            node: node.front,
            path: "/lohu930/2f",
            is_draft: true,
            key: KEY,
            deadline: DEADLINE,
        };
        client::send(request, &self.record)
    }
}

fn wait(sent: Vec<JoinHandle<Outcome>>) -> Vec<Outcome> {
    sent.into_iter().filter_map(|one| one.join().ok()).collect()
}

fn is_whole(outcome: &Outcome, count: usize) -> bool {
    let all: Vec<u64> = (1..=count as u64).collect();
    outcome.status == 200 && outcome.is_complete && outcome.events == all
}

/// Streams come through a machine of a third zone, since the links of the first zone to the servers' were cut
/// for a moment. That machine is killed in the middle of the streams. Every twentieth answer of one server has no
/// length.
pub fn truncated_by_carrier(record: &Record, has_trouble: bool) -> Verdict {
    const EVENTS: usize = 30;
    let plan = Plan::Stream {
        framing: Framing::ChunksBut {
            each: 20,
            at: "i-7f3a91c0",
        },
        pauses: vec![ms(100); EVENTS],
    };
    let zones = ["amman-a", "amman-c"];
    let Some(system) = System::start(&zones, 128, &plan, record) else {
        return Verdict::NotRun;
    };
    let mut cut = Vec::new();
    if has_trouble {
        record.line("network: amman-a and amman-b can't reach each other");
        cut = system.servers.iter().map(Server::cut).collect();
    }
    let mut sent: Vec<_> = (1..4).map(|id| system.send(0, id)).collect();
    thread::sleep(ms(250));
    for (server, fillers) in system.servers.iter().zip(cut) {
        server.join(fillers);
    }
    record.line("network: all links are whole");
    thread::sleep(ms(400));
    for id in 4..61 {
        sent.push(system.send(0, id));
        thread::sleep(ms(5));
    }
    thread::sleep(ms(1200));
    if has_trouble {
        system.platform.nodes[1].kill();
    }
    let outcomes = wait(sent);
    let is_false_end =
        |one: &&Outcome| one.status == 200 && one.is_complete && !is_whole(one, EVENTS);
    let truncated = outcomes.iter().filter(is_false_end).count();
    let whole = outcomes.iter().filter(|one| is_whole(one, EVENTS)).count();
    record.line(&format!(
        "{truncated} streams look complete and lack events, {whole} are whole, of {}",
        outcomes.len()
    ));
    if !has_trouble && whole < outcomes.len() {
        return Verdict::NotRun;
    }
    if truncated > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// A node is stopped while drafts wait there for a free slot of a server.
pub fn waiting_at_shutdown(record: &Record, has_trouble: bool) -> Verdict {
    const EVENTS: usize = 20;
    let plan = Plan::Stream {
        framing: Framing::Chunks,
        pauses: vec![ms(500); EVENTS],
    };
    let Some(system) = System::start(&["amman-a", "amman-b"], 4, &plan, record) else {
        return Verdict::NotRun;
    };
    // They take all slots until 9 s after the signal.
    let running: Vec<_> = (0..8).map(|id| system.send(0, id)).collect();
    thread::sleep(ms(700));
    let waiting: Vec<_> = (8..12).map(|id| system.send(0, id)).collect();
    thread::sleep(ms(300));
    let terminated = has_trouble.then(|| record.now());
    let ended = has_trouble.then(|| system.platform.nodes[0].terminate(GRACE));
    let waiting = wait(waiting);
    let mut outcomes = wait(running);
    if let Some(ended) = ended {
        let _ = ended.join();
    }
    let seen = |one: &Outcome| {
        system
            .servers
            .iter()
            .any(|server| server.arrival(&one.id).is_some())
    };
    let never_sent: Vec<_> = waiting.iter().filter(|one| !seen(one)).collect();
    record.line(&format!(
        "{} of {} waiting requests never reach a server",
        never_sent.len(),
        waiting.len()
    ));
    outcomes.extend(waiting);
    judge_lost(&system, &outcomes, EVENTS, terminated)
}

/// A node is stopped while a server is silent for 2.6 s within a stream that it goes on with.
pub fn silence_at_shutdown(record: &Record, has_trouble: bool) -> Verdict {
    let mut pauses = vec![ms(20), ms(400), ms(400), ms(400), ms(2600)];
    pauses.extend([ms(100); 5]);
    let events = pauses.len();
    let plan = Plan::Stream {
        framing: Framing::Chunks,
        pauses,
    };
    let Some(system) = System::start(&["amman-a", "amman-b"], 128, &plan, record) else {
        return Verdict::NotRun;
    };
    let sent: Vec<_> = (0..4).map(|id| system.send(0, id)).collect();
    thread::sleep(ms(200));
    let terminated = has_trouble.then(|| record.now());
    let ended = has_trouble.then(|| system.platform.nodes[0].terminate(GRACE));
    let outcomes = wait(sent);
    if let Some(ended) = ended {
        let _ = ended.join();
    }
    judge_lost(&system, &outcomes, events, terminated)
}

/// Counts requests that were sent whole and whose connection ends without a complete answer before their
/// deadline. A refusal is an answer. After a SIGTERM only what ends until a second after the grace period counts,
/// and nothing that a server was still at work on in the last sixth of that period, if it was sent within 3 s.
fn judge_lost(
    system: &System,
    outcomes: &[Outcome],
    events: usize,
    terminated: Option<Duration>,
) -> Verdict {
    let record = &system.record;
    let is_excused = |one: &Outcome| {
        let Some(terminated) = terminated else {
            return false;
        };
        let is_around = one.ended >= terminated && one.ended <= terminated + GRACE + ms(1000);
        let at_work = system.servers.iter().any(|server| server.has_run(&one.id));
        let in_last_sixth = one.ended >= terminated + GRACE * 5 / 6;
        !is_around || at_work && in_last_sixth && one.sent <= terminated + ms(3000)
    };
    let is_lost = |one: &&Outcome| {
        let is_early = one.ended < one.sent + DEADLINE;
        let is_cut = one.is_sent && !one.is_complete && one.ended > one.sent + LOSS_SLACK;
        is_cut && is_early && !is_excused(one)
    };
    let lost = outcomes.iter().filter(is_lost).count();
    let whole = outcomes.iter().filter(|one| is_whole(one, events)).count();
    let refused = outcomes
        .iter()
        .filter(|one| one.is_complete && !one.is_sealed)
        .count();
    record.line(&format!(
        "{lost} requests that aren't excused end without a complete answer, {whole} are answered whole, {refused} are refused, of {}",
        outcomes.len()
    ));
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Time for which the order of the rollout allows.
const ORDER: Duration = Duration::from_secs(12);
/// The zones of the six machines of the site.
const ZONES: [&str; 6] = [
    "amman-a", "amman-a", "amman-b", "amman-b", "amman-c", "amman-d",
];
/// The machine that stands still, the first to rule on this service.
const FROZEN: usize = 3;
/// Longest time for which a machine stands still.
const FREEZE: Duration = Duration::from_millis(3500);
/// Time after its 50th bad answer from which a bad version gets nothing more.
const ROLLBACK: Duration = Duration::from_secs(5);
/// Share of the requests that a bad version may get, and requests beyond it.
const EXPOSE_SHARE: f64 = 0.15;
const EXPOSE_SLACK: f64 = 30.0;
/// Time after a disruption from which a machine is in touch.
const STABILITY: Duration = Duration::from_secs(3);
/// Time after `rolled_back` at which the new servers drain.
const DRAIN_DELAY: Duration = Duration::from_secs(6);

/// A new version turns bad in the middle of its rollout, and is rolled back. A node that stood still meanwhile
/// wakes.
pub fn stale_ruling(record: &Record, has_trouble: bool) -> Verdict {
    let plan = Plan::Plain { work: ms(30) };
    let Some(mut system) = System::start(&ZONES, 6, &plan, record) else {
        return Verdict::NotRun;
    };
    system.add_servers((NOTICES, "v2"), 6, &plan);
    let order = format!(
        r#"{{"service":"{NOTICES}","target":"v2","durationS":{}}}"#,
        ORDER.as_secs()
    );
    let key = format!("rollout/{NOTICES}");
    system.store.put("keyed.op", &key, order.as_bytes());
    let ordered = record.now();
    record.line("operator: orders the rollout of v2");
    let (mut sent, mut statuses) = (Vec::new(), Vec::new());
    let (mut woken_at, mut rolled_back_at) = (None, None);
    let (mut step, mut tick) = (0, 0);
    let mut is_completed = false;
    while record.now() < ordered + ms(20_000) {
        let age = record.now() - ordered;
        for (number, node) in system.platform.nodes.iter().enumerate() {
            if !node.is_in_rotation() || !(tick + number).is_multiple_of(3) {
                continue;
            }
            let id = sent.len();
            let request = Request {
                id: format!("9c41d07b{id:08x}"),
                node: node.front,
                path: "/puxa403/2f",
                is_draft: false,
                key: KEY,
                deadline: ms(1000),
            };
            sent.push(client::send(request, record));
        }
        if step == 0 && age >= ms(6350) {
            system.servers[2..].iter().for_each(Server::turn_bad);
            record.line("servers: v2 answers with failures from now on");
            step = 1;
        }
        if step == 1 && age >= ms(6450) {
            if has_trouble {
                system.platform.nodes[FROZEN].freeze();
            }
            step = 2;
        }
        if step == 2 && age >= ms(6450) + FREEZE {
            if has_trouble {
                system.platform.nodes[FROZEN].wake();
                woken_at = Some(record.now());
            }
            step = 3;
        }
        let now = system.store.values("keyed.status", &key);
        for status in &now[statuses.len()..] {
            record.line(&format!("operator: reads {status}"));
            if status.contains("rolled_back") {
                rolled_back_at = Some(record.now());
            }
            if status.contains("completed") && !is_completed {
                is_completed = true;
                record.line("operator: stops the servers of v1");
                for server in &system.servers[..2] {
                    server.stop(&system.store);
                }
            }
        }
        statuses = now;
        if rolled_back_at.is_some_and(|at| record.now() > at + DRAIN_DELAY) && !is_completed {
            record.line("operator: drains the servers of v2");
            for server in &system.servers[2..] {
                server.drain(&system.store);
            }
            rolled_back_at = None;
        }
        tick += 1;
        thread::sleep(ms(25));
    }
    let outcomes = wait(sent);
    system.platform.record_rulings(record);
    judge_exposure(&system, &outcomes, (ordered, woken_at), &statuses)
}

/// Checks both bounds on what a bad version gets from machines in touch: its share of the requests between
/// the order and its deadline, and nothing long after its 50th bad answer.
fn judge_exposure(
    system: &System,
    outcomes: &[Outcome],
    (ordered, woken_at): (Duration, Option<Duration>),
    statuses: &[String],
) -> Verdict {
    let record = &system.record;
    let bad_version = &system.servers[2..];
    let mut bad: Vec<Duration> = bad_version.iter().flat_map(Server::failures).collect();
    bad.sort();
    let fiftieth = bad.get(49).copied();
    record.line(&format!(
        "{} bad answers, the 50th at {fiftieth:?}, statuses {statuses:?}",
        bad.len()
    ));
    let frozen = system.platform.nodes[FROZEN].front;
    // A frozen machine is in touch until it stands still, and again some time after it wakes.
    let is_in_touch = |one: &Outcome| {
        one.node != frozen
            || woken_at
                .is_none_or(|woken| one.ended + FREEZE < woken || one.sent > woken + STABILITY)
    };
    let reached = |server: &Server, one: &Outcome| server.arrival(&one.id).is_some();
    // Counted by their arrival at the service.
    let in_order = |one: &&Outcome| {
        let arrivals = system.servers.iter();
        let arrival = arrivals.filter_map(|server| server.arrival(&one.id)).min();
        arrival.is_some_and(|at| at >= ordered && at < ordered + ORDER)
    };
    let all = outcomes.iter().filter(in_order).count();
    let to_bad = |one: &&Outcome| bad_version.iter().any(|server| reached(server, one));
    let exposed = outcomes.iter().filter(in_order).filter(to_bad);
    let exposed = exposed.filter(|one| is_in_touch(one)).count();
    let allowed = all as f64 * EXPOSE_SHARE + EXPOSE_SLACK;
    let is_late = |one: &&Outcome| {
        fiftieth.is_some_and(|fiftieth| one.sent > fiftieth + ROLLBACK) && is_in_touch(one)
    };
    let late = outcomes.iter().filter(is_late).filter(to_bad).count();
    let failed = outcomes.iter().filter(|one| one.status >= 500).count();
    record.line(&format!(
        "machines in touch send {exposed} of {all} requests to the bad version within the order, {allowed:.0} are allowed"
    ));
    record.line(&format!(
        "machines in touch send {late} requests to the bad version later than {ROLLBACK:?} after its 50th bad answer"
    ));
    record.line(&format!(
        "{failed} of {} requests fail or are refused",
        outcomes.len()
    ));
    if late > 0 || exposed as f64 > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Time after its acknowledgement from which a configuration's loss of a key holds everywhere.
const REVOKE: Duration = Duration::from_secs(5);

/// The store turns a machine away, which learns of an order from its peers. These are lost for good, and a
/// key is taken away. Then the store serves the machine again.
pub fn revoked_key(record: &Record, has_trouble: bool) -> Verdict {
    let plan = Plan::Plain { work: ms(30) };
    let Some(mut system) = System::start(&["amman-a", "amman-c", "amman-c"], 6, &plan, record)
    else {
        return Verdict::NotRun;
    };
    system.add_servers((NOTICES, "v2"), 6, &plan);
    thread::sleep(ms(1000));
    let started = record.now();
    let (mut sent, mut step, mut revoked) = (Vec::new(), 0, None);
    while record.now() < started + ms(14_000) {
        let age = record.now() - started;
        if step == 0 {
            if has_trouble {
                system.gates[0].close();
                record.line("store: turns the first node away");
            }
            step = 1;
        }
        if step == 1 && age > ms(1000) {
            let order = format!(r#"{{"service":"{NOTICES}","target":"v2","durationS":24}}"#);
            let key = format!("rollout/{NOTICES}");
            system.store.put("keyed.op", &key, order.as_bytes());
            record.line("operator: orders the rollout of v2");
            step = 2;
        }
        if step == 2 && age > ms(1700) {
            if has_trouble {
                system.platform.nodes[1].kill();
                system.platform.nodes[2].kill();
            }
            step = 3;
        }
        if step == 3 && age > ms(2000) {
            let config = CONFIG.replace("\"version\":7", "\"version\":9");
            let config = config.replace(&format!(",\"{PASSING_KEY}\""), "");
            system.store.put("keyed.op", "config", config.as_bytes());
            revoked = Some(record.now());
            record.line("operator: a configuration without the passing key is acknowledged");
            step = 4;
        }
        // The store returns between two reads of the operators' topic, so that another call comes first.
        let is_between = age > EARLIEST_RETURN && system.gates[0].has_refused_a_read(ms(30));
        if step == 4 && (is_between || age > TURNED_AWAY) {
            system.gates[0].open();
            record.line("store: serves the first node");
            step = 5;
        }
        let id = sent.len();
        let request = Request {
            id: format!("9c41d07b{id:08x}"),
            node: system.platform.nodes[0].front,
            path: "/puxa403/2f",
            is_draft: false,
            key: PASSING_KEY,
            deadline: ms(1000),
        };
        sent.push(client::send(request, record));
        thread::sleep(ms(10));
    }
    let outcomes = wait(sent);
    let Some(revoked) = revoked else {
        return Verdict::NotRun;
    };
    let is_late = |one: &&Outcome| {
        let ran = system.servers.iter().any(|one_of| one_of.has_run(&one.id));
        one.sent > revoked + REVOKE && ran
    };
    let late = outcomes.iter().filter(is_late).count();
    record.line(&format!(
        "{late} of {} requests with the passing key are sent later than {REVOKE:?} after it was taken away, and run",
        outcomes.len()
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Times between which the store serves the machine again.
const EARLIEST_RETURN: Duration = Duration::from_millis(8200);
const TURNED_AWAY: Duration = Duration::from_secs(9);

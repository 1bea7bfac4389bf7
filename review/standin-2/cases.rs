//! The cases.

use crate::http::Request;
use crate::world::{ms, Arrival, Ask, Conduct, Deed, Kind, Record, Server, World};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How the rule was broken, if it was.
type Verdict = Result<Option<String>, String>;

/// Number of machines of a case.
const MACHINES: u8 = 3;

/// Key of the tenant that sends all requests but those of a case about keys.
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Key that is taken away in a case about keys.
const PASSING_KEY: &str = "anfqasnmgkcuyj8pjbvk";

/// Returns a configuration of some routes and services.
fn config(routes: &str, services: &str) -> String {
    config_with(3, routes, services, "")
}

/// Returns a version of a configuration, with more tenants.
fn config_with(version: u64, routes: &str, services: &str, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"]}}{tenants}]}}"
    )
}

/// Returns a route to a service; `kind` holds its kind and what goes with it.
fn route(name: &str, service: &str, kind: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/{name}/\",\
         \"service\":\"{service}\",\"public\":false,{kind}}}"
    )
}

/// Kind of a plain route that may run once, as those of the sheets.
const UNSAFE: &str = "\"kind\":\"unsafe\",\"timeoutMs\":1000,\"targetLatencyMs\":150,\
    \"priority\":2,\"maxAttempts\":1";
/// Kind of a plain route that may be repeated.
const SAFE: &str = "\"kind\":\"safe\",\"timeoutMs\":1000,\"targetLatencyMs\":150,\
    \"priority\":2,\"maxAttempts\":2";
/// Kind of a route with streams that may not be resumed.
const ONCE: &str = "\"kind\":\"streaming\",\"timeoutMs\":5000,\"targetLatencyMs\":1000,\
    \"priority\":1,\"maxAttempts\":3,\"sticky\":true,\"resumable\":false,\"gapAimMs\":1000";
/// Kind of a route with streams that may be resumed.
const RESUMABLE: &str = "\"kind\":\"streaming\",\"timeoutMs\":5000,\"targetLatencyMs\":1000,\
    \"priority\":1,\"maxAttempts\":3,\"sticky\":true,\"resumable\":true,\"gapAimMs\":1000";

fn plain_service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":96,\
         \"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}"
    )
}

fn engine_service(name: &str, cold_per_s: f64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":610,\
         \"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":{cold_per_s},\
         \"engine\":{{\"slots\":128,\"kvCapacityTokens\":1116687,\
         \"models\":[{{\"name\":\"daka510000\",\"cost\":0.014}},\
         {{\"name\":\"ravo486f6a\",\"cost\":0.21}}]}}}}"
    )
}

/// Returns a server of a plain service, in one of three zones by its number.
fn plain_server(number: usize, service: &'static str, conduct: Conduct) -> Kind {
    Kind {
        id: format!("i-{number:08x}"),
        service,
        zone: ["amman-a", "amman-b", "amman-c"][number % 3],
        version: "v1",
        slots: 6,
        work: ms(20),
        cold: Duration::ZERO,
        conduct,
    }
}

fn always(deed: Deed) -> Conduct {
    Arc::new(move |_: &Request| deed)
}

/// Headers of a request for a model, with a prompt of its own.
fn prompt(model: &str, number: u64) -> String {
    format!(
        "Model: {model}\r\nToken-Counts: 600,60\r\nPrompt-Prefix: {:x}:600\r\n",
        number + 1
    )
}

/// Waits for some seconds.
fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// DRAIN: servers leave; some of their entries of before that are executed late by the store.
pub fn late_entry(record: &Record, is_troubled: bool) -> Verdict {
    let routes = format!(
        "{},{}",
        route("send", "app", UNSAFE),
        route("look", "app", SAFE)
    );
    let mut world = World::open(record, &config(&routes, &plain_service("app")));
    let kind = |number| Kind {
        work: ms(120),
        ..plain_server(number, "app", always(Deed::Answer(200)))
    };
    let servers: Vec<Server> = (0..9)
        .map(|number| Server::start(kind(number), &world))
        .collect();
    world.start_instances(MACHINES)?;
    let ask = |turn: u64| Ask {
        method: if turn % 4 == 0 { "GET" } else { "POST" },
        path: format!("/{}/{turn}", if turn % 4 == 0 { "look" } else { "send" }),
        key: KEY,
        extra: String::new(),
        deadline_ms: 1000,
    };
    // 27 requests at a time, once a second.
    let load = world.clumps(27, ms(1000), ask);
    sleep_s(2.0);
    // A third of the heartbeats gets no answer; the store executes them 5.9 s later.
    let leaving = &servers[..3];
    let late: Vec<String> = leaving.iter().map(Server::entry).collect();
    record.say("entries of three servers get no answer from the store");
    sleep_s(3.2);
    let mut drained = Vec::new();
    for server in leaving {
        server.drain();
        drained.push(record.now());
        record.say(format!("{} drains, acknowledged", server.kind.id));
    }
    sleep_s(2.7);
    if is_troubled {
        for (server, entry) in leaving.iter().zip(&late) {
            server.write(entry);
        }
        record.say("the store has executed the entries of before");
    }
    sleep_s(0.13);
    // The servers exit some time after drainMs, as they may.
    for server in leaving {
        server.crash();
    }
    sleep_s(3.8);
    load.end();
    sleep_s(1.5);
    let late = world.arrivals().into_iter().filter(|arrival| {
        let index = leaving.iter().position(|one| one.kind.id == arrival.server);
        index.is_some_and(|index| arrival.at > drained[index] + 2.0)
    });
    let late: Vec<Arrival> = late.collect();
    let told = load.told();
    let is_lost = |late: &&Arrival| {
        let told = told.iter().find(|told| told.id == late.id);
        late.path.starts_with("/send/") && told.is_some_and(|told| told.answer.status != 200)
    };
    let lost = late.iter().filter(is_lost).count();
    record.say(format!(
        "{lost} notices that came late were cut by the exit of their server"
    ));
    Ok(describe(
        "reached a server over drainMs after it drained",
        &late,
    ))
}

fn describe(what: &str, arrivals: &[Arrival]) -> Option<String> {
    let first = arrivals.first()?;
    let count = arrivals.len();
    Some(format!(
        "{count} requests {what}; the first is {} at {:.3} at {}",
        first.id, first.at, first.server
    ))
}

/// FAILBACK: a server goes down and up by turns while it is cold.
pub fn cold_again(record: &Record, is_troubled: bool) -> Verdict {
    const COLD_PER_S: f64 = 11.0;
    const DOWN_S: f64 = 1.15;
    const UP_S: f64 = 1.4;
    // A cold server crashes when it gets so many requests in a second; it tolerates 11.
    const CRASHES_AT: usize = 26;
    let routes = route("note", "llm", ONCE);
    let mut world = World::open(record, &config(&routes, &engine_service("llm", COLD_PER_S)));
    let stream = Deed::Stream {
        events: 30,
        confidence: 90,
    };
    let kind = |number: usize| Kind {
        slots: 128,
        cold: Duration::from_secs(3),
        ..plain_server(number, "llm", always(stream))
    };
    let servers: Vec<Server> = (0..6)
        .map(|number| Server::start(kind(number), &world))
        .collect();
    world.start_instances(MACHINES)?;
    sleep_s(2.0);
    let ask = |turn: u64| Ask {
        method: "POST",
        path: format!("/note/{turn}"),
        key: KEY,
        extra: prompt("daka510000", turn),
        deadline_ms: 4000,
    };
    let load = world.load(ms(3), ask);
    sleep_s(2.0);
    let flapping = &servers[0];
    let begun = record.now();
    let turns = if is_troubled { 2 } else { 1 };
    for turn in 0..turns {
        if turn > 0 {
            sleep_s(UP_S);
        }
        flapping.crash();
        sleep_s(DOWN_S);
        flapping.restart();
    }
    let restarted = record.now();
    let end = restarted + 3.0;
    let ids_of = |from: f64| -> Vec<String> {
        let arrivals = world.arrivals().into_iter();
        let own = arrivals.filter(|one| one.server == flapping.kind.id && one.at >= from);
        own.map(|one| one.id).collect()
    };
    let mut cut = Vec::new();
    while record.now() < end {
        sleep_s(0.005);
        if ids_of(restarted.max(record.now() - 1.0)).len() >= CRASHES_AT {
            record.say("the cold server crashes under its requests");
            flapping.crash();
            cut = ids_of(restarted);
            break;
        }
    }
    let crashed = record.now();
    sleep_s(4.0);
    load.end();
    sleep_s(1.0);
    let told = load.told();
    let sent_at = |id: &String| {
        told.iter()
            .find(|told| &told.id == id)
            .map(|told| told.sent)
    };
    // When each request was sent by its client and when it arrived, ordered by the former.
    let mut seen: Vec<(f64, f64)> = world
        .arrivals()
        .iter()
        .filter(|arrival| arrival.server == flapping.kind.id)
        // It is cold from its first restart to 3 s after its last one, and down in between.
        .filter(|arrival| (begun + DOWN_S..end.min(crashed)).contains(&arrival.at))
        .filter_map(|arrival| Some((sent_at(&arrival.id)?, arrival.at)))
        .collect();
    seen.sort_by(|one, other| one.0.total_cmp(&other.0));
    let bound = COLD_PER_S * 1.5 + 5.0;
    let mut worst = (0, 0.0);
    for (index, (from, _)) in seen.iter().enumerate() {
        // Sent and arrived inside the second.
        let later = seen[index..].iter();
        let count = later.filter(|(_, at)| *at < from + 1.0).count();
        if count > worst.0 {
            worst = (count, *from);
        }
    }
    let (count, from) = worst;
    let is_lost = |id: &&String| {
        let told = told.iter().find(|told| &told.id == *id);
        told.is_some_and(|told| told.answer.status != 200 || !told.answer.whole)
    };
    let lost = cut.iter().filter(is_lost).count();
    record.say(format!("{lost} answers were cut by the crash under load"));
    record.say(format!(
        "at most {count} requests in a second while cold, allowed {bound}"
    ));
    Ok((count as f64 > bound)
        .then(|| format!("{count} requests in the second from {from:.3}, allowed {bound}")))
}

/// EXPOSURE: a bad version of a service is brought in, which breaks off half of its streams.
pub fn broken_release(record: &Record, is_troubled: bool) -> Verdict {
    const DURATION_S: f64 = 16.0;
    let routes = route("tag", "llm", RESUMABLE);
    let mut world = World::open(record, &config(&routes, &engine_service("llm", 22.0)));
    let stream = Deed::Stream {
        events: 3,
        confidence: 90,
    };
    let kind = |number: usize, version, cold, conduct| Kind {
        slots: 128,
        cold,
        version,
        ..plain_server(number, "llm", conduct)
    };
    for number in 0..4 {
        let old = kind(number, "v1", Duration::ZERO, always(stream));
        Server::start(old, &world);
    }
    world.start_instances(MACHINES)?;
    let ask = |turn: u64| Ask {
        method: "POST",
        path: format!("/tag/{turn}"),
        key: KEY,
        extra: prompt("daka510000", turn),
        deadline_ms: 5000,
    };
    let load = world.load(ms(14), ask);
    sleep_s(3.0);
    let count = AtomicU64::new(0);
    let conduct: Conduct = Arc::new(move |_: &Request| {
        let is_bad = is_troubled && count.fetch_add(1, Ordering::Relaxed) % 2 == 0;
        if is_bad {
            Deed::BreakOff
        } else {
            stream
        }
    });
    for number in 4..8 {
        let new = kind(number, "v2", Duration::from_secs(3), conduct.clone());
        Server::start(new, &world);
    }
    let order = format!("{{\"service\":\"llm\",\"target\":\"v2\",\"durationS\":{DURATION_S}}}");
    world.store.put("keyed.op", "rollout/llm", &order);
    let begun = record.now();
    record.say("the order is acknowledged");
    sleep_s(DURATION_S);
    let arrivals = world.arrivals();
    let status = world.store.newest_of("keyed.status", "rollout/llm");
    record.say(format!("at the deadline the status is {status:?}"));
    load.end();
    sleep_s(3.0);
    let of_order = |arrival: &&Arrival| arrival.at >= begun && arrival.at <= begun + DURATION_S;
    let all = arrivals.iter().filter(of_order).count();
    let is_new = |arrival: &&Arrival| arrival.server.as_str() >= "i-00000004";
    let new = arrivals.iter().filter(of_order).filter(is_new).count();
    let bound = 0.15 * all as f64 + 30.0;
    record.say(format!(
        "v2 got {new} requests of {all}, allowed {bound:.0} if it is bad"
    ));
    let told = load.told();
    let failed = told
        .iter()
        .filter(|told| told.answer.status != 200 || !told.answer.whole);
    record.say(format!(
        "{} of {} answers failed or broke off",
        failed.count(),
        told.len()
    ));
    Ok((is_troubled && new as f64 > bound)
        .then(|| format!("the bad version got {new} requests of {all}, allowed {bound:.0}")))
}

/// Answers with little confidence on a route with streams that may not be resumed.
pub fn doubt(record: &Record, is_troubled: bool) -> Verdict {
    let kind = "\"kind\":\"streaming\",\"timeoutMs\":5000,\"targetLatencyMs\":1000,\
        \"priority\":0,\"sizes\":[\"daka510000\",\"ravo486f6a\"],\"maxAttempts\":3,\
        \"sticky\":true,\"resumable\":false,\"gapAimMs\":1000";
    let routes = format!(
        "{},{}",
        route("draft", "llm", kind),
        route("tag", "llm", RESUMABLE)
    );
    let mut world = World::open(record, &config(&routes, &engine_service("llm", 22.0)));
    let conduct: Conduct = Arc::new(move |request: &Request| {
        // The smallest model has its doubts, the largest one has none.
        let is_small = request.header("model") == Some("daka510000");
        let is_doubtful = is_troubled && is_small && request.path().starts_with("/draft/");
        let confidence = if is_doubtful { 20 } else { 90 };
        Deed::Stream {
            events: 3,
            confidence,
        }
    });
    for number in 0..3 {
        let server = plain_server(number, "llm", conduct.clone());
        Server::start(
            Kind {
                slots: 128,
                ..server
            },
            &world,
        );
    }
    world.start_instances(MACHINES)?;
    let ask = |turn: u64| {
        let (route, model) = if turn % 2 == 0 {
            ("draft", "*")
        } else {
            ("tag", "daka510000")
        };
        Ask {
            method: "POST",
            path: format!("/{route}/{turn}"),
            key: KEY,
            extra: prompt(model, turn),
            deadline_ms: 5000,
        }
    };
    let load = world.load(ms(50), ask);
    sleep_s(10.0);
    load.end();
    sleep_s(2.0);
    let told = load.told();
    let of = |route: &str| {
        let arrivals = world.arrivals();
        let ids: Vec<String> = arrivals
            .iter()
            .filter(|arrival| arrival.path.starts_with(route))
            .map(|arrival| arrival.id.clone())
            .collect();
        let mine = told.iter().filter(|told| ids.contains(&told.id));
        let served = mine
            .clone()
            .filter(|told| told.answer.status == 200 && told.answer.whole);
        (served.count(), mine.count())
    };
    let ((drafts, all_drafts), (tags, all_tags)) = (of("/draft/"), of("/tag/"));
    record.say(format!(
        "served: {drafts} of {all_drafts} drafts, {tags} of {all_tags} tags"
    ));
    let share = |served: usize, all: usize| served as f64 / all.max(1) as f64;
    let all = share(drafts + tags, all_drafts + all_tags);
    Ok((share(drafts, all_drafts) < all / 4.0)
        .then(|| format!("{drafts} of {all_drafts} drafts are served, {all:.2} of all")))
}

/// REFUSED: a server fails some requests that it has run, with status 503.
pub fn false_promise(record: &Record, is_troubled: bool) -> Verdict {
    let routes = route("send", "app", UNSAFE);
    let mut world = World::open(record, &config(&routes, &plain_service("app")));
    let count = AtomicU64::new(0);
    let conduct: Conduct = Arc::new(move |_: &Request| {
        let is_bad = count.fetch_add(1, Ordering::Relaxed) % 3 == 0;
        Deed::Answer(if is_troubled && is_bad { 503 } else { 200 })
    });
    for number in 0..3 {
        Server::start(plain_server(number, "app", conduct.clone()), &world);
    }
    world.start_instances(MACHINES)?;
    let ask = |turn: u64| Ask {
        method: "POST",
        path: format!("/send/{turn}"),
        key: KEY,
        extra: String::new(),
        deadline_ms: 1000,
    };
    let load = world.load(ms(100), ask);
    sleep_s(6.0);
    load.end();
    sleep_s(2.0);
    let arrivals = world.arrivals();
    let promised = |status| matches!(status, 408 | 421 | 429 | 503);
    let told = load.told();
    let false_ones: Vec<&str> = told
        .iter()
        .filter(|told| promised(told.answer.status))
        .filter(|told| arrivals.iter().any(|arrival| arrival.id == told.id))
        .map(|told| told.id.as_str())
        .collect();
    let count = false_ones.len();
    Ok(false_ones.first().map(|first| {
        format!("{count} requests that may run once were refused as not run and have run; {first}")
    }))
}

/// CONFIG: the store comes back from a copy that lacks the configuration which took a key away, and an
/// instance starts before that is written again.
pub fn restored_key(record: &Record, is_troubled: bool) -> Verdict {
    const REVOKE_S: f64 = 5.0;
    let (routes, services) = (route("send", "app", UNSAFE), plain_service("app"));
    let passing = format!(",{{\"name\":\"zilo865\",\"apiKeys\":[\"{PASSING_KEY}\"]}}");
    let without = ",{\"name\":\"zilo865\",\"apiKeys\":[]}";
    let mut world = World::open(record, &config_with(3, &routes, &services, &passing));
    let servers: Vec<Server> = (0..3)
        .map(|number| {
            Server::start(
                plain_server(number, "app", always(Deed::Answer(200))),
                &world,
            )
        })
        .collect();
    world.start_instances(MACHINES)?;
    let ask = |turn: u64| Ask {
        method: "POST",
        path: format!("/send/{turn}"),
        key: PASSING_KEY,
        extra: String::new(),
        deadline_ms: 1000,
    };
    let load = world.load(ms(50), ask);
    sleep_s(2.0);
    let copy = world.store.copy();
    sleep_s(1.0);
    let revoked = config_with(5, &routes, &services, without);
    world.store.put("keyed.op", "config", &revoked);
    let acknowledged = record.now();
    record.say("the configuration without the key is acknowledged");
    sleep_s(2.5);
    if is_troubled {
        world.store.leave();
        record.say("the store is away");
    }
    sleep_s(1.5);
    if is_troubled {
        world.store.come_back(copy);
        record.say("the store is back from a copy that is 5 s old");
        for server in &servers {
            server.beat();
        }
    }
    sleep_s(0.2);
    world.restart_instance(0)?;
    sleep_s(2.0);
    if is_troubled {
        world.store.put("keyed.op", "config", &revoked);
        record.say("the operator has written the configuration again");
    }
    sleep_s(3.0);
    load.end();
    sleep_s(1.5);
    let arrivals = world.arrivals();
    let late = load
        .told()
        .into_iter()
        .filter(|told| told.sent > acknowledged + REVOKE_S);
    let late: Vec<Arrival> = late
        .filter_map(|told| {
            arrivals
                .iter()
                .find(|arrival| arrival.id == told.id)
                .cloned()
        })
        .collect();
    Ok(describe(
        "with a key that was taken away over revokeMs before ran",
        &late,
    ))
}

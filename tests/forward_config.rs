//! Changes of the configuration over real processes: each has to be in force at every instance
//! within the agreed time after the store has acknowledged it, and no instance may go back.
//!
//! The instances run beside each other on one clock and share one store. Some of them are frozen,
//! killed or lose their connections to the store; the others have to do without what these tell.
//! `FORWARD_CONFIG_SEEDS=1..51` plays more seeds than CI does.

#[path = "forward_config/fleet.rs"]
mod fleet;
#[path = "forward_config/probe.rs"]
mod probe;
#[path = "forward_soak/process.rs"]
mod process;
#[allow(dead_code, reason = "the soak uses all faults")]
#[path = "forward_soak/proxy.rs"]
mod proxy;
#[path = "../platform/tests/support/mod.rs"]
mod support;

use fleet::{APPLY_LIMIT, Fleet};
use googletest::prelude::*;
use proxy::LinkFault;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// Number of instances.
const INSTANCE_COUNT: usize = 9;
/// Seeds that run in CI.
const DEFAULT_SEEDS: [u64; 1] = [1];
/// Time for which the store closes the connections of an instance instead of answering.
const RESET_PERIOD: Duration = Duration::from_millis(60);
/// Time during which changes and faults come.
const PLAY_PERIOD: Duration = Duration::from_secs(15);

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("FORWARD_CONFIG_SEEDS") else {
        return DEFAULT_SEEDS.to_vec();
    };
    let (from, to) = text
        .split_once("..")
        .expect("FORWARD_CONFIG_SEEDS=FROM..TO");
    (from.parse().expect("a number")..to.parse().expect("a number")).collect()
}

#[test]
fn changes_are_in_force_in_time_beside_disturbed_instances() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for seed in seeds() {
        let findings = runtime.block_on(play(seed));
        assert_that!(findings, is_empty(), "seed {seed}");
    }
}

async fn play(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::start(seed, INSTANCE_COUNT).await;
    let probes = probe::spawn(&fleet.addresses());
    let end = Instant::now() + PLAY_PERIOD;
    while Instant::now() < end {
        match rng.random_range(0..7) {
            0 => fleet.freeze(rng.random_range(0..INSTANCE_COUNT)),
            1 => fleet.kill(rng.random_range(0..INSTANCE_COUNT)),
            2 => fleet.resume_all(),
            3 => {
                let link = &fleet.store_links[rng.random_range(0..INSTANCE_COUNT)];
                link.set(LinkFault::Reset);
                tokio::time::sleep(RESET_PERIOD).await;
                link.set(LinkFault::None);
            }
            _ => fleet.change(rng.random_range(0..80)),
        }
        fleet.restart_ended();
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..1500))).await;
    }
    fleet.resume_all();
    tokio::time::sleep(APPLY_LIMIT).await;
    let answers = probes.stop().await;
    let findings = fleet.audit(&answers);
    println!(
        "seed {seed}: {} answers, {} changes, {} findings",
        answers.len(),
        fleet.changes.len(),
        findings.len()
    );
    fleet.stop();
    findings
}

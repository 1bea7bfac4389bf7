//! Prints the parse time of configuration texts of increasing size.
//!
//! `cargo run --release -p config --example cost`

use std::fmt::Write;
use std::time::Instant;

const VERSIONS: usize = 25;
const ORGANISATIONS: usize = 100;
const RUNS: u32 = 20;

fn text(upstreams: usize) -> String {
    let mut text = String::new();
    for zone in 0..5 {
        let _ = write!(text, "[zone zone-{zone}]\nregion = region-{}\n", zone / 3);
    }
    let mut versions = Vec::new();
    for version in 0..VERSIONS {
        let name = format!("model-{}/{version}", version / 3);
        let _ = write!(
            text,
            "[version {name}]\nmodel = model-{}\nprice-in = 0.1cr\nprice-out = 0.3cr\n",
            version / 3
        );
        versions.push(name);
    }
    for (service, versions) in versions.chunks(3).enumerate() {
        let _ = write!(
            text,
            "[service service-{service}]\nkind = chat\nversions = {}\nquality = 90%\ndeadline = 30s\n",
            versions.join(", ")
        );
    }
    for upstream in 0..upstreams {
        let _ = write!(
            text,
            "[upstream upstream-{upstream:04}]\nzone = zone-{}\naddress = 10.0.{}.{}:8000\n\
             versions = {}, {}\nwarm = 32\ncold = 2\nfencing = checked\n",
            upstream % 5,
            upstream / 250,
            upstream % 250,
            versions[upstream % VERSIONS],
            versions[(upstream + 1) % VERSIONS],
        );
    }
    for organisation in 0..ORGANISATIONS {
        let _ = write!(
            text,
            "[organisation organisation-{organisation:03}]\nservices = service-{}\nversions = *\n\
             weight = 3\n",
            organisation % 8
        );
    }
    text
}

fn main() {
    println!("upstreams  bytes with escapes  parse, minimum of {RUNS}");
    for upstreams in [50, 100, 200, 400, 800] {
        let text = text(upstreams);
        let mut min = None;
        for _ in 0..RUNS {
            let started = Instant::now();
            let config = config::parse(&text);
            let elapsed = started.elapsed();
            assert!(config.is_ok(), "{:?}", config.err());
            min = Some(min.map_or(elapsed, |min: std::time::Duration| min.min(elapsed)));
        }
        let bytes = config::encoded_bytes(&text);
        println!("{upstreams:>9}  {bytes:>18}  {:?}", min.unwrap_or_default());
    }
}

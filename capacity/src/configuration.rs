//! Generates configuration texts of any size.

use std::fmt::Write;
use std::net::SocketAddr;

/// Availability zones, as many as in the target system.
pub const ZONES: [&str; 5] = ["zone-a", "zone-b", "zone-c", "zone-d", "zone-e"];
/// Number of chat services.
const SERVICE_COUNT: usize = 5;
/// Number of organisations.
const ORGANISATION_COUNT: usize = 10;
/// Organisation whose bearer key the load uses.
pub const ORGANISATION: &str = "wadi-clinics";
/// Entry of [`ORGANISATION`] in the key list: the name, salt and hash of its bearer key.
const KEY: &str = "demo:yHyxzpS2rENBMoRtNc56Fw:RlsC83d1kO+Z7FrgPz6spjn4ylHXIiSCWMJWVEM53uw";

/// Returns the name of a version.
pub fn version(index: usize) -> String {
    format!("model-{index}/1")
}

/// Returns the version that an upstream holds.
pub fn version_of(upstream: usize, versions: usize) -> String {
    version(upstream % versions)
}

/// Returns a configuration with an upstream at each address, each with one version. The value of
/// `change` selects a price, by which successive texts differ.
pub fn text(addresses: &[SocketAddr], versions: usize, change: u64) -> String {
    let mut text = String::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let _ = writeln!(text, "[zone {zone}]\nregion = region-{}\n", index / 3);
    }
    for service in 0..SERVICE_COUNT {
        let own: Vec<_> = (0..versions)
            .filter(|index| index % SERVICE_COUNT == service)
            .map(version)
            .collect();
        let _ = writeln!(
            text,
            "[service service-{service}]\nkind = chat\nversions = {}\nquality = 90%\n\
             cascade = yes\ndeadline = 60s\n",
            own.join(", ")
        );
    }
    for index in 0..versions {
        let price = 1 + change % 50;
        let _ = writeln!(
            text,
            "[version {}]\nmodel = model-{index}\nprice-in = 0.{price:02}cr\nprice-out = 0.8cr\n",
            version(index)
        );
    }
    for (index, address) in addresses.iter().enumerate() {
        let _ = writeln!(
            text,
            "[upstream upstream-{index}]\nzone = {}\naddress = {address}\nversions = {}\n\
             warm = 256\ncold = 4\nfencing = checked\n",
            ZONES[index % ZONES.len()],
            version_of(index, versions)
        );
    }
    organisations(&mut text, versions);
    text
}

fn organisations(text: &mut String, versions: usize) {
    let services: Vec<_> = (0..SERVICE_COUNT)
        .map(|index| format!("service-{index}"))
        .collect();
    let versions: Vec<_> = (0..versions).map(version).collect();
    for index in 0..ORGANISATION_COUNT {
        let name = match index {
            0 => ORGANISATION.to_owned(),
            _ => format!("organisation-{index}"),
        };
        let _ = writeln!(
            text,
            "[organisation {name}]\nservices = {}\nversions = {}\nweight = 1\nreserve = 0",
            services.join(", "),
            versions.join(", ")
        );
        if index == 0 {
            let _ = writeln!(text, "keys = {KEY}");
        }
        text.push('\n');
    }
}

//! Prints the key line of each given organisation, for the bearer key `demo-key-ORGANISATION`.
//!
//! `cargo run -p config --example key -- wadi-clinics vermeulen-gent`
//!
//! The salts are derived from the names, so that the lines in `examples/` are reproducible. Keys for
//! production come from `citrontrack key`, which draws a random salt.

use config::Key;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use sha2::{Digest, Sha256};

fn main() {
    for organisation in std::env::args().skip(1) {
        let seed: [u8; 32] = Sha256::digest(organisation.as_bytes()).into();
        let mut rng = ChaCha8Rng::from_seed(seed);
        let bearer = format!("demo-key-{organisation}");
        let key = Key::generate("demo", &bearer, &mut rng);
        println!("{organisation} {key}");
    }
}

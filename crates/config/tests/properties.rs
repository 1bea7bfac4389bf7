//! Properties of the parser and the printer over generated texts and configurations.

mod draw;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TEXTS: [&str; 3] = [
    include_str!("../../../examples/wadi.ini"),
    include_str!("../../../examples/vermeulen.ini"),
    include_str!("cases/base.ini"),
];

fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Checks that findings are sorted, refer to lines of the text and have a problem and a remedy.
fn check(text: &str) -> Result<(), TestCaseError> {
    let Err(found) = config::parse(text) else {
        return Ok(());
    };
    let lines = text.lines().count() + text.matches('\r').count() + 1;
    prop_assert!(found.0.is_sorted());
    prop_assert!(!found.0.is_empty());
    for finding in found.0 {
        prop_assert!(finding.place.line as usize <= lines);
        prop_assert!(!finding.problem.is_empty() && !finding.remedy.is_empty());
    }
    Ok(())
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..2000)) {
        check(&String::from_utf8_lossy(&bytes))?;
    }

    #[test]
    fn random_lines_never_panic(
        lines in prop::collection::vec(
            "\\[(zone|service|version|upstream|organisation|route|rollout) ?[a-c*/ ]{0,5}\\]\
             |(kind|state|versions|services|depends|from|to|share|warm|cold|zone|address) = \
             ?[a-c0-9%.,:* ]{0,8}|[ -~]{0,12}",
            0..60,
        ),
    ) {
        check(&lines.join("\n"))?;
    }

    #[test]
    fn damaged_texts_never_panic(
        text in prop::sample::select(&TEXTS[..]),
        edits in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..20),
    ) {
        let mut bytes = text.as_bytes().to_vec();
        for (index, byte) in edits {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        check(&String::from_utf8_lossy(&bytes))?;
    }

    #[test]
    fn a_missing_line_never_panics(
        text in prop::sample::select(&TEXTS[..]),
        index in any::<prop::sample::Index>(),
    ) {
        let mut lines: Vec<_> = text.lines().collect();
        lines.remove(index.index(lines.len()));
        check(&lines.join("\n"))?;
    }

    #[test]
    fn a_printed_configuration_parses_to_an_equal_one(seed in any::<u64>()) {
        let config = draw::config(seed);
        let text = config::print(&config);
        let parsed = config::parse(&text);
        prop_assert_eq!(parsed.map_err(|found| format!("{found}\n{text}")), Ok(config));
    }

    #[test]
    fn the_encoded_length_equals_that_of_json(text in "[ -~\n\r\t€]{0,200}") {
        let encoded = serde_json::to_string(&text).expect("a text");
        prop_assert_eq!(config::encoded_bytes(&text) + 2, encoded.len());
    }
}

#[test]
fn a_printed_example_parses_to_an_equal_configuration() {
    for text in TEXTS {
        let config = config::parse(text).expect("no finding");
        let printed = config::print(&config);
        assert_eq!(config::parse(&printed).expect("no finding"), config);
        assert_eq!(config::print(&config), printed);
    }
}

/// Guards against a stack overflow: a dependency chain of about the maximum length that a text can
/// hold is checked without recursion.
#[test]
fn long_chains_of_dependencies_are_checked() {
    let mut text = String::new();
    for index in 0..4000 {
        let needed = index + 1;
        text += &format!("[service s{index:04}]\nkind=plain\ndepends=s{needed:04}\ndeadline=1s\n");
    }
    text += "[service s4000]\nkind=plain\ndepends=s0000\ndeadline=1s\n";
    let found = config::parse(&text).expect_err("a cycle");
    assert_eq!(found.0.len(), 1);
}

/// Guards against quadratic run time: texts with very many keys or sections are checked in roughly
/// linear time.
#[test]
fn large_texts_with_many_findings_are_checked() {
    let mut keys = String::from("[zone z]\nregion = r\n");
    let mut sections = String::new();
    for index in (0..16_000).rev() {
        keys += &format!("k{index}=1\n");
        sections += &format!("[zone z{index}]\n");
    }
    assert_eq!(config::parse(&keys).expect_err("unknown").0.len(), 16_000);
    assert_eq!(
        config::parse(&sections).expect_err("missing").0.len(),
        16_000
    );
}

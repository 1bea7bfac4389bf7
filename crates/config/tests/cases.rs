//! Parses the texts in `cases/` and compares the findings with the expected ones.
//!
//! A case consists of `== NAME`, the text, a line `---`, and all expected findings in order, one a
//! line. A text that begins with a line `+` is appended to the valid base text, and its line numbers
//! count from the first line of the case.

use googletest::prelude::*;

const BASE: &str = include_str!("cases/base.ini");
const FILES: [(&str, &str); 3] = [
    ("syntax", include_str!("cases/syntax.txt")),
    ("keys", include_str!("cases/keys.txt")),
    ("across", include_str!("cases/across.txt")),
];

struct Case<'a> {
    name: &'a str,
    text: String,
    base_lines: u32,
    expected: Vec<&'a str>,
}

fn cases(file: &str) -> Vec<Case<'_>> {
    let mut cases = Vec::new();
    for part in file.split("\n== ").skip(1) {
        let (name, rest) = part.split_once('\n').expect("a name");
        let (text, expected) = rest.split_once("---\n").expect("findings");
        let (text, base_lines) = match text.strip_prefix("+\n") {
            Some(added) => (format!("{BASE}{added}"), BASE.lines().count() as u32),
            None => (text.to_owned(), 0),
        };
        cases.push(Case {
            name,
            text,
            base_lines,
            expected: expected.lines().filter(|line| !line.is_empty()).collect(),
        });
    }
    cases
}

fn actual_findings(case: &Case<'_>) -> Vec<String> {
    let Err(found) = config::parse(&case.text) else {
        return Vec::new();
    };
    let mut lines = Vec::new();
    for mut finding in found.0 {
        finding.place.line = finding.place.line.saturating_sub(case.base_lines);
        lines.push(finding.to_string());
    }
    lines
}

#[gtest]
fn every_case_yields_exactly_its_findings() {
    for (file, text) in FILES {
        let cases = cases(text);
        expect_that!(cases.len(), gt(0), "{file}");
        for case in cases {
            expect_that!(
                actual_findings(&case),
                eq(&case.expected),
                "{file}: {}",
                case.name
            );
        }
    }
}

#[gtest]
fn the_base_text_has_no_finding() {
    expect_that!(config::parse(BASE).map(|_| ()), ok(anything()));
}

#[gtest]
fn a_text_too_large_for_a_log_record_is_a_finding() {
    let text = format!("{BASE}; {}\n", "\"".repeat(config::MAX_ENCODED_BYTES / 2));
    let found = config::parse(&text).expect_err("findings");
    expect_that!(found.0.len(), eq(1));
    expect_that!(found.0[0].place.line, eq(0));
}

//! Splits an INI text into sections and keys, with their line numbers.

use entity::{Findings, Place};
use ini_core::{Item, Parser};

/// Sections of an INI text, in the order of the text.
#[derive(Clone, Debug, Default)]
pub struct Document<'a> {
    /// Sections with a well-formed header; a header can occur more than once.
    pub sections: Vec<Section<'a>>,
}

/// A section: its header and the keys below it.
#[derive(Clone, Debug)]
pub struct Section<'a> {
    /// Text between the brackets.
    pub header: &'a str,
    /// Line number of the header, counted from 1.
    pub line: u32,
    /// Entries in the order of the text, with unique keys.
    pub entries: Vec<Entry<'a>>,
}

/// A key with its value.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// Key, left of the equals sign.
    pub key: &'a str,
    /// Value, without surrounding white space.
    pub value: &'a str,
    /// Line number, counted from 1.
    pub line: u32,
}

impl<'a> Section<'a> {
    /// Returns the words of the header.
    pub fn words(&self) -> Vec<&'a str> {
        self.header.split_whitespace().collect()
    }

    /// Returns the entry with this key, if present.
    pub fn entry(&self, key: &str) -> Option<Entry<'a>> {
        self.entries.iter().find(|entry| entry.key == key).copied()
    }

    /// Returns the place of a key, or that of the header if the key is missing.
    pub fn place(&self, key: &str) -> Place {
        Place {
            line: self.entry(key).map_or(self.line, |entry| entry.line),
            section: self.header.into(),
            key: key.into(),
        }
    }

    /// Keeps the first entry of each key and reports the others. It sorts the keys to stay within
    /// O(n log n), as a text can have very many.
    fn remove_duplicates(&mut self, findings: &mut Findings) {
        let mut sorted = self.entries.clone();
        sorted.sort_by_key(|entry| (entry.key, entry.line));
        let mut duplicates = Vec::new();
        for pair in sorted.windows(2) {
            if pair[0].key == pair[1].key {
                duplicates.push(pair[1].line);
            }
        }
        if duplicates.is_empty() {
            return;
        }
        duplicates.sort_unstable();
        let (duplicates, entries): (Vec<_>, Vec<_>) = std::mem::take(&mut self.entries)
            .into_iter()
            .partition(|entry| duplicates.binary_search(&entry.line).is_ok());
        self.entries = entries;
        for entry in duplicates {
            let first = self.place(entry.key);
            let problem = format!("duplicate key, first set in line {}", first.line);
            let place = Place {
                line: entry.line,
                ..first
            };
            findings.add(place, problem, "keep one of the two");
        }
    }
}

/// Scope of the keys that follow a line.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// Before the first header.
    Outside,
    /// Below a well-formed header.
    Section,
    /// Below a malformed header; such keys can't be checked and are skipped.
    Malformed,
}

impl<'a> Document<'a> {
    /// Splits a text into sections and adds a finding for each line that is not valid INI.
    pub fn read(text: &'a str, findings: &mut Findings) -> Self {
        let mut document = Self::default();
        let mut scope = Scope::Outside;
        let mut line = 0;
        for item in Parser::new(text).auto_trim(true) {
            // Every item except the end of a section corresponds to exactly one line.
            if matches!(item, Item::SectionEnd) {
                continue;
            }
            line += 1;
            match item {
                Item::Section(header) => {
                    scope = Scope::Section;
                    document.sections.push(Section {
                        header,
                        line,
                        entries: Vec::new(),
                    });
                }
                Item::Error(text) => {
                    scope = Scope::Malformed;
                    let problem = format!("malformed section header {:?}", truncate(text));
                    findings.add(
                        line_place(line),
                        problem,
                        "write [KIND NAME] and nothing after it",
                    );
                }
                Item::Property(key, value) => {
                    document.property(scope, key, value, line, findings);
                }
                Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
            }
        }
        for section in &mut document.sections {
            section.remove_duplicates(findings);
        }
        document
    }

    fn property(
        &mut self,
        scope: Scope,
        key: &'a str,
        value: Option<&'a str>,
        line: u32,
        findings: &mut Findings,
    ) {
        if scope == Scope::Outside {
            let problem = format!("{:?} is before the first section", truncate(key));
            findings.add(line_place(line), problem, "write it below a section header");
            return;
        }
        let (Scope::Section, Some(section)) = (scope, self.sections.last_mut()) else {
            return;
        };
        let place = Place {
            line,
            section: section.header.into(),
            key: "".into(),
        };
        let Some(value) = value else {
            let problem = format!("{:?} has no value", truncate(key));
            findings.add(
                place,
                problem,
                "write KEY = VALUE, or begin a comment with ;",
            );
            return;
        };
        if key.is_empty() {
            findings.add(place, "a value without a key", "write KEY = VALUE");
            return;
        }
        section.entries.push(Entry { key, value, line });
    }
}

fn line_place(line: u32) -> Place {
    Place {
        line,
        ..Place::default()
    }
}

/// Maximum length of a quotation in a finding, in characters.
const MAX_QUOTED_CHARS: usize = 80;

/// Truncates a text to [`MAX_QUOTED_CHARS`], so that findings stay readable for any input.
pub(crate) fn truncate(text: &str) -> &str {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((end, _)) => &text[..end],
        None => text,
    }
}

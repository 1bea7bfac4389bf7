//! Sections and keys of an INI text, with their lines.

use entity::{Findings, Place};
use ini_core::{Item, Parser};

/// An INI text as its sections, in the order of the text.
#[derive(Clone, Debug, Default)]
pub struct Document<'a> {
    /// Sections whose header is well formed; a header can occur more than once.
    pub sections: Vec<Section<'a>>,
}

/// One section: its header and the keys below it.
#[derive(Clone, Debug)]
pub struct Section<'a> {
    /// The text between the brackets.
    pub header: &'a str,
    /// Line of the header, counted from 1.
    pub line: u32,
    /// Keys in the order of the text, each once.
    pub entries: Vec<Entry<'a>>,
}

/// One key with its value.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// The key.
    pub key: &'a str,
    /// The value, without the white space around it.
    pub value: &'a str,
    /// Its line, counted from 1.
    pub line: u32,
}

impl<'a> Section<'a> {
    /// The words of the header.
    pub fn words(&self) -> Vec<&'a str> {
        self.header.split_whitespace().collect()
    }

    /// The entry of a key, if it is there.
    pub fn entry(&self, key: &str) -> Option<Entry<'a>> {
        self.entries.iter().find(|entry| entry.key == key).copied()
    }

    /// The place of a key, or of the header where the key is missing.
    pub fn place(&self, key: &str) -> Place {
        Place {
            line: self.entry(key).map_or(self.line, |entry| entry.line),
            section: self.header.into(),
            key: key.into(),
        }
    }

    /// Keeps the first entry of each key. The keys are sorted, since a text can have very many.
    fn settle(&mut self, findings: &mut Findings) {
        let mut sorted = self.entries.clone();
        sorted.sort_by_key(|entry| (entry.key, entry.line));
        let mut doubles = Vec::new();
        for pair in sorted.windows(2) {
            if pair[0].key == pair[1].key {
                doubles.push(pair[1].line);
            }
        }
        if doubles.is_empty() {
            return;
        }
        doubles.sort_unstable();
        let (doubles, entries): (Vec<_>, Vec<_>) = std::mem::take(&mut self.entries)
            .into_iter()
            .partition(|entry| doubles.binary_search(&entry.line).is_ok());
        self.entries = entries;
        for entry in doubles {
            let first = self.place(entry.key);
            let problem = format!("the key is there already, in line {}", first.line);
            let place = Place {
                line: entry.line,
                ..first
            };
            findings.add(place, problem, "keep one of the two");
        }
    }
}

/// Where the keys that follow belong.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// Before the first header.
    Outside,
    /// Below a well-formed header.
    Section,
    /// Below a malformed header, whose keys can't be checked.
    Malformed,
}

impl<'a> Document<'a> {
    /// Splits a text and adds a finding for each line that is no part of an INI text.
    pub fn read(text: &'a str, findings: &mut Findings) -> Self {
        let mut document = Self::default();
        let mut scope = Scope::Outside;
        let mut line = 0;
        for item in Parser::new(text).auto_trim(true) {
            // Every item but the end of a section stands for exactly one line.
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
                    let problem = format!("malformed section header {:?}", shorten(text));
                    findings.add(at(line), problem, "write [KIND NAME] and nothing after it");
                }
                Item::Property(key, value) => {
                    document.property(scope, key, value, line, findings);
                }
                Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
            }
        }
        for section in &mut document.sections {
            section.settle(findings);
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
            let problem = format!("{:?} stands before the first section", shorten(key));
            findings.add(at(line), problem, "write it below a section header");
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
            let problem = format!("{:?} has no value", shorten(key));
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

fn at(line: u32) -> Place {
    Place {
        line,
        ..Place::default()
    }
}

/// Longest part of a text that a finding quotes, in characters.
const QUOTED_CHARS: usize = 80;

/// The beginning of a text, so that a finding stays readable whatever the text holds.
pub(crate) fn shorten(text: &str) -> &str {
    match text.char_indices().nth(QUOTED_CHARS) {
        Some((end, _)) => &text[..end],
        None => text,
    }
}

//! Typed access to the keys of a section, which collects findings instead of failing at the first.

use crate::document::{Section, truncate};
use entity::{Findings, Place};
use std::fmt::Display;
use std::str::FromStr;

/// Reads the keys of one section; [`Reader::finish`] reports the keys that were not read.
#[derive(Debug)]
pub struct Reader<'r, 'a> {
    section: &'r Section<'a>,
    known_keys: Vec<&'static str>,
    findings: &'r mut Findings,
    initial_findings: usize,
}

impl<'r, 'a> Reader<'r, 'a> {
    /// Creates a reader of a section that adds to `findings`.
    pub fn new(section: &'r Section<'a>, findings: &'r mut Findings) -> Self {
        Self {
            section,
            known_keys: Vec::new(),
            initial_findings: findings.0.len(),
            findings,
        }
    }

    /// Adds a finding about a key of the section.
    pub fn add(&mut self, key: &str, problem: impl Into<Box<str>>, remedy: impl Into<Box<str>>) {
        self.findings.add(self.section.place(key), problem, remedy);
    }

    /// Returns the text of a key, if present, and marks the key as known.
    pub fn text(&mut self, key: &'static str) -> Option<&'a str> {
        if !self.known_keys.contains(&key) {
            self.known_keys.push(key);
        }
        self.section.entry(key).map(|entry| entry.value)
    }

    /// Returns the value of an optional key. A value that can't be parsed is reported, and yields
    /// `None` as well.
    pub fn optional<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
        remedy: &str,
    ) -> Option<T> {
        let text = self.text(key)?;
        self.parse_value(key, text, remedy)
    }

    /// Returns the value of a required key, or reports why there is none.
    pub fn required<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
        remedy: &str,
    ) -> Option<T> {
        let text = self.required_text(key, remedy)?;
        self.parse_value(key, text, remedy)
    }

    /// Like [`required`](Self::required), for a secret value that findings must not quote.
    pub fn confidential<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
        remedy: &str,
    ) -> Option<T> {
        let text = self.required_text(key, remedy)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add(key, error.to_string(), remedy);
                None
            }
        }
    }

    /// Returns one of the choices, or the default if the key is missing; without a default the key is
    /// required.
    pub fn choice<T: Copy>(
        &mut self,
        key: &'static str,
        choices: &[(&str, T)],
        default: Option<T>,
    ) -> Option<T> {
        let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
        let remedy = format!("write {}", names.join(" or "));
        let text = match default {
            Some(default) => match self.text(key) {
                Some(text) => text,
                None => return Some(default),
            },
            None => self.required_text(key, &remedy)?,
        };
        let found = choices.iter().find(|(name, _)| *name == text);
        if found.is_none() {
            self.add(
                key,
                format!("{:?} is not a valid value", truncate(text)),
                remedy,
            );
        }
        found.map(|(_, value)| *value)
    }

    /// Returns the items of an optional comma-separated list and reports empty items.
    pub fn list(&mut self, key: &'static str) -> Vec<&'a str> {
        let text = self.text(key).unwrap_or_default();
        let mut items = Vec::new();
        if text.is_empty() {
            return items;
        }
        for item in text.split(',').map(str::trim) {
            if item.is_empty() {
                self.add(key, "empty list item", "remove the extra comma");
                continue;
            }
            items.push(item);
        }
        items
    }

    /// Resolves a list of names; the result is sorted and has no duplicates.
    pub fn references<T: Ord>(
        &mut self,
        key: &'static str,
        kind: &str,
        find: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        let mut found = Vec::new();
        for name in self.list(key) {
            let Some(id) = find(name) else {
                self.add_unresolved(key, kind, name);
                continue;
            };
            match found.binary_search(&id) {
                Ok(_) => {
                    let problem = format!("{kind} {name} is listed twice");
                    self.add(key, problem, "list it once");
                }
                Err(position) => found.insert(position, id),
            }
        }
        found
    }

    /// Resolves a single required name.
    pub fn reference<T>(
        &mut self,
        key: &'static str,
        kind: &str,
        find: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let name = self.required_text(key, &format!("give the name of a {kind}"))?;
        let found = find(name);
        if found.is_none() {
            self.add_unresolved(key, kind, name);
        }
        found
    }

    /// Reports unknown keys and returns whether the section has no findings.
    pub fn finish(mut self) -> bool {
        let known = self.known_keys.join(", ");
        for entry in &self.section.entries {
            if self.known_keys.contains(&entry.key) {
                continue;
            }
            let place = Place {
                line: entry.line,
                section: self.section.header.into(),
                key: truncate(entry.key).into(),
            };
            let remedy = format!("the keys of this section are {known}");
            self.findings.add(place, "unknown key", remedy);
        }
        self.known_keys.clear();
        self.findings.0.len() == self.initial_findings
    }

    fn required_text(&mut self, key: &'static str, remedy: &str) -> Option<&'a str> {
        let text = self.text(key);
        if text.is_none() {
            self.add(key, "the key is missing", remedy);
        }
        text
    }

    fn parse_value<T: FromStr<Err: Display>>(
        &mut self,
        key: &str,
        text: &str,
        remedy: &str,
    ) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let problem = format!("{:?}: {error}", truncate(text));
                self.add(key, problem, remedy);
                None
            }
        }
    }

    fn add_unresolved(&mut self, key: &str, kind: &str, name: &str) {
        let name = truncate(name);
        let problem = format!("there is no {kind} {name}");
        self.add(
            key,
            problem,
            format!("add [{kind} {name}] or correct the name"),
        );
    }
}

//! Typed reading of one section, which collects findings instead of stopping at the first.

use crate::document::{Section, shorten};
use entity::{Findings, Place};
use std::fmt::Display;
use std::str::FromStr;

/// Reads the keys of one section; [`Reader::finish`] reports the keys that nobody asked for.
#[derive(Debug)]
pub struct Reader<'r, 'a> {
    section: &'r Section<'a>,
    known: Vec<&'static str>,
    findings: &'r mut Findings,
    before: usize,
}

impl<'r, 'a> Reader<'r, 'a> {
    /// A reader of a section that adds to the findings.
    pub fn new(section: &'r Section<'a>, findings: &'r mut Findings) -> Self {
        Self {
            section,
            known: Vec::new(),
            before: findings.0.len(),
            findings,
        }
    }

    /// Adds a finding about a key of the section.
    pub fn add(&mut self, key: &str, problem: impl Into<Box<str>>, remedy: impl Into<Box<str>>) {
        self.findings.add(self.section.place(key), problem, remedy);
    }

    /// The text of a key, if it is there.
    pub fn text(&mut self, key: &'static str) -> Option<&'a str> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        self.section.entry(key).map(|entry| entry.value)
    }

    /// The value of a key that may be missing; nothing as well where it can't be read, which is a
    /// finding.
    pub fn optional<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
        remedy: &str,
    ) -> Option<T> {
        let text = self.text(key)?;
        self.value(key, text, remedy)
    }

    /// The value of a key that has to be there.
    pub fn required<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
        remedy: &str,
    ) -> Option<T> {
        let text = self.present(key, remedy)?;
        self.value(key, text, remedy)
    }

    /// Like [`required`](Self::required) for a value that a finding must not quote.
    pub fn confidential<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
        remedy: &str,
    ) -> Option<T> {
        let text = self.present(key, remedy)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add(key, error.to_string(), remedy);
                None
            }
        }
    }

    /// One of the choices, or the default where the key is missing; no default makes it required.
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
            None => self.present(key, &remedy)?,
        };
        let found = choices.iter().find(|(name, _)| *name == text);
        if found.is_none() {
            self.add(key, format!("{:?} is no choice", shorten(text)), remedy);
        }
        found.map(|(_, value)| *value)
    }

    /// The items of a comma-separated list, which may be missing; empty items are findings.
    pub fn list(&mut self, key: &'static str) -> Vec<&'a str> {
        let text = self.text(key).unwrap_or_default();
        let mut items = Vec::new();
        if text.is_empty() {
            return items;
        }
        for item in text.split(',').map(str::trim) {
            if item.is_empty() {
                self.add(
                    key,
                    "an item of the list is empty",
                    "remove the extra comma",
                );
                continue;
            }
            items.push(item);
        }
        items
    }

    /// Resolves a list of names by a look-up; sorted, and each once.
    pub fn references<T: Ord>(
        &mut self,
        key: &'static str,
        kind: &str,
        find: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        let mut found = Vec::new();
        for name in self.list(key) {
            let Some(id) = find(name) else {
                self.dangling(key, kind, name);
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

    /// Resolves one name by a look-up.
    pub fn reference<T>(
        &mut self,
        key: &'static str,
        kind: &str,
        find: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let name = self.present(key, &format!("give the name of a {kind}"))?;
        let found = find(name);
        if found.is_none() {
            self.dangling(key, kind, name);
        }
        found
    }

    /// Reports unknown keys; whether the section had no finding at all.
    pub fn finish(mut self) -> bool {
        let known = self.known.join(", ");
        for entry in &self.section.entries {
            if self.known.contains(&entry.key) {
                continue;
            }
            let place = Place {
                line: entry.line,
                section: self.section.header.into(),
                key: shorten(entry.key).into(),
            };
            let remedy = format!("the keys of this section are {known}");
            self.findings.add(place, "unknown key", remedy);
        }
        self.known.clear();
        self.findings.0.len() == self.before
    }

    fn present(&mut self, key: &'static str, remedy: &str) -> Option<&'a str> {
        let text = self.text(key);
        if text.is_none() {
            self.add(key, "the key is missing", remedy);
        }
        text
    }

    fn value<T: FromStr<Err: Display>>(
        &mut self,
        key: &str,
        text: &str,
        remedy: &str,
    ) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let problem = format!("{:?}: {error}", shorten(text));
                self.add(key, problem, remedy);
                None
            }
        }
    }

    fn dangling(&mut self, key: &str, kind: &str, name: &str) {
        let name = shorten(name);
        let problem = format!("there is no {kind} {name}");
        self.add(
            key,
            problem,
            format!("add [{kind} {name}] or correct the name"),
        );
    }
}

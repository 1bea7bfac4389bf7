//! Compares two configurations entity by entity.
//!
//! Both configurations are printed in canonical form and compared section by section, so that
//! order, comments and keys left at their defaults make no difference.

use config::{Config, Document, Section};
use entity::Findings;
use serde::Serialize;
use std::fmt;

/// Differences between two configurations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Sections that differ, sorted by header.
    pub changes: Vec<Change>,
}

/// A section that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Header of the section without its brackets, such as `zone amman-a`.
    pub section: Box<str>,
    /// How the section changed.
    #[serde(flatten)]
    pub kind: Kind,
}

/// How a section changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Kind {
    /// The section exists only in the later configuration.
    Added,
    /// The section exists only in the earlier configuration.
    Removed,
    /// Both configurations have the section, with different values.
    Changed {
        /// Keys whose values differ.
        keys: Vec<Key>,
    },
}

/// A key whose value differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Key {
    /// Name of the key.
    pub key: Box<str>,
    /// Earlier value, if the key was set.
    pub before: Option<Box<str>>,
    /// Later value, if the key is set.
    pub after: Option<Box<str>>,
}

/// Returns the differences between two configurations.
pub fn diff(before: &Config, after: &Config) -> Report {
    let (before, after) = (config::print(before), config::print(after));
    let (before, after) = (sections(&before), sections(&after));
    let mut changes = Vec::new();
    for section in &before {
        match find(&after, section.header) {
            None => changes.push(change(section, Kind::Removed)),
            Some(other) => {
                let keys = keys(section, other);
                if !keys.is_empty() {
                    changes.push(change(section, Kind::Changed { keys }));
                }
            }
        }
    }
    for section in &after {
        if find(&before, section.header).is_none() {
            changes.push(change(section, Kind::Added));
        }
    }
    changes.sort_by(|a, b| a.section.cmp(&b.section));
    Report { changes }
}

/// Returns the sections of a printed configuration, sorted by header.
fn sections(text: &str) -> Vec<Section<'_>> {
    let mut findings = Findings::default();
    let mut sections = Document::read(text, &mut findings).sections;
    assert!(
        findings.is_empty(),
        "a printed configuration is well formed"
    );
    sections.sort_by_key(|section| section.header);
    sections
}

fn find<'d, 'a>(sections: &'d [Section<'a>], header: &str) -> Option<&'d Section<'a>> {
    let found = sections.binary_search_by_key(&header, |section| section.header);
    found.ok().map(|index| &sections[index])
}

fn change(section: &Section<'_>, kind: Kind) -> Change {
    Change {
        section: section.header.into(),
        kind,
    }
}

fn keys(before: &Section<'_>, after: &Section<'_>) -> Vec<Key> {
    let mut names: Vec<_> = before.entries.iter().map(|entry| entry.key).collect();
    for entry in &after.entries {
        if !names.contains(&entry.key) {
            names.push(entry.key);
        }
    }
    let mut keys = Vec::new();
    for name in names {
        let value = |section: &Section<'_>| section.entry(name).map(|entry| entry.value.into());
        let (before, after) = (value(before), value(after));
        if before == after {
            continue;
        }
        keys.push(Key {
            key: name.into(),
            before,
            after,
        });
    }
    keys
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return f.write_str("no difference");
        }
        for (index, change) in self.changes.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            change.fmt(f)?;
        }
        Ok(())
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let section = &self.section;
        match &self.kind {
            Kind::Added => write!(f, "+ [{section}]"),
            Kind::Removed => write!(f, "- [{section}]"),
            Kind::Changed { keys } => {
                write!(f, "~ [{section}]")?;
                for key in keys {
                    write!(f, "\n    {key}")?;
                }
                Ok(())
            }
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let before = self.before.as_deref().unwrap_or("(none)");
        let after = self.after.as_deref().unwrap_or("(none)");
        write!(f, "{}: {before} -> {after}", self.key)
    }
}

//! Findings with their place, collected and reported together.

use serde::Serialize;
use std::fmt;

/// Where in a text a finding is.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Place {
    /// Line, counted from 1; 0 for the text as a whole.
    pub line: u32,
    /// Section header without its brackets, empty outside of any section.
    pub section: Box<str>,
    /// Key, empty where the finding is about a whole section.
    pub key: Box<str>,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}", self.line)?;
        if !self.section.is_empty() {
            write!(f, ", [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, ", {}", self.key)?;
        }
        Ok(())
    }
}

/// One thing that is wrong, with what would be right.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// Where it is.
    pub place: Place,
    /// What is wrong.
    pub problem: Box<str>,
    /// What would be right.
    pub remedy: Box<str>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.problem, self.remedy)
    }
}

/// All findings of one check, in the order of their places.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn add(&mut self, place: Place, problem: impl Into<Box<str>>, remedy: impl Into<Box<str>>) {
        self.0.push(Finding {
            place,
            problem: problem.into(),
            remedy: remedy.into(),
        });
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The value if nothing was found, else the findings sorted by place.
    ///
    /// # Errors
    ///
    /// The findings, if there are any.
    pub fn or<T>(mut self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            return Ok(value);
        }
        self.0.sort();
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

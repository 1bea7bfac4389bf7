//! Findings with their place in a text, collected and reported together.

use serde::Serialize;
use std::fmt;

/// Place of a finding in a text.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Place {
    /// Line number, counted from 1; 0 for the text as a whole.
    pub line: u32,
    /// Section header without its brackets; empty outside of any section.
    pub section: Box<str>,
    /// Key; empty if the finding concerns a whole section.
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

/// A problem in a text, with its remedy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// Place of the problem.
    pub place: Place,
    /// Description of the problem.
    pub problem: Box<str>,
    /// Description of a valid text.
    pub remedy: Box<str>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.problem, self.remedy)
    }
}

/// All findings of a check; [`Findings::into_result`] sorts them by place.
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

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings, sorted by place, if there are any.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
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

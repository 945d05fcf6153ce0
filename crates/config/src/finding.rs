//! Findings of validation, with their position and remedy.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The file is rejected.
    Error,
    /// The file is accepted, but its author should look at it.
    Warning,
}

/// One problem that validation found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Severity of the problem.
    pub severity: Severity,
    /// Name of the file, as passed to the check.
    pub file: String,
    /// Line in the file, counted from 1.
    pub line: usize,
    /// The field, such as `service.slots`.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// What the author should do about it.
    pub remedy: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(
            f,
            "{}:{}: {severity}: {}: {}; {}",
            self.file, self.line, self.field, self.problem, self.remedy
        )
    }
}

/// Returns whether any finding is an error.
pub fn has_errors(findings: &[Finding]) -> bool {
    findings.iter().any(|f| f.severity == Severity::Error)
}

//! What is wrong with a settings file.

use std::fmt;
use std::io;
use std::path::PathBuf;

use displaydoc::Display;

/// One thing that is wrong, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsProblem {
    /// The line, from 1.
    pub line: usize,
    /// The key, with the sections it stands in.
    pub key: String,
    /// What stands there; empty when nothing does.
    pub value: String,
    /// What would be right.
    pub message: String,
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: key '{}'", self.line, self.key)?;
        if !self.value.is_empty() {
            write!(f, ", value {}", self.value)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// Why settings were refused.
#[derive(Debug, Display, thiserror::Error)]
pub enum SettingsError {
    /// cannot read settings file {path}: {cause}
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: io::Error,
    },
    /// {file}: line {line}, column {column}: not JSON with comments: {message}
    Syntax {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// What the parser says.
        message: String,
    },
    /// {file}: {problems}
    Problems {
        /// The file.
        file: String,
        /// All that is wrong.
        problems: SettingsProblems,
    },
}

/// All that is wrong with a file, in the order of its lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsProblems(pub Vec<SettingsProblem>);

impl fmt::Display for SettingsProblems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n  "))
    }
}

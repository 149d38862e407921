//! Errors in a settings file.

use std::fmt;
use std::io;
use std::path::PathBuf;

use displaydoc::Display;

/// One invalid, missing or unknown value, with its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsProblem {
    /// Line number, from 1.
    pub line: usize,
    /// Path of the key, with the sections around it.
    pub key: String,
    /// Text of the value; empty if the key has none.
    pub value: String,
    /// What is expected.
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

/// Why a settings file was rejected.
#[derive(Debug, Display, thiserror::Error)]
pub enum SettingsError {
    /// cannot read settings file {path}: {cause}
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        cause: io::Error,
    },
    /// {file}: line {line}, column {column}: not JSON with comments: {message}
    Syntax {
        /// The file.
        file: String,
        /// Line number, from 1.
        line: usize,
        /// Column number, from 1.
        column: usize,
        /// The parser's message.
        message: String,
    },
    /// {file}: {problems}
    Problems {
        /// The file.
        file: String,
        /// All problems of the file.
        problems: SettingsProblems,
    },
}

/// All problems of a file, in the order of their lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsProblems(pub Vec<SettingsProblem>);

impl fmt::Display for SettingsProblems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n  "))
    }
}

//! The log: JSON lines on standard error.

use std::fmt;
use std::str::FromStr;

use logforth::append;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::starter_log;

/// How much of our own doings is logged. Libraries log from WARN on, whatever this is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Only errors.
    Error,
    /// Warnings too.
    Warn,
    /// What an operator wants to know.
    Info,
    /// What a developer wants to know.
    Debug,
}

impl fmt::Display for LogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
        })
    }
}

impl FromStr for LogLevel {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            other => Err(format!("'{other}' is not one of error, warn, info, debug")),
        }
    }
}

/// Starts logging for the whole process. A second call changes nothing.
pub fn start_logging(level: LogLevel) {
    // Our crates all begin with the project's name; everything else is a library.
    // Rocket says at WARN what it does at each start, and at each answer that is no success.
    let spec = format!("warn,rocket=error,stallhoist={level}");
    let filter = RustLogFilterBuilder::from_spec(spec).build();
    let _ = starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(filter)
                .append(append::Stderr::default().with_layout(JsonLayout::default()))
        })
        .try_apply();
}

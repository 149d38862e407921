//! The log: JSON lines on standard output, written by a thread of their own.
//!
//! Nothing that serves requests waits for the log: lines go through a bounded queue, and
//! when whoever reads standard output does not keep up, new lines are dropped.

use std::fmt;
use std::str::FromStr;
use std::sync::mpsc;
use std::time::Duration;

use logforth::append;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::starter_log;

/// Lines that may wait to be written.
const MAX_QUEUED_LINES: usize = 4_096;

/// How long an ending process waits for its last lines to be written.
const FLUSH_PATIENCE: Duration = Duration::from_millis(200);

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

/// Where the log goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output, as operators collect it.
    Stdout,
    /// Standard error, for commands that print something else on standard output.
    Stderr,
}

/// Starts logging for the whole process. A second call changes nothing.
pub fn start_logging(level: LogLevel, output: LogOutput) {
    // Our crates all begin with the project's name; everything else is a library.
    // Rocket says at WARN what it does at each start, and at each answer that is no success.
    let spec = format!("warn,rocket=error,stallhoist={level}");
    let filter = RustLogFilterBuilder::from_spec(spec).build();
    let queue = append::asynchronous::AsyncBuilder::new("log")
        .buffered_lines_limit(Some(MAX_QUEUED_LINES))
        .overflow_drop_incoming();
    let layout = JsonLayout::default();
    let queued = match output {
        LogOutput::Stdout => queue.append(append::Stdout::default().with_layout(layout)),
        LogOutput::Stderr => queue.append(append::Stderr::default().with_layout(layout)),
    };
    let queued = queued.build();
    let _ = starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(queued))
        .try_apply();
}

/// Waits until the lines so far are written, for a short time at most: a reader that does
/// not keep up must not keep a process from ending.
pub fn flush_logging() {
    let (tell, told) = mpsc::channel();
    std::thread::spawn(move || {
        log::logger().flush();
        // Nobody waits any more when the flush took too long.
        let _ = tell.send(());
    });
    let _ = told.recv_timeout(FLUSH_PATIENCE);
}

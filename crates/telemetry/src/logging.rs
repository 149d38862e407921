//! The log: JSON lines, written by a separate thread.
//!
//! No request waits for the log: lines go through a bounded queue, and new lines are dropped while the reader of the
//! output doesn't keep up.

use std::fmt;
use std::str::FromStr;
use std::sync::mpsc;
use std::time::Duration;

use logforth::append;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::starter_log;

/// Maximum number of lines queued for writing; beyond it new lines are dropped.
const MAX_QUEUED_LINES: usize = 4_096;

/// Time that an exiting process waits until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Log level of this project's crates. Libraries log at WARN and above, whatever this level is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Only errors.
    Error,
    /// Errors and warnings.
    Warn,
    /// Events for operators too.
    Info,
    /// Details for developers too.
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

/// Destination of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output, from which operators collect the log.
    Stdout,
    /// Standard error, for commands that print their result on standard output.
    Stderr,
}

/// Starts logging for the whole process. Further calls have no effect.
pub fn start_logging(level: LogLevel, output: LogOutput) {
    // The names of the project's crates begin with its name; all others are libraries. Rocket is limited to ERROR, as
    // it logs its configuration at each start and each unsuccessful response at WARN.
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

/// Waits until all queued lines are written, but only for a short time: a reader that doesn't keep up must not
/// prevent the process from exiting.
pub fn flush_logging() {
    let (done_sender, done) = mpsc::channel();
    std::thread::spawn(move || {
        log::logger().flush();
        // The receiver is gone if the flush took longer than the timeout.
        let _ = done_sender.send(());
    });
    let _ = done.recv_timeout(FLUSH_TIMEOUT);
}

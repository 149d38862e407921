//! `stallhoist explain`: prints the log lines that concern one request.

use std::collections::VecDeque;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;

use clap::ArgMatches;
use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use super::print_stdout;
use crate::error::CliError;

/// Lines without a request that are printed from before the request's first line. They show the state that
/// the process had cached by then.
const MAX_PRECEDING_LINES: usize = 5;

/// Key of the structured field that holds the request's ID.
const REQUEST_KEY: &str = "request";

/// One line of a process's log, in JSON.
#[derive(Debug, Deserialize)]
struct LogLine {
    timestamp: String,
    level: String,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
}

impl LogLine {
    /// Parses a line and skips any prefix before the JSON, such as log collectors add.
    fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(&text[text.find('{')?..]).ok()
    }

    fn request(&self) -> Option<&str> {
        self.kvs.get(REQUEST_KEY)?.as_str()
    }

    fn format_line(&self) -> String {
        let value = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        let fields = self.kvs.iter().filter(|(key, _)| *key != REQUEST_KEY);
        let fields: Vec<_> = fields.map(|(key, v)| format!("{key}={}", value(v))).collect();
        format!("{} {} {} {}\n", self.timestamp, self.level, self.message, fields.join(" "))
    }
}

/// Prints the lines of a request, and lines on the process's state from shortly before and during it.
pub(super) fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let id = matches.get_one::<String>("id").map_or("", String::as_str);
    let lines: Box<dyn BufRead> = match matches.get_one::<PathBuf>("file") {
        Some(path) => {
            let unreadable = |cause| CliError::File { file: path.display().to_string(), cause };
            Box::new(BufReader::new(File::open(path).map_err(unreadable)?))
        }
        None => Box::new(io::stdin().lock()),
    };
    let found = explain(id, lines.lines().map_while(Result::ok));
    if found.is_empty() {
        return Err(CliError::NotInLog(id.to_owned()));
    }
    for line in found {
        print_stdout(format_args!("{line}"));
    }
    Ok(())
}

/// Selects and formats the lines that concern a request.
fn explain(id: &str, lines: impl Iterator<Item = String>) -> Vec<String> {
    let mut before = VecDeque::new();
    let mut found: Vec<String> = Vec::new();
    // State lines since the request's last line, printed only if another line of the request follows.
    let mut lines_since_last = Vec::new();
    for line in lines.filter_map(|line| LogLine::parse(&line)) {
        match line.request() {
            Some(request) if request == id => {
                found.extend(before.drain(..));
                found.append(&mut lines_since_last);
                found.push(line.format_line());
            }
            Some(_) => {}
            None if found.is_empty() => {
                before.push_back(line.format_line());
                if before.len() > MAX_PRECEDING_LINES {
                    before.pop_front();
                }
            }
            None => lines_since_last.push(line.format_line()),
        }
    }
    found
}

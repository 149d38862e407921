//! `stallhoist explain`: what the log says of one request.

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

use super::say;
use crate::error::CliError;

/// Lines on what the process believed that are shown from before the request.
const LINES_BEFORE: usize = 5;

/// The key under which a line names its request.
const REQUEST_KEY: &str = "request";

/// A line of a process's log.
#[derive(Debug, Deserialize)]
struct LogLine {
    timestamp: String,
    level: String,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; what stands before the JSON, as collectors put it there, is passed over.
    fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(&text[text.find('{')?..]).ok()
    }

    fn request(&self) -> Option<&str> {
        self.kvs.get(REQUEST_KEY)?.as_str()
    }

    fn shown(&self) -> String {
        let value = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        let fields = self.kvs.iter().filter(|(key, _)| *key != REQUEST_KEY);
        let fields: Vec<_> = fields.map(|(key, v)| format!("{key}={}", value(v))).collect();
        format!("{} {} {} {}\n", self.timestamp, self.level, self.message, fields.join(" "))
    }
}

/// Shows the lines of a request, and what the process believed before and meanwhile.
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
        say(format_args!("{line}"));
    }
    Ok(())
}

/// The lines that concern a request, as they are shown.
fn explain(id: &str, lines: impl Iterator<Item = String>) -> Vec<String> {
    let mut before = VecDeque::new();
    let mut found: Vec<String> = Vec::new();
    // Lines of state since the request's last line: shown only if another one follows.
    let mut since = Vec::new();
    for line in lines.filter_map(|line| LogLine::parse(&line)) {
        match line.request() {
            Some(request) if request == id => {
                found.extend(before.drain(..));
                found.append(&mut since);
                found.push(line.shown());
            }
            Some(_) => {}
            None if found.is_empty() => {
                before.push_back(line.shown());
                if before.len() > LINES_BEFORE {
                    before.pop_front();
                }
            }
            None => since.push(line.shown()),
        }
    }
    found
}

//! The stand-ins of the second review's scripts: `standins CASE FOLDER`.
//!
//! A case starts the project's program as separate processes over stand-ins for the store, the workers and the
//! consumers, and writes what happened to `record.txt` in its folder. It exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod consumer;
mod gateway;
mod http;
mod json;
mod lost_news;
mod preempted;
mod record;
mod store;
mod two_runs;
mod worker;
mod world;

use std::io;
use std::panic;
use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Whether the rule was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It was.
    Broken,
    /// It held.
    Held,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = panic::catch_unwind(|| run(case, Path::new(folder), has_trouble));
    match verdict {
        Ok(Ok(Verdict::Broken)) => ExitCode::from(1),
        Ok(Ok(Verdict::Held)) => ExitCode::SUCCESS,
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
        Err(_) => ExitCode::from(2),
    }
}

fn run(case: &str, folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(&folder.join("record.txt"))?;
    record.line(format!("{case}, {} the disruption", if has_trouble { "with" } else { "without" }));
    let verdict = match case {
        "preempted" => preempted::run(&record, has_trouble),
        "two-runs" => two_runs::run(&record, has_trouble),
        "lost-news" => lost_news::run(&record, has_trouble),
        _ => Err(io::Error::other(format!("there is no case {case}"))),
    }?;
    record.line(format!("the rule: {verdict:?}"));
    Ok(verdict)
}

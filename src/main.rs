//! Command-line tool for operators.
//!
//! Calls the operators' endpoints of entries and sidecars, validates settings files, and runs the whole
//! request path in one process on loopback, against stand-ins. Read `cli` for the commands and their
//! arguments, then `commands` and `local` for what they do.

mod cli;
mod commands;
mod error;
mod local;
mod operator_client;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match commands::run(&matches).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("stallhoist: {error}");
            ExitCode::FAILURE
        }
    }
}

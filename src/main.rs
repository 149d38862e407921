//! The operators' command line of stallhoist.
//!
//! It talks to entries and sidecars over their operators' endpoints, checks settings
//! files, and can run the whole path in one process on loopback, over stand-ins.

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

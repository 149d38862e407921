//! The entry's daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use stallhoist_entry::Entry;
use stallhoist_settings::EntrySettings;
use stallhoist_telemetry::LogLevel;
use stallhoist_telemetry::start_logging;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

fn command() -> Command {
    Command::new("stallhoist-entry")
        .about("The process on an entry host: serves callers and operators")
        .version(clap::crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .env("STALLHOIST_SETTINGS")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings, in JSON with comments"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .env("STALLHOIST_LOG")
                .default_value("info")
                .value_parser(value_parser!(LogLevel))
                .help("error, warn, info or debug"),
        )
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let level = matches.get_one::<LogLevel>("log-level").copied().unwrap_or(LogLevel::Info);
    start_logging(level);
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let settings: EntrySettings = match stallhoist_settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return ExitCode::FAILURE;
    };
    let entry = match Entry::start(settings).await {
        Ok(entry) => entry,
        Err(error) => return fail(&error),
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    entry.leave().wait_for_balancer().await.finish().await;
    ExitCode::SUCCESS
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("stallhoist-entry: {error}");
    ExitCode::FAILURE
}

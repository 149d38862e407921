//! The sidecar's daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use stallhoist_settings::SidecarSettings;
use stallhoist_sidecar::Sidecar;
use stallhoist_telemetry::LogLevel;
use stallhoist_telemetry::start_logging;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

fn command() -> Command {
    Command::new("stallhoist-sidecar")
        .about("The process beside an upstream: the only way to it")
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
    let settings: SidecarSettings = match stallhoist_settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return ExitCode::FAILURE;
    };
    let sidecar = match Sidecar::start(settings).await {
        Ok(sidecar) => sidecar,
        Err(error) => return fail(&error),
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    sidecar.leave().finish().await;
    ExitCode::SUCCESS
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("stallhoist-sidecar: {error}");
    ExitCode::FAILURE
}

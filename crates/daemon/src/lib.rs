//! Code that the daemons' binaries share: arguments, logging, settings and signals.
//!
//! Each binary contains only its name, its startup and its shutdown.

use std::error::Error;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde::de::DeserializeOwned;
use stallhoist_settings::SettingsError;
use stallhoist_settings::Validate;
use stallhoist_telemetry::LogLevel;
use stallhoist_telemetry::LogOutput;
use stallhoist_telemetry::flush_logging;
use stallhoist_telemetry::start_logging;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Command-line arguments of a daemon.
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
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

/// Starts logging and loads the settings file that the arguments name.
///
/// # Errors
/// Fails if the file can't be read or parsed, or with all its problems.
pub fn initialize<T: DeserializeOwned + Validate>(
    matches: &ArgMatches,
) -> Result<T, SettingsError> {
    let level = matches.get_one::<LogLevel>("log-level").copied().unwrap_or(LogLevel::Info);
    start_logging(level, LogOutput::Stdout);
    stallhoist_settings::load(&settings_path(matches))
}

fn settings_path(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default()
}

/// SIGHUP, which requests a check of the changed settings file.
#[derive(Debug)]
pub struct HangupSignal {
    sighup: Signal,
}

impl HangupSignal {
    /// Registers the signal handler. Without it, the signal would terminate the process.
    ///
    /// # Errors
    /// Fails if the handler can't be registered.
    pub fn listen() -> io::Result<Self> {
        Ok(Self { sighup: signal(SignalKind::hangup())? })
    }

    /// At each signal, loads and validates the settings again and logs the result. Changes become active at the next
    /// start, so an invalid file doesn't affect a running process.
    pub async fn check_settings<T: DeserializeOwned + Validate>(mut self, matches: ArgMatches) {
        while self.sighup.recv().await.is_some() {
            match stallhoist_settings::load::<T>(&settings_path(&matches)) {
                Ok(_) => log::info!("settings read anew, active at the next start"),
                Err(error) => log::error!(error:% = error; "settings rejected"),
            }
        }
    }
}

/// Signals that request a process to stop. Register them before anything else starts, so that none is missed.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
}

impl StopSignals {
    /// Registers the signal handler.
    ///
    /// # Errors
    /// Fails if the handler can't be registered.
    pub fn listen() -> io::Result<Self> {
        Ok(Self { terminate: signal(SignalKind::terminate())? })
    }

    /// Waits for SIGTERM or Ctrl-C.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
    }
}

/// Flushes the log, prints the error of a daemon that failed and returns its exit code.
pub fn end(name: &str, result: Result<(), Box<dyn Error>>) -> ExitCode {
    flush_logging();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}

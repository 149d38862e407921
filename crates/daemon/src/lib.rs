//! What the daemons' binaries have in common: arguments, log, settings and signals.
//!
//! This crate exists so that the binaries are thin: each says its name and how it
//! starts and stops.

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

/// A daemon's arguments.
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

/// Starts the log and reads the settings that the arguments name.
///
/// # Errors
/// Fails with all that is wrong with the settings.
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

/// The signal that says that the settings file has changed.
#[derive(Debug)]
pub struct HangupSignal {
    hang_up: Signal,
}

impl HangupSignal {
    /// Begins to listen. Without it, the signal would end the process.
    ///
    /// # Errors
    /// Fails when the system does not allow it.
    pub fn listen() -> io::Result<Self> {
        Ok(Self { hang_up: signal(SignalKind::hangup())? })
    }

    /// At each signal, reads and checks the settings anew and says what came of it. What
    /// has changed comes into force at the next start: a wrong file stops nothing that runs.
    pub async fn check_settings<T: DeserializeOwned + Validate>(mut self, matches: ArgMatches) {
        while self.hang_up.recv().await.is_some() {
            match stallhoist_settings::load::<T>(&settings_path(&matches)) {
                Ok(_) => log::info!("settings read anew, in force at the next start"),
                Err(error) => log::error!(error:% = error; "settings refused"),
            }
        }
    }
}

/// The signals that ask a process to stop. Listened for before anything else starts, so
/// that none is missed.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
}

impl StopSignals {
    /// Begins to listen.
    ///
    /// # Errors
    /// Fails when the system does not allow it.
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

/// Ends a daemon: writes what is left of the log, and says why it could not start or go
/// on, if so.
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

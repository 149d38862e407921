//! `stallhoist local`: runs the whole request path in one process on loopback, against stand-ins.
//!
//! `fleet` starts and stops the parts, `table` holds the initial table, `addresses` prints the endpoints. The
//! parts stop in the order of the request path, so that no request is cut off.

mod addresses;
mod fleet;
mod table;

use std::fs;
use std::path::PathBuf;

use clap::ArgMatches;
use stallhoist_daemon::StopSignals;
use stallhoist_telemetry::LogLevel;
use stallhoist_telemetry::LogOutput;
use stallhoist_telemetry::start_logging;

use crate::commands::print_stdout;
use crate::error::CliError;
use crate::local::fleet::LocalFleet;
use crate::local::fleet::LocalPorts;

/// Starts the local system, prints its addresses and serves until a stop signal arrives.
pub(crate) async fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let level = matches.get_one::<String>("log-level").and_then(|text| text.parse().ok());
    start_logging(level.unwrap_or(LogLevel::Warn), LogOutput::Stderr);
    let mut stop = StopSignals::listen().map_err(CliError::Signal)?;
    let port = |name| matches.get_one::<u16>(name).copied().unwrap_or_default();
    let ports = LocalPorts { callers: port("callers-port"), operators: port("operators-port") };
    let engines = matches.get_one::<u16>("engines").copied().unwrap_or(1);
    let fleet = LocalFleet::start(ports, engines).await?;
    let addresses = fleet.addresses();
    if let Some(path) = matches.get_one::<PathBuf>("addresses-file") {
        let json = serde_json::to_string_pretty(&addresses).unwrap_or_default();
        let cause = |cause| CliError::File { file: path.display().to_string(), cause };
        fs::write(path, json).map_err(cause)?;
    }
    print_stdout(format_args!("{addresses}"));
    stop.wait().await;
    print_stdout(format_args!("stopping\n"));
    fleet.stop().await;
    Ok(())
}

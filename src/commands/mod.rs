//! Implementation of the commands.

mod bill;
mod explain;
mod hold;
mod table;

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::ArgMatches;
use clap_complete::Shell;
use stallhoist_settings::EntrySettings;
use stallhoist_settings::GatewaySettings;
use stallhoist_settings::SidecarSettings;

use crate::cli;
use crate::error::CliError;
use crate::local;
use crate::operator_client::OperatorClient;

/// Writes to standard output. Errors are ignored, as a reader such as `head` may close the pipe early.
pub(crate) fn print_stdout(text: std::fmt::Arguments<'_>) {
    let _ = std::io::stdout().write_fmt(text);
}

/// Runs the selected command.
pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("local", matches)) => local::run(matches).await?,
        Some(("table", matches)) => table::run(matches).await?,
        Some(("hold", matches)) => hold::run(matches).await?,
        Some(("dump", matches)) => dump(matches).await?,
        Some(("bill", matches)) => bill::run(matches).await?,
        Some(("check-settings", matches)) => check_settings(matches)?,
        Some(("explain", matches)) => explain::run(matches)?,
        Some(("completions", matches)) => completions(matches),
        _ => return Ok(ExitCode::FAILURE),
    }
    Ok(ExitCode::SUCCESS)
}

async fn dump(matches: &ArgMatches) -> Result<(), CliError> {
    let state = OperatorClient::from_matches(matches)?.state().await?;
    print_stdout(format_args!("{state:#}\n"));
    Ok(())
}

fn check_settings(matches: &ArgMatches) -> Result<(), CliError> {
    let path = matches.get_one::<PathBuf>("file").cloned().unwrap_or_default();
    match matches.get_one::<String>("role").map(String::as_str) {
        Some("entry") => stallhoist_settings::load::<EntrySettings>(&path).map(|_| ())?,
        Some("gateway") => stallhoist_settings::load::<GatewaySettings>(&path).map(|_| ())?,
        _ => stallhoist_settings::load::<SidecarSettings>(&path).map(|_| ())?,
    }
    print_stdout(format_args!("{}: all settings are right\n", path.display()));
    Ok(())
}

fn completions(matches: &ArgMatches) {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        let mut command = cli::command();
        clap_complete::generate(*shell, &mut command, "stallhoist", &mut std::io::stdout());
    }
}

//! `stallhoist table`: prints, edits, imports and exports the operators' table.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use clap::ArgMatches;
use stallhoist_core::EditId;
use stallhoist_core::Revision;
use stallhoist_table::CellAddress;
use stallhoist_table::CellChange;
use stallhoist_table::Edit;
use stallhoist_table::LogEntry;
use stallhoist_table::Table;
use stallhoist_table::changes_from_csv;
use stallhoist_table::to_csv;

use crate::commands::print_stdout;
use crate::error::CliError;
use crate::operator_client::OperatorClient;

const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(100);
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the selected subcommand.
pub(crate) async fn run(matches: &ArgMatches) -> Result<(), CliError> {
    match matches.subcommand() {
        Some(("show", matches)) => show(matches).await,
        Some(("set", matches)) => set(matches).await,
        Some(("import", matches)) => import(matches).await,
        Some(("export", matches)) => export(matches).await,
        Some(("history", matches)) => history(matches).await,
        Some(("watch", matches)) => watch(matches).await,
        _ => Ok(()),
    }
}

async fn show(matches: &ArgMatches) -> Result<(), CliError> {
    let table = OperatorClient::from_matches(matches)?.table().await?;
    print_stdout(format_args!("{}", to_csv(&table)?));
    Ok(())
}

async fn export(matches: &ArgMatches) -> Result<(), CliError> {
    let table = OperatorClient::from_matches(matches)?.table().await?;
    let path = file(matches);
    fs::write(&path, to_csv(&table)?).map_err(|cause| file_error(&path, cause))?;
    print_stdout(format_args!("revision {} written to {}\n", table.revision, path.display()));
    Ok(())
}

async fn set(matches: &ArgMatches) -> Result<(), CliError> {
    let client = OperatorClient::from_matches(matches)?;
    let table = client.table().await?;
    let expected = assignments(matches, "expect")?;
    let cells = assignments(matches, "cells")?.into_iter().map(|(address, value)| {
        let given = expected.iter().find(|(other, _)| *other == address);
        let expect = given.map_or_else(|| table.cell(&address), |(_, value)| value.clone());
        CellChange { address, expect, value }
    });
    let edit = Edit { id: edit_id(matches)?, author: author(matches), cells: cells.collect() };
    commit(&client, &edit).await
}

async fn import(matches: &ArgMatches) -> Result<(), CliError> {
    let client = OperatorClient::from_matches(matches)?;
    let path = file(matches);
    let sheet = fs::read_to_string(&path).map_err(|cause| file_error(&path, cause))?;
    let table: Table = client.table().await?;
    let cells = changes_from_csv(&table, &sheet)?;
    if cells.is_empty() {
        print_stdout(format_args!("the table already holds all of {}\n", path.display()));
        return Ok(());
    }
    let edit = Edit { id: EditId::generate(), author: author(matches), cells };
    commit(&client, &edit).await
}

/// Commits an edit and waits until it is active on every host, at most [`PROGRESS_TIMEOUT`]. Then prints the
/// number of hosts where it is active and the hosts where it isn't.
pub(super) async fn commit(client: &OperatorClient, edit: &Edit) -> Result<(), CliError> {
    print_stdout(format_args!("edit {} changes {} cells\n", edit.id, edit.cells.len()));
    let reply = client.edit(edit).await?;
    print_stdout(format_args!("{}: revision {}\n", reply.status, reply.revision));
    let began = Instant::now();
    loop {
        let progress = client.progress(reply.revision).await?;
        let is_done = progress.missing.is_empty();
        if is_done || began.elapsed() > PROGRESS_TIMEOUT {
            print_stdout(format_args!(
                "in force: {} of {} hosts\n",
                progress.in_force_hosts, progress.hosts
            ));
            for host in progress.missing {
                print_stdout(format_args!("  missing: {host}\n"));
            }
            return Ok(());
        }
        tokio::time::sleep(PROGRESS_POLL_INTERVAL).await;
    }
}

async fn history(matches: &ArgMatches) -> Result<(), CliError> {
    let after = matches.get_one::<u64>("after").copied().unwrap_or_default();
    let client = OperatorClient::from_matches(matches)?;
    print_entries(&client, Revision(after)).await.map(|_| ())
}

async fn watch(matches: &ArgMatches) -> Result<(), CliError> {
    let client = OperatorClient::from_matches(matches)?;
    let mut seen = client.table().await?.revision;
    loop {
        seen = print_entries(&client, seen).await?;
        tokio::time::sleep(WATCH_POLL_INTERVAL).await;
    }
}

/// Prints all edits after a revision and returns the last printed revision, or `after` if there was none.
async fn print_entries(client: &OperatorClient, after: Revision) -> Result<Revision, CliError> {
    let mut last = after;
    loop {
        let entries = client.history(last).await?;
        let Some(newest) = entries.last() else {
            return Ok(last);
        };
        last = newest.revision;
        entries.iter().for_each(print_entry);
    }
}

fn print_entry(entry: &LogEntry) {
    for cell in &entry.edit.cells {
        print_stdout(format_args!(
            "{}\t{}\t{}\t{}\t{} -> {}\n",
            entry.revision,
            entry.committed_unix_ms,
            entry.edit.author,
            cell.address,
            cell.expect,
            cell.value
        ));
    }
}

fn assignments(matches: &ArgMatches, name: &str) -> Result<Vec<(CellAddress, String)>, CliError> {
    let texts = matches.get_many::<String>(name).unwrap_or_default();
    let assignment = |text: &String| {
        let invalid = || CliError::Assignment(text.clone());
        let (address, value) = text.split_once('=').ok_or_else(invalid)?;
        Ok((address.parse()?, value.to_owned()))
    };
    texts.map(assignment).collect()
}

fn edit_id(matches: &ArgMatches) -> Result<EditId, CliError> {
    match matches.get_one::<String>("edit-id") {
        Some(text) => text.parse().map_err(|_| CliError::EditId(text.clone())),
        None => Ok(EditId::generate()),
    }
}

fn author(matches: &ArgMatches) -> String {
    matches.get_one::<String>("author").cloned().unwrap_or_default()
}

fn file(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("file").cloned().unwrap_or_default()
}

fn file_error(path: &std::path::Path, cause: std::io::Error) -> CliError {
    CliError::File { file: path.display().to_string(), cause }
}

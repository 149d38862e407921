//! `stallhoist hold`: lists the versions that the guard holds and releases them.

use clap::ArgMatches;
use stallhoist_core::EditId;
use stallhoist_core::Target;
use stallhoist_table::CellAddress;
use stallhoist_table::CellChange;
use stallhoist_table::Column;
use stallhoist_table::Edit;

use crate::commands::print_stdout;
use crate::commands::table;
use crate::error::CliError;
use crate::operator_client::OperatorClient;

/// Runs the selected subcommand.
pub(crate) async fn run(matches: &ArgMatches) -> Result<(), CliError> {
    match matches.subcommand() {
        Some(("list", matches)) => list(matches).await,
        Some(("clear", matches)) => clear(matches).await,
        _ => Ok(()),
    }
}

async fn list(matches: &ArgMatches) -> Result<(), CliError> {
    let found = OperatorClient::from_matches(matches)?.holds().await?;
    print_stdout(format_args!("version,cause,answers,failures,ratings,poor_ratings\n"));
    for hold in found.holds {
        print_stdout(format_args!(
            "{},{},{},{},{},{}\n",
            hold.version, hold.cause, hold.answers, hold.failures, hold.ratings, hold.poor_ratings
        ));
    }
    for (host, version) in found.sick_upstreams {
        print_stdout(format_args!("sick upstream: {host} with {version}\n"));
    }
    Ok(())
}

/// Increments `guard_resets` in each row of the version and changes no other cell.
async fn clear(matches: &ArgMatches) -> Result<(), CliError> {
    let client = OperatorClient::from_matches(matches)?;
    let name = matches.get_one::<String>("version").cloned().unwrap_or_default();
    let current = client.table().await?;
    let target: Target = name.parse().map_err(|_| CliError::UnknownVersion(name.clone()))?;
    let rows = current.rows.iter().filter(|row| row.target == target);
    let cells: Vec<_> = rows
        .map(|row| CellChange {
            address: CellAddress {
                workspace: row.workspace.clone(),
                target: Some(target.clone()),
                column: Column::GuardResets,
            },
            expect: row.guard_resets.to_string(),
            value: (row.guard_resets + 1).to_string(),
        })
        .collect();
    if cells.is_empty() {
        return Err(CliError::UnknownVersion(name));
    }
    let author = matches.get_one::<String>("author").cloned().unwrap_or_default();
    table::commit(&client, &Edit { id: EditId::generate(), author, cells }).await
}

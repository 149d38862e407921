//! `stallhoist bill`: prints billing records or their totals as CSV.

use std::collections::BTreeMap;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use clap::ArgMatches;
use stallhoist_coordination::BillLine;

use crate::commands::print_stdout;
use crate::error::CliError;
use crate::operator_client::OperatorClient;

const SECONDS_PER_HOUR: u64 = 3_600;

/// Usage of one target by one workspace.
#[derive(Debug, Default)]
struct UsageTotal {
    requests: u64,
    tokens: u64,
    cost_micros: u64,
}

/// Prints the bill of the last hours, the current one included.
pub(crate) async fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let hours = matches.get_one::<u64>("hours").copied().unwrap_or(1);
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let last = since_1970.as_secs() / SECONDS_PER_HOUR;
    let first = (last + 1).saturating_sub(hours);
    let lines = OperatorClient::from_matches(matches)?.bill(first, last).await?;
    if matches.get_flag("totals") {
        print_totals(&lines);
    } else {
        print_lines(&lines);
    }
    Ok(())
}

fn print_lines(lines: &[BillLine]) {
    print_stdout(format_args!(
        "hour,request,workspace,target,prompt_tokens,completion_tokens,cost_micros\n"
    ));
    for line in lines {
        let record = &line.record;
        print_stdout(format_args!(
            "{},{},{},{},{},{},{}\n",
            line.hour,
            record.request,
            record.workspace,
            record.target,
            record.usage.prompt_tokens,
            record.usage.completion_tokens,
            record.cost_micros
        ));
    }
}

fn print_totals(lines: &[BillLine]) {
    let mut totals: BTreeMap<(String, String), UsageTotal> = BTreeMap::new();
    for line in lines {
        let record = &line.record;
        let key = (record.workspace.to_string(), record.target.to_string());
        let total = totals.entry(key).or_default();
        total.requests += 1;
        total.tokens += record.usage.total_tokens().0;
        total.cost_micros += record.cost_micros.0;
    }
    print_stdout(format_args!("workspace,target,requests,tokens,cost_micros\n"));
    for ((workspace, target), total) in totals {
        print_stdout(format_args!(
            "{workspace},{target},{},{},{}\n",
            total.requests, total.tokens, total.cost_micros
        ));
    }
}

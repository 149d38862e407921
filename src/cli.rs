//! Definition of the commands and their arguments.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;

/// Builds the root command with all subcommands.
pub(crate) fn command() -> Command {
    Command::new("stallhoist")
        .about("Operates stallhoist, a model-aware router for model versions and cascades")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(local())
        .subcommand(table())
        .subcommand(hold())
        .subcommand(dump())
        .subcommand(bill())
        .subcommand(check_settings())
        .subcommand(explain())
        .subcommand(completions())
}

fn local() -> Command {
    Command::new("local")
        .about("Runs the whole path in one process on loopback, over stand-ins")
        .arg(
            Arg::new("addresses-file")
                .long("addresses-file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Writes the addresses and keys there, as JSON, once ready"),
        )
        .arg(port("callers-port", "Port for callers"))
        .arg(port("operators-port", "Port for operators"))
        .arg(
            Arg::new("engines")
                .long("engines")
                .value_name("COUNT")
                .default_value("3")
                .value_parser(value_parser!(u16).range(1..=50))
                .help("Engines of each model"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .default_value("warn")
                .value_parser(["error", "warn", "info", "debug"])
                .help("How much is logged to standard error"),
        )
}

fn port(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("PORT")
        .default_value("0")
        .value_parser(value_parser!(u16))
        .help(format!("{help}; 0 takes a free one"))
}

fn table() -> Command {
    Command::new("table")
        .about("Shows and edits the operators' table")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(with_endpoint(Command::new("show").about("Prints the table as a sheet in CSV")))
        .subcommand(with_endpoint(set()))
        .subcommand(with_endpoint(import()))
        .subcommand(with_endpoint(
            Command::new("export")
                .about("Writes the table to a file")
                .arg(Arg::new("file").required(true).value_parser(value_parser!(PathBuf))),
        ))
        .subcommand(with_endpoint(
            Command::new("history").about("Prints edits, oldest first").arg(
                Arg::new("after")
                    .long("after")
                    .value_name("REVISION")
                    .default_value("0")
                    .value_parser(value_parser!(u64))
                    .help("Only edits after this revision"),
            ),
        ))
        .subcommand(with_endpoint(Command::new("watch").about("Prints edits as they come")))
}

fn set() -> Command {
    Command::new("set")
        .about("Sets cells, all in one edit, and waits until they are in force")
        .arg(
            Arg::new("cells")
                .required(true)
                .num_args(1..)
                .value_name("WORKSPACE/TARGET/COLUMN=VALUE")
                .help("'*' stands for the target in a workspace's own columns"),
        )
        .arg(author())
        .arg(
            Arg::new("expect")
                .long("expect")
                .action(ArgAction::Append)
                .value_name("WORKSPACE/TARGET/COLUMN=VALUE")
                .help("What a cell must hold now; what it is seen to hold when not given"),
        )
        .arg(
            Arg::new("edit-id")
                .long("edit-id")
                .value_name("UUID")
                .help("Repeats an edit whose fate is not known; it is not applied twice"),
        )
}

fn import() -> Command {
    Command::new("import")
        .about("Makes one edit of all cells in which a sheet differs from the table")
        .arg(Arg::new("file").required(true).value_parser(value_parser!(PathBuf)))
        .arg(author())
}

fn author() -> Arg {
    Arg::new("author")
        .long("author")
        .value_name("NAME")
        .env("USER")
        .default_value("")
        .help("Who makes the edit, for the history")
}

fn hold() -> Command {
    Command::new("hold")
        .about("Shows and clears what the guard holds back")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(with_endpoint(Command::new("list").about("Prints versions held back")))
        .subcommand(with_endpoint(
            Command::new("clear")
                .about("Lets a held version take work again and forgets the evidence so far")
                .arg(Arg::new("version").required(true).value_name("MODEL@VERSION"))
                .arg(author()),
        ))
}

fn dump() -> Command {
    with_endpoint(Command::new("dump").about("Prints the state of an entry or a sidecar"))
}

fn bill() -> Command {
    with_endpoint(
        Command::new("bill")
            .about("Prints the bill as CSV, each request once")
            .arg(
                Arg::new("hours")
                    .long("hours")
                    .value_name("COUNT")
                    .default_value("24")
                    .value_parser(value_parser!(u64).range(1..))
                    .help("The last so many hours, this one included"),
            )
            .arg(
                Arg::new("totals")
                    .long("totals")
                    .action(ArgAction::SetTrue)
                    .help("Prints sums by workspace and target instead"),
            ),
    )
}

fn check_settings() -> Command {
    Command::new("check-settings")
        .about("Checks a settings file without starting anything")
        .arg(Arg::new("role").required(true).value_parser(["entry", "gateway", "sidecar"]))
        .arg(Arg::new("file").required(true).value_parser(value_parser!(PathBuf)))
}

fn explain() -> Command {
    Command::new("explain")
        .about("Shows what a process's log says of one request")
        .arg(Arg::new("id").required(true).value_name("ID").help("The request's id"))
        .arg(
            Arg::new("file")
                .value_name("LOG")
                .value_parser(value_parser!(PathBuf))
                .help("The log, in JSON lines; standard input if absent"),
        )
}

fn completions() -> Command {
    Command::new("completions")
        .about("Prints completions for a shell")
        .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell)))
}

/// Adds the arguments for the URL of an operators' endpoint and the key that it requires.
fn with_endpoint(command: Command) -> Command {
    command
        .arg(
            Arg::new("addr")
                .long("addr")
                .value_name("URL")
                .env("STALLHOIST_OPERATORS_URL")
                .required(true)
                .help("The operators' endpoint, as in http://10.0.0.7:7100"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("KEY")
                .env("STALLHOIST_OPERATORS_KEY")
                .hide_env_values(true)
                .required(true)
                .help("The operators' key"),
        )
}

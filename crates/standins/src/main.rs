//! Command-line program that runs one stand-in.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use stallhoist_http::ServerError;
use stallhoist_standins::ServiceStandin;
use stallhoist_standins::engine::EngineStandin;
use stallhoist_standins::engine::EngineSwitches;
use stallhoist_standins::platform::PlatformStandin;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

fn command() -> Command {
    let with_addr = |name: &'static str, about: &'static str| {
        Command::new(name).about(about).arg(
            Arg::new("addr")
                .long("addr")
                .value_name("IP:PORT")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr))
                .help("Where it listens; port 0 takes a free one"),
        )
    };
    let engine = with_addr("engine", "A model engine").arg(
        Arg::new("switches")
            .long("switches")
            .value_name("JSON")
            .default_value("{}")
            .help("How it behaves"),
    );
    Command::new("stallhoist-standin")
        .about("Stand-ins for what surrounds stallhoist; not part of the product")
        .subcommand_required(true)
        .subcommand(with_addr("platform", "The platform: table service, host list, rater"))
        .subcommand(engine)
        .subcommand(with_addr("service", "A plain service that counts what it executes"))
}

#[tokio::main]
async fn main() -> ExitCode {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return ExitCode::FAILURE;
    };
    let started = start(&command().get_matches()).await;
    let _running = match started {
        Ok(running) => running,
        Err(error) => {
            eprintln!("stallhoist-standin: {error}");
            return ExitCode::FAILURE;
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    ExitCode::SUCCESS
}

/// A running stand-in. It stops when dropped.
#[expect(dead_code, reason = "held only to be kept running")]
enum Running {
    Platform(PlatformStandin),
    Engine(EngineStandin),
    Service(ServiceStandin),
}

async fn start(matches: &ArgMatches) -> Result<Running, ServerError> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let addr = |m: &ArgMatches| m.get_one::<SocketAddr>("addr").copied().unwrap_or(loopback);
    match matches.subcommand() {
        Some(("engine", matches)) => {
            let text = matches.get_one::<String>("switches").cloned().unwrap_or_default();
            let switches: EngineSwitches = serde_json::from_str(&text).unwrap_or_else(|error| {
                eprintln!("stallhoist-standin: invalid switches: {error}");
                std::process::exit(2)
            });
            let engine = EngineStandin::start(addr(matches), switches).await?;
            println!("{}", engine.url());
            Ok(Running::Engine(engine))
        }
        Some(("service", matches)) => {
            let service = ServiceStandin::start(addr(matches)).await?;
            println!("{}", service.url());
            Ok(Running::Service(service))
        }
        Some((_, matches)) => {
            let platform = PlatformStandin::start(addr(matches)).await?;
            println!("{}", platform.url());
            Ok(Running::Platform(platform))
        }
        None => std::process::exit(2),
    }
}

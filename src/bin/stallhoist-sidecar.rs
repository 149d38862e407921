//! Sidecar daemon.

use std::error::Error;
use std::process::ExitCode;

use stallhoist_daemon::StopSignals;
use stallhoist_daemon::command;
use stallhoist_daemon::end;
use stallhoist_daemon::initialize;
use stallhoist_sidecar::Sidecar;

const NAME: &str = "stallhoist-sidecar";
const ABOUT: &str = "The process beside an upstream: the only way to it";

#[tokio::main]
async fn main() -> ExitCode {
    end(NAME, run().await)
}

async fn run() -> Result<(), Box<dyn Error>> {
    let settings = initialize(&command(NAME, ABOUT).get_matches())?;
    let mut stop = StopSignals::listen()?;
    let sidecar = Sidecar::start(settings).await?;
    stop.wait().await;
    sidecar.leave().finish().await;
    Ok(())
}

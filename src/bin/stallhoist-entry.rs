//! Entry daemon.

use std::error::Error;
use std::process::ExitCode;

use stallhoist_daemon::StopSignals;
use stallhoist_daemon::command;
use stallhoist_daemon::end;
use stallhoist_daemon::initialize;
use stallhoist_entry::Entry;

const NAME: &str = "stallhoist-entry";
const ABOUT: &str = "The process on an entry host: serves callers and operators";

#[tokio::main]
async fn main() -> ExitCode {
    end(NAME, run().await)
}

async fn run() -> Result<(), Box<dyn Error>> {
    let settings = initialize(&command(NAME, ABOUT).get_matches())?;
    let mut stop = StopSignals::listen()?;
    let entry = Entry::start(settings).await?;
    stop.wait().await;
    entry.leave().wait_for_balancer().await.finish().await;
    Ok(())
}

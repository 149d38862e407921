//! Gateway daemon for the users' platform.

use std::error::Error;
use std::process::ExitCode;
use std::sync::Arc;

use stallhoist_daemon::HangupSignal;
use stallhoist_daemon::StopSignals;
use stallhoist_daemon::command;
use stallhoist_daemon::end;
use stallhoist_daemon::initialize;
use stallhoist_gateway::Gateway;
use stallhoist_gateway::GatewayParts;
use stallhoist_gateway::duties::DutyPlatform;
use stallhoist_settings::GatewaySettings;
use stallhoist_users_platform::PlatformDialect;
use stallhoist_users_platform::PlatformDuties;
use stallhoist_users_platform::PlatformStore;

const NAME: &str = "stallhoist-gateway";
const ABOUT: &str = "The process on an entry host of the users' platform: serves callers";

/// Runs on one thread, which is enough for a gateway's share of a core and takes less memory.
#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    end(NAME, run().await)
}

async fn run() -> Result<(), Box<dyn Error>> {
    let mut stop = StopSignals::listen()?;
    let hang_up = HangupSignal::listen()?;
    let matches = command(NAME, ABOUT).get_matches();
    let settings: GatewaySettings = initialize(&matches)?;
    let store = Arc::new(PlatformStore::new(&settings.store)?);
    let duties = settings.duties.as_ref().map(PlatformDuties::new).transpose()?;
    let parts = GatewayParts {
        duty_platform: duties.map(|duties| Arc::new(duties) as Arc<dyn DutyPlatform>),
        ..GatewayParts::new(Arc::new(PlatformDialect), store)
    };
    let gateway = Gateway::start_with(settings, parts).await?;
    tokio::spawn(hang_up.check_settings::<GatewaySettings>(matches));
    stop.wait().await;
    gateway.leave().wait_for_balancer().await.finish().await;
    Ok(())
}

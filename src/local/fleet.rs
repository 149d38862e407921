//! Processes and stand-ins of the local system.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use stallhoist_coordination::TableStore;
use stallhoist_core::Target;
use stallhoist_entry::Entry;
use stallhoist_platform::HostEntry;
use stallhoist_platform::HostRole;
use stallhoist_platform::HostState;
use stallhoist_platform::PlatformClient;
use stallhoist_settings::EntrySettings;
use stallhoist_settings::HostSettings;
use stallhoist_settings::PlatformSettings;
use stallhoist_settings::Secret;
use stallhoist_settings::SidecarSettings;
use stallhoist_settings::TimingSettings;
use stallhoist_settings::UpstreamKind;
use stallhoist_settings::UpstreamSettings;
use stallhoist_sidecar::Sidecar;
use stallhoist_standins::ServiceStandin;
use stallhoist_standins::engine::EngineStandin;
use stallhoist_standins::engine::EngineSwitches;
use stallhoist_standins::platform::PlatformStandin;
use uuid::Uuid;

use super::addresses::Addresses;
use super::table;
use crate::error::CliError;

const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];

/// Requested ports; 0 selects a free one.
#[derive(Debug, Clone, Copy)]
pub(super) struct LocalPorts {
    pub(super) callers: u16,
    pub(super) operators: u16,
}

/// The running local system: one entry, one sidecar for each upstream, and the stand-ins.
#[derive(Debug)]
pub(super) struct LocalFleet {
    platform: PlatformStandin,
    engines: Vec<EngineStandin>,
    service: ServiceStandin,
    sidecars: Vec<Sidecar>,
    entry: Entry,
    workspace_key: String,
    operators_key: String,
}

/// Settings that all processes of the local system share.
struct SharedSettings {
    fleet_key: String,
    operators_key: String,
    platform: PlatformSettings,
    timing: TimingSettings,
}

impl SharedSettings {
    fn host(&self, id: &str, zone: &str) -> HostSettings {
        HostSettings {
            id: id.parse().expect("a valid name"),
            zone: zone.parse().expect("a valid name"),
            fleet_key: Secret::new(self.fleet_key.clone()),
            operators_key: Secret::new(self.operators_key.clone()),
        }
    }
}

impl LocalFleet {
    /// Starts all parts and waits until they are ready.
    ///
    /// # Errors
    /// Fails if a part does not start, or if the system isn't ready within [`READY_TIMEOUT`].
    pub(super) async fn start(ports: LocalPorts, engines: u16) -> Result<Self, CliError> {
        let platform = PlatformStandin::start(loopback(0)).await?;
        let shared = SharedSettings {
            fleet_key: new_key("fleet"),
            operators_key: new_key("operators"),
            platform: PlatformSettings {
                url: platform.url(),
                host_list_poll_ms: 200,
                ..PlatformSettings::default()
            },
            timing: TimingSettings { stop_lag_ms: 0, ..TimingSettings::default() },
        };
        let workspace_key = new_key("workspace");
        write_table(&platform, &workspace_key).await?;
        let mut fleet_engines = Vec::new();
        let mut sidecars = Vec::new();
        let mut hosts = Vec::new();
        for target in table::targets() {
            for number in 0..usize::from(engines) {
                let engine = EngineStandin::start(loopback(0), EngineSwitches::default()).await?;
                let name = format!("{}-{number}", target.replace('@', "-"));
                let zone = ZONES[number % ZONES.len()];
                let upstream = upstream(UpstreamKind::Engine, engine.url(), target);
                let sidecar = start_sidecar(&shared, &name, zone, upstream).await?;
                hosts.push(host_entry(&name, zone, &sidecar, target));
                fleet_engines.push(engine);
                sidecars.push(sidecar);
            }
        }
        let service = ServiceStandin::start(loopback(0)).await?;
        let upstream = upstream(UpstreamKind::Service, service.url(), table::service());
        let sidecar = start_sidecar(&shared, "ledger-0", ZONES[0], upstream).await?;
        hosts.push(host_entry("ledger-0", ZONES[0], &sidecar, table::service()));
        sidecars.push(sidecar);
        platform.set_hosts(hosts);
        let entry = start_entry(&shared, ports).await?;
        let operators_key = shared.operators_key;
        let fleet = Self {
            platform,
            engines: fleet_engines,
            service,
            sidecars,
            entry,
            workspace_key,
            operators_key,
        };
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    pub(super) fn addresses(&self) -> Addresses {
        Addresses {
            callers_url: format!("http://{}", self.entry.callers_addr()),
            operators_url: format!("http://{}", self.entry.operators_addr()),
            platform_url: self.platform.url(),
            workspace_key: self.workspace_key.clone(),
            operators_key: self.operators_key.clone(),
            models: table::models(),
        }
    }

    /// Stops the entry, then the sidecars, then the stand-ins, so that no request is cut off and no record lost.
    pub(super) async fn stop(self) {
        self.entry.leave().wait_for_balancer().await.finish().await;
        for sidecar in self.sidecars {
            sidecar.leave().finish().await;
        }
        for engine in self.engines {
            engine.stop().await;
        }
        self.service.stop().await;
        self.platform.stop().await;
    }

    /// Waits until the table is active on every host.
    async fn wait_until_ready(&self) -> Result<(), CliError> {
        let http = reqwest::Client::builder().no_proxy().build()?;
        let url = format!("http://{}/v1/table/progress?revision=1", self.entry.operators_addr());
        let began = Instant::now();
        while began.elapsed() < READY_TIMEOUT {
            let reply = http.get(&url).bearer_auth(&self.operators_key).send().await?;
            let progress: crate::operator_client::EditProgress = reply.json().await?;
            let is_complete = progress.hosts == self.sidecars.len() + 1;
            if is_complete && progress.missing.is_empty() {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(CliError::NotReady)
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn new_key(name: &str) -> String {
    format!("{name}-{}", Uuid::new_v4().simple())
}

async fn write_table(platform: &PlatformStandin, workspace_key: &str) -> Result<(), CliError> {
    let client = PlatformClient::new(&platform.url(), READY_TIMEOUT);
    let edit = table::initial_edit(workspace_key)?;
    let committed = TableStore::new(client).commit(&edit).await;
    committed.map(|_| ()).map_err(|_| CliError::NotReady)
}

fn upstream(kind: UpstreamKind, url: String, target: &str) -> UpstreamSettings {
    UpstreamSettings { kind, url, serves: vec![parse_target(target)] }
}

fn parse_target(target: &str) -> Target {
    target.parse().expect("the local table's targets are valid")
}

async fn start_sidecar(
    shared: &SharedSettings,
    name: &str,
    zone: &str,
    upstream: UpstreamSettings,
) -> Result<Sidecar, CliError> {
    let settings = SidecarSettings {
        host: shared.host(name, zone),
        platform: shared.platform.clone(),
        timing: shared.timing.clone(),
        upstream,
        ..SidecarSettings::default()
    };
    Ok(Sidecar::start(settings).await?)
}

async fn start_entry(shared: &SharedSettings, ports: LocalPorts) -> Result<Entry, CliError> {
    let settings = EntrySettings {
        host: shared.host("entry-0", ZONES[0]),
        callers_addr: loopback(ports.callers).to_string(),
        operators_addr: loopback(ports.operators).to_string(),
        platform: shared.platform.clone(),
        session_keys: vec![Secret::new(new_key("session"))],
        timing: shared.timing.clone(),
        ..EntrySettings::default()
    };
    Ok(Entry::start(settings).await?)
}

fn host_entry(name: &str, zone: &str, sidecar: &Sidecar, target: &str) -> HostEntry {
    HostEntry {
        host: name.parse().expect("a valid name"),
        zone: zone.parse().expect("a valid name"),
        role: HostRole::Upstream,
        address: sidecar.entries_addr().to_string(),
        state: HostState::Live,
        serves: vec![parse_target(target)],
    }
}

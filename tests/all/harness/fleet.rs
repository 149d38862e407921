//! A small fleet of real entry and sidecar processes. Stand-ins replace the platform, the engines
//! and the services.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use stallhoist_coordination::TableStore;
use stallhoist_core::BillRecord;
use stallhoist_core::EditId;
use stallhoist_core::KeyDigest;
use stallhoist_platform::HostEntry;
use stallhoist_platform::HostRole;
use stallhoist_platform::HostState;
use stallhoist_platform::PlatformClient;
use stallhoist_standins::FaultProxy;
use stallhoist_standins::ServiceStandin;
use stallhoist_standins::engine::EngineStandin;
use stallhoist_standins::engine::EngineSwitches;
use stallhoist_standins::platform::PlatformStandin;
use stallhoist_table::CellChange;
use stallhoist_table::Edit;
use std::time::Duration;

use super::Caller;
use super::Process;
use super::settings;
use super::settings::OPERATORS_KEY;
use super::settings::WORKSPACE_KEY;
use super::wait_until;

const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The composition and the settings of a fleet.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) entries: usize,
    /// The target that each engine serves.
    pub(crate) engines: Vec<&'static str>,
    pub(crate) services: usize,
    pub(crate) switches: EngineSwitches,
    /// Cells of the table in addition to those that allow every target.
    pub(crate) cells: Vec<(&'static str, &'static str)>,
    /// Overrides of the entries' settings: section, key, value.
    pub(crate) entry_settings: Vec<(&'static str, &'static str, Value)>,
    /// Overrides of the sidecars' settings: section, key, value.
    pub(crate) sidecar_settings: Vec<(&'static str, &'static str, Value)>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 1,
            engines: vec!["m@v1", "m@v1", "m@v1"],
            services: 1,
            switches: EngineSwitches::default(),
            cells: Vec::new(),
            entry_settings: Vec::new(),
            sidecar_settings: Vec::new(),
        }
    }
}

/// An upstream host: its sidecar, and the fault proxy through which entries connect to it.
#[derive(Debug)]
pub(crate) struct UpstreamHost {
    pub(crate) sidecar: Process,
    pub(crate) proxy: FaultProxy,
    /// The host's record in the platform's host list.
    pub(crate) listed: HostEntry,
    settings: Value,
}

/// Running processes and stand-ins.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) platform: PlatformStandin,
    pub(crate) engines: Vec<EngineStandin>,
    pub(crate) services: Vec<ServiceStandin>,
    /// The hosts of the engines, followed by those of the services.
    pub(crate) hosts: Vec<UpstreamHost>,
    pub(crate) entries: Vec<Process>,
    entry_settings: Vec<Value>,
}

impl Fleet {
    /// Starts a fleet and waits until the first revision of the table is active everywhere.
    pub(crate) async fn start(plan: Plan) -> Self {
        let platform = PlatformStandin::start(loopback()).await.expect("the platform starts");
        write_table(&platform, &plan).await;
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            hosts: Vec::new(),
            entries: Vec::new(),
            entry_settings: Vec::new(),
        };
        for target in &plan.engines {
            let engine = EngineStandin::start(loopback(), plan.switches.clone()).await;
            let engine = engine.expect("the engine starts");
            fleet.add_host(&plan, "engine", &engine.url(), target).await;
            fleet.engines.push(engine);
        }
        for _ in 0..plan.services {
            let service = ServiceStandin::start(loopback()).await.expect("the service starts");
            fleet.add_host(&plan, "service", &service.url(), "service:ledger").await;
            fleet.services.push(service);
        }
        fleet.list_hosts();
        for number in 0..plan.entries {
            let zone = ZONES[number % ZONES.len()];
            let id = format!("entry-{number}");
            let mut settings = settings::entry(&id, zone, &fleet.platform.url());
            change(&mut settings, &plan.entry_settings);
            fleet.entry_settings.push(settings);
            fleet.entries.push(start_entry(&fleet.entry_settings[number]));
        }
        fleet.wait_until_active(1).await;
        fleet
    }

    async fn add_host(&mut self, plan: &Plan, kind: &str, url: &str, target: &str) {
        let number = self.hosts.len();
        let id = format!("host-{number}");
        let zone = ZONES[number % ZONES.len()];
        let upstream = json!({ "kind": kind, "url": url, "serves": [target] });
        let mut settings = settings::sidecar(&id, zone, &self.platform.url(), &upstream);
        change(&mut settings, &plan.sidecar_settings);
        let sidecar = start_sidecar(&settings);
        let proxy = FaultProxy::start(sidecar.addr("entries_addr")).await;
        let proxy = proxy.expect("the proxy starts");
        let listed = HostEntry {
            host: id.parse().expect("a valid name"),
            zone: zone.parse().expect("a valid name"),
            role: HostRole::Upstream,
            address: proxy.addr().to_string(),
            state: HostState::Live,
            serves: vec![target.parse().expect("a valid target")],
        };
        // The proxy connects to this address, so a restarted sidecar must reuse it.
        settings["entries_addr"] = sidecar.addr("entries_addr").to_string().into();
        self.hosts.push(UpstreamHost { sidecar, proxy, listed, settings });
    }

    /// Publishes the upstream hosts in the platform's host list.
    pub(crate) fn list_hosts(&self) {
        self.platform.set_hosts(self.hosts.iter().map(|host| host.listed.clone()).collect());
    }

    /// Publishes the hosts of upstreams and of entries in the platform's host list.
    pub(crate) fn list_hosts_and_entries(&self) {
        let entry = |settings: &Value| HostEntry {
            host: settings["host"]["id"].as_str().and_then(|id| id.parse().ok()).expect("a name"),
            zone: ZONES[0].parse().expect("a valid name"),
            role: HostRole::Entry,
            address: "127.0.0.1:1".to_owned(),
            state: HostState::Live,
            serves: Vec::new(),
        };
        let hosts = self.hosts.iter().map(|host| host.listed.clone());
        self.platform.set_hosts(hosts.chain(self.entry_settings.iter().map(entry)).collect());
    }

    /// Starts a new process of a sidecar on the same address.
    pub(crate) fn restart_sidecar(&mut self, number: usize) {
        let settings = self.hosts[number].settings.clone();
        self.hosts[number].sidecar = start_sidecar(&settings);
    }

    /// Starts a new process of an entry on new addresses.
    pub(crate) fn restart_entry(&mut self, number: usize) {
        self.entries[number] = start_entry(&self.entry_settings[number]);
    }

    /// Changes a setting of an entry, which applies from its next start.
    pub(crate) fn set_entry(&mut self, number: usize, section: &str, key: &str, value: Value) {
        self.entry_settings[number][section][key] = value;
    }

    /// A client of an entry.
    pub(crate) fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].addr("callers_addr"))
    }

    /// The JSON that an operators' endpoint returns; null when the process cannot be reached.
    pub(crate) async fn operators(&self, addr: SocketAddr, path: &str) -> Value {
        let http =
            reqwest::Client::builder().no_proxy().build().expect("the HTTP client can be built");
        let request = http.get(format!("http://{addr}{path}")).bearer_auth(OPERATORS_KEY);
        match request.send().await {
            Ok(response) => response.json().await.unwrap_or_default(),
            Err(_) => Value::Null,
        }
    }

    /// The state dump of an entry.
    pub(crate) async fn entry_state(&self, entry: usize) -> Value {
        self.operators(self.entries[entry].addr("operators_addr"), "/v1/state").await
    }

    /// The state dump of a sidecar.
    pub(crate) async fn sidecar_state(&self, host: usize) -> Value {
        self.operators(self.hosts[host].sidecar.addr("operators_addr"), "/v1/state").await
    }

    /// Waits until the revision is active in every process and every connection is up.
    pub(crate) async fn wait_until_active(&self, revision: u64) {
        wait_until("the table is active everywhere", || async {
            for entry in 0..self.entries.len() {
                let state = self.entry_state(entry).await;
                let links = state["links"].as_array().cloned().unwrap_or_default();
                let connected = links.iter().filter(|link| link["is_connected"] == true).count();
                if state["revision"].as_u64() < Some(revision) || connected != self.hosts.len() {
                    return false;
                }
            }
            for host in 0..self.hosts.len() {
                if self.sidecar_state(host).await["revision"].as_u64() < Some(revision) {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Submits an edit to an entry. Returns the HTTP status and the body, or status 0 when the
    /// entry cannot be reached.
    pub(crate) async fn edit(&self, entry: usize, edit: &Edit) -> (u16, Value) {
        let addr = self.entries[entry].addr("operators_addr");
        let http =
            reqwest::Client::builder().no_proxy().build().expect("the HTTP client can be built");
        let request = http.patch(format!("http://{addr}/v1/table")).bearer_auth(OPERATORS_KEY);
        match request.json(edit).send().await {
            Ok(response) => {
                let status = response.status().as_u16();
                (status, response.json().await.unwrap_or_default())
            }
            Err(_) => (0, Value::Null),
        }
    }

    /// All records in the ledger, including duplicates.
    pub(crate) fn ledger_records(&self) -> Vec<BillRecord> {
        let batches = self.platform.records("ledger/");
        let records = batches.into_iter().flat_map(|batch| {
            let records: Vec<BillRecord> =
                serde_json::from_value(batch.value).expect("the ledger holds records");
            records
        });
        records.collect()
    }
}

/// An edit with a new ID. Each cell is its address, the expected value and the new value.
pub(crate) fn edit_of(cells: &[(&str, &str, &str)]) -> Edit {
    let cells = cells.iter().map(|(address, expect, value)| CellChange {
        address: address.parse().expect("a valid address"),
        expect: (*expect).to_owned(),
        value: (*value).to_owned(),
    });
    Edit { id: EditId::generate(), author: "test".to_owned(), cells: cells.collect() }
}

async fn write_table(platform: &PlatformStandin, plan: &Plan) {
    let digest = KeyDigest::of(WORKSPACE_KEY).to_string();
    let mut cells = vec![("w/*/key_digest".to_owned(), digest)];
    let mut targets: Vec<_> = plan.engines.clone();
    targets.sort_unstable();
    targets.dedup();
    for target in targets {
        cells.push((format!("w/{target}/allowed"), "yes".to_owned()));
        cells.push((format!("w/{target}/cost_micros_per_1k_tokens"), "1000".to_owned()));
    }
    cells.push(("w/service:ledger/allowed".to_owned(), "yes".to_owned()));
    cells.push(("w/service:ledger/repeatable".to_owned(), "no".to_owned()));
    cells.extend(plan.cells.iter().map(|(cell, value)| ((*cell).to_owned(), (*value).to_owned())));
    let cells: Vec<_> =
        cells.iter().map(|(address, value)| (address.as_str(), "", value.as_str())).collect();
    let client = PlatformClient::new(&platform.url(), CALL_TIMEOUT);
    let committed = TableStore::new(client).commit(&edit_of(&cells)).await;
    committed.expect("the initial edit is committed");
}

fn change(settings: &mut Value, changes: &[(&'static str, &'static str, Value)]) {
    for (section, key, value) in changes {
        if settings[section].is_null() {
            settings[section] = json!({});
        }
        settings[section][key] = value.clone();
    }
}

fn start_entry(settings: &Value) -> Process {
    Process::start(env!("CARGO_BIN_EXE_stallhoist-entry"), &settings.to_string())
}

fn start_sidecar(settings: &Value) -> Process {
    Process::start(env!("CARGO_BIN_EXE_stallhoist-sidecar"), &settings.to_string())
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

//! A small deployment: three gateways, three engines and two plain services in three zones.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::process;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::gateway::Addresses;
use crate::gateway::Gateway;
use crate::gateway::zone;
use crate::record::Record;
use crate::store::Store;
use crate::store::StoreAccess;
use crate::worker::Behaviour;
use crate::worker::Runs;
use crate::worker::Worker;

/// Number of gateways, engines and zones.
const ZONES: usize = 3;

/// Traffic starts this long after the machines do.
const LEAD: Duration = Duration::from_secs(10);

/// Another process may take a port between its choice and the start of the gateway, which then ends.
const MAX_STARTS: u32 = 3;

/// The service of the lookups in the first configuration, and the one that the route is moved to.
pub const OLD_LEDGER: &str = "ledger-app";
pub const NEW_LEDGER: &str = "ledger-next";

/// The key of the only tenant.
pub const KEY: &str = "anfqasnmgkcuyj8pjbvk";

/// The folder of settings and logs. It is removed when dropped.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The deployment. All processes end when it is dropped.
pub struct World {
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// Each gateway's view of the store.
    pub views: Vec<StoreAccess>,
    /// The store.
    pub store: Store,
    /// The runs of all workers.
    pub runs: Runs,
    _folder: Folder,
}

impl World {
    /// Starts it, and waits until traffic may start.
    ///
    /// # Errors
    /// Fails if it does not become ready.
    pub fn start(engines: &Behaviour, record: &Record) -> io::Result<Self> {
        for _ in 1..MAX_STARTS {
            match Self::start_once(engines, record) {
                Ok(world) => return Ok(world),
                Err(error) => record.line(format!("all starts again: {error}")),
            };
        }
        Self::start_once(engines, record)
    }

    fn start_once(engines: &Behaviour, record: &Record) -> io::Result<Self> {
        let started = Instant::now();
        let folder = std::env::temp_dir().join(format!("stallhoist-review-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let folder = Folder(folder);
        let store = Store::new(record);
        let runs = Runs::default();
        for number in 0..ZONES {
            let engine = Worker::start(&format!("i-engine-{number}"), engines, &runs, record)?;
            store.put("servers", &engine.id, &engine.row("underwrite-lm", zone(number), 32));
        }
        for service in [OLD_LEDGER, NEW_LEDGER] {
            let plain = Worker::start(&format!("i-{service}"), engines, &runs, record)?;
            store.put("servers", &plain.id, &plain.row(service, zone(0), 6));
        }
        store.put("op", "config", &config(4, OLD_LEDGER));
        let fleet: Vec<_> = (0..ZONES).map(|_| Addresses::free()).collect::<Result<_, _>>()?;
        let mut gateways = Vec::new();
        let mut views = Vec::new();
        for number in 0..ZONES {
            let view = store.open(&format!("gateway {number}"))?;
            gateways.push(Gateway::start(number, &fleet, &view, &folder.0, record)?);
            views.push(view);
        }
        for gateway in &mut gateways {
            gateway.wait_until_ready()?;
        }
        record.line("all gateways are ready");
        thread::sleep(LEAD.saturating_sub(started.elapsed()));
        Ok(Self { gateways, views, store, runs, _folder: folder })
    }
}

/// A configuration: a route for generations, and one for lookups, which leads to the service `ledger`.
pub fn config(version: u64, ledger: &str) -> String {
    format!(
        r#"{{"version":{version},
"routes":[
{{"name":"r-brief","host":"desk.example","path_prefix":"/brief/","kind":"streaming","timeout_ms":20000,"target_latency_ms":1500,"priority":0,"sizes":["m0","m1","m2"],"service":"underwrite-lm","max_attempts":3,"auth_exempt":false,"sticky":true,"resumable":true,"gap_aim_ms":1200}},
{{"name":"r-post","host":"desk.example","path_prefix":"/post/","kind":"safe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"{ledger}","max_attempts":2,"auth_exempt":false}}],
"services":[
{{"name":"underwrite-lm","health_path":"/health","max_conns":230,"protocol":"h1","tls":false,"engine":{{"slots":32,"kv_capacity_tokens":761808,"models":[{{"name":"m0","cost":0.015}},{{"name":"m1","cost":0.11}},{{"name":"m2","cost":0.22}}]}}}},
{{"name":"{OLD_LEDGER}","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}},
{{"name":"{NEW_LEDGER}","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

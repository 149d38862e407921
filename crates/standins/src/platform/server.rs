//! The platform's stand-in as a running server.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use stallhoist_http::HttpServer;
use stallhoist_http::ServerError;
use stallhoist_http::ServerSettings;
use stallhoist_platform::HostEntry;
use stallhoist_platform::HostList;
use stallhoist_platform::Record;

use super::Faults;
use super::StoreCounts;
use super::routes;
use super::store::Store;

/// How many past host lists are kept to be shown late.
const MAX_PAST_LISTS: usize = 1_000;

/// What the routes share. Lock order: `faults`, then `store`, then `hosts`, then
/// `objects`, then `quality`.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) faults: Mutex<Faults>,
    pub(crate) store: Mutex<Store>,
    /// Past host lists with the time each came into force, the newest last.
    pub(crate) hosts: Mutex<VecDeque<(Instant, HostList)>>,
    pub(crate) objects: Mutex<BTreeMap<String, Vec<u8>>>,
    /// The score the rater gives to answers of a version; 1 where none is set.
    pub(crate) quality: Mutex<BTreeMap<String, f64>>,
}

impl Shared {
    /// The list of hosts, late if it lags. It never goes back: what is older than a list that was
    /// shown is dropped.
    pub(crate) fn hosts_as_shown(&self) -> HostList {
        let lag = Duration::from_millis(self.faults.lock().host_list_lag_ms);
        let mut hosts = self.hosts.lock();
        let shown = hosts.iter().rposition(|(since, _)| since.elapsed() >= lag).unwrap_or(0);
        hosts.drain(..shown);
        hosts.front().map(|(_, list)| list.clone()).unwrap_or_default()
    }

    pub(crate) fn set_hosts(&self, list: HostList) {
        let mut hosts = self.hosts.lock();
        hosts.push_back((Instant::now(), list));
        if hosts.len() > MAX_PAST_LISTS {
            hosts.pop_front();
        }
    }
}

/// The platform's stand-in, serving.
#[derive(Debug)]
pub struct PlatformStandin {
    shared: Arc<Shared>,
    server: HttpServer,
}

impl PlatformStandin {
    /// Starts an empty platform on an address; port 0 takes a free one.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub async fn start(addr: SocketAddr) -> Result<Self, ServerError> {
        let shared = Arc::new(Shared {
            faults: Mutex::default(),
            store: Mutex::default(),
            hosts: Mutex::new(VecDeque::from([(Instant::now(), HostList::default())])),
            objects: Mutex::default(),
            quality: Mutex::default(),
        });
        let settings = ServerSettings { addr, ..ServerSettings::default() };
        let server = HttpServer::start(routes::mount(Arc::clone(&shared)), &settings).await?;
        Ok(Self { shared, server })
    }

    /// The address as a URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.addr())
    }

    /// Changes what goes wrong.
    pub fn set_faults(&self, faults: Faults) {
        *self.shared.faults.lock() = faults;
    }

    /// How many replies are still to be lost.
    pub fn remaining_lost_replies(&self) -> u64 {
        self.shared.faults.lock().lose_write_replies
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.shared.set_hosts(HostList { hosts });
    }

    /// The list of hosts as it is, without lag.
    pub fn hosts(&self) -> Vec<HostEntry> {
        let hosts = self.shared.hosts.lock();
        hosts.back().map(|(_, list)| list.hosts.clone()).unwrap_or_default()
    }

    /// Sets the score the rater gives to a version's answers.
    pub fn set_quality(&self, version: &str, score: f64) {
        self.shared.quality.lock().insert(version.to_owned(), score);
    }

    /// How often the store was used.
    pub fn counts(&self) -> StoreCounts {
        self.shared.store.lock().counts
    }

    /// All records under a prefix, read past all faults, for checks.
    pub fn records(&self, prefix: &str) -> Vec<Record> {
        let mut store = self.shared.store.lock();
        let counts = store.counts;
        let page = store.list(prefix, "", usize::MAX);
        store.counts = counts;
        page.records
    }

    /// Stops serving.
    pub async fn stop(self) {
        self.server.stop(crate::STOP_LINGER).await;
    }
}

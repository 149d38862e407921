//! Server and shared state of the platform's stand-in.

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

/// Past host lists that are kept for delayed delivery.
const MAX_PAST_LISTS: usize = 1_000;

/// State that the routes share. Lock order: `faults`, `store`, `hosts`, `objects`, `quality`.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) faults: Mutex<Faults>,
    pub(crate) store: Mutex<Store>,
    /// Host lists with the time at which each became active, newest last.
    pub(crate) hosts: Mutex<VecDeque<(Instant, HostList)>>,
    pub(crate) objects: Mutex<BTreeMap<String, Vec<u8>>>,
    /// Score that the rater gives to the responses of a version; 1 if none is set.
    pub(crate) quality: Mutex<BTreeMap<String, f64>>,
}

impl Shared {
    /// Returns the host list, delayed by the configured lag. Lists older than a returned one are dropped, so a
    /// caller never sees an earlier list after a later one.
    pub(crate) fn lagged_hosts(&self) -> HostList {
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

/// A running stand-in for the platform.
#[derive(Debug)]
pub struct PlatformStandin {
    shared: Arc<Shared>,
    server: HttpServer,
}

impl PlatformStandin {
    /// Starts an empty platform on an address; port 0 selects a free port.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
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

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.addr())
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.shared.faults.lock() = faults;
    }

    /// Returns the number of replies that are still to be dropped.
    pub fn remaining_lost_replies(&self) -> u64 {
        self.shared.faults.lock().lose_write_replies
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.shared.set_hosts(HostList { hosts });
    }

    /// Returns the current host list, without lag.
    pub fn hosts(&self) -> Vec<HostEntry> {
        let hosts = self.shared.hosts.lock();
        hosts.back().map(|(_, list)| list.hosts.clone()).unwrap_or_default()
    }

    /// Sets the score that the rater gives to a version's responses.
    pub fn set_quality(&self, version: &str, score: f64) {
        self.shared.quality.lock().insert(version.to_owned(), score);
    }

    /// Returns the number of calls to the store.
    pub fn counts(&self) -> StoreCounts {
        self.shared.store.lock().counts
    }

    /// Returns all records under a prefix. Ignores faults and isn't counted as a call.
    pub fn records(&self, prefix: &str) -> Vec<Record> {
        let mut store = self.shared.store.lock();
        let counts = store.counts;
        let page = store.list(prefix, "", usize::MAX);
        store.counts = counts;
        page.records
    }

    /// Stops the server.
    pub async fn stop(self) {
        self.server.stop(crate::STOP_LINGER).await;
    }
}

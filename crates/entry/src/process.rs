//! The life cycle of an entry process. It serves, then leaves (reports that it is not ready, but still
//! accepts requests from the load balancer), then drains, then stops.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use displaydoc::Display;
use stallhoist_http::HttpServer;
use stallhoist_http::ServerError;
use stallhoist_http::ServerSettings;
use stallhoist_settings::EntrySettings;
use stallhoist_telemetry::MetricsPage;
use stallhoist_wire::messages::frame::Body;
use tokio::task::JoinSet;

use crate::background;
use crate::billing;
use crate::callers;
use crate::operators;
use crate::shared::Shared;

/// How long the HTTP servers may take to send their last responses.
const SERVER_STOP_TIMEOUT: Duration = Duration::from_millis(200);
const CHECK_PERIOD: Duration = Duration::from_millis(20);
const FLUSH_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Why an entry could not be started.
#[derive(Debug, Display, thiserror::Error)]
pub enum EntryError {
    /// '{0}' is not an IP address with a port
    Address(String),
    /// an endpoint did not start
    Server(#[from] ServerError),
}

/// The state of an entry that accepts requests.
#[derive(Debug)]
pub struct Serving;

/// The state of an entry that reports that it is not ready, but still accepts requests, since the load
/// balancer notices with a delay.
#[derive(Debug)]
pub struct Leaving;

/// The state of an entry that accepts no connections and finishes the requests in progress.
#[derive(Debug)]
pub struct Draining;

/// A running entry. The type parameter is its state.
#[derive(Debug)]
pub struct Entry<State = Serving> {
    shared: Arc<Shared>,
    callers: HttpServer,
    operators: HttpServer,
    tasks: JoinSet<()>,
    state: PhantomData<State>,
}

impl Entry<Serving> {
    /// Starts an entry.
    ///
    /// # Errors
    /// Fails if an address is invalid or cannot be listened on.
    pub async fn start(settings: EntrySettings) -> Result<Self, EntryError> {
        let callers_addr = parse_addr(&settings.callers_addr)?;
        let operators_addr = parse_addr(&settings.operators_addr)?;
        let shared = Arc::new(Shared::new(settings));
        let mut page = MetricsPage::default();
        shared.metrics.register(&mut page);
        let callers = ServerSettings {
            addr: callers_addr,
            max_body_bytes: shared.settings.callers.max_body_bytes,
            keep_alive_s: shared.settings.callers.keep_alive_s,
            stop_grace: Duration::from_millis(shared.settings.timing.stop_grace_ms),
        };
        let callers = HttpServer::start(callers::mount(Arc::clone(&shared)), &callers).await?;
        let operators = ServerSettings { addr: operators_addr, ..ServerSettings::default() };
        let routes = operators::mount(Arc::clone(&shared), page);
        let operators = HttpServer::start(routes, &operators).await?;
        let mut tasks = JoinSet::new();
        tasks.spawn(background::heartbeat(Arc::clone(&shared)));
        tasks.spawn(background::follow_hosts(Arc::clone(&shared)));
        tasks.spawn(background::follow_table(Arc::clone(&shared)));
        tasks.spawn(background::flush_bills(Arc::clone(&shared)));
        tasks.spawn(background::release_claims(Arc::clone(&shared)));
        log::info!(
            host:% = shared.identity.host,
            callers_addr:% = callers.addr(),
            operators_addr:% = operators.addr();
            "entry serves"
        );
        Ok(Self { shared, callers, operators, tasks, state: PhantomData })
    }

    /// Reports that the entry is no longer ready. Requests are still accepted.
    pub fn leave(self) -> Entry<Leaving> {
        self.shared.set_leaving();
        self.shared.links.broadcast(&Body::Status(self.shared.status()));
        log::info!("leaving: not ready, still serving");
        self.into_state()
    }
}

impl Entry<Leaving> {
    /// Waits until the load balancer has noticed, then accepts no more connections.
    pub async fn wait_for_balancer(self) -> Entry<Draining> {
        let lag = Duration::from_millis(self.shared.settings.timing.stop_lag_ms);
        tokio::time::sleep(lag).await;
        self.callers.begin_stop();
        self.into_state()
    }
}

impl Entry<Draining> {
    /// Finishes the requests in progress, writes the bill records to the ledger, and stops. Gives up on
    /// both after the grace period of the settings.
    pub async fn finish(mut self) {
        let grace = Duration::from_millis(self.shared.settings.timing.stop_grace_ms);
        if tokio::time::timeout(grace, self.settle()).await.is_err() {
            log::warn!(
                requests = self.shared.in_flight.load(Ordering::SeqCst),
                unsettled_bills = self.shared.bills.lock().held.len();
                "stopping with work left; the sidecars hold the unsettled records"
            );
        }
        self.tasks.abort_all();
        self.shared.links.close_all();
        self.callers.stop(SERVER_STOP_TIMEOUT).await;
        self.operators.stop(SERVER_STOP_TIMEOUT).await;
        log::info!("entry stopped");
    }

    async fn settle(&self) {
        while self.shared.in_flight.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(CHECK_PERIOD).await;
        }
        let mut unconfirmed = None;
        loop {
            billing::flush(&self.shared, &mut unconfirmed).await;
            if unconfirmed.is_none() && self.shared.bills.lock().held.is_empty() {
                return;
            }
            tokio::time::sleep(FLUSH_RETRY_DELAY).await;
        }
    }
}

impl<State> Entry<State> {
    /// The address for callers.
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// The address for operators.
    pub fn operators_addr(&self) -> SocketAddr {
        self.operators.addr()
    }

    fn into_state<Next>(self) -> Entry<Next> {
        Entry {
            shared: self.shared,
            callers: self.callers,
            operators: self.operators,
            tasks: self.tasks,
            state: PhantomData,
        }
    }
}

fn parse_addr(text: &str) -> Result<SocketAddr, EntryError> {
    text.parse().map_err(|_| EntryError::Address(text.to_owned()))
}

//! The life cycle of a sidecar: serving, draining, stopped.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use stallhoist_http::HttpServer;
use stallhoist_http::ServerError;
use stallhoist_http::ServerSettings;
use stallhoist_settings::SidecarSettings;
use stallhoist_telemetry::MetricsPage;
use stallhoist_wire::messages::frame::Body;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::background;
use crate::connection;
use crate::operators;
use crate::shared::Shared;

/// The time for responses of the operator endpoints to be sent before the server stops.
const OPERATORS_REPLY_GRACE: Duration = Duration::from_millis(100);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a sidecar did not start.
#[derive(Debug, Display, thiserror::Error)]
pub enum SidecarError {
    /// '{0}' is not an IP address with a port
    Address(String),
    /// cannot listen for entry connections on {addr}: {cause}
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        cause: std::io::Error,
    },
    /// cannot start the operator endpoint
    Operators(#[from] ServerError),
}

/// The state of a sidecar that accepts requests.
#[derive(Debug)]
pub struct Serving;

/// The state of a sidecar that rejects new requests and finishes the others.
#[derive(Debug)]
pub struct Leaving;

/// A running sidecar. The type parameter is its life cycle state.
#[derive(Debug)]
pub struct Sidecar<State = Serving> {
    shared: Arc<Shared>,
    entries_addr: SocketAddr,
    operators: HttpServer,
    tasks: JoinSet<()>,
    state: PhantomData<State>,
}

impl Sidecar<Serving> {
    /// Starts a sidecar.
    ///
    /// # Errors
    /// Fails if an address is invalid or cannot be listened on.
    pub async fn start(settings: SidecarSettings) -> Result<Self, SidecarError> {
        let entries_addr = parse_addr(&settings.entries_addr)?;
        let operators_addr = parse_addr(&settings.operators_addr)?;
        let listen_error = |cause| SidecarError::Listen { addr: entries_addr, cause };
        let listener = TcpListener::bind(entries_addr).await.map_err(listen_error)?;
        let entries_addr = listener.local_addr().map_err(listen_error)?;
        let shared = Arc::new(Shared::new(settings));
        let mut page = MetricsPage::default();
        shared.metrics.register(&mut page);
        let server = ServerSettings { addr: operators_addr, ..ServerSettings::default() };
        let routes = operators::mount(Arc::clone(&shared), page);
        let operators = HttpServer::start(routes, &server).await?;
        let mut tasks = JoinSet::new();
        tasks.spawn(connection::accept_all(Arc::clone(&shared), listener));
        tasks.spawn(background::heartbeat(Arc::clone(&shared)));
        tasks.spawn(background::run_queue(Arc::clone(&shared)));
        tasks.spawn(background::sweep(Arc::clone(&shared)));
        tasks.spawn(background::poll_cache_events(Arc::clone(&shared)));
        log::info!(
            host:% = shared.identity.host,
            entries_addr:% = entries_addr,
            operators_addr:% = operators.addr();
            "sidecar serves"
        );
        Ok(Self { shared, entries_addr, operators, tasks, state: PhantomData })
    }

    /// Stops accepting requests and notifies all connected entries.
    pub fn leave(self) -> Sidecar<Leaving> {
        self.shared.set_leaving();
        let status = Body::Status(self.shared.status(false));
        self.shared.peers.lock().broadcast(&status);
        log::info!("draining: rejecting new requests");
        Sidecar {
            shared: self.shared,
            entries_addr: self.entries_addr,
            operators: self.operators,
            tasks: self.tasks,
            state: PhantomData,
        }
    }
}

impl<State> Sidecar<State> {
    /// The address that entries connect to.
    pub fn entries_addr(&self) -> SocketAddr {
        self.entries_addr
    }

    /// The address that operators connect to.
    pub fn operators_addr(&self) -> SocketAddr {
        self.operators.addr()
    }

    /// Stops at once, as in a crash: requests are not finished and entries are not notified.
    pub fn kill(mut self) {
        self.tasks.abort_all();
        self.operators.begin_stop();
    }
}

impl Sidecar<Leaving> {
    /// Waits until all attempts have ended, their responses were read and their bill records are
    /// settled, at most for `stop_grace_ms`; then stops.
    pub async fn finish(mut self) {
        let grace = Duration::from_millis(self.shared.settings.timing.stop_grace_ms);
        let finished = tokio::time::timeout(grace, self.wait_until_drained()).await;
        if finished.is_err() {
            log::warn!(
                attempts = self.shared.answers.lock().len(),
                unsettled_bills = self.shared.bills.lock().len();
                "stopping before all attempts and bill records are done"
            );
        }
        self.tasks.abort_all();
        self.operators.stop(OPERATORS_REPLY_GRACE).await;
        log::info!("sidecar stopped");
    }

    async fn wait_until_drained(&self) {
        while !self.is_drained() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    fn is_drained(&self) -> bool {
        let answers: Vec<_> = self.shared.answers.lock().values().cloned().collect();
        let is_over = |a: &Arc<crate::answer::Answer>| a.ended_at().is_some() && !a.is_being_read();
        let has_peers = self.shared.peers.lock().len() > 0;
        // Without a connected entry the records cannot be settled here; another sidecar holds a copy.
        let is_settled = self.shared.bills.lock().is_empty() || !has_peers;
        answers.iter().all(is_over) && is_settled
    }
}

fn parse_addr(text: &str) -> Result<SocketAddr, SidecarError> {
    text.parse().map_err(|_| SidecarError::Address(text.to_owned()))
}

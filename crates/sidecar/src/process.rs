//! The life of a sidecar: it serves, it leaves, it is gone.

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

/// How long an operator's reply is given to go out.
const STOP_LINGER: Duration = Duration::from_millis(100);
const CHECK_EVERY: Duration = Duration::from_millis(20);

/// Why a sidecar did not start.
#[derive(Debug, Display, thiserror::Error)]
pub enum SidecarError {
    /// '{0}' is not an IP address with a port
    Address(String),
    /// cannot listen for entries on {addr}: {cause}
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why.
        cause: std::io::Error,
    },
    /// the operators' endpoint did not start
    Operators(#[from] ServerError),
}

/// The state of a sidecar that takes work.
#[derive(Debug)]
pub struct Serving;

/// The state of a sidecar that takes no new work and finishes what it has.
#[derive(Debug)]
pub struct Leaving;

/// A running sidecar. Its type says where in its life it is.
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
    /// Fails when an address cannot be listened on.
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
        tasks.spawn(background::follow_cache(Arc::clone(&shared)));
        log::info!(
            host:% = shared.identity.host,
            entries_addr:% = entries_addr,
            operators_addr:% = operators.addr();
            "sidecar serves"
        );
        Ok(Self { shared, entries_addr, operators, tasks, state: PhantomData })
    }

    /// Takes no new work from now on, and says so to all entries.
    pub fn leave(self) -> Sidecar<Leaving> {
        self.shared.set_leaving();
        let status = Body::Status(self.shared.status(false));
        self.shared.peers.lock().broadcast(&status);
        log::info!("leaving: no new work");
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
    /// Where entries connect to.
    pub fn entries_addr(&self) -> SocketAddr {
        self.entries_addr
    }

    /// Where operators connect to.
    pub fn operators_addr(&self) -> SocketAddr {
        self.operators.addr()
    }

    /// Ends at once, as a crash would: nothing is finished, nothing is said.
    pub fn kill(mut self) {
        self.tasks.abort_all();
        self.operators.begin_stop();
    }
}

impl Sidecar<Leaving> {
    /// Waits until all work has ended, its answers were read and its records are
    /// settled, within the grace of the settings; then ends.
    pub async fn finish(mut self) {
        let grace = Duration::from_millis(self.shared.settings.timing.stop_grace_ms);
        let finished = tokio::time::timeout(grace, self.all_done()).await;
        if finished.is_err() {
            log::warn!(
                attempts = self.shared.answers.lock().len(),
                unsettled_bills = self.shared.bills.lock().len();
                "stopping with work left"
            );
        }
        self.tasks.abort_all();
        self.operators.stop(STOP_LINGER).await;
        log::info!("sidecar stopped");
    }

    async fn all_done(&self) {
        while !self.is_done() {
            tokio::time::sleep(CHECK_EVERY).await;
        }
    }

    fn is_done(&self) -> bool {
        let answers: Vec<_> = self.shared.answers.lock().values().cloned().collect();
        let is_over = |a: &Arc<crate::answer::Answer>| a.ended_at().is_some() && !a.is_being_read();
        let has_peers = self.shared.peers.lock().len() > 0;
        // Without an entry nobody can settle; the neighbour's copy stands in.
        let is_settled = self.shared.bills.lock().is_empty() || !has_peers;
        answers.iter().all(is_over) && is_settled
    }
}

fn parse_addr(text: &str) -> Result<SocketAddr, SidecarError> {
    text.parse().map_err(|_| SidecarError::Address(text.to_owned()))
}

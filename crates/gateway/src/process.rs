//! The lifecycle of a gateway: it serves, leaves while callers are still sent to it, drains, and
//! ends.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stallhoist_coordination::ProcessClock;
use stallhoist_http::HttpServer;
use stallhoist_http::ServerSettings;
use stallhoist_settings::GatewaySettings;
use stallhoist_telemetry::MetricsPage;
use tokio::task::JoinSet;

use crate::callers::CallerServer;
use crate::control_store::ControlStore;
use crate::control_store::Feed;
use crate::dialect::Dialect;
use crate::duties::DutyPlatform;
use crate::duties::perform_duties;
use crate::error::GatewayError;
use crate::fatal;
use crate::follow::follow;
use crate::operators;
use crate::peers::PeerServer;
use crate::peers::RelayedStore;
use crate::peers::announce;
use crate::peers::exchange_duties;
use crate::peers::fetch_startup_limits;
use crate::peers::flush_duties;
use crate::peers::publish_evidence;
use crate::peers::publish_work;
use crate::peers::write_listings;
use crate::rollouts;
use crate::state::GatewayState;

/// Interval at which upstreams that have left are dropped.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);

/// If the platform does not query readiness, callers are assumed to be sent elsewhere after this
/// time.
const MAX_BALANCER_LAG: Duration = Duration::from_millis(2_700);

/// How long a starting gateway waits for the list of quarantined requests, after which it serves
/// without: callers wait for 0.8 s for the required state.
const FATAL_REQUESTS_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval of checks whether all work has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Number of negative readiness responses after which the platform sends no more callers here.
const REQUIRED_NOT_READY_RESPONSES: usize = 2;

/// How long a connection that was sent here before may take to arrive.
const IN_FLIGHT_DELAY: Duration = Duration::from_millis(200);

/// How long responses handed to the operators' server may take to be sent.
const STOP_LINGER: Duration = Duration::from_millis(100);

/// The state of a gateway that serves requests.
#[derive(Debug)]
pub struct Serving;

/// The state of a gateway that reports not ready but still serves requests, as the platform reacts
/// with a delay.
#[derive(Debug)]
pub struct Leaving;

/// The state of a gateway that closes idle connections and completes requests in progress.
#[derive(Debug)]
pub struct Draining;

/// A running gateway. The type parameter is the phase of its lifecycle.
#[derive(Debug)]
pub struct Gateway<Phase = Serving> {
    state: Arc<GatewayState>,
    callers: CallerServer,
    readiness: HttpServer,
    operators: HttpServer,
    peers: PeerServer,
    tasks: JoinSet<()>,
    phase: PhantomData<Phase>,
}

/// What a gateway is made of, besides its settings.
#[derive(Debug)]
pub struct GatewayParts<S> {
    /// The headers on the wire.
    pub dialect: Arc<dyn Dialect>,
    /// The store that is followed.
    pub store: Arc<S>,
    /// The receiver of the duties that the settings name; without one, none are performed.
    pub duty_platform: Option<Arc<dyn DutyPlatform>>,
    /// The clock, whose suspensions can be simulated.
    pub clock: ProcessClock,
}

impl<S> GatewayParts<S> {
    /// The parts of a gateway without duties.
    pub fn new(dialect: Arc<dyn Dialect>, store: Arc<S>) -> Self {
        Self { dialect, store, duty_platform: None, clock: ProcessClock::start() }
    }
}

impl Gateway<Serving> {
    /// Starts a gateway that speaks `dialect` and follows `store`.
    ///
    /// # Errors
    /// Fails when an address cannot be listened on.
    pub async fn start<S: ControlStore>(
        settings: GatewaySettings,
        dialect: Arc<dyn Dialect>,
        store: Arc<S>,
    ) -> Result<Self, GatewayError> {
        Self::start_with(settings, GatewayParts::new(dialect, store)).await
    }

    /// Starts a gateway from its parts.
    ///
    /// # Errors
    /// As [`start`](Self::start).
    pub async fn start_with<S: ControlStore>(
        settings: GatewaySettings,
        parts: GatewayParts<S>,
    ) -> Result<Self, GatewayError> {
        let GatewayParts { dialect, store, duty_platform, clock } = parts;
        let callers_addr = parse_addr(&settings.callers_addr)?;
        let readiness = server_settings(&settings.readiness_addr)?;
        let operators = server_settings(&settings.operators_addr)?;
        let state = Arc::new(GatewayState::new(settings, dialect, clock));
        let peers_addr = parse_addr(&state.settings.peers_addr)?;
        let peers = PeerServer::start(peers_addr, Arc::clone(&state))
            .await
            .map_err(|cause| GatewayError::Peers { addr: peers_addr, cause })?;
        let store = Arc::new(RelayedStore::new(Arc::clone(&state), store));
        let tasks = start_tasks(&state, &store, duty_platform, peers.addr());
        let callers = CallerServer::start(callers_addr, Arc::clone(&state))
            .await
            .map_err(|cause| GatewayError::Callers { addr: callers_addr, cause })?;
        let path = &state.settings.readiness_path;
        let routes = operators::mount_readiness(Arc::clone(&state), path);
        let readiness = HttpServer::start(routes, &readiness).await?;
        let mut page = MetricsPage::default();
        state.metrics.register(&mut page);
        let routes = operators::mount(Arc::clone(&state), page);
        let operators = HttpServer::start(routes, &operators).await?;
        log::info!(
            host:% = state.settings.host.id,
            callers_addr:% = callers.addr(),
            readiness_addr:% = readiness.addr(),
            operators_addr:% = operators.addr();
            "gateway serves"
        );
        Ok(Self { state, callers, readiness, operators, peers, tasks, phase: PhantomData })
    }

    /// Reports not ready from now on; requests are still served.
    pub fn leave(self) -> Gateway<Leaving> {
        self.state.begin_stop();
        log::info!(connections = self.callers.open(); "leaving: not ready, still serving");
        self.into_phase()
    }
}

impl Gateway<Leaving> {
    /// Waits until the platform has reacted, then closes idle connections.
    pub async fn wait_for_balancer(self) -> Gateway<Draining> {
        let balancer_informed = async {
            while self.state.not_ready_responses() < REQUIRED_NOT_READY_RESPONSES {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
            tokio::time::sleep(IN_FLIGHT_DELAY).await;
        };
        if tokio::time::timeout(MAX_BALANCER_LAG, balancer_informed).await.is_err() {
            log::info!("the platform queried readiness too rarely; draining anyway");
        }
        self.callers.close_idle();
        log::info!(connections = self.callers.open(); "draining");
        self.into_phase()
    }
}

impl Gateway<Draining> {
    /// Completes requests in progress and ends before the platform's kill.
    pub async fn finish(mut self) {
        let end = self.state.planned_end();
        let has_work = || self.state.in_progress() > 0 || self.callers.used() > 0;
        while has_work() && self.state.now() < end {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        self.callers.stop_accepting();
        let responses_sent = async {
            while self.callers.open() > 0 {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        };
        self.tasks.abort_all();
        // Concurrently: sequentially they took longer than the margin before the kill.
        let (are_responses_sent, _, (), ()) = tokio::join!(
            tokio::time::timeout(STOP_LINGER, responses_sent),
            tokio::time::timeout(STOP_LINGER, flush_duties(&self.state)),
            self.readiness.stop(STOP_LINGER),
            self.operators.stop(STOP_LINGER),
        );
        if are_responses_sent.is_err() {
            log::warn!(
                requests = self.state.in_progress(),
                connections = self.callers.open();
                "stopping with work left"
            );
        }
        self.callers.close_all();
        log::info!("gateway stopped");
    }
}

impl<Phase> Gateway<Phase> {
    /// The address for callers.
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// The address of the readiness endpoint.
    pub fn readiness_addr(&self) -> SocketAddr {
        self.readiness.addr()
    }

    /// The address for operators.
    pub fn operators_addr(&self) -> SocketAddr {
        self.operators.addr()
    }

    fn into_phase<Next>(self) -> Gateway<Next> {
        Gateway {
            state: self.state,
            callers: self.callers,
            readiness: self.readiness,
            operators: self.operators,
            peers: self.peers,
            tasks: self.tasks,
            phase: PhantomData,
        }
    }
}

fn start_tasks<S: ControlStore>(
    state: &Arc<GatewayState>,
    store: &Arc<S>,
    duty_platform: Option<Arc<dyn DutyPlatform>>,
    peers_addr: SocketAddr,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(announce(Arc::clone(state), peers_addr));
    tasks.spawn(write_listings(Arc::clone(state), Arc::clone(store)));
    for feed in Feed::ALL {
        tasks.spawn(follow(Arc::clone(state), Arc::clone(store), feed));
    }
    tasks.spawn(serve_without_fatal_requests(Arc::clone(state)));
    tasks.spawn(fetch_startup_limits(Arc::clone(state)));
    tasks.spawn(fatal::store_fatal_requests(Arc::clone(state), Arc::clone(store)));
    tasks.spawn(rollouts::store_due_steps(Arc::clone(state), Arc::clone(store)));
    tasks.spawn(rollouts::watch(Arc::clone(state)));
    tasks.spawn(publish_evidence(Arc::clone(state)));
    tasks.spawn(publish_work(Arc::clone(state)));
    tasks.spawn(perform_duties(Arc::clone(state), Arc::clone(store), duty_platform));
    tasks.spawn(exchange_duties(Arc::clone(state)));
    tasks.spawn(expire(Arc::clone(state)));
    tasks
}

/// Serves without the list of quarantined requests if it cannot be read in time.
async fn serve_without_fatal_requests(state: Arc<GatewayState>) {
    tokio::time::sleep(FATAL_REQUESTS_TIMEOUT).await;
    state.set_has_fatal_requests();
}

async fn expire(state: Arc<GatewayState>) {
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        state.suspend_recovery.check_suspension();
        let now = state.now();
        state.upstreams.expire(now);
        state.upstreams.check_warm_up(now);
        state.metrics.set_upstream_counts(&state.upstreams.counts(now));
        state.metrics.set_slowdowns(state.upstreams.slowdowns(now));
        state.metrics.set_waiting(state.admission.waiting());
        state.metrics.set_caller_memory(state.memory.used_bytes());
    }
}

fn server_settings(addr: &str) -> Result<ServerSettings, GatewayError> {
    Ok(ServerSettings { addr: parse_addr(addr)?, ..ServerSettings::default() })
}

fn parse_addr(text: &str) -> Result<SocketAddr, GatewayError> {
    text.parse().map_err(|_| GatewayError::Address(text.to_owned()))
}

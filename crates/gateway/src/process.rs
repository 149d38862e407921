//! The life of a gateway: it serves, it leaves while callers are still sent to it, it
//! drains, it is gone.

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
use crate::control_store::ListedEntry;
use crate::dialect::Dialect;
use crate::error::GatewayError;
use crate::fatal;
use crate::follow::follow;
use crate::operators;
use crate::peers::PeerServer;
use crate::peers::RelayedStore;
use crate::peers::fetch_startup_limits;
use crate::peers::publish_evidence;
use crate::peers::publish_work;
use crate::rollouts;
use crate::state::GatewayState;

/// How often upstreams that have left are forgotten.
const EXPIRE_EVERY: Duration = Duration::from_millis(100);

/// When the platform does not ask for readiness, callers are taken to be sent elsewhere
/// after this time.
const LONGEST_LAG: Duration = Duration::from_millis(2_700);

/// How often it is checked whether this entry is listed, until it was once: others that start
/// with it wait for the list.
const FIRST_ANNOUNCE_EVERY: Duration = Duration::from_millis(50);

/// How often after that; after a write this is the time for the list to say so, which is
/// gathered and passed on by others.
const ANNOUNCE_EVERY: Duration = Duration::from_secs(5);

/// How long an entry that starts waits to learn which requests are held back, after which it serves
/// without: callers wait for 0.8 s for what it cannot do without.
const FATAL_REQUESTS_WITHIN: Duration = Duration::from_millis(500);

/// How often it is looked whether everything has ended.
const CHECK_EVERY: Duration = Duration::from_millis(20);

/// The platform sends no more callers here after it was told so often that it should not.
const ANSWERS_UNTIL_LEARNT: usize = 2;

/// How long a connection that was sent here before that may take to arrive.
const ON_THE_WAY: Duration = Duration::from_millis(200);

/// How long answers that were handed to the operators' server are given to go out.
const STOP_LINGER: Duration = Duration::from_millis(100);

/// The state of a gateway that takes requests.
#[derive(Debug)]
pub struct Serving;

/// The state of a gateway that says it is not ready, but still takes requests, since the
/// platform learns late.
#[derive(Debug)]
pub struct Leaving;

/// The state of a gateway that closes connections at rest and finishes what it has.
#[derive(Debug)]
pub struct Draining;

/// A running gateway. Its type says where in its life it is.
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
        Self::start_with_clock(settings, dialect, store, ProcessClock::start()).await
    }

    /// The same, with a clock whose suspensions may be played.
    ///
    /// # Errors
    /// As [`start`](Self::start).
    pub async fn start_with_clock<S: ControlStore>(
        settings: GatewaySettings,
        dialect: Arc<dyn Dialect>,
        store: Arc<S>,
        clock: ProcessClock,
    ) -> Result<Self, GatewayError> {
        let callers_addr = parse_addr(&settings.callers_addr)?;
        let readiness = server_settings(&settings.readiness_addr)?;
        let operators = server_settings(&settings.operators_addr)?;
        let state = Arc::new(GatewayState::new(settings, dialect, clock));
        let peers_addr = parse_addr(&state.settings.peers_addr)?;
        let peers = PeerServer::start(peers_addr, Arc::clone(&state))
            .await
            .map_err(|cause| GatewayError::Peers { addr: peers_addr, cause })?;
        let store = Arc::new(RelayedStore::new(Arc::clone(&state), store));
        let tasks = start_tasks(&state, &store, peers.addr());
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

    /// Says that it is not ready any more; requests are still taken.
    pub fn leave(self) -> Gateway<Leaving> {
        self.state.begin_stop();
        log::info!(connections = self.callers.open(); "leaving: not ready, still serving");
        self.into_phase()
    }
}

impl Gateway<Leaving> {
    /// Waits until the platform has learnt of it, then closes connections at rest.
    pub async fn wait_for_balancer(self) -> Gateway<Draining> {
        let learnt = async {
            while self.state.not_ready_answers() < ANSWERS_UNTIL_LEARNT {
                tokio::time::sleep(CHECK_EVERY).await;
            }
            tokio::time::sleep(ON_THE_WAY).await;
        };
        if tokio::time::timeout(LONGEST_LAG, learnt).await.is_err() {
            log::info!(
                "the platform did not ask often enough for readiness, draining all the same"
            );
        }
        self.callers.close_idle();
        log::info!(connections = self.callers.open(); "draining");
        self.into_phase()
    }
}

impl Gateway<Draining> {
    /// Finishes requests in progress and ends, before the platform would kill it.
    pub async fn finish(mut self) {
        let end = self.state.planned_end();
        while self.state.in_progress() > 0 && self.state.now() < end {
            tokio::time::sleep(CHECK_EVERY).await;
        }
        self.callers.stop_accepting();
        let answers_out = async {
            while self.callers.open() > 0 {
                tokio::time::sleep(CHECK_EVERY).await;
            }
        };
        self.tasks.abort_all();
        // All at once: one after the other they took longer than the time that is kept in reserve
        // before the kill.
        let (are_answers_out, (), ()) = tokio::join!(
            tokio::time::timeout(STOP_LINGER, answers_out),
            self.readiness.stop(STOP_LINGER),
            self.operators.stop(STOP_LINGER),
        );
        if are_answers_out.is_err() {
            log::warn!(
                requests = self.state.in_progress(),
                connections = self.callers.open();
                "stopping with work left"
            );
        }
        log::info!("gateway stopped");
    }
}

impl<Phase> Gateway<Phase> {
    /// Where callers connect to.
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Where readiness is asked.
    pub fn readiness_addr(&self) -> SocketAddr {
        self.readiness.addr()
    }

    /// Where operators connect to.
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
    peers_addr: SocketAddr,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(announce(Arc::clone(state), Arc::clone(store), peers_addr));
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
    tasks.spawn(expire(Arc::clone(state)));
    tasks
}

/// Lists this entry, so that others can ask it.
async fn announce<S: ControlStore>(
    state: Arc<GatewayState>,
    store: Arc<S>,
    peers_addr: SocketAddr,
) {
    let host = &state.settings.host;
    let entry = ListedEntry {
        host: host.id.clone(),
        peers_addr,
        link: host.link,
        zone: Some(host.zone.clone()),
    };
    let mut pause = FIRST_ANNOUNCE_EVERY;
    loop {
        tokio::time::sleep(pause).await;
        if !state.is_synced() || !state.feed_cache.has(Feed::Entries) {
            continue;
        }
        pause = ANNOUNCE_EVERY;
        if state.peers.lock().is_listed(&entry) {
            continue;
        }
        state.upstreams.announce_self(state.now());
        match store.list_entry(&entry).await {
            Ok(()) => log::info!(peers_addr:% = peers_addr; "listed for other entries"),
            Err(error) => log::warn!(error:% = error; "not listed for other entries"),
        }
    }
}

/// Serves without knowing which requests are held back, if that cannot be learnt in time.
async fn serve_without_fatal_requests(state: Arc<GatewayState>) {
    tokio::time::sleep(FATAL_REQUESTS_WITHIN).await;
    state.set_has_fatal_requests();
}

async fn expire(state: Arc<GatewayState>) {
    loop {
        tokio::time::sleep(EXPIRE_EVERY).await;
        state.suspend_recovery.check_suspension();
        let now = state.now();
        state.upstreams.expire(now);
        state.upstreams.check_warm_up(now);
        state.metrics.set_upstream_counts(&state.upstreams.counts(now));
    }
}

fn server_settings(addr: &str) -> Result<ServerSettings, GatewayError> {
    Ok(ServerSettings { addr: parse_addr(addr)?, ..ServerSettings::default() })
}

fn parse_addr(text: &str) -> Result<SocketAddr, GatewayError> {
    text.parse().map_err(|_| GatewayError::Address(text.to_owned()))
}

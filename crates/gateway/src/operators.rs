//! Readiness, metrics and the state dump, served by Rocket.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rocket::Build;
use rocket::Rocket;
use rocket::Route;
use rocket::State;
use rocket::get;
use rocket::http::Method;
use rocket::http::Status;
use rocket::route::Handler;
use rocket::route::Outcome;
use rocket::routes;
use rocket::serde::json::Json;
use serde::Serialize;
use stallhoist_policy::rollout::RolloutRecord;
use stallhoist_telemetry::MetricsPage;

use crate::duties::DutyStatus;
use crate::state::GatewayState;

/// Mounts readiness at the path that the platform queries.
pub(crate) fn mount_readiness(state: Arc<GatewayState>, path: &str) -> Rocket<Build> {
    rocket::build().mount("/", [Route::new(Method::Get, path, Readiness(state))])
}

#[derive(Clone)]
struct Readiness(Arc<GatewayState>);

#[rocket::async_trait]
impl Handler for Readiness {
    async fn handle<'r>(&self, _: &'r rocket::Request<'_>, _: rocket::Data<'r>) -> Outcome<'r> {
        if self.0.respond_readiness() {
            Outcome::Success(rocket::Response::new())
        } else {
            Outcome::Error(Status::ServiceUnavailable)
        }
    }
}

/// Mounts metrics and the state dump.
pub(crate) fn mount(state: Arc<GatewayState>, page: MetricsPage) -> Rocket<Build> {
    rocket::build().manage(state).manage(page).mount("/", routes![metrics, dump])
}

#[get("/metrics")]
fn metrics(page: &State<MetricsPage>) -> Result<String, Status> {
    page.render().map_err(|error| {
        log::error!(error:% = error; "failed to render metrics");
        Status::InternalServerError
    })
}

/// The state of a process, for operators who search for the cause of a problem.
#[derive(Debug, Serialize)]
struct Dump {
    host: String,
    is_ready: bool,
    is_leaving: bool,
    config_version: Option<u64>,
    /// Requests that wait for room at an upstream.
    waiting: usize,
    /// Number of listed gateways, including this one.
    entries: usize,
    /// Where the latest data of each feed came from: the store or a peer.
    news_from: BTreeMap<String, String>,
    upstreams: Vec<String>,
    /// Availability zones whose upstreams receive no new requests.
    emptied_zones: Vec<String>,
    /// Requests during which upstreams crashed.
    fatal_requests: Vec<String>,
    /// The retry budget of each service, and what it was used for.
    retry_budgets: Vec<String>,
    /// The learnt prefill speeds.
    speeds: Vec<String>,
    /// Number of sessions that stay on a version because a peer reported them.
    sessions_told: usize,
    rollouts: Vec<RolloutDump>,
    /// Baseline latencies that new versions are compared with during a rollout.
    usual_times: Vec<String>,
    /// Who performs the duties; none if there are none, or nothing is known yet.
    duties: Option<DutyDump>,
}

#[derive(Debug, Serialize)]
struct DutyDump {
    holder: String,
    epoch: u64,
    /// How long this gateway has known of this holder.
    known_for_ms: u64,
    is_local: bool,
    /// Whether the holder has given the lease up.
    is_released: bool,
    /// The last window whose usage report is fixed.
    fixed_through: u64,
    /// The last window up to which all usage reports are done.
    sent_through: u64,
}

impl From<DutyStatus> for DutyDump {
    fn from(status: DutyStatus) -> Self {
        Self {
            holder: status.holder.to_string(),
            epoch: status.epoch.0,
            known_for_ms: u64::try_from(status.known_for.as_millis()).unwrap_or(u64::MAX),
            is_local: status.is_local,
            is_released: status.is_released,
            fixed_through: status.fixed_through.0,
            sent_through: status.sent_through.0,
        }
    }
}

#[derive(Debug, Serialize)]
struct RolloutDump {
    service: String,
    record: RolloutRecord,
    row_version: u64,
}

fn news_from(state: &GatewayState) -> BTreeMap<String, String> {
    let sources = state.news_from.lock();
    let name = |source: &Option<SocketAddr>| match source {
        Some(entry) => entry.to_string(),
        None => "store".to_owned(),
    };
    sources.iter().map(|(feed, source)| (format!("{feed:?}"), name(source))).collect()
}

fn usual_times(state: &GatewayState) -> Vec<String> {
    let times = state.rollouts.lock().baseline_updates();
    let mut lines: Vec<_> = times.iter().map(ToString::to_string).collect();
    lines.sort_unstable();
    lines
}

#[get("/state")]
fn dump(state: &State<Arc<GatewayState>>) -> Json<Dump> {
    let rollouts = state.rollouts.lock().summary().into_iter();
    let duties = state.duties.as_ref().and_then(|duties| duties.status(state.now()));
    Json(Dump {
        host: state.settings.host.id.to_string(),
        is_ready: state.is_ready(),
        is_leaving: state.is_leaving(),
        waiting: state.admission.waiting(),
        config_version: state.config().map(|config| config.version.0),
        entries: state.peers.lock().count(),
        news_from: news_from(state),
        upstreams: state.upstreams.summary(state.now()),
        emptied_zones: state.upstreams.emptied_zones(),
        fatal_requests: state.fatal.summary(),
        retry_budgets: state.retries.lock().summary(),
        speeds: state.upstreams.speeds_summary(),
        sessions_told: state.sessions.lock().count_from_peers(),
        usual_times: usual_times(state),
        duties: duties.map(DutyDump::from),
        rollouts: rollouts
            .map(|(service, record, row_version)| RolloutDump {
                service: service.to_string(),
                record,
                row_version: row_version.number,
            })
            .collect(),
    })
}

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

use crate::state::GatewayState;

/// Readiness at the path that the platform asks.
pub(crate) fn mount_readiness(state: Arc<GatewayState>, path: &str) -> Rocket<Build> {
    rocket::build().mount("/", [Route::new(Method::Get, path, Readiness(state))])
}

#[derive(Clone)]
struct Readiness(Arc<GatewayState>);

#[rocket::async_trait]
impl Handler for Readiness {
    async fn handle<'r>(&self, _: &'r rocket::Request<'_>, _: rocket::Data<'r>) -> Outcome<'r> {
        if self.0.answer_readiness() {
            Outcome::Success(rocket::Response::new())
        } else {
            Outcome::Error(Status::ServiceUnavailable)
        }
    }
}

/// Metrics and the state dump.
pub(crate) fn mount(state: Arc<GatewayState>, page: MetricsPage) -> Rocket<Build> {
    rocket::build().manage(state).manage(page).mount("/", routes![metrics, dump])
}

#[get("/metrics")]
fn metrics(page: &State<MetricsPage>) -> Result<String, Status> {
    page.render().map_err(|error| {
        log::error!(error:% = error; "metrics cannot be written");
        Status::InternalServerError
    })
}

/// What a process knows, for an operator who looks for a cause.
#[derive(Debug, Serialize)]
struct Dump {
    host: String,
    is_ready: bool,
    is_leaving: bool,
    config_version: Option<u64>,
    /// How many entries are listed, this one included.
    entries: usize,
    /// Where the news of each feed came from last: the store or another entry.
    news_from: BTreeMap<String, String>,
    upstreams: Vec<String>,
    /// Availability zones whose upstreams get nothing more.
    emptied_zones: Vec<String>,
    /// Requests under which upstreams have ended.
    fatal_requests: Vec<String>,
    /// How fast prompts are read, as learnt.
    speeds: Vec<String>,
    /// Sessions that stay on a version because another entry said so.
    sessions_told: usize,
    rollouts: Vec<RolloutDump>,
    /// What new versions are compared with, while a roll-out runs.
    usual_times: Vec<String>,
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
    Json(Dump {
        host: state.settings.host.id.to_string(),
        is_ready: state.is_ready(),
        is_leaving: state.is_leaving(),
        config_version: state.config().map(|config| config.version.0),
        entries: state.peers.lock().count(),
        news_from: news_from(state),
        upstreams: state.upstreams.summary(state.now()),
        emptied_zones: state.upstreams.emptied_zones(),
        fatal_requests: state.fatal.summary(),
        speeds: state.upstreams.speeds_summary(),
        sessions_told: state.sessions.lock().count_from_peers(),
        usual_times: usual_times(state),
        rollouts: rollouts
            .map(|(service, record, row_version)| RolloutDump {
                service: service.to_string(),
                record,
                row_version: row_version.number,
            })
            .collect(),
    })
}

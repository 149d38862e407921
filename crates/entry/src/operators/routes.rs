//! The HTTP routes for operators, except for those of the table.

use std::sync::Arc;

use rocket::Build;
use rocket::Request;
use rocket::Rocket;
use rocket::State;
use rocket::catch;
use rocket::catchers;
use rocket::get;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::routes;
use rocket::serde::json::Json;
use serde::Serialize;
use stallhoist_coordination::BillLine;
use stallhoist_core::HostId;
use stallhoist_core::ModelVersion;
use stallhoist_http::OperatorsKey;
use stallhoist_http::OperatorsKeyDigest;
use stallhoist_policy::guard::Hold;
use stallhoist_telemetry::MetricsPage;

use super::dump;
use super::dump::StateDump;
use super::table_routes;
use crate::shared::Shared;

type Entry = State<Arc<Shared>>;

/// An error response to an operator.
#[derive(Debug, Serialize)]
pub(crate) struct OperatorError {
    pub(crate) error: String,
}

pub(crate) fn mount(shared: Arc<Shared>, page: MetricsPage) -> Rocket<Build> {
    let key = OperatorsKeyDigest::of(shared.settings.host.operators_key.reveal());
    rocket::build()
        .manage(shared)
        .manage(page)
        .manage(key)
        .mount("/", routes![livez, readyz, metrics, state, bill, holds])
        .mount("/", table_routes::routes())
        .register("/", catchers![refused])
}

#[catch(default)]
fn refused(status: Status, _request: &Request<'_>) -> Json<OperatorError> {
    let error = match status.code {
        401 => "the operators' key is missing or wrong".to_owned(),
        _ => status.to_string(),
    };
    Json(OperatorError { error })
}

#[get("/livez")]
fn livez() -> &'static str {
    "alive\n"
}

#[get("/readyz")]
fn readyz(entry: &Entry) -> Result<&'static str, (Status, &'static str)> {
    if entry.is_leaving() {
        return Err((Status::ServiceUnavailable, "leaving\n"));
    }
    if entry.table.current().is_none() {
        return Err((Status::ServiceUnavailable, "no table yet\n"));
    }
    Ok("ready\n")
}

#[get("/metrics")]
fn metrics(_key: OperatorsKey, page: &State<MetricsPage>) -> Result<(ContentType, String), Status> {
    let text = page.render().map_err(|_| Status::InternalServerError)?;
    Ok((ContentType::Plain, text))
}

#[get("/v1/state")]
fn state(_key: OperatorsKey, entry: &Entry) -> Json<StateDump> {
    Json(dump::dump(entry))
}

/// The versions that the guard holds back.
#[derive(Debug, Serialize)]
struct Holds {
    holds: Vec<Hold>,
    /// Upstreams that fail although their version does not fail elsewhere.
    sick_upstreams: Vec<(HostId, ModelVersion)>,
}

#[get("/v1/holds")]
fn holds(_key: OperatorsKey, entry: &Entry) -> Json<Holds> {
    let guard = entry.guard.lock();
    Json(Holds { holds: guard.holds(), sick_upstreams: guard.sick_upstreams() })
}

/// The bill of a range of hours.
#[derive(Debug, Serialize)]
struct Bill {
    lines: Vec<BillLine>,
}

#[get("/v1/bill?<first_hour>&<last_hour>")]
async fn bill(
    _key: OperatorsKey,
    entry: &Entry,
    first_hour: u64,
    last_hour: u64,
) -> Result<Json<Bill>, (Status, Json<OperatorError>)> {
    let lines = entry.ledger.read(first_hour, last_hour).await.map_err(|error| {
        let error = OperatorError { error: error.to_string() };
        (Status::ServiceUnavailable, Json(error))
    })?;
    Ok(Json(Bill { lines }))
}

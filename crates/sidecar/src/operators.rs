//! The operator endpoints of a sidecar.

use std::sync::Arc;

use rocket::Build;
use rocket::Request;
use rocket::Rocket;
use rocket::State;
use rocket::get;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::routes;
use rocket::serde::json::Json;
use serde::Serialize;
use stallhoist_http::OperatorsKey;
use stallhoist_http::OperatorsKeyDigest;
use stallhoist_settings::SidecarSettings;
use stallhoist_telemetry::MetricsPage;

use crate::evidence::Evidence;
use crate::shared::Shared;

type Sidecar = State<Arc<Shared>>;

pub(crate) fn mount(shared: Arc<Shared>, page: MetricsPage) -> Rocket<Build> {
    let key = OperatorsKeyDigest::of(shared.settings.host.operators_key.reveal());
    rocket::build()
        .manage(shared)
        .manage(page)
        .manage(key)
        .mount("/", routes![livez, readyz, metrics, state])
        .register("/", rocket::catchers![refused])
}

#[rocket::catch(default)]
fn refused(status: Status, _request: &Request<'_>) -> String {
    format!("{status}\n")
}

#[get("/livez")]
fn livez() -> &'static str {
    "alive\n"
}

#[get("/readyz")]
fn readyz(sidecar: &Sidecar) -> Result<&'static str, (Status, &'static str)> {
    if sidecar.is_leaving() {
        return Err((Status::ServiceUnavailable, "leaving\n"));
    }
    if sidecar.table.current().is_none() {
        return Err((Status::ServiceUnavailable, "no table yet\n"));
    }
    Ok("ready\n")
}

#[get("/metrics")]
fn metrics(_key: OperatorsKey, page: &State<MetricsPage>) -> Result<(ContentType, String), Status> {
    let text = page.render().map_err(|_| Status::InternalServerError)?;
    Ok((ContentType::Plain, text))
}

/// An attempt in the state dump.
#[derive(Debug, Serialize)]
struct AttemptDump {
    attempt: String,
    workspace: String,
    target: String,
    is_started: bool,
    is_ended: bool,
    chunks: usize,
    deadline_in_ms: u64,
}

/// A connected entry in the state dump.
#[derive(Debug, Serialize)]
struct PeerDump {
    host: String,
    zone: String,
    revision: u64,
    control_sent_bytes: u64,
}

/// The counters of a target in the state dump.
#[derive(Debug, Serialize)]
struct EvidenceDump {
    target: String,
    #[serde(flatten)]
    counts: Evidence,
}

/// The state dump.
#[derive(Debug, Serialize)]
struct StateDump {
    role: &'static str,
    host: String,
    zone: String,
    incarnation: String,
    is_leaving: bool,
    revision: u64,
    concurrency_requests: usize,
    in_flight_requests: usize,
    queue_len_requests: usize,
    remembered_attempts: usize,
    unsettled_bills: usize,
    known_cache_blocks: usize,
    attempts: Vec<AttemptDump>,
    entries: Vec<PeerDump>,
    evidence: Vec<EvidenceDump>,
    settings: SidecarSettings,
}

#[get("/v1/state")]
fn state(_key: OperatorsKey, sidecar: &Sidecar) -> Json<StateDump> {
    let now = sidecar.now();
    let answers: Vec<_> = sidecar.answers.lock().values().cloned().collect();
    let attempts = answers.iter().map(|answer| AttemptDump {
        attempt: answer.id.to_string(),
        workspace: answer.workspace.to_string(),
        target: answer.target.to_string(),
        is_started: answer.was_started(),
        is_ended: answer.ended_at().is_some(),
        chunks: answer.chunk_count(),
        deadline_in_ms: u64::try_from(answer.deadline.since(now).as_millis()).unwrap_or(u64::MAX),
    });
    let peers = sidecar.peers.lock().all();
    let entries = peers.iter().map(|peer| PeerDump {
        host: peer.identity.host.to_string(),
        zone: peer.identity.zone.to_string(),
        revision: peer.revision.0,
        control_sent_bytes: peer.sender.sent_bytes(),
    });
    let evidence =
        sidecar.evidence.lock().all().into_iter().map(|(target, evidence)| EvidenceDump {
            target: target.to_string(),
            counts: evidence,
        });
    let (concurrency_requests, in_flight_requests, queue_len_requests) = {
        let admission = sidecar.admission.lock();
        (admission.concurrency(), admission.in_flight(), admission.queue_len())
    };
    Json(StateDump {
        role: "sidecar",
        host: sidecar.identity.host.to_string(),
        zone: sidecar.identity.zone.to_string(),
        incarnation: sidecar.identity.incarnation.to_string(),
        is_leaving: sidecar.is_leaving(),
        revision: sidecar.table.revision().0,
        concurrency_requests,
        in_flight_requests,
        queue_len_requests,
        remembered_attempts: sidecar.registry.lock().len(),
        unsettled_bills: sidecar.bills.lock().len(),
        known_cache_blocks: sidecar.cache_view.lock().len(),
        attempts: attempts.collect(),
        entries: entries.collect(),
        evidence: evidence.collect(),
        settings: sidecar.settings.clone(),
    })
}

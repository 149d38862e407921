//! HTTP routes of the platform, and routes under `/standin` that control the stand-in.

use std::sync::Arc;
use std::time::Duration;

use rocket::Build;
use rocket::Rocket;
use rocket::State;
use rocket::data::Data;
use rocket::data::ToByteUnit;
use rocket::get;
use rocket::http::Status;
use rocket::post;
use rocket::put;
use rocket::routes;
use rocket::serde::json::Json;
use stallhoist_platform::ConflictReply;
use stallhoist_platform::HostList;
use stallhoist_platform::Rating;
use stallhoist_platform::RatingRequest;
use stallhoist_platform::Record;
use stallhoist_platform::RecordPage;
use stallhoist_platform::Transaction;

use super::Faults;
use super::StoreCounts;
use super::server::Shared;

const MAX_OBJECT_MIB: u64 = 64;
const DEFAULT_SCORE: f64 = 1.0;

type Platform = State<Arc<Shared>>;

pub(crate) fn mount(shared: Arc<Shared>) -> Rocket<Build> {
    rocket::build().manage(shared).mount(
        "/",
        routes![
            read, list, commit, hosts, set_hosts, put_object, get_object, rate, faults, counts,
            quality
        ],
    )
}

/// Applies the delay and the outage, which affect every call.
async fn apply_faults(platform: &Platform) -> Result<(), Status> {
    let faults = platform.faults.lock().clone();
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.outage {
        return Err(Status::ServiceUnavailable);
    }
    Ok(())
}

#[get("/v1/record?<key>")]
async fn read(platform: &Platform, key: &str) -> Result<Json<Record>, Status> {
    apply_faults(platform).await?;
    let found = platform.store.lock().read(key);
    found.map(Json).ok_or(Status::NotFound)
}

#[get("/v1/records?<prefix>&<after>&<limit>")]
async fn list(
    platform: &Platform,
    prefix: &str,
    after: &str,
    limit: usize,
) -> Result<Json<RecordPage>, Status> {
    apply_faults(platform).await?;
    Ok(Json(platform.store.lock().list(prefix, after, limit)))
}

#[derive(rocket::Responder)]
enum CommitReply {
    #[response(status = 200)]
    Committed(&'static str),
    #[response(status = 409)]
    Conflict(Json<ConflictReply>),
}

#[post("/v1/transactions", data = "<transaction>")]
async fn commit(
    platform: &Platform,
    transaction: Json<Transaction>,
) -> Result<CommitReply, Status> {
    apply_faults(platform).await?;
    let committed = platform.store.lock().commit(&transaction);
    let reply = match committed {
        Ok(()) => CommitReply::Committed("{}"),
        Err(conflicts) => CommitReply::Conflict(Json(ConflictReply { conflicts })),
    };
    let mut faults = platform.faults.lock();
    if faults.lose_write_replies > 0 {
        faults.lose_write_replies -= 1;
        return Err(Status::GatewayTimeout);
    }
    Ok(reply)
}

#[get("/v1/hosts")]
async fn hosts(platform: &Platform) -> Result<Json<HostList>, Status> {
    apply_faults(platform).await?;
    platform.store.lock().counts.reads += 1;
    Ok(Json(platform.lagged_hosts()))
}

#[post("/standin/hosts", data = "<list>")]
fn set_hosts(platform: &Platform, list: Json<HostList>) {
    platform.set_hosts(list.into_inner());
}

#[put("/v1/objects/<name>", data = "<body>")]
async fn put_object(platform: &Platform, name: &str, body: Data<'_>) -> Result<(), Status> {
    apply_faults(platform).await?;
    let bytes =
        body.open(MAX_OBJECT_MIB.mebibytes()).into_bytes().await.map_err(|_| Status::BadRequest)?;
    platform.objects.lock().insert(name.to_owned(), bytes.into_inner());
    Ok(())
}

#[get("/v1/objects/<name>")]
async fn get_object(platform: &Platform, name: &str) -> Result<Vec<u8>, Status> {
    apply_faults(platform).await?;
    platform.objects.lock().get(name).cloned().ok_or(Status::NotFound)
}

#[post("/v1/ratings", data = "<request>")]
async fn rate(platform: &Platform, request: Json<RatingRequest>) -> Result<Json<Rating>, Status> {
    apply_faults(platform).await?;
    let quality = platform.quality.lock();
    let score = quality.get(&request.version.to_string()).copied().unwrap_or(DEFAULT_SCORE);
    Ok(Json(Rating { score }))
}

#[post("/standin/faults", data = "<faults>")]
fn faults(platform: &Platform, faults: Json<Faults>) {
    *platform.faults.lock() = faults.into_inner();
}

#[get("/standin/counts")]
fn counts(platform: &Platform) -> Json<StoreCounts> {
    Json(platform.store.lock().counts)
}

#[post("/standin/quality?<version>&<score>")]
fn quality(platform: &Platform, version: &str, score: f64) {
    platform.quality.lock().insert(version.to_owned(), score);
}

//! The HTTP routes for the table: reading, editing, history and progress of a revision.

use std::sync::Arc;

use rocket::Route;
use rocket::State;
use rocket::get;
use rocket::http::Status;
use rocket::patch;
use rocket::routes;
use rocket::serde::json::Json;
use serde::Serialize;
use stallhoist_coordination::CommitError;
use stallhoist_core::Revision;
use stallhoist_http::OperatorsKey;
use stallhoist_table::CellConflict;
use stallhoist_table::Edit;
use stallhoist_table::EditError;
use stallhoist_table::LogEntry;
use stallhoist_table::Table;

use super::routes::OperatorError;
use crate::shared::Shared;
use crate::table_sync;
use crate::table_sync::InForce;

type Entry = State<Arc<Shared>>;

pub(crate) fn routes() -> Vec<Route> {
    routes![table, edit, history, progress]
}

/// The durability of an edit.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
enum EditStatus {
    /// Committed and held in another availability zone, so that it cannot be lost.
    Accepted,
    /// Committed, but not yet known to be held in another availability zone.
    Committed,
}

/// The response to an edit that was committed.
#[derive(Debug, Serialize)]
struct EditReply {
    status: EditStatus,
    revision: u64,
    progress: InForce,
}

/// The response to an edit that was not committed.
#[derive(Debug, Serialize)]
struct EditRefusal {
    error: String,
    conflicts: Vec<CellConflict>,
}

#[get("/v1/table")]
fn table(_key: OperatorsKey, entry: &Entry) -> Result<Json<Table>, (Status, Json<OperatorError>)> {
    let error = || OperatorError { error: "no table is in force yet".to_owned() };
    let table = entry.table.current();
    let table = table.ok_or_else(|| (Status::ServiceUnavailable, Json(error())))?;
    Ok(Json(table.as_ref().clone()))
}

#[patch("/v1/table", data = "<edit>")]
async fn edit(
    _key: OperatorsKey,
    entry: &Entry,
    edit: Result<Json<Edit>, rocket::serde::json::Error<'_>>,
) -> Result<(Status, Json<EditReply>), (Status, Json<EditRefusal>)> {
    let edit = edit.map_err(|error| {
        let error = format!("not an edit: {error}");
        (Status::BadRequest, Json(EditRefusal { error, conflicts: Vec::new() }))
    })?;
    let (committed, is_held) = table_sync::commit(entry, &edit).await.map_err(refusal)?;
    let progress = table_sync::in_force(entry, committed.revision);
    let (http_status, status) = if is_held {
        (Status::Ok, EditStatus::Accepted)
    } else {
        (Status::Accepted, EditStatus::Committed)
    };
    let revision = committed.revision.0;
    Ok((http_status, Json(EditReply { status, revision, progress })))
}

#[get("/v1/table/history?<after>")]
async fn history(
    _key: OperatorsKey,
    entry: &Entry,
    after: u64,
) -> Result<Json<Vec<LogEntry>>, (Status, Json<EditRefusal>)> {
    let entries = entry.table_store.history(Revision(after)).await.map_err(refusal)?;
    Ok(Json(entries))
}

#[get("/v1/table/progress?<revision>")]
fn progress(_key: OperatorsKey, entry: &Entry, revision: u64) -> Json<InForce> {
    Json(table_sync::in_force(entry, Revision(revision)))
}

fn refusal(error: CommitError) -> (Status, Json<EditRefusal>) {
    let status = match &error {
        CommitError::Edit(EditError::Conflict(_)) | CommitError::Contended => Status::Conflict,
        CommitError::Edit(_) => Status::UnprocessableEntity,
        CommitError::Unsettled => Status::GatewayTimeout,
        CommitError::Unavailable(_) => Status::ServiceUnavailable,
        CommitError::Malformed(_) => Status::InternalServerError,
    };
    let text = error.to_string();
    let conflicts = match error {
        CommitError::Edit(EditError::Conflict(conflicts)) => conflicts,
        _ => Vec::new(),
    };
    (status, Json(EditRefusal { error: text, conflicts }))
}

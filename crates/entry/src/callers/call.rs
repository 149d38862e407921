//! The steps that chat completions and service calls share: body, deadline, session, repeatability and
//! claim.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use rocket::data::Data;
use rocket::data::ToByteUnit;
use stallhoist_coordination::ClaimError;
use stallhoist_coordination::PendingClaim;
use stallhoist_core::MonoTime;
use stallhoist_core::NotRunReason;
use stallhoist_core::Target;
use stallhoist_core::WorkspaceName;
use stallhoist_http::caller_memory::BufferError;
use stallhoist_http::caller_memory::ReservedBuffer;
use stallhoist_table::Table;
use tokio::io::AsyncReadExt;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::headers::CallHeaders;
use super::problem::Problem;
use crate::claiming;
use crate::request::Order;
use crate::session::SessionToken;
use crate::shared::Shared;

/// The retry delay given to the caller while no table is active.
const RETRY_AFTER_TABLE: Duration = Duration::from_secs(1);
/// The retry delay given to the caller while there is no memory for its request.
const RETRY_AFTER_MEMORY: Duration = Duration::from_secs(1);
/// The retry delay given to the caller while the store does not respond.
const RETRY_AFTER_STORE: Duration = Duration::from_secs(2);
/// The part of a body that is read at once.
const PART_BYTES: usize = 8 << 10;

/// Reads the whole body.
///
/// # Errors
/// Fails if the body exceeds the limit of the settings, does not come before the deadline, its connection breaks, or there
/// is no memory for it.
pub(crate) async fn read_body(
    shared: &Shared,
    workspace: &WorkspaceName,
    deadline_ms: Option<u64>,
    data: Data<'_>,
) -> Result<Bytes, Problem> {
    let callers = &shared.settings.callers;
    let time_limit = Duration::from_millis(deadline_ms.unwrap_or(callers.default_deadline_ms));
    let evicted = CancellationToken::new();
    let reservation = shared.memory.open_request(evicted.clone());
    reservation.set_workspace(Some(workspace.clone()));
    let buffer = ReservedBuffer::new(reservation, callers.max_body_bytes, None);
    let body = tokio::select! {
        buffer = read_into(buffer, data, callers.max_body_bytes) => buffer?,
        () = evicted.cancelled() => return Err(no_memory()),
        () = tokio::time::sleep(time_limit) => {
            return Err(Problem::not_run(NotRunReason::DeadlinePassed, RETRY_AFTER_MEMORY));
        }
    };
    Ok(body.finish().map_err(|_| no_memory())?.into_bytes())
}

async fn read_into(
    mut buffer: ReservedBuffer,
    data: Data<'_>,
    max_bytes: usize,
) -> Result<ReservedBuffer, Problem> {
    let mut body = data.open((max_bytes + 1).bytes());
    let mut part = BytesMut::with_capacity(PART_BYTES);
    loop {
        let read = body.read_buf(&mut part).await.map_err(|error| {
            Problem::not_routed(400, "body-broken-off", format!("the body broke off: {error}"))
        })?;
        if read == 0 {
            return Ok(buffer);
        }
        buffer.push(&part).await.map_err(|error| match error {
            BufferError::TooLong => {
                let detail = format!("the body has more than {max_bytes} bytes");
                Problem::not_routed(413, "body-too-large", detail)
            }
            BufferError::NoMemory(_) => no_memory(),
        })?;
        part.clear();
    }
}

fn no_memory() -> Problem {
    Problem::not_run(NotRunReason::Overloaded, RETRY_AFTER_MEMORY)
}

/// The key that identifies a request when it is retried: a hash of workspace, target and body.
pub(crate) fn work_key(workspace: &WorkspaceName, target: &Target, body: &[u8]) -> u64 {
    let seed = xxh3_64_with_seed(workspace.as_str().as_bytes(), 0);
    let seed = xxh3_64_with_seed(target.to_string().as_bytes(), seed);
    xxh3_64_with_seed(body, seed)
}

/// The active table.
///
/// # Errors
/// Fails while there is none.
pub(crate) fn table(shared: &Shared) -> Result<Arc<Table>, Problem> {
    let missing = || Problem::not_run(NotRunReason::NoTable, RETRY_AFTER_TABLE);
    shared.table.current().ok_or_else(missing)
}

/// The deadline that the caller set, or the default.
///
/// # Errors
/// Fails if the caller's deadline is zero or above the limit of the settings.
pub(crate) fn deadline(
    shared: &Shared,
    now: MonoTime,
    headers: &CallHeaders,
) -> Result<MonoTime, Problem> {
    let callers = &shared.settings.callers;
    let deadline_ms = headers.deadline_ms.unwrap_or(callers.default_deadline_ms);
    if deadline_ms == 0 || deadline_ms > callers.max_deadline_ms {
        let detail = format!("must be from 1 to {}", callers.max_deadline_ms);
        return Err(Problem::bad_header(super::headers::DEADLINE_MS, &detail));
    }
    Ok(now.after(Duration::from_millis(deadline_ms)))
}

/// The session that the request continues, if any.
///
/// # Errors
/// Fails if the session token is invalid.
pub(crate) fn session(
    shared: &Shared,
    headers: &CallHeaders,
    workspace: &WorkspaceName,
) -> Result<Option<SessionToken>, Problem> {
    let Some(text) = &headers.session else {
        return Ok(None);
    };
    let token = shared.session_keys.check(text, workspace);
    token
        .map(Some)
        .map_err(|error| Problem::bad_header(super::headers::SESSION, &error.to_string()))
}

/// Whether the request may run more than once: only if neither the caller nor the table row forbids it.
pub(crate) fn is_repeatable(
    table: &Table,
    headers: &CallHeaders,
    workspace: &WorkspaceName,
    target: &Target,
) -> bool {
    let by_row = table.row(workspace, target).is_none_or(|row| row.repeatable);
    by_row && headers.repeatable.unwrap_or(true)
}

/// Claims the idempotency key of a request that must not be repeated. Returns `None` if the request is
/// repeatable or has no key.
///
/// # Errors
/// Fails if another request holds the key or the store does not respond.
pub(crate) async fn claim(shared: &Shared, order: &Order) -> Result<Option<PendingClaim>, Problem> {
    let Some(key) = &order.idempotency_key else {
        return Ok(None);
    };
    if order.is_repeatable {
        return Ok(None);
    }
    let claim = PendingClaim {
        workspace: order.workspace.clone(),
        key: key.clone(),
        request: order.request,
    };
    match claiming::claim(shared, &claim).await {
        Ok(()) => Ok(Some(claim)),
        Err(ClaimError::Taken(holder)) => {
            let mut problem = Problem::not_run(NotRunReason::DuplicateKey, Duration::ZERO);
            problem.detail = format!("{}: request {holder}", problem.detail);
            Err(problem)
        }
        Err(ClaimError::Unavailable) => {
            Err(Problem::not_run(NotRunReason::StoreUnavailable, RETRY_AFTER_STORE))
        }
    }
}

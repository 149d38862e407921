//! Checks a caller's request, executes it and builds the response.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http::header::HOST;
use http::request;
use hyper::body::Incoming;
use stallhoist_http::caller_memory::Reservation;
use tokio_util::sync::CancellationToken;

use super::body::read_body;
use super::connections::Connection;
use super::connections::PinnedConnection;
use super::rejection::Rejection;
use super::rejection::abandoned_response;
use super::response;
use super::response::ResponseBody;
use super::response::ResponseGuards;
use crate::dialect::CallHead;
use crate::metrics::RequestOutcome;
use crate::request::AbandonReason;
use crate::request::Call;
use crate::request::Execution;
use crate::request::Outcome;
use crate::routing::Route;
use crate::routing::RoutingConfig;
use crate::routing::Workspace;
use crate::state::GatewayState;
use crate::state::InProgressGuard;

/// Bytes of a header line besides its name and value: `: ` and the line end.
const HEADER_OVERHEAD_BYTES: usize = 4;

/// How long a request waits for the configuration at a gateway that has just started. Callers abandon a request
/// that is not read within a second.
const CONFIG_WAIT_LIMIT: Duration = Duration::from_millis(800);

/// The lowest priority, which has the largest number: a larger one in the configuration counts as this one.
const LOWEST_PRIORITY: u8 = 5;

/// Handles one request, whose head holds `reservation`.
pub(crate) async fn handle(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
    reservation: Reservation,
    caller: &Arc<Connection>,
) -> Response<ResponseBody> {
    let counted = InProgressGuard::count(&state);
    let id = state.dialect.call_id(request.headers()).unwrap_or_default().to_owned();
    let mut response = match accept(&state, request, reservation, caller).await {
        Ok((call, pinned)) => {
            execute(&state, call, (counted, pinned), caller.evicted.clone()).await
        }
        Err(rejection) => {
            state.metrics.record_request(RequestOutcome::Rejected);
            if state.decisions.admits(state.now()) {
                log::info!(request = id, reason:% = rejection; "request rejected");
            }
            rejection.response()
        }
    };
    if state.is_leaving() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Checks a request and reads its body.
///
/// # Errors
/// Fails when the request must not be forwarded, or its body cannot be read.
async fn accept(
    state: &GatewayState,
    request: Request<Incoming>,
    reservation: Reservation,
    caller: &Arc<Connection>,
) -> Result<(Call, PinnedConnection), Rejection> {
    let arrived = state.now();
    wait_until_synced(state).await?;
    let config = state.config().ok_or(Rejection::ConfigUnknown)?;
    let (parts, body) = request.into_parts();
    if head_bytes(&parts) > config.bounds.max_header_bytes {
        return Err(Rejection::HeadTooLarge);
    }
    let route = Arc::clone(find_route(&config, &parts).ok_or(Rejection::NoRoute)?);
    let head = state.dialect.read_call(&parts).map_err(Rejection::Unreadable)?;
    let workspace = find_workspace(&config, &route, &head)?;
    reservation.set_workspace(workspace.map(|workspace| workspace.name.clone()));
    let left = arrived.after(time_limit(&route, &head)).since(state.now());
    let body = read_body(body, config.bounds.max_body_bytes, reservation);
    let body = tokio::time::timeout(left, body).await.map_err(|_| Rejection::BodyLate)??;
    let pinned = caller.pin().ok_or(Rejection::NoMemory)?;
    // The configuration may have changed while the body was read: the newest one decides.
    let config = state.config().unwrap_or(config);
    let route = Arc::clone(find_route(&config, &parts).ok_or(Rejection::NoRoute)?);
    let workspace = find_workspace(&config, &route, &head)?;
    let deadline = arrived.after(time_limit(&route, &head));
    if !state.accepts(deadline) {
        return Err(Rejection::Stopping);
    }
    let service_name = route.destination(Call::unit(&head)).cloned().ok_or(Rejection::NoRoute)?;
    let workspace_priority = workspace.as_ref().and_then(|workspace| workspace.priority);
    let call = Call {
        service: config.services.get(&service_name).cloned(),
        service_name,
        workspace_allowed_regions: workspace
            .as_ref()
            .and_then(|workspace| workspace.allowed_regions.clone()),
        workspace: workspace.map(|workspace| workspace.name.clone()),
        priority: workspace_priority.unwrap_or(route.priority).min(LOWEST_PRIORITY),
        deadline,
        arrived,
        head,
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        body,
        route,
        fingerprint: OnceLock::new(),
        parts: OnceLock::new(),
    };
    Ok((call, pinned))
}

/// Waits until the configuration is known. A process that is stopping rejects requests at once, as it may exit
/// before that and would break off those that wait.
async fn wait_until_synced(state: &GatewayState) -> Result<(), Rejection> {
    if !state.is_synced() && state.is_leaving() {
        return Err(Rejection::Stopping);
    }
    if state.wait_until_synced(CONFIG_WAIT_LIMIT).await {
        return Ok(());
    }
    Err(Rejection::ConfigUnknown)
}

/// The time that a request has from its arrival, its body included.
fn time_limit(route: &Route, head: &CallHead) -> Duration {
    head.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout))
}

fn head_bytes(parts: &request::Parts) -> usize {
    let headers = parts.headers.iter();
    let lines =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES);
    parts.uri.path().len() + lines.sum::<usize>()
}

fn find_route<'a>(config: &'a RoutingConfig, parts: &request::Parts) -> Option<&'a Arc<Route>> {
    let host = host_of(&parts.headers).or_else(|| parts.uri.host())?;
    config.route(host, parts.uri.path())
}

/// Host of the `Host` header, without the port.
fn host_of(headers: &HeaderMap) -> Option<&str> {
    let host = headers.get(HOST)?.to_str().ok()?;
    Some(host.rsplit_once(':').map_or(host, |(name, _)| name))
}

fn find_workspace(
    config: &RoutingConfig,
    route: &Route,
    head: &CallHead,
) -> Result<Option<Arc<Workspace>>, Rejection> {
    let Some(workspaces) = &config.workspaces else {
        return Ok(None);
    };
    let found = head.key.as_ref().and_then(|key| workspaces.get(key)).cloned();
    if found.is_none() && !route.is_keyless {
        return Err(Rejection::NoKey);
    }
    Ok(found)
}

async fn execute(
    state: &Arc<GatewayState>,
    call: Call,
    guards: ResponseGuards,
    evicted: CancellationToken,
) -> Response<ResponseBody> {
    let execution = Execution::new(Arc::clone(state), call);
    let (outcome, execution) = execution.run().await;
    if let Some(execution) = &execution {
        record_outcome(state, execution, &outcome);
    }
    match outcome {
        Outcome::Whole(reply) => response::complete(reply, evicted),
        Outcome::Stream(relay) => response::stream(relay, guards),
        Outcome::NoResponse(abandon_reason) => abandoned_response(abandon_reason),
    }
}

/// Counts and logs a request that has its final response.
fn record_outcome(state: &GatewayState, execution: &Execution, outcome: &Outcome) {
    let (end, result) = match outcome {
        Outcome::Whole(reply) if reply.status.is_server_error() => {
            (RequestOutcome::UpstreamFailure, "the upstream's failure is passed on".to_owned())
        }
        Outcome::Whole(_) | Outcome::Stream(_) => (RequestOutcome::Answered, "answered".to_owned()),
        Outcome::NoResponse(abandon_reason @ AbandonReason::NotRun { .. }) => {
            (RequestOutcome::NotRun, abandon_reason.to_string())
        }
        Outcome::NoResponse(abandon_reason @ AbandonReason::HeldBack { .. }) => {
            (RequestOutcome::HeldBack, abandon_reason.to_string())
        }
        Outcome::NoResponse(abandon_reason @ AbandonReason::NotAllowed { .. }) => {
            (RequestOutcome::NotAllowed, abandon_reason.to_string())
        }
        Outcome::NoResponse(abandon_reason) => (RequestOutcome::Failed, abandon_reason.to_string()),
    };
    state.metrics.record_request(end);
    let call = execution.call();
    let now = state.now();
    let elapsed = now.since(call.arrived);
    if !state.decisions.admits(now) {
        return;
    }
    log::info!(
        request = call.head.id,
        route:% = call.route.name,
        service:% = call.service_name,
        workspace = call.workspace.as_ref().map_or("", |workspace| workspace.as_str()),
        attempts = execution.attempts(),
        elapsed_ms = elapsed.as_millis() as u64,
        result;
        "request ended"
    );
}

//! Checks calls of plain services.

use std::sync::Arc;

use bytes::Bytes;
use stallhoist_core::NotRunReason;
use stallhoist_core::RequestId;
use stallhoist_core::ServiceName;
use stallhoist_core::Target;
use stallhoist_table::VersionState;

use super::auth::Caller;
use super::call;
use super::headers::CallHeaders;
use super::problem::Problem;
use crate::request::Order;
use crate::request::PriorUsage;
use crate::shared::Shared;

/// A call of a plain service, as received.
#[derive(Debug)]
pub(crate) struct ServiceCall<'a> {
    pub(crate) service: &'a str,
    pub(crate) method: &'a str,
    /// The path and query that are sent to the service.
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

/// Checks a call and makes an order of it.
///
/// # Errors
/// Fails if a header is invalid, or if the workspace has no such service or may not use it.
pub(crate) fn order(
    shared: &Arc<Shared>,
    caller: &Caller,
    headers: CallHeaders,
    service_call: ServiceCall<'_>,
) -> Result<Order, Problem> {
    let arrived = shared.now();
    let deadline = call::deadline(shared, arrived, &headers)?;
    let table = call::table(shared)?;
    let unknown = || {
        let detail = format!("the workspace has no service '{}'", service_call.service);
        Problem::not_routed(404, "unknown-service", detail)
    };
    let name: ServiceName = service_call.service.parse().map_err(|_| unknown())?;
    let target = Target::Service(name);
    let row = table.row(&caller.workspace, &target).ok_or_else(unknown)?;
    if !row.allowed {
        return Err(Problem::not_run(NotRunReason::NotAllowed, std::time::Duration::ZERO));
    }
    if row.state == VersionState::Withdrawn {
        return Err(Problem::not_run(NotRunReason::Withdrawn, std::time::Duration::ZERO));
    }
    let is_repeatable = call::is_repeatable(&table, &headers, &caller.workspace, &target);
    let work_key = call::work_key(&caller.workspace, &target, &service_call.body);
    Ok(Order {
        request: RequestId::generate(),
        workspace: caller.workspace.clone(),
        target,
        session_host: None,
        is_repeatable,
        is_streamed: false,
        method: service_call.method.to_owned(),
        path: service_call.path,
        content_type: service_call.content_type,
        body: service_call.body,
        prompt_tokens: 0,
        completion_tokens: 0,
        prefix: None,
        idempotency_key: headers.idempotency_key,
        work_key,
        task: headers.task,
        prior: PriorUsage::default(),
        arrived,
        deadline,
    })
}

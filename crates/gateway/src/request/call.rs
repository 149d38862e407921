//! A request as it was taken from a caller.

use std::sync::Arc;
use std::sync::OnceLock;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Uri;
use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::RequestFingerprint;
use stallhoist_core::ServiceName;
use stallhoist_core::WorkspaceName;

use crate::dialect::CallHead;
use crate::routing::AllowedRegions;
use crate::routing::Route;
use crate::routing::Service;
use crate::sessions::SessionKey;

/// A request as it was taken from a caller.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    /// The service it goes to, chosen among the route's.
    pub(crate) service_name: ServiceName,
    /// What the configuration says of that service.
    pub(crate) service: Option<Arc<Service>>,
    pub(crate) workspace: Option<WorkspaceName>,
    /// Where requests of the workspace may go, besides what the route says.
    pub(crate) workspace_allowed_regions: Option<AllowedRegions>,
    pub(crate) priority: u8,
    pub(crate) arrived: MonoTime,
    /// When its final answer is due.
    pub(crate) deadline: MonoTime,
    /// What makes it the same request at its next try; worked out when it is first needed.
    pub(crate) fingerprint: OnceLock<RequestFingerprint>,
}

impl Call {
    /// What makes it the same request at its next try, here or at another entry.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        let target = self.target.path_and_query().map_or("/", |target| target.as_str());
        let workspace = self.workspace.as_ref().map_or("", |workspace| workspace.as_str());
        let of = || RequestFingerprint::of(self.method.as_str(), target, workspace, &self.body);
        *self.fingerprint.get_or_init(of)
    }

    /// The session that a request belongs to, if any.
    pub(crate) fn session(head: &CallHead) -> Option<SessionKey> {
        head.session.as_deref().map(SessionKey::of)
    }

    /// A model's pace as a part of the slowest one's, until its answers have shown it.
    pub(crate) fn relative_prefill_time(&self, model: Option<&ModelName>) -> f64 {
        let known = self.service.as_ref().zip(model);
        known.map_or(1.0, |(service, model)| service.relative_prefill_time(model))
    }

    /// A number from 0 to 1 that stays with the session, or with the request if it
    /// belongs to none.
    pub(crate) fn unit(head: &CallHead) -> f64 {
        Self::session(head).unwrap_or_else(|| SessionKey::of(&head.id)).unit()
    }
}

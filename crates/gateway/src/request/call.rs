//! A request that was accepted from a caller.

use std::sync::Arc;
use std::sync::OnceLock;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Uri;
use stallhoist_core::CrashSubject;
use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::PartFingerprint;
use stallhoist_core::Prompt;
use stallhoist_core::RequestFingerprint;
use stallhoist_core::ServiceName;
use stallhoist_core::WorkspaceName;

use crate::dialect::CallHead;
use crate::routing::AllowedRegions;
use crate::routing::Route;
use crate::routing::Service;
use crate::sessions::SessionKey;

/// A request that was accepted from a caller.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    /// The destination, selected among the route's services.
    pub(crate) service_name: ServiceName,
    /// The configuration of that service, if there is one.
    pub(crate) service: Option<Arc<Service>>,
    pub(crate) workspace: Option<WorkspaceName>,
    /// Regions to which the workspace restricts its requests, besides the route's.
    pub(crate) workspace_allowed_regions: Option<AllowedRegions>,
    pub(crate) priority: u8,
    pub(crate) arrived: MonoTime,
    /// Deadline of the final response.
    pub(crate) deadline: MonoTime,
    /// Identifies the request across the caller's tries; computed on first use.
    pub(crate) fingerprint: OnceLock<RequestFingerprint>,
    /// The shared parts of its prompt, which identify it among requests that crash upstreams; computed on first use.
    pub(crate) parts: OnceLock<Arc<[PartFingerprint]>>,
}

impl Call {
    /// Identifies the request across the caller's tries, at any gateway.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        let target = self.target.path_and_query().map_or("/", |target| target.as_str());
        let workspace = self.workspace.as_ref().map_or("", |workspace| workspace.as_str());
        let compute =
            || RequestFingerprint::of(self.method.as_str(), target, workspace, &self.body);
        *self.fingerprint.get_or_init(compute)
    }

    /// The parts of its prompt that other requests may share.
    pub(crate) fn parts(&self) -> &Arc<[PartFingerprint]> {
        self.parts.get_or_init(|| {
            let prompt = self.head.prompt.as_ref();
            let shared = prompt.map_or(&[][..], Prompt::shared_parts);
            let ids = shared.iter().map(|part| part.id);
            PartFingerprint::of_all(&self.service_name, ids).collect()
        })
    }

    /// What may crash an upstream that runs the request.
    pub(crate) fn crash_subjects(&self) -> impl Iterator<Item = CrashSubject> {
        let parts = self.parts().iter().copied().map(CrashSubject::from);
        std::iter::once(self.fingerprint().into()).chain(parts)
    }

    /// The session that the request belongs to, if any.
    pub(crate) fn session(head: &CallHead) -> Option<SessionKey> {
        head.session.as_deref().map(SessionKey::of)
    }

    /// A model's prefill time per token relative to the slowest model's, derived from the configured costs. It
    /// counts until the model has responded.
    pub(crate) fn relative_prefill_time(&self, model: Option<&ModelName>) -> f64 {
        let known = self.service.as_ref().zip(model);
        known.map_or(1.0, |(service, model)| service.relative_prefill_time(model))
    }

    /// A number from 0 to 1 that is constant within a session, or derived from the request's id where it belongs
    /// to none.
    pub(crate) fn unit(head: &CallHead) -> f64 {
        Self::session(head).unwrap_or_else(|| SessionKey::of(&head.id)).unit()
    }
}

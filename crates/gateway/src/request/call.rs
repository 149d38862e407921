//! A request as it was taken from a caller.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Uri;
use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_core::WorkspaceName;
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::CallHead;
use crate::routing::Route;
use crate::routing::Service;

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
    pub(crate) priority: u8,
    pub(crate) arrived: MonoTime,
    /// When its final answer is due.
    pub(crate) deadline: MonoTime,
}

impl Call {
    /// A number from 0 to 1 that stays with the session, or with the request if it
    /// belongs to none.
    pub(crate) fn unit(head: &CallHead) -> f64 {
        let text = head.session.as_deref().unwrap_or(&head.id);
        xxh3_64(text.as_bytes()) as f64 / u64::MAX as f64
    }
}

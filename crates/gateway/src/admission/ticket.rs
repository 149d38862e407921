//! The place of a waiting request in the queue.

use std::sync::Arc;

use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_policy::overload::WaiterId;
use tokio::sync::Notify;

use super::Admission;

/// The place of a waiting request in the queue, until it is dropped: the request was sent or rejected, or its
/// caller has left.
#[derive(Debug)]
pub(crate) struct WaitTicket {
    admission: Arc<Admission>,
    service: ServiceName,
    id: WaiterId,
    since: MonoTime,
    waker: Arc<Notify>,
}

impl WaitTicket {
    pub(super) fn new(
        admission: Arc<Admission>,
        service: ServiceName,
        id: WaiterId,
        since: MonoTime,
        waker: Arc<Notify>,
    ) -> Self {
        Self { admission, service, id, since, waker }
    }

    pub(super) fn id(&self) -> WaiterId {
        self.id
    }

    pub(super) fn service(&self) -> &ServiceName {
        &self.service
    }

    /// When it began to wait.
    pub(crate) fn since(&self) -> MonoTime {
        self.since
    }

    /// Waits until it may be this request's turn, until `at` at the latest.
    pub(crate) async fn woken_until(&self, now: MonoTime, at: MonoTime) {
        let _ = tokio::time::timeout(at.since(now), self.waker.notified()).await;
    }
}

impl Drop for WaitTicket {
    fn drop(&mut self) {
        self.admission.remove(self.since, &self.service, self.id);
    }
}

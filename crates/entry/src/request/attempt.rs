//! The state of the attempt in progress.

use std::sync::Arc;

use stallhoist_core::AttemptId;
use stallhoist_core::HostId;
use stallhoist_core::IncarnationId;
use stallhoist_core::ResponseDigest;
use stallhoist_wire::attempt_to_wire;
use stallhoist_wire::messages::Cancel;
use stallhoist_wire::messages::ResponseHead;
use stallhoist_wire::messages::frame::Body;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::mesh::AttemptEvent;
use crate::mesh::Link;

/// The attempt in progress. Dropping it cancels it at the sidecar.
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) host: HostId,
    pub(super) link: Arc<Link>,
    /// The incarnation of the sidecar process that received the attempt.
    pub(super) incarnation: IncarnationId,
    pub(super) events: UnboundedReceiver<AttemptEvent>,
    pub(super) head: Option<ResponseHead>,
    pub(super) next_sequence: u64,
    pub(super) digest: ResponseDigest,
    pub(super) error_body: Vec<u8>,
}

impl Attempt {
    /// Whether the upstream responded with a status other than 2xx.
    pub(super) fn is_error(&self) -> bool {
        self.head.as_ref().is_some_and(|head| !(200..300).contains(&head.http_status))
    }
}

impl Drop for Attempt {
    /// Cancels the attempt if it still runs; if it has finished, lets the sidecar free the buffered
    /// response.
    fn drop(&mut self) {
        self.link.drop_attempt(self.id);
        let cancel = Cancel { attempt: attempt_to_wire(self.id) };
        let _ = self.link.try_send(Body::Cancel(cancel));
    }
}

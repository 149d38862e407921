//! Dispatches the messages of a connection to the tasks that wait for them.

use std::collections::HashMap;

use stallhoist_core::AttemptId;
use stallhoist_core::RequestId;
use stallhoist_wire::messages::ProbeReply;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::AttemptEvent;

/// The channels of the tasks that wait for messages of a connection.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    last_probe_id: u64,
    probes: HashMap<u64, oneshot::Sender<ProbeReply>>,
    /// Unbounded: the sidecar buffers as much of each response as it has sent, so a slow caller uses at
    /// most the memory of its own response.
    attempts: HashMap<AttemptId, mpsc::UnboundedSender<AttemptEvent>>,
    bills: HashMap<RequestId, oneshot::Sender<()>>,
}

impl Waiters {
    pub(crate) fn add_probe(&mut self) -> (u64, oneshot::Receiver<ProbeReply>) {
        self.last_probe_id += 1;
        let (tell, told) = oneshot::channel();
        self.probes.insert(self.last_probe_id, tell);
        (self.last_probe_id, told)
    }

    pub(crate) fn drop_probe(&mut self, probe_id: u64) {
        self.probes.remove(&probe_id);
    }

    pub(crate) fn probe_replied(&mut self, reply: ProbeReply) {
        if let Some(tell) = self.probes.remove(&reply.probe_id) {
            let _ = tell.send(reply);
        }
    }

    pub(crate) fn add_attempt(&mut self, id: AttemptId) -> mpsc::UnboundedReceiver<AttemptEvent> {
        let (tell, told) = mpsc::unbounded_channel();
        self.attempts.insert(id, tell);
        told
    }

    pub(crate) fn drop_attempt(&mut self, id: AttemptId) {
        self.attempts.remove(&id);
    }

    /// Forwards an event to its attempt. Events of attempts without a receiver are dropped.
    pub(crate) fn attempt_event(&mut self, id: AttemptId, event: AttemptEvent) {
        if let Some(tell) = self.attempts.get(&id) {
            let _ = tell.send(event);
        }
    }

    pub(crate) fn add_bill(&mut self, request: RequestId) -> oneshot::Receiver<()> {
        let (tell, told) = oneshot::channel();
        self.bills.insert(request, tell);
        told
    }

    pub(crate) fn bill_held(&mut self, request: &RequestId) {
        if let Some(tell) = self.bills.remove(request) {
            let _ = tell.send(());
        }
    }

    /// Handles the loss of the connection: notifies the attempts and drops all other waiters.
    pub(crate) fn link_lost(&mut self) {
        self.probes.clear();
        self.bills.clear();
        for tell in self.attempts.values() {
            let _ = tell.send(AttemptEvent::LinkLost);
        }
    }
}

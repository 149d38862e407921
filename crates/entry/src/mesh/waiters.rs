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
        let (sender, receiver) = oneshot::channel();
        self.probes.insert(self.last_probe_id, sender);
        (self.last_probe_id, receiver)
    }

    pub(crate) fn drop_probe(&mut self, probe_id: u64) {
        self.probes.remove(&probe_id);
    }

    pub(crate) fn probe_replied(&mut self, reply: ProbeReply) {
        if let Some(sender) = self.probes.remove(&reply.probe_id) {
            let _ = sender.send(reply);
        }
    }

    pub(crate) fn add_attempt(&mut self, id: AttemptId) -> mpsc::UnboundedReceiver<AttemptEvent> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.attempts.insert(id, sender);
        receiver
    }

    pub(crate) fn drop_attempt(&mut self, id: AttemptId) {
        self.attempts.remove(&id);
    }

    /// Forwards an event to its attempt. Events of attempts without a receiver are dropped.
    pub(crate) fn attempt_event(&mut self, id: AttemptId, event: AttemptEvent) {
        if let Some(sender) = self.attempts.get(&id) {
            let _ = sender.send(event);
        }
    }

    pub(crate) fn add_bill(&mut self, request: RequestId) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.bills.insert(request, sender);
        receiver
    }

    pub(crate) fn bill_held(&mut self, request: &RequestId) {
        if let Some(sender) = self.bills.remove(request) {
            let _ = sender.send(());
        }
    }

    /// Handles the loss of the connection: notifies the attempts and drops all other waiters.
    pub(crate) fn link_lost(&mut self) {
        self.probes.clear();
        self.bills.clear();
        for sender in self.attempts.values() {
            let _ = sender.send(AttemptEvent::LinkLost);
        }
    }
}

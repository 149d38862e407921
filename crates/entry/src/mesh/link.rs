//! The connection to one sidecar, with reconnection and dispatch of its messages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use backon::BackoffBuilder;
use backon::ExponentialBuilder;
use parking_lot::Mutex;
use stallhoist_core::AttemptId;
use stallhoist_core::IncarnationId;
use stallhoist_core::Revision;
use stallhoist_core::Target;
use stallhoist_core::ZoneName;
use stallhoist_wire::FrameReader;
use stallhoist_wire::FrameSender;
use stallhoist_wire::Identity;
use stallhoist_wire::Side;
use stallhoist_wire::WireError;
use stallhoist_wire::attempt_from_wire;
use stallhoist_wire::handshake;
use stallhoist_wire::messages::AttemptFate;
use stallhoist_wire::messages::Status;
use stallhoist_wire::messages::frame::Body;
use stallhoist_wire::request_from_wire;
use stallhoist_wire::start_writer;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::AttemptEvent;
use super::waiters::Waiters;
use crate::billing;
use crate::holds;
use crate::shared::Shared;
use crate::table_sync;

const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of an established connection, with the last status that the sidecar sent.
#[derive(Debug, Clone)]
pub(crate) struct Connected {
    pub(crate) identity: Identity,
    pub(crate) sender: FrameSender,
    pub(crate) revision: Revision,
    pub(crate) is_leaving: bool,
    pub(crate) serves: Vec<Target>,
    pub(crate) in_flight_requests: u32,
    pub(crate) last_heard: Instant,
}

/// The connection to one sidecar. It is reestablished with exponential back-off until the link is
/// closed.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) addr: SocketAddr,
    connected: watch::Sender<Option<Connected>>,
    pub(crate) waiters: Mutex<Waiters>,
    closed: CancellationToken,
}

impl Link {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            connected: watch::Sender::new(None),
            waiters: Mutex::default(),
            closed: CancellationToken::new(),
        }
    }

    /// A copy of the state of the connection, or `None` while it is down.
    pub(crate) fn connected(&self) -> Option<Connected> {
        self.connected.borrow().clone()
    }

    /// Reads the state of the connection without copying it. Returns `None` while the connection is
    /// down.
    pub(crate) fn with_connection<T>(&self, read: impl FnOnce(&Connected) -> T) -> Option<T> {
        self.connected.borrow().as_ref().map(read)
    }

    /// Waits until the connection is up, and returns the incarnation of the sidecar.
    pub(crate) async fn wait_connected(&self) -> Option<IncarnationId> {
        let mut connected = self.connected.subscribe();
        let found = connected.wait_for(Option::is_some).await.ok()?;
        found.as_ref().map(|c| c.identity.incarnation)
    }

    pub(crate) fn sender(&self) -> Option<FrameSender> {
        self.with_connection(|connected| connected.sender.clone())
    }

    pub(crate) fn zone(&self) -> Option<ZoneName> {
        self.with_connection(|connected| connected.identity.zone.clone())
    }

    /// Sends a message without waiting.
    ///
    /// # Errors
    /// Fails if the connection is down or its send queue is full.
    pub(crate) fn try_send(&self, body: Body) -> Result<(), WireError> {
        self.sender().ok_or(WireError::Closed)?.try_send(body)
    }

    /// Closes the connection permanently.
    pub(crate) fn close(&self) {
        self.closed.cancel();
    }

    /// Connects and reconnects until the link is closed.
    pub(crate) async fn run(self: Arc<Self>, shared: Arc<Shared>) {
        let max_delay = Duration::from_millis(shared.settings.timing.reconnect_max_ms);
        let backoff = ExponentialBuilder::default()
            .with_min_delay(MIN_RECONNECT_DELAY.min(max_delay))
            .with_max_delay(max_delay)
            .with_factor(2.0)
            .with_jitter()
            .without_max_times();
        let mut delays = backoff.build();
        loop {
            let was_connected = tokio::select! {
                was_connected = self.connect_and_read(&shared) => was_connected,
                () = self.closed.cancelled() => break,
            };
            self.disconnected();
            if was_connected {
                delays = backoff.build();
            }
            let delay = delays.next().unwrap_or(max_delay);
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = self.closed.cancelled() => break,
            }
        }
        self.disconnected();
    }

    fn disconnected(&self) {
        self.connected.send_modify(|connected| {
            if let Some(connected) = connected.take() {
                connected.sender.close();
            }
        });
        self.waiters.lock().link_lost();
    }

    /// Connects once and reads until the connection ends. Returns whether the handshake succeeded.
    async fn connect_and_read(&self, shared: &Arc<Shared>) -> bool {
        let connect = TcpStream::connect(self.addr);
        let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connect).await else {
            return false;
        };
        let max_frame_bytes = shared.settings.max_frame_bytes;
        let identified = handshake(
            stream,
            Side::Initiator,
            &shared.identity,
            &shared.fleet_key,
            max_frame_bytes,
        );
        let (framed, identity) = match identified.await {
            Ok(done) => done,
            Err(error) => {
                log::warn!(addr:% = self.addr, error:%; "handshake failed");
                return false;
            }
        };
        let (sender, mut reader) = start_writer(framed);
        log::info!(host:% = identity.host, zone:% = identity.zone; "sidecar connected");
        let _ = sender.send(Body::Status(shared.status())).await;
        let reason = self.read_all(shared, identity, &sender, &mut reader).await;
        log::info!(addr:% = self.addr, reason:% = reason; "sidecar disconnected");
        true
    }

    async fn read_all(
        &self,
        shared: &Arc<Shared>,
        identity: Identity,
        sender: &FrameSender,
        reader: &mut FrameReader,
    ) -> WireError {
        let silence_timeout = Duration::from_millis(shared.settings.timing.peer_timeout_ms);
        loop {
            let body = match reader.next_within(silence_timeout).await {
                Ok(body) => body,
                Err(error) => return error,
            };
            if let Err(error) = self.handle_message(shared, &identity, sender, body) {
                return error;
            }
        }
    }

    fn handle_message(
        &self,
        shared: &Arc<Shared>,
        identity: &Identity,
        sender: &FrameSender,
        body: Body,
    ) -> Result<(), WireError> {
        match body {
            Body::ProbeReply(reply) => self.waiters.lock().probe_replied(reply),
            Body::ResponseHead(head) => {
                let id = attempt_from_wire(head.attempt.as_ref())?;
                self.waiters.lock().attempt_event(id, AttemptEvent::Head(head));
            }
            Body::Chunk(chunk) => {
                let id = attempt_from_wire(chunk.attempt.as_ref())?;
                self.waiters.lock().attempt_event(id, AttemptEvent::Chunk(chunk));
            }
            Body::Final(last) => {
                let id = attempt_from_wire(last.attempt.as_ref())?;
                self.waiters.lock().attempt_event(id, AttemptEvent::Final(Box::new(last)));
            }
            Body::Refusal(refusal) => {
                let id = attempt_from_wire(refusal.attempt.as_ref())?;
                self.waiters.lock().attempt_event(id, AttemptEvent::Refusal(refusal));
            }
            Body::Attestation(attestation) => {
                let id = attempt_from_wire(attestation.attempt.as_ref())?;
                let fate = AttemptFate::try_from(attestation.fate)
                    .map_err(|_| WireError::BadField("fate"))?;
                self.waiters.lock().attempt_event(id, AttemptEvent::Attestation(fate));
            }
            Body::Status(status) => self.handle_status(shared, identity, sender, &status)?,
            Body::TableHeld(held) => {
                table_sync::record_holder(shared, &identity.host, Revision(held.revision));
            }
            Body::TableProgress(progress) => table_sync::apply_progress(shared, &progress),
            Body::TableSnapshot(snapshot) => table_sync::apply_snapshot(shared, &snapshot)?,
            Body::TableEdit(edit) => table_sync::apply_edit(shared, sender, &edit)?,
            Body::TablePull(_) => shared.table.send_snapshot(sender),
            Body::BillHeld(held) => {
                let request = request_from_wire(&held.request)?;
                self.waiters.lock().bill_held(&request);
            }
            Body::BillOrphans(orphans) => {
                billing::adopt(shared, &identity.host, &orphans.records)?;
            }
            _ => return Err(WireError::BadField("a message that only entries send")),
        }
        Ok(())
    }

    /// Stores the sidecar's status. The connection counts as up from its first status.
    fn handle_status(
        &self,
        shared: &Arc<Shared>,
        identity: &Identity,
        sender: &FrameSender,
        status: &Status,
    ) -> Result<(), WireError> {
        let serves: Result<Vec<Target>, _> = status.serves.iter().map(|t| t.parse()).collect();
        let serves = serves.map_err(|_| WireError::BadField("serves"))?;
        let revision = Revision(status.revision);
        self.connected.send_modify(|connected| {
            let held = connected.get_or_insert_with(|| Connected {
                identity: identity.clone(),
                sender: sender.clone(),
                revision,
                is_leaving: status.leaving,
                serves: Vec::new(),
                in_flight_requests: 0,
                last_heard: Instant::now(),
            });
            held.revision = revision;
            held.is_leaving = status.leaving;
            held.in_flight_requests = status.in_flight_requests;
            held.last_heard = Instant::now();
            if !serves.is_empty() {
                held.serves = serves;
            }
        });
        holds::record_evidence(shared, &identity.host, &status.evidence)?;
        table_sync::record_holder(shared, &identity.host, revision);
        shared.table.sync_with_peer(sender, revision);
        Ok(())
    }

    /// Registers an attempt. Returns the connection on which to send it, and its events, or `None` while the
    /// connection is down.
    pub(crate) fn begin_attempt(
        &self,
        id: AttemptId,
    ) -> Option<(Connected, UnboundedReceiver<AttemptEvent>)> {
        // Registered before the connection is looked at: the loss of one that is up then is reported to the attempt.
        let events = self.waiters.lock().add_attempt(id);
        let Some(connected) = self.connected() else {
            self.drop_attempt(id);
            return None;
        };
        Some((connected, events))
    }

    pub(crate) fn drop_attempt(&self, id: AttemptId) {
        self.waiters.lock().drop_attempt(id);
    }
}

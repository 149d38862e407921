//! The open connections of callers, their number and what ends them.
//!
//! Lock order: the lock is never held together with another.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use stallhoist_policy::memory::CallerConnections;
use stallhoist_policy::memory::ConnectionId;
use tokio_util::sync::CancellationToken;

use super::request_head::RequestHead;
use crate::state::GatewayState;

#[derive(Debug)]
struct Table {
    connections: CallerConnections,
    /// Cancelled when the connection has to be closed.
    signals: HashMap<ConnectionId, CancellationToken>,
}

/// The open connections of callers.
#[derive(Debug)]
pub(super) struct Connections {
    state: Arc<GatewayState>,
    table: Mutex<Table>,
    open: AtomicUsize,
    /// Open ones that have received a request.
    used: AtomicUsize,
}

impl Connections {
    pub(super) fn new(state: Arc<GatewayState>) -> Self {
        let connections = CallerConnections::new(state.host.max_caller_connections());
        let table = Mutex::new(Table { connections, signals: HashMap::new() });
        Self { state, table, open: AtomicUsize::new(0), used: AtomicUsize::new(0) }
    }

    /// Number of open connections.
    pub(super) fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Number of open connections that have received a request.
    pub(super) fn used(&self) -> usize {
        self.used.load(Ordering::SeqCst)
    }

    /// Adds a connection, for which another may be closed; none if all others stay.
    pub(super) fn accept(self: &Arc<Self>) -> Option<Connection> {
        let evicted = CancellationToken::new();
        let mut table = self.table.lock();
        let accepted = table.connections.accept(self.state.now())?;
        if let Some(closed) = accepted.closed.and_then(|id| table.signals.remove(&id)) {
            closed.cancel();
            self.state.metrics.caller_connections_closed.inc();
        }
        table.signals.insert(accepted.id, evicted.clone());
        drop(table);
        self.open.fetch_add(1, Ordering::SeqCst);
        let head = RequestHead::new(Arc::clone(&self.state.memory), evicted.clone());
        Some(Connection {
            connections: Arc::clone(self),
            id: accepted.id,
            is_used: AtomicBool::new(false),
            head: Arc::new(head),
            evicted,
        })
    }
}

/// An open connection, until it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    connections: Arc<Connections>,
    id: ConnectionId,
    is_used: AtomicBool,
    /// What it reads of its next request.
    pub(super) head: Arc<RequestHead>,
    /// Cancelled when it has to be closed.
    pub(super) evicted: CancellationToken,
}

impl Connection {
    /// Records that it has received a request.
    pub(super) fn record_request(&self) {
        if !self.is_used.swap(true, Ordering::SeqCst) {
            self.connections.used.fetch_add(1, Ordering::SeqCst);
        }
    }

    pub(super) fn is_used(&self) -> bool {
        self.is_used.load(Ordering::SeqCst)
    }

    /// Keeps it open for a response to a request that was read in full; none if it is about to be closed.
    pub(super) fn pin(self: &Arc<Self>) -> Option<PinnedConnection> {
        let is_open = self.connections.table.lock().connections.request_read(self.id);
        is_open.then(|| PinnedConnection(Arc::clone(self)))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut table = self.connections.table.lock();
        table.connections.close(self.id);
        table.signals.remove(&self.id);
        drop(table);
        if self.is_used() {
            self.connections.used.fetch_sub(1, Ordering::SeqCst);
        }
        self.connections.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Keeps a connection from being closed for another until the response is made.
#[derive(Debug)]
pub(super) struct PinnedConnection(Arc<Connection>);

impl Drop for PinnedConnection {
    fn drop(&mut self) {
        let Connection { connections, id, .. } = &*self.0;
        let now = connections.state.now();
        connections.table.lock().connections.response_made(now, *id);
    }
}

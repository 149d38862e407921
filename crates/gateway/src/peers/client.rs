//! Connections to the entries that are told something again and again.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::time::Duration;

use super::connection::Connection;
use super::connection::PeerError;
use super::connection::connect;
use super::connection::exchange;
use super::messages::PeerRequest;
use super::response::PeerResponse;

/// Connections to the entries that are told something again and again.
#[derive(Debug)]
pub(super) struct PeerClient {
    connections: HashMap<SocketAddr, Connection>,
    answer_timeout: Duration,
}

impl PeerClient {
    /// Nobody has been told anything yet. An answer may take so long.
    pub(super) fn new(answer_timeout: Duration) -> Self {
        Self { connections: HashMap::new(), answer_timeout }
    }

    /// Closes all connections.
    pub(super) fn disconnect(&mut self) {
        self.connections.clear();
    }

    /// Tells an entry, and waits for its answer. After a failure the next call connects anew.
    ///
    /// # Errors
    /// Fails when the entry does not answer in time.
    pub(super) async fn tell(
        &mut self,
        addr: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        let response =
            tokio::time::timeout(self.answer_timeout, self.exchange(addr, request)).await;
        let response = response.unwrap_or(Err(PeerError::TimedOut));
        if response.is_err() {
            self.connections.remove(&addr);
        }
        response
    }

    async fn exchange(
        &mut self,
        addr: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        let connection = match self.connections.entry(addr) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => new.insert(connect(addr).await?),
        };
        exchange(connection, request, self.answer_timeout).await
    }
}

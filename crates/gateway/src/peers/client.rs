//! Persistent connections to the peers that receive periodic updates.

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

/// Persistent connections to the peers that receive periodic updates.
#[derive(Debug)]
pub(super) struct PeerClient {
    connections: HashMap<SocketAddr, Connection>,
    response_timeout: Duration,
}

impl PeerClient {
    /// Creates a client without connections; a response must arrive within `answer_timeout`.
    pub(super) fn new(response_timeout: Duration) -> Self {
        Self { connections: HashMap::new(), response_timeout }
    }

    pub(super) fn disconnect(&mut self) {
        self.connections.clear();
    }

    /// Sends a request to a peer and waits for the response. After a failure the connection is
    /// dropped, and the next call reconnects.
    ///
    /// # Errors
    /// Fails when the peer does not respond in time.
    pub(super) async fn send(
        &mut self,
        addr: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        let response =
            tokio::time::timeout(self.response_timeout, self.exchange(addr, request)).await;
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
        exchange(connection, request, self.response_timeout).await
    }
}

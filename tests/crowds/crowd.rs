//! Connections that send the same bytes and stay open.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::gateway::Gateway;
use crate::gateway::KEY;

/// By then a connection has sent its bytes, or the gateway reads no more of them.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// The head of a request with a body in this framing.
pub(crate) fn head(framing: &str) -> String {
    format!(
        "POST /safe/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: a-request\r\n\
         Authorization: Bearer {KEY}\r\n{framing}\r\n\r\n"
    )
}

/// Connections that stay open until this is dropped, unless the gateway closes them.
pub(crate) struct Crowd {
    connections: Vec<TcpStream>,
}

impl Crowd {
    /// Opens connections that send `start` and then each of `parts`, all beside each other.
    pub(crate) async fn send(
        gateway: &Gateway,
        size: usize,
        start: String,
        parts: Vec<Bytes>,
    ) -> Self {
        Self::send_to(gateway.callers_addr(), size, start, parts).await
    }

    /// The same to an address.
    pub(crate) async fn send_to(
        addr: SocketAddr,
        size: usize,
        start: String,
        parts: Vec<Bytes>,
    ) -> Self {
        let mut sending = JoinSet::new();
        for _ in 0..size {
            sending.spawn(send(addr, start.clone(), parts.clone()));
        }
        Self { connections: sending.join_all().await.into_iter().flatten().collect() }
    }

    /// Checks that the gateway is well beside the crowd, and after it has left.
    pub(crate) async fn check_and_leave(self, gateway: &Gateway) {
        gateway.is_well().await;
        drop(self);
        gateway.is_well().await;
    }

    /// Sends a part on each connection that is still open.
    pub(crate) async fn send_all(&mut self, part: &[u8]) {
        for connection in &mut self.connections {
            let _ = connection.write_all(part).await;
        }
    }
}

/// Returns the connection, also if the gateway does not read all.
async fn send(addr: SocketAddr, start: String, parts: Vec<Bytes>) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let sending = async {
        stream.write_all(start.as_bytes()).await?;
        for part in parts {
            stream.write_all(&part).await?;
        }
        stream.flush().await
    };
    // A gateway that refuses the request may close the connection or read no more.
    let _ = tokio::time::timeout(SEND_TIMEOUT, sending).await;
    Ok(stream)
}

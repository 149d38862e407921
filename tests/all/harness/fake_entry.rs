//! A fake entry that speaks the wire protocol to a sidecar, for contract tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use stallhoist_core::AttemptId;
use stallhoist_core::AttemptNumber;
use stallhoist_core::IncarnationId;
use stallhoist_core::RequestId;
use stallhoist_wire::FleetKey;
use stallhoist_wire::FrameReader;
use stallhoist_wire::FrameSender;
use stallhoist_wire::HandshakeError;
use stallhoist_wire::Identity;
use stallhoist_wire::Side;
use stallhoist_wire::attempt_to_wire;
use stallhoist_wire::handshake;
use stallhoist_wire::messages::Dispatch;
use stallhoist_wire::messages::frame::Body;
use stallhoist_wire::start_writer;
use tokio::net::TcpStream;

use super::settings::FLEET_KEY;

const MAX_FRAME_BYTES: usize = 8 << 20;
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// A fake entry with a connection to one sidecar.
#[derive(Debug)]
pub(crate) struct FakeEntry {
    pub(crate) sender: FrameSender,
    reader: FrameReader,
}

impl FakeEntry {
    /// Connects with the fleet key that the sidecar expects.
    pub(crate) async fn connect(addr: SocketAddr) -> Self {
        Self::connect_with(addr, FLEET_KEY).await.expect("the sidecar accepts the fleet key")
    }

    /// Connects with the given fleet key.
    pub(crate) async fn connect_with(addr: SocketAddr, key: &str) -> Result<Self, HandshakeError> {
        let stream = TcpStream::connect(addr).await?;
        let me = Identity {
            host: "fake-entry".parse().expect("a valid name"),
            zone: "zone-9".parse().expect("a valid name"),
            incarnation: IncarnationId::generate(),
        };
        let key = FleetKey::new(key);
        let (framed, _) = handshake(stream, Side::Initiator, &me, &key, MAX_FRAME_BYTES).await?;
        let (sender, reader) = start_writer(framed);
        Ok(Self { sender, reader })
    }

    /// Sends a message; panics when the connection is closed.
    pub(crate) async fn send(&self, body: Body) {
        self.sender.send(body).await.expect("the connection is up");
    }

    /// Waits for a message that `fits` accepts and skips the others. None when the connection
    /// closes first.
    pub(crate) async fn receive<T>(&mut self, fits: impl Fn(Body) -> Option<T>) -> Option<T> {
        let wait = async {
            loop {
                let body = self.reader.next().await.ok()?;
                if let Some(found) = fits(body) {
                    return Some(found);
                }
            }
        };
        tokio::time::timeout(RECEIVE_TIMEOUT, wait)
            .await
            .expect("the message or the end of the connection arrives before the timeout")
    }
}

/// The first attempt of a new request.
pub(crate) fn new_attempt() -> AttemptId {
    AttemptId { request: RequestId::generate(), number: AttemptNumber(1) }
}

/// A dispatch of a chat request for at most `tokens` completion tokens.
pub(crate) fn chat_dispatch(id: AttemptId, target: &str, tokens: u64) -> Dispatch {
    let body = format!(
        r#"{{"model":"{target}","max_tokens":{tokens},"messages":[{{"role":"user","content":"x"}}]}}"#
    );
    Dispatch {
        attempt: attempt_to_wire(id),
        workspace: "w".to_owned(),
        target: target.to_owned(),
        revision: 1,
        deadline_ms: 10_000,
        repeatable: true,
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        content_type: "application/json".to_owned(),
        body: Bytes::from(body),
        expected_completion_tokens: tokens,
        ..Dispatch::default()
    }
}

//! The handshake: both sides prove that they hold the fleet key.
//!
//! Each side sends a fresh nonce, then a message authentication code over its side, its own hello and the peer's
//! nonce. The side in the code prevents reflection of a proof to its author; the nonces prevent replay.

use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use stallhoist_core::IncarnationId;
use subtle::ConstantTimeEq;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::FleetKey;
use crate::FrameCodec;
use crate::HandshakeError;
use crate::Identity;
use crate::WireError;
use crate::messages::Hello;
use crate::messages::Proof;
use crate::messages::frame::Body;

const PROTOCOL_VERSION: u32 = 1;
const NONCE_LEN: usize = 32;
/// Fits a hello or a proof; a peer that isn't authenticated can't send more.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 1_024;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection: an entry.
    Initiator,
    /// The side that accepted the connection: a sidecar.
    Responder,
}

impl Side {
    fn tag(self) -> &'static [u8] {
        match self {
            Self::Initiator => b"stallhoist opener",
            Self::Responder => b"stallhoist accepter",
        }
    }

    fn other(self) -> Self {
        match self {
            Self::Initiator => Self::Responder,
            Self::Responder => Self::Initiator,
        }
    }
}

/// Authenticates both sides to each other. Returns the connection and the peer's identity.
///
/// # Errors
/// Fails if the peer lacks the key, uses another protocol version or takes more than 2 s.
pub async fn handshake(
    stream: TcpStream,
    side: Side,
    local: &Identity,
    key: &FleetKey,
    max_frame_bytes: usize,
) -> Result<(Framed<TcpStream, FrameCodec>, Identity), HandshakeError> {
    stream.set_nodelay(true)?;
    let mut framed = Framed::new(stream, FrameCodec::new(MAX_HANDSHAKE_FRAME_BYTES));
    let exchange = exchange(&mut framed, side, local, key);
    let peer = tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange)
        .await
        .map_err(|_| HandshakeError::TimedOut)??;
    framed.codec_mut().set_max_frame_bytes(max_frame_bytes);
    Ok((framed, peer))
}

async fn exchange(
    framed: &mut Framed<TcpStream, FrameCodec>,
    side: Side,
    local: &Identity,
    key: &FleetKey,
) -> Result<Identity, HandshakeError> {
    let local_hello = hello(local);
    framed.send(Body::Hello(local_hello.clone())).await?;
    let Body::Hello(peer_hello) = receive(framed).await? else {
        return Err(HandshakeError::Unexpected);
    };
    if peer_hello.protocol_version != PROTOCOL_VERSION {
        let versions = HandshakeError::Version(peer_hello.protocol_version, PROTOCOL_VERSION);
        return Err(versions);
    }
    if peer_hello.nonce.len() != NONCE_LEN {
        return Err(HandshakeError::Unexpected);
    }
    let mac = proof_mac(key, side, &local_hello, &peer_hello.nonce);
    framed.send(Body::Proof(Proof { mac })).await?;
    let Body::Proof(proof) = receive(framed).await? else {
        return Err(HandshakeError::Unexpected);
    };
    let expected = proof_mac(key, side.other(), &peer_hello, &local_hello.nonce);
    if !bool::from(expected.ct_eq(&proof.mac)) {
        return Err(HandshakeError::WrongKey);
    }
    Ok(identity(&peer_hello)?)
}

async fn receive(framed: &mut Framed<TcpStream, FrameCodec>) -> Result<Body, WireError> {
    framed.next().await.ok_or(WireError::Closed)?
}

fn hello(local: &Identity) -> Hello {
    let nonce: [u8; NONCE_LEN] = rand::random();
    Hello {
        protocol_version: PROTOCOL_VERSION,
        nonce: nonce.to_vec(),
        incarnation: local.incarnation.as_bytes().to_vec(),
        host: local.host.to_string(),
        zone: local.zone.to_string(),
    }
}

fn proof_mac(key: &FleetKey, prover: Side, hello: &Hello, verifier_nonce: &[u8]) -> Vec<u8> {
    key.mac(&[prover.tag(), &hello.encode_to_vec(), verifier_nonce])
}

fn identity(hello: &Hello) -> Result<Identity, WireError> {
    Ok(Identity {
        host: hello.host.parse().map_err(|_| WireError::BadField("host"))?,
        zone: hello.zone.parse().map_err(|_| WireError::BadField("zone"))?,
        incarnation: IncarnationId::from_slice(&hello.incarnation)
            .map_err(|_| WireError::BadField("incarnation"))?,
    })
}

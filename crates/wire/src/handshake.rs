//! The handshake: both sides prove that they hold the fleet key.
//!
//! Each side sends a fresh nonce, then an authentication code over its side, its
//! own hello and the peer's nonce. The side in the code keeps a proof from being
//! sent back to its author; the nonces keep it from being used again.

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
/// Enough for a hello or a proof, and for nothing else.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 1_024;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Which side of a connection a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The one that opened it: an entry.
    Initiator,
    /// The one that accepted it: a sidecar.
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

/// Proves both sides to each other and gives the connection with the peer's identity.
///
/// # Errors
/// Fails when the peer lacks the key, speaks another version or takes over 2 s.
pub async fn handshake(
    stream: TcpStream,
    side: Side,
    me: &Identity,
    key: &FleetKey,
    max_frame_bytes: usize,
) -> Result<(Framed<TcpStream, FrameCodec>, Identity), HandshakeError> {
    stream.set_nodelay(true)?;
    let mut framed = Framed::new(stream, FrameCodec::new(MAX_HANDSHAKE_FRAME_BYTES));
    let exchange = exchange(&mut framed, side, me, key);
    let peer = tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange)
        .await
        .map_err(|_| HandshakeError::TimedOut)??;
    framed.codec_mut().set_max_frame_bytes(max_frame_bytes);
    Ok((framed, peer))
}

async fn exchange(
    framed: &mut Framed<TcpStream, FrameCodec>,
    side: Side,
    me: &Identity,
    key: &FleetKey,
) -> Result<Identity, HandshakeError> {
    let mine = hello(me);
    framed.send(Body::Hello(mine.clone())).await?;
    let Body::Hello(theirs) = next(framed).await? else {
        return Err(HandshakeError::Unexpected);
    };
    if theirs.protocol_version != PROTOCOL_VERSION {
        let versions = HandshakeError::Version(theirs.protocol_version, PROTOCOL_VERSION);
        return Err(versions);
    }
    if theirs.nonce.len() != NONCE_LEN {
        return Err(HandshakeError::Unexpected);
    }
    let mac = proof_mac(key, side, &mine, &theirs.nonce);
    framed.send(Body::Proof(Proof { mac })).await?;
    let Body::Proof(proof) = next(framed).await? else {
        return Err(HandshakeError::Unexpected);
    };
    let expected = proof_mac(key, side.other(), &theirs, &mine.nonce);
    if !bool::from(expected.ct_eq(&proof.mac)) {
        return Err(HandshakeError::WrongKey);
    }
    Ok(identity(&theirs)?)
}

async fn next(framed: &mut Framed<TcpStream, FrameCodec>) -> Result<Body, WireError> {
    framed.next().await.ok_or(WireError::Closed)?
}

fn hello(me: &Identity) -> Hello {
    let nonce: [u8; NONCE_LEN] = rand::random();
    Hello {
        protocol_version: PROTOCOL_VERSION,
        nonce: nonce.to_vec(),
        incarnation: me.incarnation.as_bytes().to_vec(),
        host: me.host.to_string(),
        zone: me.zone.to_string(),
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

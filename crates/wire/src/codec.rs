//! Framing of messages on a byte stream.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::WireError;
use crate::messages::Frame;
use crate::messages::frame::Body;

/// Encodes and decodes message bodies as length-delimited frames of bounded size.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
    /// Number of bytes received of the incomplete frame; 0 if there is none.
    partial_frame_bytes: Arc<AtomicUsize>,
}

impl FrameCodec {
    /// Creates a codec that rejects frames larger than `max_frame_bytes`.
    pub fn new(max_frame_bytes: usize) -> Self {
        let lengths = LengthDelimitedCodec::builder().max_frame_length(max_frame_bytes).new_codec();
        Self { lengths, partial_frame_bytes: Arc::default() }
    }

    /// Shared counter of the bytes received of the incomplete frame, updated as the codec decodes.
    pub(crate) fn partial_frame_bytes(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.partial_frame_bytes)
    }

    /// Changes the maximum frame size, as after the handshake.
    pub fn set_max_frame_bytes(&mut self, max_frame_bytes: usize) {
        self.lengths.set_max_frame_length(max_frame_bytes);
    }
}

impl Decoder for FrameCodec {
    type Item = Body;
    type Error = WireError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Body>, WireError> {
        let Some(bytes) = self.lengths.decode(source)? else {
            self.partial_frame_bytes.store(source.len(), Ordering::Relaxed);
            return Ok(None);
        };
        self.partial_frame_bytes.store(0, Ordering::Relaxed);
        let frame = Frame::decode(bytes.freeze())?;
        frame.body.map(Some).ok_or(WireError::EmptyFrame)
    }
}

impl Encoder<Body> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, body: Body, target: &mut BytesMut) -> Result<(), WireError> {
        let frame = Frame { body: Some(body) };
        let bytes = frame.encode_to_vec();
        self.lengths.encode(Bytes::from(bytes), target)?;
        Ok(())
    }
}

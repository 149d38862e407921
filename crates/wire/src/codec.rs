//! Frames on a byte stream.

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

/// Turns bodies into length-delimited frames and back, with a bound on their size.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
    /// What has come of the frame that is being received.
    begun_bytes: Arc<AtomicUsize>,
}

impl FrameCodec {
    /// A codec that refuses frames over `max_frame_bytes`.
    pub fn new(max_frame_bytes: usize) -> Self {
        let lengths = LengthDelimitedCodec::builder().max_frame_length(max_frame_bytes).new_codec();
        Self { lengths, begun_bytes: Arc::default() }
    }

    /// What has come of the frame that is being received, kept up to date.
    pub(crate) fn begun_bytes(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.begun_bytes)
    }

    /// Changes the bound, as the end of the handshake does.
    pub fn set_max_frame_bytes(&mut self, max_frame_bytes: usize) {
        self.lengths.set_max_frame_length(max_frame_bytes);
    }
}

impl Decoder for FrameCodec {
    type Item = Body;
    type Error = WireError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Body>, WireError> {
        let Some(bytes) = self.lengths.decode(source)? else {
            self.begun_bytes.store(source.len(), Ordering::Relaxed);
            return Ok(None);
        };
        self.begun_bytes.store(0, Ordering::Relaxed);
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

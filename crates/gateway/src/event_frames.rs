//! Splits the bytes of an event stream into whole events.
//!
//! Events are forwarded byte for byte, so a decoder is of no use here: only the end and the id of
//! an event are needed.

use bytes::Bytes;
use bytes::BytesMut;

const ID_FIELD: &[u8] = b"id:";

/// Whole events, unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventFrames {
    /// Their bytes.
    pub bytes: Bytes,
    /// The id of the last one.
    pub last_id: Option<u64>,
}

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
}

impl EventBuffer {
    /// Adds bytes; returns the events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<EventFrames> {
        self.pending.extend_from_slice(bytes);
        let end = end_of_last_event(&self.pending)?;
        let whole = self.pending.split_to(end).freeze();
        let last_id = last_id(&whole);
        Some(EventFrames { bytes: whole, last_id })
    }

    /// Whether an incomplete event is buffered.
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// The end of the last complete event, which is after a blank line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let mut end = None;
    let mut line_start = 0;
    for (at, _) in bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
        let line = &bytes[line_start..at];
        if line.is_empty() || line == b"\r" {
            end = Some(at + 1);
        }
        line_start = at + 1;
    }
    end
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}

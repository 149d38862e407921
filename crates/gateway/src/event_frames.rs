//! Splits the bytes of an event stream into whole events.
//!
//! Events are forwarded byte for byte, so a decoder is of no use here: only the end and the id of
//! an event are needed.

use bytes::Bytes;
use bytes::BytesMut;
use displaydoc::Display;

/// The longest event that is buffered: an upstream in trouble may send one without end.
const MAX_EVENT_BYTES: usize = 256 << 10;

const ID_FIELD: &[u8] = b"id:";

/// Whole events, unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventFrames {
    /// Their bytes.
    pub bytes: Bytes,
    /// The id of the last one.
    pub last_id: Option<u64>,
}

/// an event is longer than 256 KiB
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, thiserror::Error)]
pub struct EventTooLong;

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    /// Start of the last line in `pending`, which is incomplete.
    line_start: usize,
    /// Up to here `pending` was searched for the end of that line.
    searched: usize,
}

impl EventBuffer {
    /// Adds bytes; returns the events that are complete now.
    ///
    /// # Errors
    /// Fails when an incomplete event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<EventFrames>, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        let Some(end) = self.end_of_last_event() else {
            let is_too_long = self.pending.len() > MAX_EVENT_BYTES;
            return if is_too_long { Err(EventTooLong) } else { Ok(None) };
        };
        let whole = self.pending.split_to(end).freeze();
        self.line_start -= end;
        self.searched -= end;
        let last_id = last_id(&whole);
        Ok(Some(EventFrames { bytes: whole, last_id }))
    }

    /// Whether an incomplete event is buffered.
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The end of the last complete event, which is after a blank line. Each byte is searched once: an event that comes
    /// in many small parts would take the processor for a time that grows with the square of its length.
    fn end_of_last_event(&mut self) -> Option<usize> {
        let mut end = None;
        let added = self.pending[self.searched..].iter().enumerate();
        for (at, _) in added.filter(|(_, byte)| **byte == b'\n') {
            let at = self.searched + at;
            let line = &self.pending[self.line_start..at];
            if line.is_empty() || line == b"\r" {
                end = Some(at + 1);
            }
            self.line_start = at + 1;
        }
        self.searched = self.pending.len();
        end
    }
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}

//! Measures the time between the events of one stream.

use std::time::Duration;

use super::EventIntervals;

/// Number of intervals that make one observation. Shorter ones say little, and a stream that is slow has to
/// show it before its end.
const EVENTS_PER_OBSERVATION: u64 = 16;

/// Fewest intervals that make an observation at the end of a stream.
const MIN_EVENTS: u64 = 4;

/// An observation does not count if the gateway did not read from the upstream for a greater part of the time:
/// its caller reads slowly then, and events wait.
const MAX_SHARE_NOT_READ: f64 = 0.2;

#[derive(Debug, Clone, Copy)]
struct Window {
    first_id: u64,
    last_id: u64,
    read: Duration,
    not_read: Duration,
    others: f64,
    reads: u32,
}

impl Window {
    fn starting_at(id: u64) -> Self {
        Self {
            first_id: id,
            last_id: id,
            read: Duration::ZERO,
            not_read: Duration::ZERO,
            others: 0.0,
            reads: 0,
        }
    }

    fn intervals(&self) -> Option<EventIntervals> {
        let events = self.last_id.saturating_sub(self.first_id);
        let is_read_at_once =
            self.not_read.as_secs_f64() <= self.read.as_secs_f64() * MAX_SHARE_NOT_READ;
        (events >= MIN_EVENTS && is_read_at_once).then(|| EventIntervals {
            mean_ms: self.read.as_secs_f64() * 1e3 / events as f64,
            others: self.others / f64::from(self.reads),
        })
    }
}

/// One read from an upstream that completed some events.
#[derive(Debug, Clone, Copy)]
pub struct EventRead {
    /// Id of the last of them. Events of a stream are numbered.
    pub last_id: u64,
    /// How long the read took.
    pub took: Duration,
    /// Time between the end of the previous read and the start of this one.
    pub not_read: Duration,
    /// Other requests in progress at the upstream.
    pub others: u32,
}

/// Measures the time between the events of one stream.
#[derive(Debug, Default)]
pub struct EventMeter {
    window: Option<Window>,
}

impl EventMeter {
    /// Records a read. Returns an observation every few events.
    pub fn record(&mut self, read: EventRead) -> Option<EventIntervals> {
        let Some(window) = &mut self.window else {
            self.window = Some(Window::starting_at(read.last_id));
            return None;
        };
        window.last_id = read.last_id;
        window.read += read.took;
        window.not_read += read.not_read;
        window.others += f64::from(read.others);
        window.reads += 1;
        if read.last_id.saturating_sub(window.first_id) < EVENTS_PER_OBSERVATION {
            return None;
        }
        let intervals = window.intervals();
        self.window = Some(Window::starting_at(read.last_id));
        intervals
    }

    /// The observation of the last events of a stream that has ended.
    pub fn ended(&mut self) -> Option<EventIntervals> {
        self.window.take()?.intervals()
    }
}

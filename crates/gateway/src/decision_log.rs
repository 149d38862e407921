//! The log of decisions on single requests, with a rate limit.

use std::time::Duration;

use parking_lot::Mutex;
use stallhoist_core::MonoTime;

/// Average rate of lines about single requests.
const LINES_PER_S: f64 = 150.0;

/// Lines that may be written at once after a quiet time.
const BURST_LINES: f64 = 600.0;

/// Interval between reports of the number of dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Bucket {
    lines: f64,
    updated: MonoTime,
    left_out: u64,
    reported: MonoTime,
}

/// Rate limiter of the decision log.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    bucket: Mutex<Bucket>,
}

impl Default for DecisionLog {
    fn default() -> Self {
        let start = MonoTime::default();
        let bucket = Bucket { lines: BURST_LINES, updated: start, left_out: 0, reported: start };
        Self { bucket: Mutex::new(bucket) }
    }
}

impl DecisionLog {
    /// Whether a line may be written now. Counts those that may not.
    pub(crate) fn admits(&self, now: MonoTime) -> bool {
        let mut bucket = self.bucket.lock();
        let refill = now.since(bucket.updated).as_secs_f64() * LINES_PER_S;
        bucket.lines = (bucket.lines + refill).min(BURST_LINES);
        bucket.updated = now;
        if bucket.left_out > 0 && now.since(bucket.reported) >= REPORT_INTERVAL {
            log::warn!(lines = bucket.left_out; "decision log lines were left out");
            bucket.left_out = 0;
            bucket.reported = now;
        }
        if bucket.lines < 1.0 {
            bucket.left_out += 1;
            return false;
        }
        bucket.lines -= 1.0;
        true
    }
}

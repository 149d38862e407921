//! How the request rate of a service changes during a rollout.

use std::collections::VecDeque;

/// Time over which the recent rate is measured. Peers' counts arrive every half second.
const RECENT_MS: u64 = 2_000;

/// Interval between samples.
const SAMPLE_INTERVAL_MS: u64 = 250;

/// The most by which a rise counts: beyond it a rollout would begin to move too late to be completed.
const MAX_RELATIVE_RATE: f64 = 1.4;

/// Responses counted at a time.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at_ms: u64,
    responses: u64,
}

/// The responses of a service since a rollout began.
#[derive(Debug, Default)]
pub struct RateTrend {
    first: Option<Sample>,
    recent: VecDeque<Sample>,
}

impl RateTrend {
    /// Records the number of responses so far. `now_ms` is the store's clock.
    pub fn record(&mut self, now_ms: u64, responses: u64) {
        let sample = Sample { at_ms: now_ms, responses };
        self.first.get_or_insert(sample);
        let is_due = |last: &Sample| now_ms >= last.at_ms.saturating_add(SAMPLE_INTERVAL_MS);
        if self.recent.back().is_none_or(is_due) {
            self.recent.push_back(sample);
        }
        while self.recent.get(1).is_some_and(|next| next.at_ms.saturating_add(RECENT_MS) <= now_ms)
        {
            self.recent.pop_front();
        }
    }

    /// The number of requests within `duration_ms` at the mean rate; none before the rate is known.
    pub fn expected(&self, duration_ms: u64) -> Option<f64> {
        let (first, last) = (self.first?, *self.recent.back()?);
        let is_known = last.at_ms >= first.at_ms.saturating_add(RECENT_MS / 2);
        is_known.then(|| rate(first, last) * duration_ms as f64)
    }

    /// The recent request rate relative to the mean since the rollout began: at least 1, and no more than
    /// is taken into account.
    pub fn relative_rate(&self) -> f64 {
        let (Some(first), Some(from), Some(to)) =
            (self.first, self.recent.front(), self.recent.back())
        else {
            return 1.0;
        };
        let mean = rate(first, *to);
        let recent = rate(*from, *to);
        if mean <= 0.0 || to.at_ms - from.at_ms < RECENT_MS / 2 {
            return 1.0;
        }
        (recent / mean).clamp(1.0, MAX_RELATIVE_RATE)
    }
}

/// Responses per millisecond between two samples.
fn rate(from: Sample, to: Sample) -> f64 {
    let elapsed_ms = to.at_ms.saturating_sub(from.at_ms);
    to.responses.saturating_sub(from.responses) as f64 / elapsed_ms.max(1) as f64
}

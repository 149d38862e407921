//! Estimates the token interval of an engine from one stream.

use std::time::Duration;

/// The pauses that make an estimate: the first ones of a stream, as a decision cannot wait for the
/// rest.
const PAUSES: usize = 8;

/// The fewest pauses for an estimate, unless the stream has lasted for `MAX_TIME`.
const MIN_PAUSES: usize = 2;

/// The estimate is due after this time at the latest, including the pause in progress. An engine that
/// takes longer for eight chunks has pauses of at least 125 ms.
const MAX_TIME: Duration = Duration::from_secs(1);

/// The token interval of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// The typical pause between two chunks.
    pub pause: Duration,
    /// Mean number of requests in progress at the upstream during these pauses.
    pub in_progress: u32,
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    time: Duration,
    in_progress: u32,
}

/// Estimates the token interval of an engine from the pauses between the first chunks of one stream.
///
/// The estimate is the mean of the shorter half of the pauses. An engine reads prompts of other
/// requests between the chunks of its responses, which makes single pauses ten times as long; these
/// depend on the number of prompts, not on the speed of generation. On an engine with 10 requests in
/// progress, the second chunk came after 28 ms in the median and 134 ms in one case of ten; with the
/// shorter half of eight pauses, 90 in 100 estimates are within a third of the median.
///
/// Each pause has its own load. With the load at the stream's start, streams that began before a burst
/// and continued in it doubled the baseline of an idle engine.
#[derive(Debug, Default)]
pub struct StreamPace {
    pauses: Vec<Pause>,
    time: Duration,
}

impl StreamPace {
    /// Records a pause that has ended, or has lasted this long, with the requests in progress at the
    /// upstream. Returns the estimate if this pause completes it.
    pub fn record_pause(&mut self, time: Duration, in_progress: u32) -> Option<Pace> {
        self.pauses.push(Pause { time, in_progress });
        self.time += time;
        if self.pauses.len() >= PAUSES || self.time >= MAX_TIME { self.estimate(1) } else { None }
    }

    /// How long the current pause may last before the estimate is due without its end.
    pub fn time_left(&self) -> Duration {
        MAX_TIME.saturating_sub(self.time)
    }

    /// The estimate when the stream has ended or broken, if there were enough pauses.
    pub fn ended(&self) -> Option<Pace> {
        self.estimate(MIN_PAUSES)
    }

    fn estimate(&self, min_pauses: usize) -> Option<Pace> {
        if self.pauses.len() < min_pauses {
            return None;
        }
        let mut pauses = self.pauses.clone();
        pauses.sort_unstable_by_key(|pause| pause.time);
        pauses.truncate(pauses.len().div_ceil(2));
        let count = u32::try_from(pauses.len()).ok()?;
        let time: Duration = pauses.iter().map(|pause| pause.time).sum();
        let in_progress: u64 = pauses.iter().map(|pause| u64::from(pause.in_progress)).sum();
        let in_progress = u32::try_from(in_progress / u64::from(count)).unwrap_or(u32::MAX);
        Some(Pace { pause: time.checked_div(count)?, in_progress })
    }
}

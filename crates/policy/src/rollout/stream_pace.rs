//! How fast an engine generates, from the pauses of one stream.

use std::time::Duration;

/// So many pauses show the pace: the first ones, as a verdict cannot wait for the rest.
const PAUSES: usize = 8;

/// Fewer say nothing, unless the stream has taken the whole time below.
const MIN_PAUSES: usize = 2;

/// The pace is told after this time at the latest, with the pause that still lasts. An engine
/// that takes longer for eight parts pauses for 125 ms and more.
const MAX_TIME: Duration = Duration::from_secs(1);

/// How fast a stream was generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// The usual pause.
    pub pause: Duration,
    /// Requests in progress at the upstream during these pauses.
    pub in_progress: u32,
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    time: Duration,
    in_progress: u32,
}

/// How fast an engine generates, from the pauses between the first parts of one stream.
///
/// The pace is the mean of the quicker half of the pauses. An engine reads prompts of other
/// requests between the parts of its answers, which makes single pauses ten times as long; that
/// shows how many prompts came, not how fast it generates. On an engine with 10 requests in
/// progress the second part alone came after 28 ms in the median and 134 ms in one case of ten;
/// by the quicker half of eight pauses 90 in 100 are within a third of the median.
///
/// Each pause has its own load: with the load at the stream's beginning, streams that began
/// before a burst and went on in it made the usual pause of an idle engine twice as long.
#[derive(Debug, Default)]
pub struct StreamPace {
    pauses: Vec<Pause>,
    time: Duration,
}

impl StreamPace {
    /// A pause has ended, or has lasted so long, with so many requests in progress at the
    /// upstream. Gives the pace when this one completes it.
    pub fn record_pause(&mut self, time: Duration, in_progress: u32) -> Option<Pace> {
        self.pauses.push(Pause { time, in_progress });
        self.time += time;
        if self.pauses.len() >= PAUSES || self.time >= MAX_TIME { self.so_far(1) } else { None }
    }

    /// How long the pause that has begun may last before the pace is told all the same.
    pub fn time_left(&self) -> Duration {
        MAX_TIME.saturating_sub(self.time)
    }

    /// The stream has ended, or broke off. Gives the pace if there were enough pauses.
    pub fn ended(&self) -> Option<Pace> {
        self.so_far(MIN_PAUSES)
    }

    fn so_far(&self, least: usize) -> Option<Pace> {
        if self.pauses.len() < least {
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

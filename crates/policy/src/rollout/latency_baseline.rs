//! How long a version usually takes, by the load.

use std::collections::BTreeMap;
use std::time::Duration;

/// Answers at a load before its usual time is believed.
const MIN_ANSWERS: u64 = 5;

/// The weight of the newest time in the usual time.
const NEWEST_WEIGHT: f64 = 0.05;

/// A load is compared with known ones up to so many times the highest of them, and one more.
/// Beyond that a longer time may be the load's doing.
const MAX_BEYOND: f64 = 1.5;

/// At a load lower than all known ones the usual time is taken to be shorter by this factor at
/// most. Recorded answers of three deployments, with bursts and without: with no such step down
/// 0.25 of the pauses that were three times as long counted as slow at the least, with this one
/// 0.39 (0.57 where all loads were known); with 1/2 up to 0.25 of a good version's did, with
/// this one up to 0.06.
const MAX_STEP_DOWN: f64 = 1.0 / 1.5;

/// The usual time at a load, as entries tell each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BaselineLatency {
    /// The load.
    pub load: f64,
    /// The usual time there, in milliseconds.
    pub usual_ms: f64,
}

impl BaselineLatency {
    /// No load that is told is greater: 10 minutes of waiting, or as many requests.
    const MAX_LOAD: f64 = 600_000.0;
    /// No time that is told is longer: no request is waited for so long.
    const MAX_MS: f64 = 600_000.0;

    /// Whether it can be a usual time at all.
    pub fn is_plausible(self) -> bool {
        (0.0..=Self::MAX_LOAD).contains(&self.load) && (0.0..=Self::MAX_MS).contains(&self.usual_ms)
    }
}

/// What was seen at loads of the same power of two.
#[derive(Debug, Default)]
struct LoadLevel {
    answers: u64,
    mean_load: f64,
    /// The geometric mean: a few very long times hardly change it.
    mean_log_ms: f64,
}

impl LoadLevel {
    fn observe(&mut self, load: f64, log_ms: f64) {
        self.answers += 1;
        let weight = NEWEST_WEIGHT.max(1.0 / self.answers as f64);
        self.mean_load += weight * (load - self.mean_load);
        self.mean_log_ms += weight * (log_ms - self.mean_log_ms);
    }

    fn is_known(&self) -> bool {
        self.answers >= MIN_ANSWERS
    }

    fn point(&self) -> Point {
        Point { load: self.mean_load, ms: self.mean_log_ms.exp() }
    }
}

/// The usual time at a load.
#[derive(Debug, Clone, Copy)]
struct Point {
    load: f64,
    ms: f64,
}

/// How long a version usually takes, by the load of the upstream.
///
/// A new version is observed with a small share of the requests: its upstreams are almost
/// idle, those of the old version are not. Times taken at unlike loads say nothing of the
/// versions: an idle engine that is three times as slow pauses as long as a good one that
/// works on 50 requests at once, and a good version that gets all requests at once takes
/// longer than an old one that has lost them. So each load has a usual time of its own, and
/// what is learnt at one load changes nothing at another.
#[derive(Debug, Default)]
pub struct LatencyBaseline {
    levels: BTreeMap<u32, LoadLevel>,
}

impl LatencyBaseline {
    /// An answer took so long at a load.
    pub fn observe(&mut self, load: u32, time: Duration) {
        let level = self.levels.entry(level_of(load)).or_default();
        level.observe(f64::from(load), log_ms(time));
    }

    /// What is known, to be told to others.
    pub fn known(&self) -> impl Iterator<Item = BaselineLatency> {
        let known = self.levels.values().filter(|level| level.is_known());
        known.map(|level| BaselineLatency {
            load: level.mean_load,
            usual_ms: level.mean_log_ms.exp(),
        })
    }

    /// Another entry tells what is usual. It is believed where too little was seen here, and
    /// counts as little, so that what is seen here soon goes before it.
    pub fn apply_peer_update(&mut self, known: BaselineLatency) {
        if !known.is_plausible() {
            return;
        }
        let level = self.levels.entry(level_of(known.load as u32)).or_default();
        if !level.is_known() {
            *level = LoadLevel {
                answers: MIN_ANSWERS,
                mean_load: known.load,
                mean_log_ms: known.usual_ms.max(1.0).ln(),
            };
        }
    }

    /// How many answers it rests on.
    pub fn answers(&self) -> u64 {
        self.levels.values().map(|level| level.answers).sum()
    }

    /// Whether it is known at a load lower than this.
    pub fn is_known_below(&self, load: f64) -> bool {
        self.levels.values().any(|level| level.is_known() && level.mean_load < load)
    }

    /// The usual time at a load; none where nothing can be said.
    pub fn at(&self, load: u32) -> Option<Duration> {
        let load = f64::from(load);
        let known = self.levels.values().filter(|level| level.is_known());
        let points: Vec<_> = known.map(LoadLevel::point).collect();
        let highest = points.last()?;
        if load > highest.load * MAX_BEYOND + 1.0 {
            return None;
        }
        let around = points.windows(2).find(|pair| load <= pair[1].load);
        let ms = match around {
            Some(pair) if load < pair[0].load => below(pair[0], pair[1], load),
            Some(pair) => on_line(pair[0], pair[1], load),
            None => highest.ms,
        };
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }
}

/// Loads are taken together by powers of two; none and one are alike.
fn level_of(load: u32) -> u32 {
    load.max(1).ilog2()
}

/// Below the lowest known load the line to the next one goes on: less work takes no longer, and
/// not much less than what was seen.
fn below(lowest: Point, next: Point, load: f64) -> f64 {
    on_line(lowest, next, load).clamp(lowest.ms * MAX_STEP_DOWN, lowest.ms)
}

fn on_line(a: Point, b: Point, load: f64) -> f64 {
    let span = (b.load - a.load).max(f64::MIN_POSITIVE);
    a.ms + (b.ms - a.ms) * (load - a.load) / span
}

fn log_ms(time: Duration) -> f64 {
    (time.as_secs_f64() * 1_000.0).max(1.0).ln()
}

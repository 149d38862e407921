//! The baseline latency of a version, by load.

use std::collections::BTreeMap;
use std::time::Duration;

/// Responses at a load before its baseline is trusted.
const MIN_RESPONSES: u64 = 5;

/// Latencies within this many standard deviations are usual.
const USUAL_DEVIATIONS: f64 = 3.0;

/// The number of responses whose standard deviation may be as little as half of the true one.
const UNCERTAIN_RESPONSES: f64 = 8.0;

/// The lowest weight of the newest latency in the baseline.
const NEWEST_WEIGHT: f64 = 0.05;

/// The highest load that is compared, as a multiple of the highest load with a baseline, plus one.
/// Beyond that, a longer latency may be due to the load.
const MAX_LOAD_RATIO: f64 = 1.5;

/// The lowest factor by which the baseline is reduced at a load below all observed ones. In recorded
/// responses of three deployments, with and without bursts: without a reduction, at least 0.25 of
/// pauses that were three times as long counted as slow; with this factor 0.39 (0.57 if all loads had
/// been observed). With 1/2, up to 0.25 of a good version's pauses counted as slow, with this factor up
/// to 0.06.
const MIN_REDUCTION_FACTOR: f64 = 1.0 / 1.5;

/// The baseline at a load, as gateways exchange it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BaselineLatency {
    /// The load.
    pub load: f64,
    /// The baseline latency, in milliseconds.
    pub usual_ms: f64,
    /// Variance of the latencies' natural logarithms.
    pub log_variance: f64,
}

impl BaselineLatency {
    /// The highest valid load: 10 minutes of queued work, or as many requests.
    const MAX_LOAD: f64 = 600_000.0;
    /// The longest valid latency: no request is waited for longer.
    const MAX_MS: f64 = 600_000.0;

    /// The highest valid variance: of latencies that differ by a factor of `e` to the tenth.
    const MAX_LOG_VARIANCE: f64 = 100.0;
    /// The variance where it is not known: usual latencies may reach twice the baseline.
    pub const UNKNOWN_LOG_VARIANCE: f64 = 0.5;

    /// Whether load, latency and variance are within limits.
    pub fn is_plausible(self) -> bool {
        (0.0..=Self::MAX_LOAD).contains(&self.load)
            && (0.0..=Self::MAX_MS).contains(&self.usual_ms)
            && (0.0..=Self::MAX_LOG_VARIANCE).contains(&self.log_variance)
    }
}

/// Observations at loads of the same power of two.
#[derive(Debug, Default)]
struct LoadLevel {
    answers: u64,
    mean_load: f64,
    /// The geometric mean: a few very long latencies hardly change it.
    mean_log_ms: f64,
    log_variance: f64,
}

impl LoadLevel {
    fn observe(&mut self, load: f64, log_ms: f64) {
        self.answers += 1;
        let weight = NEWEST_WEIGHT.max(1.0 / self.answers as f64);
        self.mean_load += weight * (load - self.mean_load);
        let before = self.mean_log_ms;
        self.mean_log_ms += weight * (log_ms - before);
        let square = (log_ms - before) * (log_ms - self.mean_log_ms);
        self.log_variance += weight * (square - self.log_variance);
    }

    fn is_trusted(&self) -> bool {
        self.answers >= MIN_RESPONSES
    }

    fn point(&self) -> Point {
        Point { load: self.mean_load, ms: self.mean_log_ms.exp() }
    }
}

/// The baseline at a load.
#[derive(Debug, Clone, Copy)]
struct Point {
    load: f64,
    ms: f64,
}

/// The baseline latency of a version, by the load of the upstream.
///
/// A new version is observed with a small share of the requests, so its upstreams are almost idle while
/// those of the old version are not. Latencies at different loads cannot be compared: an idle engine
/// that is three times as slow pauses as long as a good one that works on 50 requests at once, and a
/// good version that gets all requests at once takes longer than an old one that has just lost them. So
/// each load has its own baseline, and observations at one load don't change the baseline at another.
#[derive(Debug, Default)]
pub struct LatencyBaseline {
    levels: BTreeMap<u32, LoadLevel>,
}

impl LatencyBaseline {
    /// Records the latency of a response at a load.
    pub fn observe(&mut self, load: u32, time: Duration) {
        let level = self.levels.entry(level_of(load)).or_default();
        level.observe(f64::from(load), log_ms(time));
    }

    /// The trusted baselines, to send to peers.
    pub fn known(&self) -> impl Iterator<Item = BaselineLatency> {
        let known = self.levels.values().filter(|level| level.is_trusted());
        known.map(|level| BaselineLatency {
            load: level.mean_load,
            usual_ms: level.mean_log_ms.exp(),
            log_variance: level.log_variance,
        })
    }

    /// Merges a baseline from a peer. It is used only at a load with too few local observations, and
    /// has a low weight, so that local observations soon outweigh it.
    pub fn apply_peer_update(&mut self, known: BaselineLatency) {
        if !known.is_plausible() {
            return;
        }
        let level = self.levels.entry(level_of(known.load as u32)).or_default();
        if !level.is_trusted() {
            *level = LoadLevel {
                answers: MIN_RESPONSES,
                mean_load: known.load,
                mean_log_ms: known.usual_ms.max(1.0).ln(),
                log_variance: known.log_variance,
            };
        }
    }

    /// The number of observed responses.
    pub fn answers(&self) -> u64 {
        self.levels.values().map(|level| level.answers).sum()
    }

    /// Whether there is a trusted baseline at a lower load.
    pub fn has_baseline_below(&self, load: f64) -> bool {
        self.levels.values().any(|level| level.is_trusted() && level.mean_load < load)
    }

    /// How many times the baseline a usual latency reaches at a load; none where the load was not observed.
    pub fn usual_spread(&self, load: u32) -> Option<f64> {
        let level = self.levels.get(&level_of(load)).filter(|level| level.is_trusted())?;
        let uncertainty = 1.0 + UNCERTAIN_RESPONSES / level.answers as f64;
        Some((USUAL_DEVIATIONS * uncertainty * level.log_variance.sqrt()).exp())
    }

    /// The baseline at a load; none if it cannot be derived from the observed loads.
    pub fn at(&self, load: u32) -> Option<Duration> {
        let load = f64::from(load);
        let known = self.levels.values().filter(|level| level.is_trusted());
        let points: Vec<_> = known.map(LoadLevel::point).collect();
        let highest = points.last()?;
        if load > highest.load * MAX_LOAD_RATIO + 1.0 {
            return None;
        }
        let around = points.windows(2).find(|pair| load <= pair[1].load);
        let ms = match around {
            Some(pair) if load < pair[0].load => extrapolate(pair[0], pair[1], load),
            Some(pair) => interpolate(pair[0], pair[1], load),
            None => highest.ms,
        };
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }
}

/// The level of a load: levels are powers of two; 0 and 1 share one.
fn level_of(load: u32) -> u32 {
    load.max(1).ilog2()
}

/// Extrapolates below the lowest observed load: less work takes no longer, and not much less than what
/// was observed.
fn extrapolate(lowest: Point, next: Point, load: f64) -> f64 {
    interpolate(lowest, next, load).clamp(lowest.ms * MIN_REDUCTION_FACTOR, lowest.ms)
}

fn interpolate(a: Point, b: Point, load: f64) -> f64 {
    let span = (b.load - a.load).max(f64::MIN_POSITIVE);
    a.ms + (b.ms - a.ms) * (load - a.load) / span
}

fn log_ms(time: Duration) -> f64 {
    (time.as_secs_f64() * 1_000.0).max(1.0).ln()
}

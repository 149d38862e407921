//! Time between the events of a stream by service and model, learned from streams.

use std::collections::HashMap;

use stallhoist_core::ModelName;
use stallhoist_core::ServiceName;

/// Initial time between two events on an idle engine, and its growth with each other request, in
/// milliseconds. An error by a factor of 2 is corrected within 20 observations.
const INITIAL_BASE_MS: f64 = 30.0;
const INITIAL_PER_REQUEST_MS: f64 = 0.5;

/// Learning rate: the share of the logarithmic error that one observation corrects.
const LEARNING_RATE: f64 = 0.05;

/// The first observations of a model have a higher rate, `1 / (2 + observations / 16)`.
const WARMUP_OBSERVATIONS: f64 = 16.0;

/// Bound on the error factor of one observation, so that a stream which stalls does not count for many.
const MAX_ERROR_FACTOR: f64 = 2.0;

/// Bounds on the estimates, whatever is observed.
const BASE_MS_RANGE: (f64, f64) = (0.1, 2_000.0);
const PER_REQUEST_MS_RANGE: (f64, f64) = (0.001, 100.0);

/// Time between two events of a stream, on an engine of normal speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GenerationTime {
    /// Time with no other request in progress, in milliseconds.
    pub base_ms: f64,
    /// Additional time for each other request in progress, in milliseconds.
    pub per_request_ms: f64,
}

impl Default for GenerationTime {
    fn default() -> Self {
        Self { base_ms: INITIAL_BASE_MS, per_request_ms: INITIAL_PER_REQUEST_MS }
    }
}

impl GenerationTime {
    /// Time between two events beside `others` other requests, in milliseconds.
    pub fn interval_ms(&self, others: f64) -> f64 {
        self.base_ms + self.per_request_ms * others
    }

    /// Engine time of one event beside `others` other requests, in milliseconds: all requests of a batch share
    /// the time of a step.
    pub fn engine_ms(&self, others: f64) -> f64 {
        self.interval_ms(others) / (others + 1.0)
    }

    /// Multiplies both times, within their bounds.
    fn scaled(self, base_by: f64, per_request_by: f64) -> Self {
        let (base, per_request) = (BASE_MS_RANGE, PER_REQUEST_MS_RANGE);
        Self {
            base_ms: (self.base_ms * base_by).clamp(base.0, base.1),
            per_request_ms: (self.per_request_ms * per_request_by)
                .clamp(per_request.0, per_request.1),
        }
    }
}

/// Some successive events of one stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EventIntervals {
    /// Mean time between two of them, in milliseconds.
    pub mean_ms: f64,
    /// Other requests in progress at the upstream meanwhile, on average.
    pub others: f64,
}

impl EventIntervals {
    /// Ratio of the observed to the expected time between events; none if that is no number.
    pub fn slowdown(&self, expected: GenerationTime) -> Option<f64> {
        let slowdown = self.mean_ms / expected.interval_ms(self.others);
        (slowdown.is_finite() && slowdown > 0.0 && self.others >= 0.0).then_some(slowdown)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    observations: u32,
    time: GenerationTime,
}

/// Time between the events of a stream, by service and model.
#[derive(Debug, Default)]
pub struct GenerationTimes {
    by_service: HashMap<ServiceName, HashMap<ModelName, Estimate>>,
}

impl GenerationTimes {
    /// Estimate for a model; none until one of its streams has been observed.
    pub fn time(&self, service: &ServiceName, model: &ModelName) -> Option<GenerationTime> {
        let estimate = self.by_service.get(service)?.get(model)?;
        Some(estimate.time)
    }

    /// Corrects the estimate of a model. Each of its two parts is corrected in proportion to its share of the
    /// expected time: idle upstreams determine the base, busy ones the growth.
    pub fn observe(&mut self, service: &ServiceName, model: &ModelName, intervals: EventIntervals) {
        let estimates = self.by_service.entry(service.clone()).or_default();
        let estimate = estimates.entry(model.clone()).or_default();
        let Some(slowdown) = intervals.slowdown(estimate.time) else {
            return;
        };
        let error_factor = slowdown.clamp(1.0 / MAX_ERROR_FACTOR, MAX_ERROR_FACTOR);
        let base_share = estimate.time.base_ms / estimate.time.interval_ms(intervals.others);
        let warmup_rate = 1.0 / (2.0 + f64::from(estimate.observations) / WARMUP_OBSERVATIONS);
        let rate = LEARNING_RATE.max(warmup_rate);
        estimate.observations = estimate.observations.saturating_add(1);
        estimate.time = estimate.time.scaled(
            error_factor.powf(rate * base_share),
            error_factor.powf(rate * (1.0 - base_share)),
        );
    }

    /// All estimates, for the state dump.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &ModelName, GenerationTime)> {
        self.by_service.iter().flat_map(|(service, estimates)| {
            estimates.iter().map(move |(model, estimate)| (service, model, estimate.time))
        })
    }
}

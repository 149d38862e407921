//! Prefill times of engines by service and model, learned from their responses.

use std::collections::HashMap;

use stallhoist_core::ModelName;
use stallhoist_core::ServiceName;

/// Initial prefill time per token of a service's slowest model, in milliseconds. It lies between the
/// 0.025 and the 0.08 of known engines; an error by a factor of 2 is corrected within 20 responses.
const INITIAL_MS_PER_TOKEN: f64 = 0.04;

/// Initial time to the first chunk that does not depend on the prompt, in milliseconds: typical of short
/// prompts.
const INITIAL_BASE_MS: f64 = 30.0;

/// Learning rate: the share of the logarithmic error that one response corrects. A change of speed by a
/// factor of 3 is followed within 30 responses; with one response in ten two seconds late, the estimate
/// is off by less than a factor of 1.3 after 1,000 responses.
const LEARNING_RATE: f64 = 0.1;

/// The first responses of a model have a higher rate, `1 / (2 + responses / 16)`. An initial estimate that
/// is four times too high is within a factor of 1.5 after 50 responses.
const WARMUP_RESPONSES: f64 = 16.0;

/// Bound on the error factor of one response: most of those beyond it waited for something else.
const MAX_ERROR_FACTOR: f64 = 2.0;

/// Bounds on the estimates, whatever is observed.
const MIN_MS_PER_TOKEN: f64 = 1e-5;
const MAX_MS_PER_TOKEN: f64 = 10.0;
const MIN_BASE_MS: f64 = 0.1;
const MAX_BASE_MS: f64 = 1_000.0;

/// Bound on the prefill time of a prompt, whatever length its caller states: no request waits longer.
const MAX_PREFILL_MS: f64 = 600_000.0;

/// Time to the first chunk of a response on an idle engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillTime {
    /// Time that does not depend on the prompt, in milliseconds.
    pub base_ms: f64,
    /// Time per uncached token of the prompt, in milliseconds.
    pub ms_per_token: f64,
}

impl PrefillTime {
    /// Prefill time of `tokens`, without the base.
    pub fn of_tokens_ms(&self, tokens: u64) -> f64 {
        (tokens as f64 * self.ms_per_token).min(MAX_PREFILL_MS)
    }

    /// Multiplies both times, within their bounds.
    fn scaled(self, base_by: f64, token_by: f64) -> Self {
        Self {
            base_ms: (self.base_ms * base_by).clamp(MIN_BASE_MS, MAX_BASE_MS),
            ms_per_token: (self.ms_per_token * token_by).clamp(MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN),
        }
    }
}

/// Observed time to the first chunk of one response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstChunk {
    /// Tokens of the prompt that were expected not to be in the prefix cache.
    pub unread_tokens: u64,
    /// Expected share of the time that is due to other requests, in milliseconds.
    pub other_ms: f64,
    /// Observed time, in milliseconds.
    pub took_ms: f64,
}

impl FirstChunk {
    /// Ratio of the observed to the expected time, without what is due to other requests. None where the
    /// response mostly waited for those: it says little about the prefill, which must be the greater part of
    /// the expected or of the observed time.
    pub fn slowdown(&self, expected: PrefillTime) -> Option<f64> {
        let expected_ms = expected.base_ms + expected.of_tokens_ms(self.unread_tokens);
        let is_finite = self.other_ms.is_finite() && self.took_ms.is_finite();
        if !is_finite || self.other_ms > expected_ms.max(self.took_ms / 2.0) {
            return None;
        }
        Some((self.took_ms - self.other_ms) / expected_ms)
    }
}

/// Estimate of one model.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    initial_ms_per_token: f64,
    responses: u32,
    time: PrefillTime,
}

/// Time to the first chunk of a response, by service and model.
///
/// The versions of a service share one estimate, so that a new version starts from what is known of the
/// others.
#[derive(Debug, Default)]
pub struct PrefillSpeeds {
    by_service: HashMap<ServiceName, HashMap<ModelName, Estimate>>,
}

impl PrefillSpeeds {
    /// Estimate for a model. `relative_prefill_time` is the model's time per token relative to the slowest
    /// model's, as derived from the configuration; it counts until the model has responded.
    pub fn time(
        &self,
        service: &ServiceName,
        model: &ModelName,
        relative_prefill_time: f64,
    ) -> PrefillTime {
        let estimates = self.by_service.get(service);
        match estimates.and_then(|estimates| estimates.get(model)) {
            Some(estimate) => estimate.time,
            None => self.initial_time(service, relative_prefill_time),
        }
    }

    /// Corrects the estimate of a model by an observed response.
    ///
    /// The base and the time per token are each corrected in proportion to their share of the expected
    /// time: short prompts determine the base, long ones the time per token.
    pub fn observe(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
        relative_prefill_time: f64,
        first_chunk: FirstChunk,
    ) {
        let known = self.time(service, model, relative_prefill_time);
        let Some(slowdown) = first_chunk.slowdown(known) else {
            return;
        };
        let expected_ms = known.base_ms + known.of_tokens_ms(first_chunk.unread_tokens);
        let error_factor = slowdown.clamp(1.0 / MAX_ERROR_FACTOR, MAX_ERROR_FACTOR);
        let base_share = known.base_ms / expected_ms;
        let estimates = self.by_service.entry(service.clone()).or_default();
        let responses = estimates.get(model).map_or(0, |estimate| estimate.responses);
        let rate = LEARNING_RATE.max(1.0 / (2.0 + f64::from(responses) / WARMUP_RESPONSES));
        let time = known.scaled(
            error_factor.powf(rate * base_share),
            error_factor.powf(rate * (1.0 - base_share)),
        );
        let initial_ms_per_token = relative_prefill_time * INITIAL_MS_PER_TOKEN;
        let responses = responses.saturating_add(1);
        estimates.insert(model.clone(), Estimate { initial_ms_per_token, responses, time });
    }

    /// All estimates, for the state dump.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &ModelName, PrefillTime)> {
        self.by_service.iter().flat_map(|(service, estimates)| {
            estimates.iter().map(move |(model, estimate)| (service, model, estimate.time))
        })
    }

    /// Estimate for a model without responses: its initial time, corrected by the mean logarithmic error
    /// of the service's other models.
    fn initial_time(&self, service: &ServiceName, relative_prefill_time: f64) -> PrefillTime {
        let estimates = self.by_service.get(service).into_iter().flat_map(HashMap::values);
        let log_errors: Vec<f64> = estimates
            .map(|estimate| (estimate.time.ms_per_token / estimate.initial_ms_per_token).ln())
            .collect();
        let mean = log_errors.iter().sum::<f64>() / log_errors.len().max(1) as f64;
        let ms_per_token = relative_prefill_time * INITIAL_MS_PER_TOKEN;
        PrefillTime { base_ms: INITIAL_BASE_MS, ms_per_token }.scaled(1.0, mean.exp())
    }
}

//! How long engines take to read a prompt, learnt from their answers.

use std::collections::HashMap;

use stallhoist_core::ModelName;
use stallhoist_core::ServiceName;

/// Reading time of a token of the dearest model, in milliseconds, until answers have shown
/// it. Between the 0.025 and the 0.08 of the engines that it was measured on; half or twice
/// as much is corrected within 20 answers.
const START_MS_PER_TOKEN: f64 = 0.04;

/// How far one answer moves the estimate, as a part of the logarithm of what it is off. By
/// this a change of speed to three times as much is followed within 30 answers; with one
/// answer in ten two seconds late, the estimate is off by less than 1.3 times after 1,000.
const STEP: f64 = 0.1;

/// One answer counts as off by this factor at most, however late it came: most of those that
/// are further off waited for something else.
const MAX_OFF: f64 = 2.0;

/// Answers to shorter prompts show nothing: their time goes into other things.
const MIN_TOKENS: u64 = 256;

/// Beyond these bounds no estimate goes, whatever is observed.
const MIN_MS_PER_TOKEN: f64 = 1e-5;
const MAX_MS_PER_TOKEN: f64 = 10.0;

/// The time to the first part of one answer, and what it was spent on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstPart {
    /// Tokens of the prompt that the engine was believed to have to read.
    pub unread_tokens: u64,
    /// The time that all else was expected to take.
    pub other_ms: f64,
    /// The time that it took.
    pub took_ms: f64,
}

/// What is known of one model.
#[derive(Debug, Clone, Copy)]
struct Rate {
    start_ms_per_token: f64,
    ms_per_token: f64,
}

/// How long engines take to read a token of a prompt, by service and model.
///
/// The versions of a service share one estimate, so that a new one starts from what is
/// known of the others.
#[derive(Debug, Default)]
pub struct ReadingSpeeds {
    by_service: HashMap<ServiceName, HashMap<ModelName, Rate>>,
}

impl ReadingSpeeds {
    /// The time of one token. `start_pace` is the model's pace as a part of the slowest
    /// one's, as far as it can be told beforehand; it counts until the model has answered.
    pub fn ms_per_token(&self, service: &ServiceName, model: &ModelName, start_pace: f64) -> f64 {
        let rates = self.by_service.get(service);
        match rates.and_then(|rates| rates.get(model)) {
            Some(rate) => rate.ms_per_token,
            None => self.start(service, start_pace),
        }
    }

    /// An engine has given the first part of an answer.
    pub fn observe(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
        start_pace: f64,
        first_part: FirstPart,
    ) {
        let FirstPart { unread_tokens, other_ms, took_ms } = first_part;
        let known = self.ms_per_token(service, model, start_pace);
        let expected_ms = unread_tokens as f64 * known;
        let is_finite = other_ms.is_finite() && took_ms.is_finite();
        // Reading must have been the greater part of the time, by what is known or was seen.
        let tells_reading = other_ms <= expected_ms.max(took_ms / 2.0);
        if !is_finite || unread_tokens < MIN_TOKENS || !tells_reading {
            return;
        }
        let off = ((took_ms - other_ms) / expected_ms).clamp(1.0 / MAX_OFF, MAX_OFF);
        let ms_per_token = (known * off.powf(STEP)).clamp(MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN);
        let start_ms_per_token = start_pace * START_MS_PER_TOKEN;
        let rates = self.by_service.entry(service.clone()).or_default();
        rates.insert(model.clone(), Rate { start_ms_per_token, ms_per_token });
    }

    /// The speeds known, for the state dump.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &ModelName, f64)> {
        self.by_service.iter().flat_map(|(service, rates)| {
            rates.iter().map(move |(model, rate)| (service, model, rate.ms_per_token))
        })
    }

    /// For a model that has not answered yet: what its pace lets expect, corrected by as much
    /// as the other models of the service are off on average.
    fn start(&self, service: &ServiceName, start_pace: f64) -> f64 {
        let rates = self.by_service.get(service).into_iter().flat_map(HashMap::values);
        let offs: Vec<f64> =
            rates.map(|rate| (rate.ms_per_token / rate.start_ms_per_token).ln()).collect();
        let mean = offs.iter().sum::<f64>() / offs.len().max(1) as f64;
        let start = start_pace * START_MS_PER_TOKEN * mean.exp();
        start.clamp(MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN)
    }
}

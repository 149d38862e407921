//! How long engines take to read a prompt, learnt from their answers.

use std::collections::HashMap;

use stallhoist_core::ModelName;
use stallhoist_core::ServiceName;

/// Reading time of a token of the dearest model, in milliseconds, until answers have shown
/// it. Between the 0.025 and the 0.08 of the engines that it was measured on; half or twice
/// as much is corrected within 20 answers.
const START_MS_PER_TOKEN: f64 = 0.04;

/// Time of a first part whatever the prompt's length, until answers have shown it: the usual
/// one of small prompts on the engines that it was measured on.
const START_BASE_MS: f64 = 30.0;

/// How far one answer moves the estimate, as a part of the logarithm of what it is off. By
/// this a change of speed to three times as much is followed within 30 answers; with one
/// answer in ten two seconds late, the estimate is off by less than 1.3 times after 1,000.
const STEP: f64 = 0.1;

/// The first answers of a model move it further: by `1 / (2 + answers / 16)`. An estimate that
/// starts four times too high is within 1.5 times of the truth after 50 answers.
const EARLY_ANSWERS: f64 = 16.0;

/// One answer counts as off by this factor at most, however late it came: most of those that
/// are further off waited for something else.
const MAX_OFF: f64 = 2.0;

/// Beyond these bounds no estimate goes, whatever is observed.
const MIN_MS_PER_TOKEN: f64 = 1e-5;
const MAX_MS_PER_TOKEN: f64 = 10.0;
const MIN_BASE_MS: f64 = 0.1;
const MAX_BASE_MS: f64 = 1_000.0;

/// No prompt is reckoned to take longer, whatever length its caller states: no request is
/// waited for so long.
const MAX_READING_MS: f64 = 600_000.0;

/// How long an engine takes for the first part of an answer, with nothing else to do.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillTime {
    /// The part that does not depend on the prompt, in milliseconds.
    pub base_ms: f64,
    /// The part of each token of the prompt that it has not read before, in milliseconds.
    pub ms_per_token: f64,
}

impl PrefillTime {
    /// The time to read so many tokens.
    pub fn of_tokens_ms(&self, tokens: u64) -> f64 {
        (tokens as f64 * self.ms_per_token).min(MAX_READING_MS)
    }

    /// The same times as long, within the bounds.
    fn scaled(self, base_by: f64, token_by: f64) -> Self {
        Self {
            base_ms: (self.base_ms * base_by).clamp(MIN_BASE_MS, MAX_BASE_MS),
            ms_per_token: (self.ms_per_token * token_by).clamp(MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN),
        }
    }
}

/// The time to the first part of one answer, and what it was spent on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstChunk {
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
    answers: u32,
    time: PrefillTime,
}

/// How long engines take for the first part of an answer, by service and model.
///
/// The versions of a service share one estimate, so that a new one starts from what is
/// known of the others.
#[derive(Debug, Default)]
pub struct PrefillSpeeds {
    by_service: HashMap<ServiceName, HashMap<ModelName, Rate>>,
}

impl PrefillSpeeds {
    /// The time that a model takes. `start_pace` is the model's pace as a part of the slowest
    /// one's, as far as it can be told beforehand; it counts until the model has answered.
    pub fn time(
        &self,
        service: &ServiceName,
        model: &ModelName,
        relative_prefill_time: f64,
    ) -> PrefillTime {
        let rates = self.by_service.get(service);
        match rates.and_then(|rates| rates.get(model)) {
            Some(rate) => rate.time,
            None => self.start(service, relative_prefill_time),
        }
    }

    /// An engine has given the first part of an answer. Each of the two parts of the estimate
    /// is corrected by as much as it has in what was expected: short prompts show the base,
    /// long ones the time of a token.
    pub fn observe(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
        relative_prefill_time: f64,
        first_part: FirstChunk,
    ) {
        let FirstChunk { unread_tokens, other_ms, took_ms } = first_part;
        let known = self.time(service, model, relative_prefill_time);
        let expected_ms = known.base_ms + known.of_tokens_ms(unread_tokens);
        let is_finite = other_ms.is_finite() && took_ms.is_finite();
        // It must have been the greater part of the time, by what is known or was seen.
        if !is_finite || other_ms > expected_ms.max(took_ms / 2.0) {
            return;
        }
        let off = ((took_ms - other_ms) / expected_ms).clamp(1.0 / MAX_OFF, MAX_OFF);
        let base_part = known.base_ms / expected_ms;
        let rates = self.by_service.entry(service.clone()).or_default();
        let answers = rates.get(model).map_or(0, |rate| rate.answers);
        let step = STEP.max(1.0 / (2.0 + f64::from(answers) / EARLY_ANSWERS));
        let time = known.scaled(off.powf(step * base_part), off.powf(step * (1.0 - base_part)));
        let start_ms_per_token = relative_prefill_time * START_MS_PER_TOKEN;
        let answers = answers.saturating_add(1);
        rates.insert(model.clone(), Rate { start_ms_per_token, answers, time });
    }

    /// The times known, for the state dump.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &ModelName, PrefillTime)> {
        self.by_service.iter().flat_map(|(service, rates)| {
            rates.iter().map(move |(model, rate)| (service, model, rate.time))
        })
    }

    /// For a model that has not answered yet: what its pace lets expect, corrected by as much
    /// as the other models of the service are off on average.
    fn start(&self, service: &ServiceName, relative_prefill_time: f64) -> PrefillTime {
        let rates = self.by_service.get(service).into_iter().flat_map(HashMap::values);
        let offs: Vec<f64> =
            rates.map(|rate| (rate.time.ms_per_token / rate.start_ms_per_token).ln()).collect();
        let mean = offs.iter().sum::<f64>() / offs.len().max(1) as f64;
        let ms_per_token = relative_prefill_time * START_MS_PER_TOKEN;
        PrefillTime { base_ms: START_BASE_MS, ms_per_token }.scaled(1.0, mean.exp())
    }
}

//! Learning and choosing plans for one workspace and task.

use std::cmp::Ordering::Equal;
use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use stallhoist_core::CostMicros;
use stallhoist_core::ModelName;

use super::ModelStats;
use super::Plan;

/// Settings of the plan choice.
#[derive(Debug, Clone)]
pub struct CascadeConfig {
    /// The fraction of requests that take a random cascade, to explore its first model.
    pub exploration_rate: f64,
    /// The expected latency of the rater.
    pub rating: Duration,
    /// The number of ratings from which on the quality of a model counts as known.
    pub min_ratings: f64,
    /// The factor on the expected latency of a plan, which must fit the deadline.
    pub latency_factor: f64,
}

impl Default for CascadeConfig {
    fn default() -> Self {
        Self {
            exploration_rate: 0.02,
            rating: Duration::from_millis(300),
            min_ratings: 30.0,
            latency_factor: 1.5,
        }
    }
}

/// A model that the table lists for cascades.
#[derive(Debug, Clone, PartialEq)]
pub struct CascadeModel {
    /// The model.
    pub model: ModelName,
    /// The price in the table, used until the cost of a response was recorded.
    pub price: f64,
}

/// The estimate of one plan.
#[derive(Debug, Clone)]
struct PlanEstimate {
    plan: Plan,
    quality: f64,
    /// The quality if the last model, while unknown, were perfect.
    optimistic_quality: f64,
    cost: f64,
    fits_deadline: bool,
}

/// Learns and chooses plans for one workspace and task.
#[derive(Debug, Default)]
pub struct CascadeLearner {
    config: CascadeConfig,
    models: BTreeMap<ModelName, ModelStats>,
}

impl CascadeLearner {
    /// Creates a learner without observations.
    pub fn new(config: CascadeConfig) -> Self {
        Self { config, models: BTreeMap::new() }
    }

    /// Records a rating of a model's response.
    pub fn rated(&mut self, model: &ModelName, is_good: bool) {
        self.models.entry(model.clone()).or_default().rated(is_good);
    }

    /// Records a model's response.
    pub fn answered(&mut self, model: &ModelName, cost: CostMicros, took: Duration) {
        self.models.entry(model.clone()).or_default().answered(cost, took);
    }

    /// The statistics of a model.
    pub fn stats(&self, model: &ModelName) -> ModelStats {
        self.models.get(model).cloned().unwrap_or_default()
    }

    /// Chooses the plan of least expected cost among those that meet the quality target with
    /// confidence and fit `time_left`. If none does, the one of best optimistic quality that
    /// fits; if none fits, the fastest model. `models` are in cascade order, the cheapest first.
    /// Without the rater no cascade is chosen, and the known qualities decide. Returns none
    /// only if there are no models.
    pub fn choose(
        &self,
        models: &[CascadeModel],
        target: f64,
        time_left: Duration,
        has_rater: bool,
        rng: &mut impl Rng,
    ) -> Option<Plan> {
        let estimates = self.estimates(models, time_left, has_rater);
        let feasible: Vec<_> = estimates.iter().filter(|estimate| estimate.fits_deadline).collect();
        if feasible.is_empty() {
            return self.fastest(models);
        }
        let is_cascade = |estimate: &&&PlanEstimate| matches!(estimate.plan, Plan::Cascade(..));
        let cascades: Vec<_> = feasible.iter().filter(is_cascade).collect();
        if !cascades.is_empty() && rng.random_bool(self.config.exploration_rate) {
            let at = rng.random_range(0..cascades.len());
            return Some(cascades[at].plan.clone());
        }
        let cheapest = feasible
            .iter()
            .filter(|estimate| estimate.quality >= target)
            .min_by(|a, b| a.cost.total_cmp(&b.cost));
        // Ties go to a cascade, which gives observations of both models; else to the later
        // model, which the operators consider the better one.
        let optimistic_rank = |estimate: &PlanEstimate| {
            let is_cascade = matches!(estimate.plan, Plan::Cascade(..));
            (estimate.optimistic_quality, is_cascade)
        };
        let best = feasible
            .iter()
            .max_by(|a, b| optimistic_rank(a).partial_cmp(&optimistic_rank(b)).unwrap_or(Equal));
        cheapest.or(best).map(|estimate| estimate.plan.clone())
    }

    /// Whether a model has so few ratings that each response should be rated.
    pub fn needs_ratings(&self, model: &ModelName) -> bool {
        self.stats(model).ratings() < self.config.min_ratings
    }

    /// Whether an unrated response of a model meets the target, by its known quality.
    pub fn meets_target(&self, model: &ModelName, target: f64) -> bool {
        self.stats(model).quality_lower_bound() >= target
    }

    fn estimates(
        &self,
        models: &[CascadeModel],
        time_left: Duration,
        has_rater: bool,
    ) -> Vec<PlanEstimate> {
        let fits_deadline = |time: Duration| time.mul_f64(self.config.latency_factor) <= time_left;
        let mut estimates = Vec::new();
        for (place, first) in models.iter().enumerate() {
            let stats = self.stats(&first.model);
            estimates.push(PlanEstimate {
                plan: Plan::Direct(first.model.clone()),
                quality: stats.quality_lower_bound(),
                optimistic_quality: self.optimistic_quality(&first.model),
                cost: stats.cost(first.price),
                fits_deadline: fits_deadline(stats.latency()),
            });
            if !has_rater {
                continue;
            }
            for second in &models[place + 1..] {
                estimates.push(self.cascade(first, second, fits_deadline));
            }
        }
        estimates
    }

    fn cascade(
        &self,
        first: &CascadeModel,
        second: &CascadeModel,
        fits_deadline: impl Fn(Duration) -> bool,
    ) -> PlanEstimate {
        let (first_stats, second_stats) = (self.stats(&first.model), self.stats(&second.model));
        let escalation_rate = 1.0 - first_stats.quality();
        // The rater decides on the first response, so uncertainty about the first model affects
        // the cost, and uncertainty about the second the quality.
        let quality = first_stats.quality() + escalation_rate * second_stats.quality_lower_bound();
        PlanEstimate {
            plan: Plan::Cascade(first.model.clone(), second.model.clone()),
            quality,
            optimistic_quality: first_stats.quality()
                + escalation_rate * self.optimistic_quality(&second.model),
            cost: first_stats.cost(first.price) + escalation_rate * second_stats.cost(second.price),
            fits_deadline: fits_deadline(
                first_stats.latency() + self.config.rating + second_stats.latency(),
            ),
        }
    }

    fn optimistic_quality(&self, model: &ModelName) -> f64 {
        if self.needs_ratings(model) { 1.0 } else { self.stats(model).quality_lower_bound() }
    }

    fn fastest(&self, models: &[CascadeModel]) -> Option<Plan> {
        let fastest = models.iter().min_by_key(|candidate| self.stats(&candidate.model).latency());
        fastest.map(|candidate| Plan::Direct(candidate.model.clone()))
    }
}

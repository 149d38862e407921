//! Learning and choosing plans for one kind of work.

use std::cmp::Ordering::Equal;
use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use stallhoist_core::CostMicros;
use stallhoist_core::ModelName;

use super::ModelStats;
use super::Plan;

/// How plans are chosen.
#[derive(Debug, Clone)]
pub struct CascadeConfig {
    /// The part of requests that take a cascade to learn of its first model.
    pub explore: f64,
    /// How long the rater takes.
    pub rating: Duration,
    /// After so many ratings a model is known.
    pub known_ratings: f64,
    /// A plan must fit the deadline so many times over its expected time.
    pub time_margin: f64,
}

impl Default for CascadeConfig {
    fn default() -> Self {
        Self {
            explore: 0.02,
            rating: Duration::from_millis(300),
            known_ratings: 30.0,
            time_margin: 1.5,
        }
    }
}

/// A model that the table offers for a cascade.
#[derive(Debug, Clone, PartialEq)]
pub struct CascadeModel {
    /// The model.
    pub model: ModelName,
    /// Its price in the table, for comparison until an answer was paid.
    pub price: f64,
}

/// What one plan is expected to give.
#[derive(Debug, Clone)]
struct Outlook {
    plan: Plan,
    quality: f64,
    /// The quality if what is not known of its last model were the best.
    hoped_quality: f64,
    cost: f64,
    fits: bool,
}

/// Learns and chooses plans for one kind of work of one workspace.
#[derive(Debug, Default)]
pub struct CascadeLearner {
    config: CascadeConfig,
    models: BTreeMap<ModelName, ModelStats>,
}

impl CascadeLearner {
    /// A learner that knows nothing yet.
    pub fn new(config: CascadeConfig) -> Self {
        Self { config, models: BTreeMap::new() }
    }

    /// Takes in a rating of a model's answer.
    pub fn rated(&mut self, model: &ModelName, is_good: bool) {
        self.models.entry(model.clone()).or_default().rated(is_good);
    }

    /// Takes in a model's answer.
    pub fn answered(&mut self, model: &ModelName, cost: CostMicros, took: Duration) {
        self.models.entry(model.clone()).or_default().answered(cost, took);
    }

    /// What is known of a model.
    pub fn stats(&self, model: &ModelName) -> ModelStats {
        self.models.get(model).cloned().unwrap_or_default()
    }

    /// Chooses a plan: the least expected cost among those that surely meet the target
    /// and fit the time; if none does, the best quality that may be hoped for and fits; if
    /// nothing fits, the fastest model. `models` are in the order of the cascade, the cheapest first.
    /// Without the rater there is nobody to judge, so no cascade is chosen, and the last
    /// known qualities decide. None only when there are no models.
    pub fn choose(
        &self,
        models: &[CascadeModel],
        target: f64,
        time_left: Duration,
        has_rater: bool,
        rng: &mut impl Rng,
    ) -> Option<Plan> {
        let outlooks = self.outlooks(models, time_left, has_rater);
        let fitting: Vec<_> = outlooks.iter().filter(|outlook| outlook.fits).collect();
        if fitting.is_empty() {
            return self.fastest(models);
        }
        let is_cascade = |outlook: &&&Outlook| matches!(outlook.plan, Plan::Cascade(..));
        let cascades: Vec<_> = fitting.iter().filter(is_cascade).collect();
        if !cascades.is_empty() && rng.random_bool(self.config.explore) {
            let at = rng.random_range(0..cascades.len());
            return Some(cascades[at].plan.clone());
        }
        let cheapest = fitting
            .iter()
            .filter(|outlook| outlook.quality >= target)
            .min_by(|a, b| a.cost.total_cmp(&b.cost));
        // Of equal hopes a cascade is taken, which learns of both; else the later model,
        // which the operators hold for the better one.
        let hope = |outlook: &Outlook| {
            let is_cascade = matches!(outlook.plan, Plan::Cascade(..));
            (outlook.hoped_quality, is_cascade)
        };
        let best = fitting.iter().max_by(|a, b| hope(a).partial_cmp(&hope(b)).unwrap_or(Equal));
        cheapest.or(best).map(|outlook| outlook.plan.clone())
    }

    /// Whether so little is known of a model that each answer is worth a rating.
    pub fn needs_ratings(&self, model: &ModelName) -> bool {
        self.stats(model).ratings() < self.config.known_ratings
    }

    /// Whether an unjudged answer of a model is good enough by what is known.
    pub fn meets_target(&self, model: &ModelName, target: f64) -> bool {
        self.stats(model).quality_lower_bound() >= target
    }

    fn outlooks(
        &self,
        models: &[CascadeModel],
        time_left: Duration,
        has_rater: bool,
    ) -> Vec<Outlook> {
        let fits = |time: Duration| time.mul_f64(self.config.time_margin) <= time_left;
        let mut outlooks = Vec::new();
        for (place, first) in models.iter().enumerate() {
            let stats = self.stats(&first.model);
            outlooks.push(Outlook {
                plan: Plan::Direct(first.model.clone()),
                quality: stats.quality_lower_bound(),
                hoped_quality: self.hoped(&first.model),
                cost: stats.cost(first.price),
                fits: fits(stats.latency()),
            });
            if !has_rater {
                continue;
            }
            for second in &models[place + 1..] {
                outlooks.push(self.cascade(first, second, fits));
            }
        }
        outlooks
    }

    fn cascade(
        &self,
        first: &CascadeModel,
        second: &CascadeModel,
        fits: impl Fn(Duration) -> bool,
    ) -> Outlook {
        let (one, two) = (self.stats(&first.model), self.stats(&second.model));
        let passes_on = 1.0 - one.quality();
        // The judge has the last word on the first answer, so what is known of the first
        // model decides the cost, and what is known of the second the quality.
        let quality = one.quality() + passes_on * two.quality_lower_bound();
        Outlook {
            plan: Plan::Cascade(first.model.clone(), second.model.clone()),
            quality,
            hoped_quality: one.quality() + passes_on * self.hoped(&second.model),
            cost: one.cost(first.price) + passes_on * two.cost(second.price),
            fits: fits(one.latency() + self.config.rating + two.latency()),
        }
    }

    fn hoped(&self, model: &ModelName) -> f64 {
        if self.needs_ratings(model) { 1.0 } else { self.stats(model).quality_lower_bound() }
    }

    fn fastest(&self, models: &[CascadeModel]) -> Option<Plan> {
        let fastest = models.iter().min_by_key(|facts| self.stats(&facts.model).latency());
        fastest.map(|facts| Plan::Direct(facts.model.clone()))
    }
}

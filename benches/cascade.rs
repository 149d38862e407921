//! The cascade against baselines: `cargo bench --bench cascade`.
//!
//! Simulates two models, of which the better one costs ten times as much. Halfway through, the quality of
//! the cheap one changes. Plans come from the entry's own `policy::cascade`; only a sample of direct
//! responses is rated, with a delay. Quality is the true share of good responses that callers received.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::CostMicros;
use stallhoist_core::ModelName;
use stallhoist_measure::Report;
use stallhoist_measure::Spread;
use stallhoist_policy::cascade::CascadeConfig;
use stallhoist_policy::cascade::CascadeLearner;
use stallhoist_policy::cascade::CascadeModel;
use stallhoist_policy::cascade::Plan;

const SEEDS: [u64; 5] = [11, 22, 33, 44, 55];
const REQUESTS: usize = 20_000;
const SAMPLE_RATIO: f64 = 0.05;
/// Delay of ratings of direct responses, in requests.
const RATING_DELAY_REQUESTS: usize = 50;
const CHEAP_COST: f64 = 1_000.0;
const BEST_COST: f64 = 10_000.0;
const CHEAP_TIME: Duration = Duration::from_secs(2);
const BEST_TIME: Duration = Duration::from_secs(6);

#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// The cheap model's quality in the first and the second half.
    cheap: [f64; 2],
    best: f64,
    target: f64,
    deadline: Duration,
    /// Fraction of the run after which the rating service is unavailable.
    rater_available_until: f64,
}

const SCENARIOS: [Scenario; 5] = [
    Scenario {
        name: "cheap fair, then poor",
        cheap: [0.7, 0.3],
        best: 0.95,
        target: 0.9,
        deadline: Duration::from_secs(60),
        rater_available_until: 1.0,
    },
    Scenario {
        name: "cheap poor, then good",
        cheap: [0.3, 0.93],
        best: 0.95,
        target: 0.9,
        deadline: Duration::from_secs(60),
        rater_available_until: 1.0,
    },
    Scenario {
        name: "cheap good enough",
        cheap: [0.95, 0.95],
        best: 0.97,
        target: 0.9,
        deadline: Duration::from_secs(60),
        rater_available_until: 1.0,
    },
    Scenario {
        name: "deadline too tight for a cascade",
        cheap: [0.7, 0.7],
        best: 0.95,
        target: 0.9,
        deadline: Duration::from_secs(10),
        rater_available_until: 1.0,
    },
    Scenario {
        name: "rater away from the middle on",
        cheap: [0.7, 0.7],
        best: 0.95,
        target: 0.9,
        deadline: Duration::from_secs(60),
        rater_available_until: 0.5,
    },
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Learnt,
    AlwaysBest,
    AlwaysCheap,
    /// Sends directly to the cheap model the largest fraction of requests with which the whole run still
    /// meets the target.
    BestSplit,
    /// Uses in each half the cheapest static plan that meets the target, from the true qualities.
    Hindsight,
}

const POLICIES: [Policy; 5] =
    [Policy::Learnt, Policy::AlwaysBest, Policy::AlwaysCheap, Policy::BestSplit, Policy::Hindsight];

#[derive(Debug, Default, Clone, Copy)]
struct RunResult {
    quality: f64,
    cost: f64,
    late: f64,
}

struct World {
    scenario: Scenario,
    rng: StdRng,
    learner: CascadeLearner,
    cheap: ModelName,
    best: ModelName,
    ratings: VecDeque<(usize, ModelName, bool)>,
}

impl World {
    fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
            scenario,
            rng: StdRng::seed_from_u64(seed),
            learner: CascadeLearner::new(CascadeConfig::default()),
            cheap: "cheap".parse().expect("a name"),
            best: "best".parse().expect("a name"),
            ratings: VecDeque::new(),
        }
    }

    fn cheap_quality(&self, request: usize) -> f64 {
        self.scenario.cheap[usize::from(request >= REQUESTS / 2)]
    }

    fn has_rater(&self, request: usize) -> bool {
        (request as f64) < self.scenario.rater_available_until * REQUESTS as f64
    }

    /// Runs a request, and records its cost and duration. Returns whether the response is good.
    fn run_request(&mut self, request: usize, is_cheap: bool) -> bool {
        let quality = if is_cheap { self.cheap_quality(request) } else { self.scenario.best };
        let (model, cost, time) = if is_cheap {
            (self.cheap.clone(), CHEAP_COST, CHEAP_TIME)
        } else {
            (self.best.clone(), BEST_COST, BEST_TIME)
        };
        self.learner.answered(&model, CostMicros(cost as u64), time);
        self.rng.random_bool(quality)
    }

    fn sample(&mut self, request: usize, model: ModelName, is_good: bool) {
        let is_sampled = self.learner.needs_ratings(&model) || self.rng.random_bool(SAMPLE_RATIO);
        if is_sampled && self.has_rater(request) {
            self.ratings.push_back((request + RATING_DELAY_REQUESTS, model, is_good));
        }
    }

    fn plan(&mut self, policy: Policy, request: usize) -> Plan {
        let (cheap, best) = (self.cheap.clone(), self.best.clone());
        match policy {
            Policy::AlwaysBest => Plan::Direct(best),
            Policy::AlwaysCheap => Plan::Direct(cheap),
            Policy::BestSplit => {
                let mean = (self.scenario.cheap[0] + self.scenario.cheap[1]) / 2.0;
                let best_quality = self.scenario.best;
                let part = (best_quality - self.scenario.target) / (best_quality - mean);
                let is_cheap = self.rng.random_bool(part.clamp(0.0, 1.0));
                Plan::Direct(if is_cheap { cheap } else { best })
            }
            Policy::Hindsight => self.hindsight(request),
            Policy::Learnt => {
                let models = [
                    CascadeModel { model: cheap, price: CHEAP_COST },
                    CascadeModel { model: best, price: BEST_COST },
                ];
                let (target, deadline) = (self.scenario.target, self.scenario.deadline);
                let has_rater = self.has_rater(request);
                let plan = self.learner.choose(&models, target, deadline, has_rater, &mut self.rng);
                plan.expect("there are models")
            }
        }
    }

    fn hindsight(&self, request: usize) -> Plan {
        let quality = self.cheap_quality(request);
        if quality >= self.scenario.target {
            return Plan::Direct(self.cheap.clone());
        }
        let fits = self.scenario.deadline >= (CHEAP_TIME + BEST_TIME).mul_f64(1.5);
        let cascade_cost = CHEAP_COST + (1.0 - quality) * BEST_COST;
        if fits && self.has_rater(request) && cascade_cost < BEST_COST {
            return Plan::Cascade(self.cheap.clone(), self.best.clone());
        }
        Plan::Direct(self.best.clone())
    }

    fn run(mut self, policy: Policy) -> RunResult {
        let mut result = RunResult::default();
        for request in 0..REQUESTS {
            while self.ratings.front().is_some_and(|(due, ..)| *due <= request) {
                if let Some((_, model, is_good)) = self.ratings.pop_front() {
                    self.learner.rated(&model, is_good);
                }
            }
            let plan = self.plan(policy, request);
            let is_cheap = *plan.first() == self.cheap;
            let (mut is_good, mut cost, mut time) =
                (self.run_request(request, is_cheap), 0.0, Duration::ZERO);
            cost += if is_cheap { CHEAP_COST } else { BEST_COST };
            time += if is_cheap { CHEAP_TIME } else { BEST_TIME };
            match &plan {
                Plan::Direct(model) => self.sample(request, model.clone(), is_good),
                Plan::Cascade(first, second) => {
                    // In a cascade the rating is available immediately.
                    self.learner.rated(first, is_good);
                    if !is_good {
                        is_good = self.run_request(request, false);
                        cost += BEST_COST;
                        time += BEST_TIME;
                        self.sample(request, second.clone(), is_good);
                    }
                }
            }
            result.quality += f64::from(is_good) / REQUESTS as f64;
            result.cost += cost / BEST_COST / REQUESTS as f64;
            result.late += f64::from(time > self.scenario.deadline) / REQUESTS as f64;
        }
        result
    }
}

fn main() {
    let headings = [
        "scenario",
        "policy",
        "quality",
        "target",
        "cost / always best",
        "cost / hindsight",
        "late",
    ];
    let mut report = Report::new("cascade", &headings);
    for scenario in SCENARIOS {
        let run = |policy: Policy| -> Vec<RunResult> {
            SEEDS.iter().map(|seed| World::new(scenario, *seed).run(policy)).collect()
        };
        let hindsight = run(Policy::Hindsight);
        for policy in POLICIES {
            let results = run(policy);
            let spread = |figure: fn(&RunResult) -> f64| {
                let values: Vec<f64> = results.iter().map(figure).collect();
                Spread::of(&values).to_string()
            };
            let ratios: Vec<f64> =
                results.iter().zip(&hindsight).map(|(f, h)| f.cost / h.cost).collect();
            report.row([
                scenario.name.to_owned(),
                format!("{policy:?}"),
                spread(|f| f.quality),
                scenario.target.to_string(),
                spread(|f| f.cost),
                Spread::of(&ratios).to_string(),
                spread(|f| f.late),
            ]);
        }
    }
    report.finish();
}

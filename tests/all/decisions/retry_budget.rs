//! The retry budgets of many gateways together, against the platform's limit for the fleet.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_policy::retry::RetryBudget;
use stallhoist_settings::GatewayRetrySettings;

/// The period over which the platform counts.
const WINDOW: Duration = Duration::from_secs(10);

/// While all upstreams fail, each request asks for this many retries.
const RETRIES_WANTED: usize = 2;

const SEEDS: [u64; 5] = [11, 12, 13, 14, 15];

/// A fleet whose upstreams all fail from `FAILS_FROM` on.
#[derive(Debug, Clone, Copy)]
struct Fleet {
    gateways: usize,
    slack: f64,
    requests_per_s: f64,
}

/// Long enough for the platform's window and the one before it.
const FAILS_FROM: Duration = Duration::from_secs(20);
const ENDS_AT: Duration = Duration::from_secs(45);

/// When requests were sent and retries made.
#[derive(Debug, Default)]
struct Trace {
    requests: Vec<Duration>,
    retries: Vec<Duration>,
}

fn count(times: &[Duration], from: Duration, to: Duration) -> usize {
    times.partition_point(|at| *at < to) - times.partition_point(|at| *at < from)
}

impl Trace {
    /// The most by which retries exceed what the platform allows in any window.
    fn worst_excess(&self, settings: &GatewayRetrySettings) -> f64 {
        let excess = |from: &Duration| {
            let requests = [Duration::ZERO, WINDOW / 2, WINDOW].map(|earlier| {
                let from = from.saturating_sub(earlier);
                count(&self.requests, from, from + WINDOW)
            });
            let most = requests.into_iter().max().unwrap_or_default();
            let allowed = settings.fleet_ratio * most as f64 + settings.fleet_slack;
            count(&self.retries, *from, *from + WINDOW) as f64 - allowed
        };
        self.retries.iter().map(excess).fold(f64::MIN, f64::max)
    }
}

/// Plays requests at random times and gateways.
fn play(fleet: Fleet, seed: u64) -> f64 {
    let settings = GatewayRetrySettings { fleet_slack: fleet.slack, ..Default::default() };
    let start = || {
        let mut budget = RetryBudget::new(settings.budget_percent(), settings.burst_per_gateway(1));
        budget.set_burst(settings.burst_per_gateway(fleet.gateways));
        budget
    };
    let mut budgets: Vec<RetryBudget> = (0..fleet.gateways).map(|_| start()).collect();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut trace = Trace::default();
    let mut now = Duration::ZERO;
    while now < ENDS_AT {
        now += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / fleet.requests_per_s);
        let budget = &mut budgets[rng.random_range(0..fleet.gateways)];
        budget.request();
        trace.requests.push(now);
        if now >= FAILS_FROM {
            let retries = (0..RETRIES_WANTED).take_while(|_| budget.take()).count();
            trace.retries.extend(std::iter::repeat_n(now, retries));
        }
    }
    trace.worst_excess(&settings)
}

// Guards against bursts that together exceed the slack, which shows where the reserve in the ratio is small.
#[test]
fn gateways_of_a_service_with_few_requests_stay_within_the_slack() {
    for requests_per_s in [5.0, 20.0, 45.0, 200.0] {
        for seed in SEEDS {
            let fleet = Fleet { gateways: 32, slack: 104.0, requests_per_s };
            let excess = play(fleet, seed);
            assert!(excess <= 0.0, "{excess:.1} too many, {fleet:?}, seed {seed}");
        }
    }
}

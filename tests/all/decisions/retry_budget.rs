//! The retry budgets of many gateways together, against the platform's limit for the fleet.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_policy::retry::RetryBudget;
use stallhoist_settings::GatewayRetrySettings;

use crate::retry_limit::RetryTrace;

/// When all upstreams begin to fail, unless a test says otherwise: after more than the platform's window and the one
/// before it.
const FAILS_FROM: Duration = Duration::from_secs(20);
/// How long they fail.
const FAILS_FOR: Duration = Duration::from_secs(25);

/// When each gateway of a fleet that starts for the first time learns of the others.
const LISTED_AT: Duration = Duration::from_secs(2);

/// While all upstreams fail, each request asks for this many retries.
const RETRIES_WANTED: usize = 2;

const SEEDS: [u64; 5] = [11, 12, 13, 14, 15];

/// Which gateways restart, while upstreams fail.
#[derive(Debug, Clone, Copy)]
enum Restarts {
    None,
    /// All at once, at this interval.
    All(Duration),
    /// The first one alone, at this interval.
    First(Duration),
}

#[derive(Debug, Clone, Copy)]
struct Fleet {
    gateways: usize,
    ratio: f64,
    slack: f64,
    requests_per_s: f64,
    fails_from: Duration,
    restarts: Restarts,
}

impl Fleet {
    /// How many gateways, in order, restart between two times.
    fn restarted(&self, from: Duration, to: Duration) -> usize {
        let (count, interval) = match self.restarts {
            Restarts::None => return 0,
            Restarts::All(interval) => (self.gateways, interval),
            Restarts::First(interval) => (1, interval),
        };
        let rounds =
            |at: Duration| at.saturating_sub(self.fails_from).as_millis() / interval.as_millis();
        if rounds(to) > rounds(from) { count } else { 0 }
    }
}

/// Plays requests at random times and gateways. Returns the worst excess.
fn play(fleet: Fleet, seed: u64) -> f64 {
    let settings = GatewayRetrySettings { fleet_ratio: fleet.ratio, fleet_slack: fleet.slack };
    let unlisted = || RetryBudget::restarted(settings.budget_percent(), settings.unlisted_burst());
    let listed_burst = settings.burst_per_gateway(fleet.gateways);
    let first_start = || {
        let mut budget = unlisted();
        budget.reserve(RETRIES_WANTED as u32);
        budget
    };
    let mut budgets: Vec<RetryBudget> = (0..fleet.gateways).map(|_| first_start()).collect();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut trace = RetryTrace::default();
    let mut now = Duration::ZERO;
    while now < fleet.fails_from + FAILS_FOR {
        let before = now;
        now += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / fleet.requests_per_s);
        budgets.iter_mut().take(fleet.restarted(before, now)).for_each(|b| *b = unlisted());
        if now >= LISTED_AT {
            budgets.iter_mut().for_each(|budget| budget.set_burst(listed_burst));
        }
        let budget = &mut budgets[rng.random_range(0..fleet.gateways)];
        budget.request();
        trace.requests.push(now);
        if now >= fleet.fails_from {
            let retries = (0..RETRIES_WANTED).take_while(|_| budget.take()).count();
            trace.retries.extend(std::iter::repeat_n(now, retries));
        }
    }
    trace.worst_excess(&settings)
}

/// Checks each seed at several rates of requests.
fn assert_within_limit(fleet: Fleet) {
    for requests_per_s in [5.0, 20.0, 45.0, 200.0, 600.0] {
        for seed in SEEDS {
            let fleet = Fleet { requests_per_s, ..fleet };
            let excess = play(fleet, seed);
            assert!(excess <= 0.0, "{excess:.1} too many, {fleet:?}, seed {seed}");
        }
    }
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            gateways: 32,
            ratio: 0.9,
            slack: 104.0,
            requests_per_s: 0.0,
            fails_from: FAILS_FROM,
            restarts: Restarts::None,
        }
    }
}

// Guards against bursts that together exceed the slack, which shows where the reserve in the ratio is small.
#[test]
fn gateways_of_a_service_with_few_requests_stay_within_the_slack() {
    assert_within_limit(Fleet::default());
}

// Guards against gateways that save as if they were alone until they know the others.
#[test]
fn a_fleet_that_starts_for_the_first_time_stays_within_the_slack() {
    assert_within_limit(Fleet { fails_from: Duration::from_secs(1), ..Fleet::default() });
}

macro_rules! stay_within_the_limit {
    ($name:ident, $gateways:expr, $ratio:expr, $slack:expr, $restarts:expr) => {
        #[test]
        fn $name() {
            assert_within_limit(Fleet {
                gateways: $gateways,
                ratio: $ratio,
                slack: $slack,
                restarts: $restarts,
                ..Fleet::default()
            });
        }
    };
}

const SECOND: Duration = Duration::from_secs(1);

stay_within_the_limit!(three_gateways, 3, 0.9, 52.0, Restarts::None);
stay_within_the_limit!(six_gateways, 6, 0.9, 52.0, Restarts::None);
stay_within_the_limit!(hundreds_of_gateways, 400, 0.9, 1_040.0, Restarts::None);
stay_within_the_limit!(all_of_three_restart_each_second, 3, 0.9, 52.0, Restarts::All(SECOND));
stay_within_the_limit!(all_of_32_restart_each_second, 32, 0.9, 104.0, Restarts::All(SECOND));
stay_within_the_limit!(all_of_hundreds_restart, 400, 0.9, 1_040.0, Restarts::All(4 * SECOND));
stay_within_the_limit!(
    one_of_three_restarts_all_the_time,
    3,
    0.9,
    52.0,
    Restarts::First(SECOND / 5)
);
stay_within_the_limit!(a_low_ratio_and_restarts_of_all, 32, 0.1, 104.0, Restarts::All(2 * SECOND));
stay_within_the_limit!(a_low_ratio_and_restarts_of_one, 3, 0.1, 52.0, Restarts::First(SECOND / 5));

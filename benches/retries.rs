//! Retries and ejection in virtual time: `cargo bench --bench retries`.
//!
//! Three entries send to twenty upstreams, chosen at random among the usable ones, with the entry's own
//! retry budget, retry decision and ejection (`policy::retry`). All requests are repeatable.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_measure::Report;
use stallhoist_measure::Spread;
use stallhoist_policy::retry::AttemptOutcome;
use stallhoist_policy::retry::Ejection;
use stallhoist_policy::retry::EjectionConfig;
use stallhoist_policy::retry::RetryBudget;
use stallhoist_policy::retry::may_retry;

const SEEDS: [u64; 5] = [11, 22, 33, 44, 55];
const ENTRIES: usize = 3;
const UPSTREAMS: usize = 20;
const REQUESTS: u64 = 60_000;
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_ATTEMPTS: u32 = 3;
/// The failing upstream, and the range of requests in which it fails.
const FAILING_UPSTREAM: usize = 7;
const FAILS_FROM: u64 = 10_000;
const FAILS_UNTIL: u64 = 40_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    All,
    OneOfTwenty,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The entry's own policy.
    BudgetAndEjection,
    /// Up to three attempts for each request, without ejection.
    AlwaysThree,
}

struct Entry {
    budget: RetryBudget,
    ejection: Ejection,
}

#[derive(Debug, Default)]
struct RunResult {
    calls: f64,
    failed: f64,
    calls_to_failing: f64,
    readmitted_after_s: f64,
    calls_in_first_s: f64,
}

fn fails(fault: Fault, upstream: usize, request: u64) -> bool {
    match fault {
        Fault::All => true,
        Fault::OneOfTwenty => {
            upstream == FAILING_UPSTREAM && (FAILS_FROM..FAILS_UNTIL).contains(&request)
        }
    }
}

fn run(policy: Policy, fault: Fault, seed: u64) -> RunResult {
    let mut rng = StdRng::seed_from_u64(seed);
    let hosts: Vec<HostId> =
        (0..UPSTREAMS).map(|n| format!("host-{n}").parse().expect("a name")).collect();
    let entry = || Entry {
        budget: RetryBudget::new(10, 10),
        ejection: Ejection::new(EjectionConfig::default()),
    };
    let mut entries: Vec<Entry> = (0..ENTRIES).map(|_| entry()).collect();
    let mut result = RunResult::default();
    let mut now = MonoTime::default();
    let (mut failing_calls, mut readmitted_at, mut in_first_s) = (0_u64, None, 0_u64);
    for request in 0..REQUESTS {
        now = now.after(ARRIVAL_INTERVAL);
        let entry = &mut entries[rng.random_range(0..ENTRIES)];
        entry.budget.request();
        let mut avoid = BTreeSet::new();
        let mut attempts = 0;
        let is_answered = loop {
            attempts += 1;
            let usable = match policy {
                Policy::BudgetAndEjection => entry.ejection.usable(now, &hosts),
                Policy::AlwaysThree => hosts.clone(),
            };
            let fresh: Vec<_> = usable.iter().filter(|host| !avoid.contains(*host)).collect();
            let host = fresh[rng.random_range(0..fresh.len())].clone();
            let upstream = hosts.iter().position(|h| *h == host).unwrap_or_default();
            result.calls += 1.0;
            entry.ejection.sent(&host);
            if upstream == FAILING_UPSTREAM && (FAILS_FROM..FAILS_UNTIL).contains(&request) {
                failing_calls += 1;
            }
            if !fails(fault, upstream, request) {
                if upstream == FAILING_UPSTREAM && request >= FAILS_UNTIL {
                    let readmitted = *readmitted_at.get_or_insert(now);
                    in_first_s += u64::from(now.since(readmitted) < Duration::from_secs(1));
                }
                entry.ejection.succeeded(&host);
                break true;
            }
            entry.ejection.failed(now, &host, &mut rng);
            avoid.insert(host);
            let attempt = AttemptOutcome {
                is_repeatable: true,
                is_proved_not_run: false,
                is_delivered: false,
                has_cost: true,
                attempts,
                max_attempts: MAX_ATTEMPTS,
            };
            let has_budget = || policy == Policy::AlwaysThree || entry.budget.take();
            if !may_retry(attempt, has_budget) {
                break false;
            }
        };
        result.failed += f64::from(!is_answered);
    }
    let recovered_at = MonoTime::default().after(ARRIVAL_INTERVAL * FAILS_UNTIL as u32);
    result.calls /= REQUESTS as f64;
    result.failed /= REQUESTS as f64;
    result.calls_to_failing = failing_calls as f64 / (FAILS_UNTIL - FAILS_FROM) as f64;
    result.readmitted_after_s =
        readmitted_at.map_or(f64::NAN, |readmitted| readmitted.since(recovered_at).as_secs_f64());
    result.calls_in_first_s = in_first_s as f64;
    result
}

fn main() {
    let headings = [
        "fault",
        "policy",
        "calls a request",
        "failed at the caller",
        "share of calls to the sick one",
        "back after s",
        "calls in its first second back",
    ];
    let mut report = Report::new("retries", &headings);
    for fault in [Fault::All, Fault::OneOfTwenty] {
        for policy in [Policy::BudgetAndEjection, Policy::AlwaysThree] {
            let results: Vec<RunResult> =
                SEEDS.iter().map(|seed| run(policy, fault, *seed)).collect();
            let spread = |figure: fn(&RunResult) -> f64| {
                let values: Vec<f64> = results.iter().map(figure).collect();
                format!("{:.4}", Spread::of(&values).median)
            };
            report.row([
                format!("{fault:?}"),
                format!("{policy:?}"),
                spread(|f| f.calls),
                spread(|f| f.failed),
                spread(|f| f.calls_to_failing),
                spread(|f| f.readmitted_after_s),
                spread(|f| f.calls_in_first_s),
            ]);
        }
    }
    report.finish();
}

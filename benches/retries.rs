//! Retries and ejection in virtual time: `cargo bench --bench retries`.
//!
//! Three entries with the daemons' own budget, decision and ejection send to twenty
//! upstreams, chosen at random among the usable ones. All requests may be repeated.

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
const BETWEEN: Duration = Duration::from_millis(5);
const MAX_ATTEMPTS: u32 = 3;
/// The sick upstream, from and until which request it fails.
const SICK: usize = 7;
const FAILS_FROM: u64 = 10_000;
const FAILS_UNTIL: u64 = 40_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    All,
    OneOfTwenty,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The entry's.
    BudgetAndEjection,
    /// Three attempts for each request, nobody left out.
    AlwaysThree,
}

struct Entry {
    budget: RetryBudget,
    ejection: Ejection,
}

#[derive(Debug, Default)]
struct Figures {
    calls: f64,
    failed: f64,
    calls_to_sick: f64,
    back_after_s: f64,
    most_in_first_s: f64,
}

fn fails(fault: Fault, upstream: usize, request: u64) -> bool {
    match fault {
        Fault::All => true,
        Fault::OneOfTwenty => upstream == SICK && (FAILS_FROM..FAILS_UNTIL).contains(&request),
    }
}

fn run(policy: Policy, fault: Fault, seed: u64) -> Figures {
    let mut rng = StdRng::seed_from_u64(seed);
    let hosts: Vec<HostId> =
        (0..UPSTREAMS).map(|n| format!("host-{n}").parse().expect("a name")).collect();
    let entry = || Entry {
        budget: RetryBudget::new(10, 10),
        ejection: Ejection::new(EjectionConfig::default()),
    };
    let mut entries: Vec<Entry> = (0..ENTRIES).map(|_| entry()).collect();
    let mut figures = Figures::default();
    let mut now = MonoTime::default();
    let (mut sick_calls, mut first_back, mut in_first_s) = (0_u64, None, 0_u64);
    for request in 0..REQUESTS {
        now = now.after(BETWEEN);
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
            figures.calls += 1.0;
            entry.ejection.sent(&host);
            if upstream == SICK && (FAILS_FROM..FAILS_UNTIL).contains(&request) {
                sick_calls += 1;
            }
            if !fails(fault, upstream, request) {
                if upstream == SICK && request >= FAILS_UNTIL {
                    let back = *first_back.get_or_insert(now);
                    in_first_s += u64::from(now.since(back) < Duration::from_secs(1));
                }
                entry.ejection.succeeded(&host);
                break true;
            }
            entry.ejection.failed(now, &host, &mut rng);
            avoid.insert(host);
            let facts = AttemptOutcome {
                is_repeatable: true,
                is_proved_not_run: false,
                is_delivered: false,
                has_cost: true,
                attempts,
                max_attempts: MAX_ATTEMPTS,
            };
            let has_budget = || policy == Policy::AlwaysThree || entry.budget.take();
            if !may_retry(facts, has_budget) {
                break false;
            }
        };
        figures.failed += f64::from(!is_answered);
    }
    let healed = MonoTime::default().after(BETWEEN * FAILS_UNTIL as u32);
    figures.calls /= REQUESTS as f64;
    figures.failed /= REQUESTS as f64;
    figures.calls_to_sick = sick_calls as f64 / (FAILS_UNTIL - FAILS_FROM) as f64;
    figures.back_after_s = first_back.map_or(f64::NAN, |back| back.since(healed).as_secs_f64());
    figures.most_in_first_s = in_first_s as f64;
    figures
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
            let figures: Vec<Figures> =
                SEEDS.iter().map(|seed| run(policy, fault, *seed)).collect();
            let spread = |figure: fn(&Figures) -> f64| {
                let values: Vec<f64> = figures.iter().map(figure).collect();
                format!("{:.4}", Spread::of(&values).median)
            };
            report.row([
                format!("{fault:?}"),
                format!("{policy:?}"),
                spread(|f| f.calls),
                spread(|f| f.failed),
                spread(|f| f.calls_to_sick),
                spread(|f| f.back_after_s),
                spread(|f| f.most_in_first_s),
            ]);
        }
    }
    report.finish();
}

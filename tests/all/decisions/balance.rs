//! Cost of an upstream: its load, its health and its prefix cache.

use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::PromptPart;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::BalanceConfig;
use stallhoist_policy::balance::CandidateFacts;
use stallhoist_policy::balance::Evidence;
use stallhoist_policy::balance::ExpectedGeneration;
use stallhoist_policy::balance::Fitness;
use stallhoist_policy::balance::GenerationTime;
use stallhoist_policy::balance::HealthConfig;
use stallhoist_policy::balance::PrefillTime;
use stallhoist_policy::balance::PrefillWork;
use stallhoist_policy::balance::PrefixCaches;
use stallhoist_policy::balance::ReportedLoad;
use stallhoist_policy::balance::RequestFacts;
use stallhoist_policy::balance::UpstreamHealth;
use stallhoist_policy::balance::UpstreamLoad;
use stallhoist_policy::balance::expected_cost_ms;

use super::at_ms;

fn incarnation(name: &str) -> UpstreamIncarnation {
    name.parse().expect("a name")
}

fn is_resting(health: &UpstreamHealth, now: MonoTime, incarnation: &UpstreamIncarnation) -> bool {
    health.fitness(now, incarnation) == Fitness::Resting
}

fn part(id: u64, tokens: u64) -> PromptPart {
    PromptPart { id, tokens }
}

#[test]
fn backoff_of_an_unreachable_upstream_grows() {
    let mut health = UpstreamHealth::new(HealthConfig::default());
    let a = incarnation("a");
    health.observe(at_ms(0), &a, Evidence::Unreachable);
    assert!(is_resting(&health, at_ms(499), &a) && !is_resting(&health, at_ms(500), &a));
    health.observe(at_ms(500), &a, Evidence::Unreachable);
    assert!(is_resting(&health, at_ms(1_499), &a) && !is_resting(&health, at_ms(1_500), &a));
    for n in 0..10 {
        health.observe(at_ms(2_000 + n), &a, Evidence::Unreachable);
    }
    assert!(!is_resting(&health, at_ms(6_100), &a), "never longer than four seconds");
}

#[test]
fn a_response_ends_the_backoff() {
    let mut health = UpstreamHealth::new(HealthConfig::default());
    let a = incarnation("a");
    health.observe(at_ms(0), &a, Evidence::Unreachable);
    health.observe(at_ms(10), &a, Evidence::Answered);
    assert!(!is_resting(&health, at_ms(11), &a));
    health.observe(at_ms(20), &a, Evidence::Unreachable);
    assert!(!is_resting(&health, at_ms(520), &a), "the back-off starts again from the first delay");
}

#[test]
fn the_failure_rate_decays() {
    let mut health = UpstreamHealth::new(HealthConfig::default());
    let a = incarnation("a");
    for n in 0..30 {
        health.observe(at_ms(n), &a, Evidence::Failed);
    }
    let fresh = health.failure_rate(at_ms(30), &a);
    assert!(fresh > 0.95, "{fresh}");
    let later = health.failure_rate(at_ms(3_030), &a);
    assert!((later / fresh - 0.5).abs() < 0.01, "{later}");
}

#[test]
fn work_counts_until_the_request_ends() {
    let mut load = UpstreamLoad::default();
    let a = incarnation("a");
    let work = PrefillWork { remaining_prefill_ms: 100.0 };
    load.request_started(&a, work);
    load.request_started(&a, work);
    assert_eq!((load.in_progress(at_ms(0), &a, 0), load.remaining_prefill_ms(&a)), (2, 200.0));
    load.prefill_finished(&a, work);
    load.request_ended(&a, PrefillWork::default());
    assert_eq!((load.in_progress(at_ms(0), &a, 0), load.remaining_prefill_ms(&a)), (1, 100.0));
    load.request_ended(&a, work);
    assert_eq!((load.in_progress(at_ms(0), &a, 0), load.remaining_prefill_ms(&a)), (0, 0.0));
}

#[test]
fn engine_time_that_is_left_falls_as_a_response_arrives() {
    let mut load = UpstreamLoad::default();
    let a = incarnation("a");
    let work = PrefillWork { remaining_prefill_ms: 100.0 };
    let engine_ms = |load: &UpstreamLoad| load.local_work().map(|(_, work)| work.engine_ms).sum();
    load.request_started(&a, work);
    load.generation_expected(&a, 300.0);
    let left: [u32; 4] = [
        engine_ms(&load),
        (load.prefill_finished(&a, work), engine_ms(&load)).1,
        (load.generation_done(&a, 100.0), engine_ms(&load)).1,
        (load.generation_done(&a, 900.0), engine_ms(&load)).1,
    ];
    assert_eq!(left, [400, 300, 200, 0]);
}

#[test]
fn a_reported_load_counts_while_it_is_fresh() {
    let mut load = UpstreamLoad::default();
    let a = incarnation("a");
    load.record_report(at_ms(0), &a, ReportedLoad { running: 5, waiting: 2, ..Default::default() });
    assert_eq!(load.in_progress(at_ms(100), &a, 0), 7);
    assert_eq!(load.in_progress(at_ms(600), &a, 0), 0);
    assert_eq!(load.in_progress(at_ms(100), &a, 3), 7, "peers' work is part of the reported load");
    assert_eq!(load.in_progress(at_ms(100), &a, 9), 9, "peers' work counts where it is more");
}

#[test]
fn cached_tokens_saturate() {
    let mut caches = PrefixCaches::default();
    let (a, model): (_, ModelName) = (incarnation("a"), "m".parse().expect("a name"));
    let parts = [part(1, u64::MAX), part(2, u64::MAX)];
    caches.record_prefill(at_ms(0), &a, &model, &parts);
    assert_eq!(caches.cached_tokens(at_ms(0), &a, &model, &parts), u64::MAX);
}

#[test]
fn only_leading_parts_count_as_cached() {
    let mut caches = PrefixCaches::default();
    let (a, model): (_, ModelName) = (incarnation("a"), "m".parse().expect("a name"));
    caches.record_prefill(at_ms(0), &a, &model, &[part(1, 10), part(3, 30)]);
    let known = |parts: &[PromptPart]| caches.cached_tokens(at_ms(1), &a, &model, parts);
    assert_eq!(known(&[part(1, 10), part(2, 20), part(3, 30)]), 10);
    assert_eq!(known(&[part(1, 10), part(3, 30)]), 40);
    assert_eq!(known(&[part(2, 20), part(1, 10)]), 0);
}

#[test]
fn cached_parts_belong_to_one_model_and_expire() {
    let mut caches = PrefixCaches::default();
    let a = incarnation("a");
    let model = |name: &str| -> ModelName { name.parse().expect("a name") };
    caches.record_prefill(at_ms(0), &a, &model("m"), &[part(1, 10)]);
    assert_eq!(caches.cached_tokens(at_ms(1), &a, &model("other"), &[part(1, 10)]), 0);
    assert_eq!(caches.cached_tokens(at_ms(29_999), &a, &model("m"), &[part(1, 10)]), 10);
    assert_eq!(caches.cached_tokens(at_ms(30_000), &a, &model("m"), &[part(1, 10)]), 0);
}

#[test]
fn the_table_of_cached_parts_is_bounded() {
    let mut caches = PrefixCaches::default();
    let (a, model): (_, ModelName) = (incarnation("a"), "m".parse().expect("a name"));
    for id in 0..40_000 {
        caches.record_prefill(at_ms(id / 10), &a, &model, &[part(id, 10)]);
    }
    let kept = (0..40_000)
        .filter(|id| caches.cached_tokens(at_ms(4_000), &a, &model, &[part(*id, 10)]) > 0)
        .count();
    assert!((1..=8_192).contains(&kept), "{kept}");
    assert_eq!(caches.cached_tokens(at_ms(4_000), &a, &model, &[part(39_999, 10)]), 10);
}

/// Checks that the first candidate costs less than the second.
macro_rules! cheaper {
    ($name:ident, $first:expr, $second:expr) => {
        #[test]
        fn $name() {
            let config = BalanceConfig::default();
            let prefill_time = PrefillTime { base_ms: 20.0, ms_per_token: 0.025 };
            let request = RequestFacts {
                prompt_tokens: 4_000,
                prefill_time,
                body_bytes: 4_000,
                generation: None,
            };
            let typical = CandidateFacts { slots: 8, is_same_zone: true, ..Default::default() };
            let first: fn(CandidateFacts) -> CandidateFacts = $first;
            let second: fn(CandidateFacts) -> CandidateFacts = $second;
            let cost = |facts| expected_cost_ms(&config, &request, &facts);
            assert!(cost(first(typical)) < cost(second(typical)));
        }
    };
}

cheaper!(the_same_zone, |c| c, |c| CandidateFacts { is_same_zone: false, ..c });
cheaper!(fewer_requests_in_progress, |c| c, |c| CandidateFacts { in_progress: 3, ..c });
cheaper!(less_remaining_prefill, |c| c, |c| CandidateFacts { remaining_prefill_ms: 12.5, ..c });
cheaper!(a_cached_prefix, |c| CandidateFacts { cached_tokens: 3_000, ..c }, |c| c);
cheaper!(a_lower_failure_rate, |c| c, |c| CandidateFacts { failure_rate: 0.3, ..c });
cheaper!(
    another_zone_rather_than_a_failing_upstream,
    |c| CandidateFacts { is_same_zone: false, ..c },
    |c| CandidateFacts { failure_rate: 0.5, ..c }
);
cheaper!(
    another_zone_rather_than_a_long_queue,
    |c| CandidateFacts { is_same_zone: false, ..c },
    |c| CandidateFacts { in_progress: 20, ..c }
);
cheaper!(a_faster_upstream, |c| c, |c| CandidateFacts { slowdown: 1.5, ..c });
cheaper!(a_busier_upstream_that_is_faster, |c| CandidateFacts { in_progress: 3, ..c }, |c| {
    CandidateFacts { slowdown: 1.5, ..c }
});

/// Checks which of an upstream with the prefix and five requests, and an idle one without, a stream goes to.
macro_rules! long_stream {
    ($name:ident, $weight:expr, $goes_to_idle:expr) => {
        #[test]
        fn $name() {
            let generation = ExpectedGeneration {
                time: GenerationTime { base_ms: 25.0, per_request_ms: 2.0 },
                events: 60.0,
                weight: $weight,
            };
            let request = RequestFacts {
                prompt_tokens: 400,
                prefill_time: PrefillTime { base_ms: 20.0, ms_per_token: 0.025 },
                body_bytes: 400,
                generation: Some(generation),
            };
            let idle = CandidateFacts { slots: 64, is_same_zone: true, ..Default::default() };
            let busy = CandidateFacts { in_progress: 5, cached_tokens: 300, ..idle };
            let cost = |facts| expected_cost_ms(&BalanceConfig::default(), &request, &facts);
            assert_eq!(cost(idle) < cost(busy), $goes_to_idle);
        }
    };
}

long_stream!(a_long_stream_goes_where_it_ends_sooner, 0.16, true);
long_stream!(a_stream_without_a_time_limit_goes_where_it_begins_sooner, 0.0, false);

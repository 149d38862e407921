//! What an upstream costs: load, health, prompts that it has read.

use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::PromptPart;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::BalanceConfig;
use stallhoist_policy::balance::CandidateFacts;
use stallhoist_policy::balance::Evidence;
use stallhoist_policy::balance::Fitness;
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

fn start(name: &str) -> UpstreamIncarnation {
    name.parse().expect("a name")
}

fn is_resting(health: &UpstreamHealth, now: MonoTime, start: &UpstreamIncarnation) -> bool {
    health.fitness(now, start) == Fitness::Resting
}

fn part(id: u64, tokens: u64) -> PromptPart {
    PromptPart { id, tokens }
}

#[test]
fn an_unreachable_upstream_is_left_alone_for_longer_each_time() {
    let mut health = UpstreamHealth::new(HealthConfig::default());
    let a = start("a");
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
fn an_answer_ends_the_pause() {
    let mut health = UpstreamHealth::new(HealthConfig::default());
    let a = start("a");
    health.observe(at_ms(0), &a, Evidence::Unreachable);
    health.observe(at_ms(10), &a, Evidence::Answered);
    assert!(!is_resting(&health, at_ms(11), &a));
    health.observe(at_ms(20), &a, Evidence::Unreachable);
    assert!(!is_resting(&health, at_ms(520), &a), "the next pause is the first one again");
}

#[test]
fn failures_are_forgotten_with_time() {
    let mut health = UpstreamHealth::new(HealthConfig::default());
    let a = start("a");
    for n in 0..30 {
        health.observe(at_ms(n), &a, Evidence::Failed);
    }
    let fresh = health.failure_rate(at_ms(30), &a);
    assert!(fresh > 0.95, "{fresh}");
    let later = health.failure_rate(at_ms(3_030), &a);
    assert!((later / fresh - 0.5).abs() < 0.01, "{later}");
}

#[test]
fn work_counts_from_its_start_to_its_end() {
    let mut load = UpstreamLoad::default();
    let a = start("a");
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
fn a_reported_load_counts_while_it_is_fresh() {
    let mut load = UpstreamLoad::default();
    let a = start("a");
    load.record_report(at_ms(0), &a, ReportedLoad { running: 5, waiting: 2 });
    assert_eq!(load.in_progress(at_ms(100), &a, 0), 7);
    assert_eq!(load.in_progress(at_ms(600), &a, 0), 0);
    assert_eq!(load.in_progress(at_ms(100), &a, 3), 7, "others' work is in what was reported");
    assert_eq!(load.in_progress(at_ms(100), &a, 9), 9, "unless it is more");
}

#[test]
fn parts_of_absurd_length_add_up_to_a_number() {
    let mut caches = PrefixCaches::default();
    let (a, model): (_, ModelName) = (start("a"), "m".parse().expect("a name"));
    let parts = [part(1, u64::MAX), part(2, u64::MAX)];
    caches.record_prefill(at_ms(0), &a, &model, &parts);
    assert_eq!(caches.cached_tokens(at_ms(0), &a, &model, &parts), u64::MAX);
}

#[test]
fn only_leading_parts_are_shared() {
    let mut caches = PrefixCaches::default();
    let (a, model): (_, ModelName) = (start("a"), "m".parse().expect("a name"));
    caches.record_prefill(at_ms(0), &a, &model, &[part(1, 10), part(3, 30)]);
    let known = |parts: &[PromptPart]| caches.cached_tokens(at_ms(1), &a, &model, parts);
    assert_eq!(known(&[part(1, 10), part(2, 20), part(3, 30)]), 10);
    assert_eq!(known(&[part(1, 10), part(3, 30)]), 40);
    assert_eq!(known(&[part(2, 20), part(1, 10)]), 0);
}

#[test]
fn what_was_read_is_kept_for_one_model_and_a_while() {
    let mut caches = PrefixCaches::default();
    let a = start("a");
    let model = |name: &str| -> ModelName { name.parse().expect("a name") };
    caches.record_prefill(at_ms(0), &a, &model("m"), &[part(1, 10)]);
    assert_eq!(caches.cached_tokens(at_ms(1), &a, &model("other"), &[part(1, 10)]), 0);
    assert_eq!(caches.cached_tokens(at_ms(29_999), &a, &model("m"), &[part(1, 10)]), 10);
    assert_eq!(caches.cached_tokens(at_ms(30_000), &a, &model("m"), &[part(1, 10)]), 0);
}

#[test]
fn the_memory_of_places_is_bounded() {
    let mut caches = PrefixCaches::default();
    let (a, model): (_, ModelName) = (start("a"), "m".parse().expect("a name"));
    for id in 0..40_000 {
        caches.record_prefill(at_ms(id / 10), &a, &model, &[part(id, 10)]);
    }
    let kept = (0..40_000)
        .filter(|id| caches.cached_tokens(at_ms(4_000), &a, &model, &[part(*id, 10)]) > 0)
        .count();
    assert!((1..=8_192).contains(&kept), "{kept}");
    assert_eq!(caches.cached_tokens(at_ms(4_000), &a, &model, &[part(39_999, 10)]), 10);
}

/// The first candidate costs less than the second.
macro_rules! cheaper {
    ($name:ident, $first:expr, $second:expr) => {
        #[test]
        fn $name() {
            let config = BalanceConfig::default();
            let prefill_time = PrefillTime { base_ms: 20.0, ms_per_token: 0.025 };
            let request = RequestFacts { prompt_tokens: 4_000, prefill_time, body_bytes: 4_000 };
            let usual = CandidateFacts { slots: 8, is_same_zone: true, ..Default::default() };
            let first: fn(CandidateFacts) -> CandidateFacts = $first;
            let second: fn(CandidateFacts) -> CandidateFacts = $second;
            let cost = |facts| expected_cost_ms(&config, &request, &facts);
            assert!(cost(first(usual)) < cost(second(usual)));
        }
    };
}

cheaper!(the_own_zone, |c| c, |c| CandidateFacts { is_same_zone: false, ..c });
cheaper!(the_one_with_less_to_do, |c| c, |c| CandidateFacts { in_progress: 3, ..c });
cheaper!(the_one_with_less_to_read, |c| c, |c| CandidateFacts { remaining_prefill_ms: 12.5, ..c });
cheaper!(the_one_that_has_read_it, |c| CandidateFacts { cached_tokens: 3_000, ..c }, |c| c);
cheaper!(the_one_that_does_not_fail, |c| c, |c| CandidateFacts { failure_rate: 0.3, ..c });
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

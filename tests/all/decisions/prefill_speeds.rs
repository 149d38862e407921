//! Prefill times learned from responses of simulated engines, against the engines' true speed.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::ModelName;
use stallhoist_core::ServiceName;
use stallhoist_policy::balance::FirstChunk;
use stallhoist_policy::balance::PrefillSpeeds;

fn service() -> ServiceName {
    "service".parse().expect("a name")
}

fn model(name: &str) -> ModelName {
    name.parse().expect("a name")
}

/// Time to the first chunk that does not depend on the prompt.
const BASE_MS: f64 = 50.0;

/// Simulates responses of an engine with a given speed: times vary by 30%, and one response in ten is
/// delayed by 2 s for an unknown reason.
struct Engine {
    ms_per_token: f64,
    rng: StdRng,
}

impl Engine {
    fn new(ms_per_token: f64, seed: u64) -> Self {
        Self { ms_per_token, rng: StdRng::seed_from_u64(seed) }
    }

    fn first_chunk(&mut self) -> FirstChunk {
        let is_short = self.rng.random_bool(0.5);
        let longest = if is_short { 1_500 } else { 20_000 };
        let unread_tokens = self.rng.random_range(0..longest);
        let other_ms = self.rng.random_range(0.0..100.0);
        let prefill_ms = unread_tokens as f64 * self.ms_per_token;
        let variation = self.rng.random_range(0.7..1.3);
        let delay_ms = if self.rng.random_bool(0.1) { 2_000.0 } else { 0.0 };
        let engine_ms = (BASE_MS + prefill_ms) * variation;
        FirstChunk { unread_tokens, other_ms, took_ms: engine_ms + other_ms + delay_ms }
    }
}

fn observe(speeds: &mut PrefillSpeeds, engine: &mut Engine, responses: usize) {
    for _ in 0..responses {
        speeds.observe(&service(), &model("m"), 1.0, engine.first_chunk());
    }
}

/// Checks for each of twenty seeds that after this many responses the estimated time per token is within
/// a factor of the true one.
macro_rules! learned {
    ($name:ident, $ms_per_token:expr, $responses:expr, $max_error:expr) => {
        #[test]
        fn $name() {
            for seed in 0..20 {
                let mut speeds = PrefillSpeeds::default();
                let mut engine = Engine::new($ms_per_token, seed);
                observe(&mut speeds, &mut engine, $responses);
                let error = speeds.time(&service(), &model("m"), 1.0).ms_per_token / $ms_per_token;
                assert!(
                    error < $max_error && error > 1.0 / $max_error,
                    "seed {seed}: off by a factor of {error}"
                );
            }
        }
    };
}

learned!(a_fast_engine_after_50_responses, 0.01, 50, 1.5);
learned!(a_fast_engine_after_200_responses, 0.01, 200, 1.5);
learned!(a_typical_engine_after_50_responses, 0.04, 50, 1.4);
learned!(a_slow_engine_after_50_responses, 0.2, 50, 1.4);
learned!(a_slow_engine_after_200_responses, 0.2, 200, 1.3);
learned!(a_slow_engine_after_1000_responses, 0.2, 1_000, 1.3);

#[test]
fn the_base_time_is_separated_from_the_time_per_token() {
    let mut speeds = PrefillSpeeds::default();
    observe(&mut speeds, &mut Engine::new(0.01, 1), 500);
    let time = speeds.time(&service(), &model("m"), 1.0);
    assert!((35.0..75.0).contains(&time.base_ms), "{time:?}");
    assert!((0.007..0.014).contains(&time.ms_per_token), "{time:?}");
}

#[test]
fn a_change_of_speed_is_followed() {
    let mut speeds = PrefillSpeeds::default();
    observe(&mut speeds, &mut Engine::new(0.02, 1), 500);
    observe(&mut speeds, &mut Engine::new(0.06, 2), 30);
    let slower = speeds.time(&service(), &model("m"), 1.0).ms_per_token;
    assert!((0.04..0.08).contains(&slower), "three times slower for 30 responses: {slower}");
    observe(&mut speeds, &mut Engine::new(0.02, 3), 30);
    let faster = speeds.time(&service(), &model("m"), 1.0).ms_per_token;
    assert!((0.015..0.035).contains(&faster), "as fast as before for 30 responses: {faster}");
}

#[test]
fn a_model_without_responses_starts_from_the_others() {
    let mut speeds = PrefillSpeeds::default();
    let before = speeds.time(&service(), &model("other"), 0.5).ms_per_token;
    let mut engine = Engine::new(0.12, 1);
    for _ in 0..300 {
        speeds.observe(&service(), &model("m"), 1.0, engine.first_chunk());
    }
    let after = speeds.time(&service(), &model("other"), 0.5).ms_per_token;
    assert!((2.0..4.5).contains(&(after / before)), "{before} -> {after}");
}

/// Checks that an impossible observation leaves the estimate within its bounds.
macro_rules! ignored {
    ($name:ident, $first_chunk:expr) => {
        #[test]
        fn $name() {
            let mut speeds = PrefillSpeeds::default();
            for _ in 0..1_000 {
                speeds.observe(&service(), &model("m"), 1.0, $first_chunk);
            }
            let kept = speeds.time(&service(), &model("m"), 1.0).ms_per_token;
            assert!(kept.is_finite() && (1e-5..=10.0).contains(&kept), "{kept}");
        }
    };
}

ignored!(not_a_number, FirstChunk { unread_tokens: 5_000, other_ms: 0.0, took_ms: f64::NAN });
ignored!(
    an_infinite_time,
    FirstChunk { unread_tokens: 5_000, other_ms: 0.0, took_ms: f64::INFINITY }
);
ignored!(a_negative_time, FirstChunk { unread_tokens: 5_000, other_ms: 0.0, took_ms: -1e9 });
ignored!(a_week, FirstChunk { unread_tokens: 5_000, other_ms: 0.0, took_ms: 6e8 });
ignored!(
    the_largest_token_count,
    FirstChunk { unread_tokens: u64::MAX, other_ms: 0.0, took_ms: 1.0 }
);

#[test]
fn the_prefill_time_is_bounded() {
    let time = PrefillSpeeds::default().time(&service(), &model("m"), 1.0);
    assert_eq!(time.of_tokens_ms(u64::MAX), 600_000.0);
}

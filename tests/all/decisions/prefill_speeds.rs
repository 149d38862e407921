//! How long engines take to read prompts, learnt from answers, against a known truth.

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

/// What each first part takes beside reading.
const BASE_MS: f64 = 50.0;

/// Answers of an engine with a given speed: times scatter, one in ten waits for something
/// that was not known.
struct Engine {
    ms_per_token: f64,
    rng: StdRng,
}

impl Engine {
    fn new(ms_per_token: f64, seed: u64) -> Self {
        Self { ms_per_token, rng: StdRng::seed_from_u64(seed) }
    }

    fn first_part(&mut self) -> FirstChunk {
        let is_short = self.rng.random_bool(0.5);
        let longest = if is_short { 1_500 } else { 20_000 };
        let unread_tokens = self.rng.random_range(0..longest);
        let other_ms = self.rng.random_range(0.0..100.0);
        let prefill_ms = unread_tokens as f64 * self.ms_per_token;
        let scatter = self.rng.random_range(0.7..1.3);
        let unknown_ms = if self.rng.random_bool(0.1) { 2_000.0 } else { 0.0 };
        let own_ms = (BASE_MS + prefill_ms) * scatter;
        FirstChunk { unread_tokens, other_ms, took_ms: own_ms + other_ms + unknown_ms }
    }
}

fn observe(speeds: &mut PrefillSpeeds, engine: &mut Engine, answers: usize) {
    for _ in 0..answers {
        speeds.observe(&service(), &model("m"), 1.0, engine.first_part());
    }
}

/// After so many answers of an engine that takes so long for a token, the estimate is off by
/// this factor at most, for each of twenty seeds.
macro_rules! learnt {
    ($name:ident, $ms_per_token:expr, $answers:expr, $max_off:expr) => {
        #[test]
        fn $name() {
            for seed in 0..20 {
                let mut speeds = PrefillSpeeds::default();
                let mut engine = Engine::new($ms_per_token, seed);
                observe(&mut speeds, &mut engine, $answers);
                let off = speeds.time(&service(), &model("m"), 1.0).ms_per_token / $ms_per_token;
                assert!(off < $max_off && off > 1.0 / $max_off, "seed {seed}: off by {off}");
            }
        }
    };
}

learnt!(a_fast_engine_after_50_answers, 0.01, 50, 1.5);
learnt!(a_fast_engine_after_200_answers, 0.01, 200, 1.5);
learnt!(a_usual_engine_after_50_answers, 0.04, 50, 1.4);
learnt!(a_slow_engine_after_50_answers, 0.2, 50, 1.4);
learnt!(a_slow_engine_after_200_answers, 0.2, 200, 1.3);
learnt!(a_slow_engine_after_1000_answers, 0.2, 1_000, 1.3);

#[test]
fn what_short_prompts_take_is_not_taken_for_reading() {
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
    assert!((0.04..0.08).contains(&slower), "three times slower for 30 answers: {slower}");
    observe(&mut speeds, &mut Engine::new(0.02, 3), 30);
    let faster = speeds.time(&service(), &model("m"), 1.0).ms_per_token;
    assert!((0.015..0.035).contains(&faster), "as fast as before for 30 answers: {faster}");
}

#[test]
fn a_model_that_has_not_answered_starts_from_the_others() {
    let mut speeds = PrefillSpeeds::default();
    let before = speeds.time(&service(), &model("other"), 0.5).ms_per_token;
    let mut engine = Engine::new(0.12, 1);
    for _ in 0..300 {
        speeds.observe(&service(), &model("m"), 1.0, engine.first_part());
    }
    let after = speeds.time(&service(), &model("other"), 0.5).ms_per_token;
    assert!((2.0..4.5).contains(&(after / before)), "{before} -> {after}");
}

/// What cannot be true changes nothing that matters.
macro_rules! ignored {
    ($name:ident, $first_part:expr) => {
        #[test]
        fn $name() {
            let mut speeds = PrefillSpeeds::default();
            for _ in 0..1_000 {
                speeds.observe(&service(), &model("m"), 1.0, $first_part);
            }
            let kept = speeds.time(&service(), &model("m"), 1.0).ms_per_token;
            assert!(kept.is_finite() && (1e-5..=10.0).contains(&kept), "{kept}");
        }
    };
}

ignored!(no_number, FirstChunk { unread_tokens: 5_000, other_ms: 0.0, took_ms: f64::NAN });
ignored!(
    an_infinite_time,
    FirstChunk { unread_tokens: 5_000, other_ms: 0.0, took_ms: f64::INFINITY }
);
ignored!(a_negative_time, FirstChunk { unread_tokens: 5_000, other_ms: 0.0, took_ms: -1e9 });
ignored!(a_week, FirstChunk { unread_tokens: 5_000, other_ms: 0.0, took_ms: 6e8 });
ignored!(all_tokens_there_are, FirstChunk { unread_tokens: u64::MAX, other_ms: 0.0, took_ms: 1.0 });

#[test]
fn a_prompt_of_absurd_length_takes_a_bounded_time() {
    let time = PrefillSpeeds::default().time(&service(), &model("m"), 1.0);
    assert_eq!(time.of_tokens_ms(u64::MAX), 600_000.0);
}

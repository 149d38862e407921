//! Whether an answer of a cheap model is kept, by the model's own opinion of it.

/// Up to this pressure the engines have time for every better answer.
const CALM_PRESSURE: f64 = 0.25;

/// From these pressures on no better model is asked: one for each priority, the most
/// urgent first. Less urgent requests give way earlier.
const FULL_PRESSURES: [f64; 3] = [0.9, 0.75, 0.55];

/// When an answer is not kept.
#[derive(Debug, Clone)]
pub struct StepUpConfig {
    /// Below this opinion, from 0 to 100, a better model is asked: one for each priority,
    /// the most urgent first; the last holds for all that follow.
    pub below_confidence: Vec<u8>,
}

impl Default for StepUpConfig {
    /// The best of the thresholds tried on the users' bench; see docs/design/platform.md.
    fn default() -> Self {
        Self { below_confidence: vec![50] }
    }
}

impl StepUpConfig {
    /// Whether a better model is asked. A model that gives no opinion is believed. The
    /// harder pressed the engines are, the worse an answer must be.
    pub fn is_step_up(&self, priority: u8, confidence: Option<u8>, pressure: f64) -> bool {
        let threshold = f64::from(by_priority(&self.below_confidence, priority).unwrap_or(0));
        let full = by_priority(&FULL_PRESSURES, priority).unwrap_or(CALM_PRESSURE);
        let room = ((full - pressure) / (full - CALM_PRESSURE)).clamp(0.0, 1.0);
        confidence.is_some_and(|confidence| f64::from(confidence) < threshold * room)
    }
}

/// The value of a priority; the last value holds for all that follow.
fn by_priority<T: Copy>(values: &[T], priority: u8) -> Option<T> {
    values.get(usize::from(priority)).or(values.last()).copied()
}

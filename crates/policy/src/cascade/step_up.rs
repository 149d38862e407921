//! Whether an answer of a cheap model is kept, by the model's own opinion of it.

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
    /// Whether a better model is asked. A model that gives no opinion is believed.
    pub fn is_step_up(&self, priority: u8, confidence: Option<u8>) -> bool {
        let at = usize::from(priority).min(self.below_confidence.len().saturating_sub(1));
        let threshold = self.below_confidence.get(at).copied().unwrap_or(0);
        confidence.is_some_and(|confidence| confidence < threshold)
    }
}

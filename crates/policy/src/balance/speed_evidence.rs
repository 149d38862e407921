//! Evidence of an upstream's speed, in a form that adds up over gateways.

/// Bound on the ratio of one observation: a response that took longer waited for something else.
const MAX_SLOWDOWN: f64 = 4.0;

/// Bound on the weight that one sum can claim.
const MAX_WEIGHT: u32 = 100_000;

/// Observations that count as made at normal speed beside the real ones, so that a few responses change
/// little.
const PRIOR_WEIGHT: f64 = 4.0;

/// Sum over recent observations of an upstream's speed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SpeedEvidence {
    /// Number of observations.
    pub weight: u32,
    /// Sum of the logarithms of observed over expected duration, in thousandths.
    pub log_milli: i32,
}

impl SpeedEvidence {
    /// Whether there is none.
    pub fn is_empty(self) -> bool {
        self.weight == 0
    }

    /// Sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            weight: self.weight.saturating_add(other.weight),
            log_milli: self.log_milli.saturating_add(other.log_milli),
        }
    }

    /// Difference of both.
    #[must_use]
    pub(super) fn minus(self, other: Self) -> Self {
        Self {
            weight: self.weight.saturating_sub(other.weight),
            log_milli: self.log_milli.saturating_sub(other.log_milli),
        }
    }

    /// The sum within what so many observations can be.
    #[must_use]
    pub fn bounded(self) -> Self {
        let weight = self.weight.min(MAX_WEIGHT);
        let most = (f64::from(weight) * MAX_SLOWDOWN.ln() * 1e3) as i32;
        Self { weight, log_milli: self.log_milli.clamp(-most, most) }
    }

    /// Duration of work at this upstream relative to one of normal speed.
    pub fn slowdown(self) -> f64 {
        let log = f64::from(self.log_milli) / 1e3 / (f64::from(self.weight) + PRIOR_WEIGHT);
        log.exp().clamp(1.0 / MAX_SLOWDOWN, MAX_SLOWDOWN)
    }
}

/// Bounded logarithm of one observation; none if the ratio is no positive number.
pub(super) fn bounded_log(slowdown: f64) -> Option<f64> {
    let is_valid = slowdown.is_finite() && slowdown > 0.0;
    is_valid.then(|| slowdown.clamp(1.0 / MAX_SLOWDOWN, MAX_SLOWDOWN).ln())
}

//! What the guard aims for.

/// What the guard aims for.
#[derive(Debug, Clone)]
pub struct GuardConfig {
    /// How unlikely of a healthy version the evidence must be for a hold. The chance that
    /// one is ever held is higher, since it may be tested anew for ever; it is measured.
    pub alpha: f64,
    /// How much worse than its siblings a version may be.
    pub margin: f64,
    /// The failure rate assumed of siblings of which nothing is known.
    pub prior_rate: f64,
    /// How many answers the assumption counts as.
    pub prior_answers: f64,
    /// A version with fewer answers is new if a sibling has many.
    pub new_below_answers: u64,
    /// How many answers make a version established.
    pub established_answers: u64,
    /// The share of a new version's model's work that it begins with, in percent.
    pub first_share_percent: f64,
    /// After so many answers without a hold, a new version's share doubles.
    pub double_after_answers: u64,
}

impl Default for GuardConfig {
    fn default() -> Self {
        Self {
            alpha: 0.000_1,
            margin: 0.02,
            prior_rate: 0.02,
            prior_answers: 50.0,
            new_below_answers: 1_400,
            established_answers: 1_000,
            first_share_percent: 1.0,
            double_after_answers: 200,
        }
    }
}

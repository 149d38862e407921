//! Settings of the guard.

/// Settings of the guard.
#[derive(Debug, Clone)]
pub struct GuardConfig {
    /// The significance level of the test. The probability that a healthy version is ever held
    /// is higher, since the test runs for an unlimited time and its value has a lower bound.
    pub alpha: f64,
    /// The tolerated increase of the failure rate over the siblings' rate.
    pub margin: f64,
    /// The prior failure rate of siblings.
    pub prior_rate: f64,
    /// The weight of the prior, in responses.
    pub prior_answers: f64,
    /// The number of responses below which a version is new, if it has an established sibling.
    pub new_below_answers: u64,
    /// The number of responses from which on a version is established.
    pub established_answers: u64,
    /// The initial share of a new version in the new requests of its model, in percent.
    pub first_share_percent: f64,
    /// The number of responses without a hold after which the share of a new version doubles.
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

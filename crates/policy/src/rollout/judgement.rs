//! What the evidence says about a new version.

/// The harm from which on a version is not completed: the fraction of a whole outage of the service that is
/// to be expected. A bad version serves everybody once it is completed, while one that is not completed in
/// time has to be ordered again.
const MAX_HARM: f64 = 0.1;

/// The harm from which on all requests do not begin to move. It is above that of completion, as the
/// responses under full load are evidence too.
const MAX_HARM_OF_MOVE: f64 = 0.5;

/// The strengths of a test, as decimal logarithms, from which on a version is not completed and all requests
/// do not begin to move. A test may speak against a version that is too little worse to do the harm.
const MAX_STRENGTH: f64 = 1.0;
const MAX_STRENGTH_OF_MOVE: f64 = 2.0;

/// What the evidence says about a new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// It is worse than the old one.
    Worse,
    /// It may well be worse: there are too few responses, or they speak against it.
    Unproven,
    /// It is probably as good, but not certainly enough to be completed.
    Probable,
    /// It is as good as the old one.
    Proven,
}

impl Judgement {
    /// The judgement of a version that is not found worse, by the harm that is to be expected of it and the
    /// strength of the test that speaks most against it.
    pub(super) fn of(harm: f64, strength: f64) -> Self {
        if harm <= MAX_HARM && strength <= MAX_STRENGTH {
            Self::Proven
        } else if harm <= MAX_HARM_OF_MOVE && strength <= MAX_STRENGTH_OF_MOVE {
            Self::Probable
        } else {
            Self::Unproven
        }
    }
}

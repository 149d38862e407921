//! What may be done with a request.

use stallhoist_core::ModelName;

/// What may be done with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Plan {
    /// This model answers.
    Direct(ModelName),
    /// The first answers; if the rater finds its answer poor, the second does.
    Cascade(ModelName, ModelName),
}

impl Plan {
    /// The model that is asked first.
    pub fn first(&self) -> &ModelName {
        match self {
            Self::Direct(model) | Self::Cascade(model, _) => model,
        }
    }
}

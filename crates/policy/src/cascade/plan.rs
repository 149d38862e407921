//! Which models answer a request.

use stallhoist_core::ModelName;

/// Which models answer a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Plan {
    /// A single model.
    Direct(ModelName),
    /// The first model; if the rater finds its response poor, the second.
    Cascade(ModelName, ModelName),
}

impl Plan {
    /// The model that is called first.
    pub fn first(&self) -> &ModelName {
        match self {
            Self::Direct(model) | Self::Cascade(model, _) => model,
        }
    }
}

//! Which of a route's models is asked first, and which next.

use stallhoist_core::ModelName;

use crate::dialect::RequestedModel;
use crate::routing::Route;

/// Which of a route's models is asked.
#[derive(Debug, Clone)]
pub(crate) struct ModelChoice {
    /// The models to choose from, the smallest first; empty when the caller chose.
    models: Vec<ModelName>,
    at: usize,
}

impl ModelChoice {
    /// Begins with the smallest model.
    pub(crate) fn new(route: &Route, wish: &RequestedModel) -> Self {
        let models = match wish {
            RequestedModel::Any => route.models.clone(),
            RequestedModel::None | RequestedModel::Named(_) => Vec::new(),
        };
        Self { models, at: 0 }
    }

    /// The model that the system chose; none when the caller did.
    pub(crate) fn chosen(&self) -> Option<&ModelName> {
        self.models.get(self.at)
    }

    /// The best model, if the system chooses.
    pub(crate) fn best(&self) -> Option<&ModelName> {
        self.models.last()
    }

    /// Whether there is a better model than the chosen one.
    pub(crate) fn has_better(&self) -> bool {
        self.at + 1 < self.models.len()
    }

    /// Chooses the smallest model: it takes the least time.
    pub(crate) fn choose_smallest(&mut self) {
        self.at = 0;
    }

    /// Chooses the best model: the answer of a middle one costs more than it gains.
    pub(crate) fn choose_best(&mut self) {
        self.at = self.models.len().saturating_sub(1);
    }
}

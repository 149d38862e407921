//! Selects the model of each attempt among a route's models.

use stallhoist_core::ModelName;

use crate::dialect::RequestedModel;
use crate::routing::Route;

/// The selected model, and the models to select from.
#[derive(Debug, Clone)]
pub(crate) struct ModelChoice {
    /// The route's models, the smallest first; empty where the caller named one.
    models: Vec<ModelName>,
    selected: usize,
}

impl ModelChoice {
    /// Selects the smallest model first.
    pub(crate) fn new(route: &Route, wish: &RequestedModel) -> Self {
        let models = match wish {
            RequestedModel::Any => route.models.clone(),
            RequestedModel::None | RequestedModel::Named(_) => Vec::new(),
        };
        Self { models, selected: 0 }
    }

    /// The selected model; none where the caller named one.
    pub(crate) fn chosen(&self) -> Option<&ModelName> {
        self.models.get(self.selected)
    }

    /// The best model; none where the caller named one.
    pub(crate) fn best(&self) -> Option<&ModelName> {
        self.models.last()
    }

    /// Whether there is a better model than the selected one.
    pub(crate) fn has_better(&self) -> bool {
        self.selected + 1 < self.models.len()
    }

    /// Selects the smallest model, which is the fastest.
    pub(crate) fn choose_smallest(&mut self) {
        self.selected = 0;
    }

    /// Selects the best model: a response of a middle one costs more than it gains.
    pub(crate) fn choose_best(&mut self) {
        self.selected = self.models.len().saturating_sub(1);
    }
}

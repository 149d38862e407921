//! A service and a workspace, as the routing configuration names them.

use std::collections::HashMap;

use stallhoist_core::ModelName;
use stallhoist_core::ServiceName;
use stallhoist_core::WorkspaceName;
use stallhoist_policy::cold::ColdService;

use super::AllowedRegions;

/// A service that routes lead to.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The most connections that one of its upstreams accepts from all callers.
    pub max_connections: u32,
    /// What its upstreams bear while they are cold.
    pub cold: ColdService,
    /// What each of its models costs, for 1,000 generated tokens.
    pub model_costs: HashMap<ModelName, f64>,
}

impl Service {
    /// The time a model takes as a part of the dearest one's, taken from what it costs:
    /// the configuration says nothing of their speed. It is a start: answers show what it is.
    pub fn relative_prefill_time(&self, model: &ModelName) -> f64 {
        let dearest = self.model_costs.values().copied().fold(0.0, f64::max);
        match self.model_costs.get(model) {
            Some(cost) if dearest > 0.0 => cost / dearest,
            _ => 1.0,
        }
    }
}

/// Who a key belongs to.
#[derive(Debug, Clone)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Its urgency, which goes before the route's.
    pub priority: Option<u8>,
    /// Where its requests may go; none where they may go anywhere.
    pub allowed_regions: Option<AllowedRegions>,
}

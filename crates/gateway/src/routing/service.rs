//! Services and workspaces of the routing configuration.

use std::collections::HashMap;

use stallhoist_core::ModelName;
use stallhoist_core::ServiceName;
use stallhoist_core::WorkspaceName;
use stallhoist_policy::cold::ColdService;

use super::AllowedRegions;

/// A service to which routes send requests.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Highest number of connections that one of its upstreams accepts from all clients together.
    pub max_connections: u32,
    /// Capacity of its upstreams while they warm up.
    pub cold: ColdService,
    /// Cost of each of its models per 1,000 generated tokens.
    pub model_costs: HashMap<ModelName, f64>,
}

impl Service {
    /// An initial estimate of a model's time per token, relative to the most expensive model. It is derived from
    /// the costs, as the configuration has no speeds; responses then show the actual speed. 1 for a model
    /// without a cost.
    pub fn relative_prefill_time(&self, model: &ModelName) -> f64 {
        let highest_cost = self.model_costs.values().copied().fold(0.0, f64::max);
        match self.model_costs.get(model) {
            Some(cost) if highest_cost > 0.0 => cost / highest_cost,
            _ => 1.0,
        }
    }
}

/// The owner of a key.
#[derive(Debug, Clone)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// The priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
    /// The regions to which its requests may go; none if they may go anywhere.
    pub allowed_regions: Option<AllowedRegions>,
}

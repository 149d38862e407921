//! A baseline latency, as gateways exchange it.

use std::fmt;

use stallhoist_core::ServiceName;
use stallhoist_core::StoreVersion;
use stallhoist_policy::rollout::BaselineLatency;
use stallhoist_policy::rollout::RequestKind;

/// A baseline latency of the active version during a rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct BaselineUpdate {
    /// The service.
    pub service: ServiceName,
    /// The row version of the order: baselines of another rollout are of another version.
    pub order_version: StoreVersion,
    /// The requests that the baseline applies to.
    pub kind: RequestKind,
    /// The baseline and its load.
    pub known: BaselineLatency,
}

impl fmt::Display for BaselineUpdate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RequestKind { route, model, part } = &self.kind;
        write!(f, "{} {part:?}", self.service)?;
        if let Some(route) = route {
            write!(f, " route={route}")?;
        }
        if let Some(model) = model {
            write!(f, " model={model}")?;
        }
        write!(f, " load={:.1} usual_ms={:.1}", self.known.load, self.known.usual_ms)
    }
}

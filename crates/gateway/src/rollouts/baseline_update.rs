//! A usual time, as entries tell each other.

use std::fmt;

use stallhoist_core::ServiceName;
use stallhoist_core::StoreVersion;
use stallhoist_policy::rollout::BaselineLatency;
use stallhoist_policy::rollout::RequestKind;

/// A usual time of the version that is in force while a roll-out runs.
#[derive(Debug, Clone, PartialEq)]
pub struct BaselineUpdate {
    /// The service.
    pub service: ServiceName,
    /// The version of the order's row: times of another roll-out are of another version.
    pub order_version: StoreVersion,
    /// The requests that it is the usual time of.
    pub kind: RequestKind,
    /// The time, and the load.
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

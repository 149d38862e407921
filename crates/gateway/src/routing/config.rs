//! The complete routing configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use stallhoist_core::ConfigVersion;
use stallhoist_core::KeyDigest;
use stallhoist_core::ServiceName;

use super::CallerBounds;
use super::Route;
use super::Service;
use super::Workspace;

/// The complete routing configuration. Immutable: a new version replaces the old one.
#[derive(Debug, Clone, Default)]
pub struct RoutingConfig {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services that routes lead to.
    pub services: HashMap<ServiceName, Arc<Service>>,
    /// Limits on requests and connections of callers.
    pub bounds: CallerBounds,
    /// The workspaces by the digests of their keys; none if requests need no key.
    pub workspaces: Option<HashMap<KeyDigest, Arc<Workspace>>>,
}

impl RoutingConfig {
    /// The strictest target latency of the streams of a service; none if none of its routes has one.
    pub fn strictest_target(&self, service: &ServiceName) -> Option<Duration> {
        let leads_there = |route: &&Arc<Route>| {
            route.is_stream && route.destinations.iter().any(|d| d.service == *service)
        };
        let targets = self.routes.iter().filter(leads_there).map(|route| route.target_latency);
        targets.filter(|target| !target.is_zero()).min()
    }

    /// The route of a request: of the routes for its host, the one with the longest matching path prefix. Host
    /// names are compared without regard to case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let matches = |route: &&Arc<Route>| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix)
        };
        self.routes.iter().filter(matches).max_by_key(|route| route.path_prefix.len())
    }
}

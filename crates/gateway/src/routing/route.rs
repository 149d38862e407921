//! A route: which requests it matches, where they go and how they are handled.

use std::time::Duration;

use stallhoist_core::ModelName;
use stallhoist_core::RouteName;
use stallhoist_core::ServiceName;

use super::AllowedRegions;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may run again, for instance after a lost response.
    Allowed,
    /// It runs at most once.
    Never,
}

/// A service to which a route sends requests, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the weights of the other destinations.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The host name that requests carry.
    pub host: String,
    /// Prefix of the path of requests.
    pub path_prefix: String,
    /// The services to which requests go.
    pub destinations: Vec<Destination>,
    /// Whether requests may run more than once.
    pub repeat: Repeat,
    /// Whether responses are event streams.
    pub is_stream: bool,
    /// Whether another upstream may continue a broken stream.
    pub is_resumable: bool,
    /// Whether requests need no key.
    pub is_keyless: bool,
    /// Highest number of upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// Longest time that a request may be held.
    pub timeout: Duration,
    /// Target for the time to the first chunk of a response, within which the response has its full value.
    pub target_latency: Duration,
    /// Longest gap between the chunks of a stream that still counts as on time.
    pub target_pause: Option<Duration>,
    /// Priority of requests; 0 is the highest.
    pub priority: u8,
    /// The regions to which requests may go; none if they may go anywhere.
    pub allowed_regions: Option<AllowedRegions>,
    /// The models from which the system may choose, the smallest first; empty if the caller's choice
    /// applies.
    pub models: Vec<ModelName>,
}

impl Route {
    /// Whether a request that may have run may be sent to another upstream.
    pub fn is_repeatable(&self) -> bool {
        self.repeat == Repeat::Allowed
    }

    /// The destination of a request, chosen by weight. `unit` is a number from 0 to 1 that is constant for
    /// the request, so that each attempt has the same destination.
    pub fn destination(&self, unit: f64) -> Option<&ServiceName> {
        let total: u32 = self.destinations.iter().map(|d| d.weight).sum();
        let mut remaining = unit * f64::from(total);
        for destination in &self.destinations {
            remaining -= f64::from(destination.weight);
            if remaining < 0.0 {
                return Some(&destination.service);
            }
        }
        self.destinations.last().map(|destination| &destination.service)
    }
}

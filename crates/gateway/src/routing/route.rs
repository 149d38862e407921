//! One route.

use std::time::Duration;

use stallhoist_core::ModelName;
use stallhoist_core::RouteName;
use stallhoist_core::ServiceName;

use super::AllowedRegions;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may.
    Allowed,
    /// It runs at most once.
    Never,
}

/// A service that a route leads to, with its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the other destinations'.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The host that requests name.
    pub host: String,
    /// What their path begins with.
    pub path_prefix: String,
    /// Where they go.
    pub destinations: Vec<Destination>,
    /// Whether they may run more than once.
    pub repeat: Repeat,
    /// Whether answers are event streams.
    pub is_stream: bool,
    /// Whether a broken stream may be continued by another upstream.
    pub is_resumable: bool,
    /// Whether requests need no key.
    pub is_keyless: bool,
    /// The most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// The longest that a request may be held.
    pub timeout: Duration,
    /// The time within which the first part of an answer is worth most.
    pub target_latency: Duration,
    /// The longest pause within a stream that still counts as in time.
    pub target_pause: Option<Duration>,
    /// How urgent requests are; 0 is the most urgent.
    pub priority: u8,
    /// Where its requests may go; none where they may go anywhere.
    pub allowed_regions: Option<AllowedRegions>,
    /// The models that the system may choose from, the smallest first; none when the
    /// caller's choice stands.
    pub models: Vec<ModelName>,
}

impl Route {
    /// Whether a request may be sent to another upstream though it may have run.
    pub fn is_repeatable(&self) -> bool {
        self.repeat == Repeat::Allowed
    }

    /// The destination of a request, by a number from 0 to 1 that stays with the request.
    pub fn destination(&self, unit: f64) -> Option<&ServiceName> {
        let total: u32 = self.destinations.iter().map(|d| d.weight).sum();
        let mut left = unit * f64::from(total);
        for destination in &self.destinations {
            left -= f64::from(destination.weight);
            if left < 0.0 {
                return Some(&destination.service);
            }
        }
        self.destinations.last().map(|destination| &destination.service)
    }
}

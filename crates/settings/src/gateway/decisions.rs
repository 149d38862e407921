//! Switches of the mechanisms that choose models and upstreams.

use serde::Deserialize;
use serde::Serialize;

use crate::Problems;
use crate::Validate;

/// Switches of the mechanisms that choose models and upstreams. Most are on by default; tests and measurements switch
/// single ones off to determine their effect.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DecisionSettings {
    /// Long prompts have one affinity upstream across all availability zones, not one in each.
    pub has_fleet_homes: bool,
    /// The prefill speed of engines is learned from their responses.
    pub learns_speeds: bool,
    /// A better model is used only if its response is expected in time.
    pub needs_better_in_time: bool,
    /// While engines lack time, a better model is used only if it delays others little.
    pub spares_busy_engines: bool,
    /// Gateways publish their requests in progress to each other.
    pub tells_work: bool,
    /// The connections that an upstream accepts are divided among the gateways by what each has in use. Otherwise
    /// each gateway uses up to half of them.
    pub divides_connections: bool,
    /// An attempt that waits is given up only if another one is expected to be faster.
    pub compares_waits: bool,
    /// The engine time of second attempts is bounded while there is no room.
    pub bounds_second_attempts: bool,
    /// Upstreams that respond faster than others of their service get more requests, and more shared prompt prefixes.
    pub places_by_speed: bool,
    /// The time from the first chunk to the end of a stream counts in the choice of an upstream.
    pub places_by_completion: bool,
    /// Requests wait at the gateway while no upstream has room, and are rejected if they cannot get a turn in time.
    pub waits_for_room: bool,
    /// Most requests that wait for one service.
    pub max_waiting_requests: usize,
    /// Most bytes of the bodies of requests that wait for one service.
    pub max_waiting_bytes: usize,
    /// Longest wait of a request; after it, the request is sent all the same.
    pub max_wait_ms: u64,
    /// Number of other requests that the prefill of a prompt is estimated to delay.
    pub held_up_by_reading: f64,
}

impl Default for DecisionSettings {
    fn default() -> Self {
        Self {
            has_fleet_homes: true,
            learns_speeds: true,
            needs_better_in_time: true,
            spares_busy_engines: true,
            tells_work: true,
            divides_connections: true,
            compares_waits: true,
            bounds_second_attempts: true,
            places_by_speed: false,
            places_by_completion: true,
            waits_for_room: false,
            max_waiting_requests: 512,
            max_waiting_bytes: 4 << 20,
            max_wait_ms: 10_000,
            held_up_by_reading: 8.0,
        }
    }
}

impl Validate for DecisionSettings {
    fn validate(&self, problems: &mut Problems) {
        problems.check_range("max_waiting_requests", self.max_waiting_requests, 0..=100_000);
        problems.check_range("max_waiting_bytes", self.max_waiting_bytes, 0..=1 << 30);
        problems.check_range("max_wait_ms", self.max_wait_ms, 0..=600_000);
        problems.check_range("held_up_by_reading", self.held_up_by_reading, 0.0..=100.0);
    }
}

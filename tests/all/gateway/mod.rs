//! The gateway on the users' platform: its contracts with callers, upstreams and the store, each
//! tested against stand-ins that speak the platform's protocol.

mod attempts;
mod callers;
mod callers_of_fleet;
mod cold_upstreams;
mod configuration;
mod daemon;
mod emptied_zones;
mod fatal_requests;
mod fleet;
mod going_away;
mod headers;
mod homes;
mod members;
mod named_limits;
mod peers;
mod rollout_loads;
mod rollouts;
mod slow_links;
mod starts;
mod stops;
mod store_returns;
mod streams;
mod suspension;
mod template;
mod upstreams_that_leave;
mod upstreams_that_rest;
pub(crate) mod world;

//! The gateway on the users' platform: its contracts with callers, upstreams and the store, each
//! tested against stand-ins that speak the platform's protocol.

mod admission;
mod allowed_regions;
mod attempts;
mod attempts_under_load;
mod callers;
mod callers_of_fleet;
mod cold_upstreams;
mod configuration;
mod connections;
mod daemon;
mod draining_upstreams;
mod duties;
mod emptied_zones;
mod fatal_parts;
mod fatal_requests;
mod fleet;
mod fleet_start;
mod going_away;
mod headers;
mod incarnations;
mod members;
mod named_limits;
mod peers;
mod relay_changes;
mod requested_backoffs;
mod retry_budgets;
mod rollout_loads;
mod rollouts;
mod slow_links;
mod stops;
mod store_returns;
mod streams;
mod suspension;
mod template;
mod uneven_upstreams;
pub(crate) mod world;

//! Tests of the gateway's decision logic, with time and random numbers as inputs.

mod balance;
mod caller_memory;
mod cold;
mod connections;
mod directory;
mod duty_lease;
mod duty_model;
mod engine_backlog;
mod engine_time_budget;
mod era_tracker;
mod event_frames;
mod fair_shares;
mod fatal;
mod fatal_parts;
mod first_chunk_delay;
mod fleet_clock;
mod generation_times;
mod give_up;
mod health;
mod lease;
mod limits;
mod list_properties;
mod named_limits;
mod overload_admission;
mod overload_types;
mod packing;
mod peer_work;
mod peers;
mod planned_stop;
mod prefill_speeds;
mod request_progress;
mod response_progress;
mod retry_budget;
mod rollout_eras;
mod rollout_evidence;
mod rollout_model;
mod rollout_plan;
mod rollout_rules;
mod rollout_small_services;
mod rollout_times;
mod routing;
mod sessions;
mod step_up;
mod store_return_model;
mod upstream_speeds;
mod usage_counts;

use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::StoreEra;
use stallhoist_core::StoreVersion;

/// A store version of the era after the store was restored from a copy.
fn later(number: u64) -> StoreVersion {
    StoreVersion { era: StoreEra(1), number }
}

/// A point in time, in milliseconds since the start of the clock.
fn at_ms(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms))
}

//! Plan of a fleet with little background work, so that it does not distort measurements.

use stallhoist_standins::engine::EngineSwitches;

use crate::harness::Plan;

/// One engine that responds immediately; polls, heartbeats and flushes are as infrequent as in production.
pub(crate) fn quiet() -> Plan {
    Plan {
        engines: vec!["m@v1"],
        services: 0,
        switches: EngineSwitches {
            step_base_us: 0,
            step_per_request_us: 0,
            ..EngineSwitches::default()
        },
        entry_settings: vec![
            ("timing", "heartbeat_ms", 1_000.into()),
            ("timing", "peer_timeout_ms", 60_000.into()),
            ("platform", "table_poll_ms", 10_000.into()),
            ("platform", "host_list_poll_ms", 10_000.into()),
            ("bill", "flush_ms", 20_000.into()),
        ],
        sidecar_settings: vec![
            ("timing", "heartbeat_ms", 1_000.into()),
            ("timing", "peer_timeout_ms", 60_000.into()),
            ("bill", "orphan_ms", 3_000_000.into()),
        ],
        ..Plan::default()
    }
}

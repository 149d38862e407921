//! Settings of the daemons under test, with shorter intervals than in production.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

pub(crate) const FLEET_KEY: &str = "fleet-key-of-the-tests";
pub(crate) const OPERATORS_KEY: &str = "operators-key-of-the-tests";
pub(crate) const WORKSPACE_KEY: &str = "workspace-key-of-the-tests";

/// The operators' key that every process under test accepts.
pub(crate) fn operators_key() -> &'static str {
    OPERATORS_KEY
}

fn host(id: &str, zone: &str) -> Value {
    json!({ "id": id, "zone": zone, "fleet_key": FLEET_KEY, "operators_key": OPERATORS_KEY })
}

fn platform(url: &str) -> Value {
    json!({ "url": url, "call_timeout_ms": 1000, "host_list_poll_ms": 50, "table_poll_ms": 200 })
}

fn timing() -> Value {
    json!({
        "heartbeat_ms": 100,
        "peer_timeout_ms": 600,
        "reconnect_max_ms": 100,
        "resume_window_ms": 2000,
        "stop_lag_ms": 100,
        "stop_grace_ms": 60000,
    })
}

/// Settings of an entry that listens on free ports of the loopback interface.
pub(crate) fn entry(id: &str, zone: &str, platform_url: &str) -> Value {
    json!({
        "host": host(id, zone),
        "callers_addr": "127.0.0.1:0",
        "operators_addr": "127.0.0.1:0",
        "platform": platform(platform_url),
        "session_keys": ["session-key-of-the-tests"],
        "timing": timing(),
        "bill": { "flush_ms": 50, "orphan_ms": 1000 },
    })
}

/// Settings of a sidecar that listens on free ports of the loopback interface.
pub(crate) fn sidecar(id: &str, zone: &str, platform_url: &str, upstream: &Value) -> Value {
    json!({
        "host": host(id, zone),
        "entries_addr": "127.0.0.1:0",
        "operators_addr": "127.0.0.1:0",
        "platform": platform(platform_url),
        "upstream": upstream,
        "timing": timing(),
        "bill": { "flush_ms": 50, "orphan_ms": 1000 },
    })
}

/// Settings of a gateway that listens on free ports of the loopback interface.
pub(crate) fn gateway(store: SocketAddr) -> Value {
    json!({
        "host": { "id": "entry-1", "zone": "zone-1" },
        "callers_addr": "127.0.0.1:0",
        "readiness_addr": "127.0.0.1:0",
        "readiness_path": "/ready",
        "operators_addr": "127.0.0.1:0",
        "peers_addr": "127.0.0.1:0",
        "store": { "addr": store.to_string() },
    })
}

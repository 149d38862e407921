//! The configuration that operators change during a run.

use serde_json::Value;
use serde_json::json;

use super::fragile;
use super::zones;
use crate::gateway::world::KEY;
use crate::gateway::world::add_routes;
use crate::gateway::world::config;

/// The increment from one configuration version to the next.
const VERSION_STEP: u64 = 3;

/// Routes that are added each time the configuration grows.
const ROUTES_PER_GROWTH: u64 = 300;

/// The newest configuration and the keys it allows besides [`KEY`].
#[derive(Debug, Default)]
pub(super) struct OperatorConfig {
    pub(super) version: u64,
    /// Keys that were valid once and no longer are.
    pub(super) withdrawn_keys: Vec<String>,
    /// All keys issued so far, the oldest first.
    keys: Vec<String>,
    /// Routes in addition to the default ones.
    extra_routes: u64,
}

impl OperatorConfig {
    /// Withdraws the oldest valid key, if any, and issues a new one.
    pub(super) fn replace_key(&mut self) {
        if let Some(oldest) = self.keys.get(self.withdrawn_keys.len()) {
            self.withdrawn_keys.push(oldest.clone());
        }
        self.keys.push(format!("key-{}", self.keys.len()));
    }

    /// Adds many routes.
    pub(super) fn grow(&mut self) {
        self.extra_routes += ROUTES_PER_GROWTH;
    }

    /// The configuration under a new version, with the currently valid keys.
    pub(super) fn next(&mut self) -> Value {
        self.version += VERSION_STEP;
        let mut config = config(self.version);
        fragile::add_to(&mut config);
        zones::add_to(&mut config);
        add_routes(&mut config, self.extra_routes);
        let valid = self.keys[self.withdrawn_keys.len()..].iter();
        let keys: Vec<_> = std::iter::once(KEY).chain(valid.map(String::as_str)).collect();
        config["tenants"][0]["api_keys"] = json!(keys);
        config
    }
}

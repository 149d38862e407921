//! The configuration that operators change during a run.

use serde_json::Value;
use serde_json::json;

use super::fragile;
use super::zones;
use crate::gateway::world::KEY;
use crate::gateway::world::add_routes;
use crate::gateway::world::config;

/// By how much each configuration's version is above the one before.
const VERSION_STEP: u64 = 3;

/// Routes that are added at once.
const ROUTES_AT_ONCE: u64 = 300;

/// The newest configuration and the keys it allows besides [`KEY`].
#[derive(Debug, Default)]
pub(super) struct OperatorConfig {
    pub(super) version: u64,
    /// Keys that were valid once and no longer are.
    pub(super) withdrawn_keys: Vec<String>,
    /// All keys that were ever given, the oldest first.
    keys: Vec<String>,
    /// Routes besides the usual ones.
    more_routes: u64,
}

impl OperatorConfig {
    /// Withdraws the oldest valid key, if any, and gives a new one.
    pub(super) fn replace_key(&mut self) {
        if let Some(oldest) = self.keys.get(self.withdrawn_keys.len()) {
            self.withdrawn_keys.push(oldest.clone());
        }
        self.keys.push(format!("key-{}", self.keys.len()));
    }

    /// Adds many routes.
    pub(super) fn grow(&mut self) {
        self.more_routes += ROUTES_AT_ONCE;
    }

    /// The configuration under a new version, with the keys that are valid now.
    pub(super) fn next(&mut self) -> Value {
        self.version += VERSION_STEP;
        let mut config = config(self.version);
        fragile::add_to(&mut config);
        zones::add_to(&mut config);
        add_routes(&mut config, self.more_routes);
        let valid = self.keys[self.withdrawn_keys.len()..].iter();
        let keys: Vec<_> = std::iter::once(KEY).chain(valid.map(String::as_str)).collect();
        config["tenants"][0]["api_keys"] = json!(keys);
        config
    }
}

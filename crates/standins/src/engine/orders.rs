//! Orders with a fencing token: load or unload a version, or change role.

use serde::Deserialize;
use serde::Serialize;

/// An order to the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) enum Order {
    /// Loads a version from the weight store.
    Load { version: String, fencing_token: u64 },
    /// Unloads a version.
    Unload { version: String, fencing_token: u64 },
    /// Sets the serving role.
    SetRole { role: String, fencing_token: u64 },
}

impl Order {
    pub(crate) fn fencing_token(&self) -> u64 {
        match self {
            Self::Load { fencing_token, .. }
            | Self::Unload { fencing_token, .. }
            | Self::SetRole { fencing_token, .. } => *fencing_token,
        }
    }
}

/// Result of the orders so far.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct OrderLog {
    pub(crate) highest_fencing_token: u64,
    pub(crate) loaded: Vec<String>,
    pub(crate) role: String,
    pub(crate) taken: u64,
    pub(crate) refused: u64,
}

impl OrderLog {
    /// Applies an order and returns whether it was accepted. With `checks_fencing`, an order whose token is lower
    /// than the highest accepted one is rejected.
    pub(crate) fn take(&mut self, order: &Order, checks_fencing: bool) -> bool {
        if checks_fencing && order.fencing_token() < self.highest_fencing_token {
            self.refused += 1;
            return false;
        }
        self.highest_fencing_token = self.highest_fencing_token.max(order.fencing_token());
        self.taken += 1;
        match order {
            Order::Load { version, .. } if !self.loaded.contains(version) => {
                self.loaded.push(version.clone());
            }
            Order::Load { .. } => {}
            Order::Unload { version, .. } => self.loaded.retain(|loaded| loaded != version),
            Order::SetRole { role, .. } => self.role.clone_from(role),
        }
        true
    }
}

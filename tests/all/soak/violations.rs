//! Collects the invariants that a run violated.

use std::sync::Arc;

use parking_lot::Mutex;

/// Descriptions of violated invariants, shared between tasks.
#[derive(Debug, Clone, Default)]
pub(super) struct Violations(Arc<Mutex<Vec<String>>>);

impl Violations {
    pub(super) fn add(&self, what: String) {
        self.0.lock().push(what);
    }

    pub(super) fn all(&self) -> Vec<String> {
        self.0.lock().clone()
    }
}

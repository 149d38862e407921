//! The limits that upstreams have named, as one entry knows them.

use std::collections::HashMap;

use stallhoist_core::RequestRate;
use stallhoist_core::StartId;

use super::named_limit::NamedLimit;

/// The limits that upstreams have named, as one entry knows them.
#[derive(Debug, Default)]
pub struct NamedLimits {
    by_start: HashMap<StartId, RequestRate>,
}

impl NamedLimits {
    /// An answer of an upstream came. Says whether another limit, or none, is known since.
    pub fn heard(&mut self, start: &StartId, named: NamedLimit) -> bool {
        match named {
            NamedLimit::Unreadable => false,
            NamedLimit::Unsaid => self.by_start.remove(start).is_some(),
            NamedLimit::Of(limit) => self.by_start.insert(start.clone(), limit) != Some(limit),
        }
    }

    /// The limit of an upstream, if it has named one.
    pub fn limit(&self, start: &StartId) -> Option<RequestRate> {
        self.by_start.get(start).copied()
    }

    /// How many upstreams have one.
    pub fn len(&self) -> usize {
        self.by_start.len()
    }

    /// Whether none has.
    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, mut is_known: impl FnMut(&StartId) -> bool) {
        self.by_start.retain(|start, _| is_known(start));
    }
}

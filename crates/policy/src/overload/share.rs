//! Whether a workspace is within its share of the engine time.

/// Whether a workspace is within its share of a service's engine time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum ShareStatus {
    /// There is room for all, or the workspace takes no more than its share.
    #[default]
    Within,
    /// The workspace takes more than its share while others lack engine time.
    Over {
        /// The engine time that it takes, relative to its share; more than 1.
        relative_use: f64,
    },
}

impl ShareStatus {
    /// Whether the workspace is within its share.
    pub fn is_within(self) -> bool {
        matches!(self, Self::Within)
    }
}

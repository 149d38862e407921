//! Which versions a request may go to.

use stallhoist_core::VersionName;

/// A condition on an upstream's version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionFilter {
    /// Whatever it is.
    Any,
    /// This one.
    Only(VersionName),
    /// Any but this one.
    Except(VersionName),
}

impl VersionFilter {
    /// Whether a version meets it.
    pub fn allows(&self, version: &VersionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == only,
            Self::Except(except) => version != except,
        }
    }
}

/// Which versions a request goes to, and which when there is none of these.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRule {
    /// Those it goes to.
    pub wanted: VersionFilter,
    /// Those it goes to when no upstream of the wanted ones can be used.
    pub otherwise: Option<VersionFilter>,
}

impl VersionRule {
    /// Any version.
    pub fn any() -> Self {
        Self { wanted: VersionFilter::Any, otherwise: None }
    }
}

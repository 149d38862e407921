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

    /// Any version but this one.
    pub fn except(version: &VersionName) -> Self {
        Self { wanted: VersionFilter::Except(version.clone()), otherwise: None }
    }

    /// Any version but this one, and this one if there is no other.
    pub fn first_except(version: &VersionName) -> Self {
        Self { otherwise: Some(VersionFilter::Any), ..Self::except(version) }
    }

    /// This version, and any if it cannot be used.
    pub fn first_only(version: &VersionName) -> Self {
        let wanted = VersionFilter::Only(version.clone());
        Self { wanted, otherwise: Some(VersionFilter::Any) }
    }

    /// This version, and the others if it cannot be used.
    pub fn only_or_except(version: &VersionName) -> Self {
        let others = VersionFilter::Except(version.clone());
        Self { otherwise: Some(others), ..Self::first_only(version) }
    }
}

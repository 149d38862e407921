//! Rules on the versions that a request may go to.

use stallhoist_core::VersionName;
use stallhoist_policy::rollout::control_share;

/// A condition on the version of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionFilter {
    /// Any version.
    Any,
    /// Only this version.
    Only(VersionName),
    /// Any version but this one.
    Except(VersionName),
}

impl VersionFilter {
    /// Whether the filter allows a version.
    pub fn allows(&self, version: &VersionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == only,
            Self::Except(except) => version != except,
        }
    }
}

/// One upstream of the old version serves as a control: like those of the new version, with which it is
/// compared, it gets few requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlRule {
    /// The new version.
    pub target: VersionName,
    /// The new version's share of the requests.
    pub canary_share: f64,
    /// The request's position among those that the new version does not get, from 0 on.
    pub place: f64,
}

impl ControlRule {
    /// Whether the request may go to the control, given the numbers of upstreams of both versions.
    pub fn is_for_control(&self, new_upstreams: usize, old_upstreams: usize) -> bool {
        let share = control_share(self.canary_share, new_upstreams, old_upstreams);
        (0.0..share).contains(&self.place)
    }
}

/// The versions that a request goes to, and the fallback if none of them is available.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionRule {
    /// The preferred versions.
    pub wanted: VersionFilter,
    /// The versions to use if no upstream of the preferred ones is available.
    pub fallback: Option<VersionFilter>,
    /// The rule for the control among the upstreams of the preferred versions, if there is one.
    pub control: Option<ControlRule>,
}

impl VersionRule {
    /// Any version.
    pub fn any() -> Self {
        Self { wanted: VersionFilter::Any, fallback: None, control: None }
    }

    /// Any version but this one.
    pub fn except(version: &VersionName) -> Self {
        let wanted = VersionFilter::Except(version.clone());
        Self { wanted, fallback: None, control: None }
    }

    /// Any version but this one; this one if there is no other.
    pub fn prefer_except(version: &VersionName) -> Self {
        Self { fallback: Some(VersionFilter::Any), ..Self::except(version) }
    }

    /// This version; any if it is not available.
    pub fn prefer_only(version: &VersionName) -> Self {
        let wanted = VersionFilter::Only(version.clone());
        Self { wanted, fallback: Some(VersionFilter::Any), control: None }
    }

    /// This version; the others if it is not available.
    pub fn prefer_then_except(version: &VersionName) -> Self {
        let others = VersionFilter::Except(version.clone());
        Self { fallback: Some(others), ..Self::prefer_only(version) }
    }
}

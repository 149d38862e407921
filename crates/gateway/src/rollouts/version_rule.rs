//! Which versions a request may go to.

use stallhoist_core::VersionName;
use stallhoist_policy::rollout::control_share;

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

/// One upstream of the old version rests, as a control: it gets few requests, as those of the new
/// version do, with which it is compared.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlRule {
    /// The new version.
    pub target: VersionName,
    /// The new version's share of the requests.
    pub canary_share: f64,
    /// The request's place among those that the new version does not get, from 0 on.
    pub place: f64,
}

impl ControlRule {
    /// Whether the request may go to the control, with so many upstreams of both versions.
    pub fn is_for_control(&self, new_upstreams: usize, old_upstreams: usize) -> bool {
        let share = control_share(self.canary_share, new_upstreams, old_upstreams);
        (0.0..share).contains(&self.place)
    }
}

/// Which versions a request goes to, and which when there is none of these.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionRule {
    /// Those it goes to.
    pub wanted: VersionFilter,
    /// Those it goes to when no upstream of the wanted ones can be used.
    pub fallback: Option<VersionFilter>,
    /// Whether one upstream of the wanted ones rests.
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

    /// Any version but this one, and this one if there is no other.
    pub fn first_except(version: &VersionName) -> Self {
        Self { fallback: Some(VersionFilter::Any), ..Self::except(version) }
    }

    /// This version, and any if it cannot be used.
    pub fn first_only(version: &VersionName) -> Self {
        let wanted = VersionFilter::Only(version.clone());
        Self { wanted, fallback: Some(VersionFilter::Any), control: None }
    }

    /// This version, and the others if it cannot be used.
    pub fn only_or_except(version: &VersionName) -> Self {
        let others = VersionFilter::Except(version.clone());
        Self { fallback: Some(others), ..Self::first_only(version) }
    }
}

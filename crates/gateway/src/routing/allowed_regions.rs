//! Where the data of a route or a workspace may go.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use stallhoist_core::RegionName;
use stallhoist_core::ZoneName;

/// The regions that the data of a route or a workspace may go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllowedRegions(BTreeSet<RegionName>);

impl AllowedRegions {
    /// These regions; none when there are none, which bounds nothing.
    pub fn of(regions: impl IntoIterator<Item = RegionName>) -> Option<Self> {
        let regions: BTreeSet<_> = regions.into_iter().collect();
        (!regions.is_empty()).then_some(Self(regions))
    }

    /// Whether data may go to a region. To one that is not known it may not.
    pub fn allow(&self, region: Option<&RegionName>) -> bool {
        region.is_some_and(|region| self.0.contains(region))
    }
}

/// Which region each availability zone lies in.
pub type RegionsOfZones = BTreeMap<ZoneName, RegionName>;

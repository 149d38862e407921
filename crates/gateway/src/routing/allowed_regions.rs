//! The regions to which the data of a route or a workspace may go.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use stallhoist_core::RegionName;
use stallhoist_core::ZoneName;

/// The regions to which the data of a route or a workspace may go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllowedRegions(BTreeSet<RegionName>);

impl AllowedRegions {
    /// Allows these regions; none if the list is empty, which means no restriction.
    pub fn of(regions: impl IntoIterator<Item = RegionName>) -> Option<Self> {
        let regions: BTreeSet<_> = regions.into_iter().collect();
        (!regions.is_empty()).then_some(Self(regions))
    }

    /// Whether data may go to a region. An unknown region is not allowed.
    pub fn allow(&self, region: Option<&RegionName>) -> bool {
        region.is_some_and(|region| self.0.contains(region))
    }
}

/// The region of each availability zone.
pub type RegionsOfZones = BTreeMap<ZoneName, RegionName>;

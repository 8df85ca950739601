//! Distribution of a partition's replicas over failure domains: machines, zones or regions.

use opalrun_wire::feed::StoreNode;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::BTreeMap;

/// The failure domains above single machines, with the maximum number of replicas in one of them.
///
/// With `n = 2 x lost + 1` replicas a partition survives the loss of `lost` of them. Where zones may fail, all zones
/// that fail together must therefore contain at most `lost` replicas; the same holds for regions.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct Spread {
    /// Region of each zone if the failure domains are regions; empty if they are zones.
    regions: Vec<ZoneRegion>,
    /// Maximum number of replicas in one zone or region; `None` if only single machines may fail.
    max_in_one_domain: Option<u16>,
}

/// The region that contains a zone.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
struct ZoneRegion {
    zone: String,
    region: String,
}

impl Spread {
    /// Returns the spread that tolerates only failures of single machines.
    #[must_use]
    pub fn over_machines() -> Self {
        Self::default()
    }

    /// Returns the spread that tolerates the simultaneous loss of `lost_zones` zones.
    #[must_use]
    pub fn over_zones(lost_zones: u16, lost_replicas: u16) -> Self {
        Self { regions: Vec::new(), max_in_one_domain: Some(max_in_one_domain(lost_zones, lost_replicas)) }
    }

    /// Returns the spread that tolerates the simultaneous loss of `lost_regions` regions; `regions` holds pairs of a
    /// zone and its region.
    #[must_use]
    pub fn over_regions(regions: Vec<(String, String)>, lost_regions: u16, lost_replicas: u16) -> Self {
        let regions = regions.into_iter().map(|(zone, region)| ZoneRegion { zone, region }).collect();
        Self { regions, max_in_one_domain: Some(max_in_one_domain(lost_regions, lost_replicas)) }
    }

    /// The failure domain of a store.
    fn domain<'a>(&'a self, store: &'a StoreNode) -> &'a str {
        let region = self.regions.iter().find(|known| known.zone == store.zone);
        region.map_or(store.zone.as_str(), |known| known.region.as_str())
    }

    /// Whether a replica may be placed on a store when the other replicas are on `others`.
    pub(super) fn allows(&self, store: &StoreNode, others: &[&StoreNode]) -> bool {
        let Some(max) = self.max_in_one_domain else { return true };
        let domain = self.domain(store);
        others.iter().filter(|other| self.domain(other) == domain).count() < usize::from(max)
    }

    /// Whether the stores can hold `replicas` replicas of one partition within the limit per failure domain.
    pub(super) fn has_capacity<'a>(
        &self,
        stores: impl Iterator<Item = &'a StoreNode>,
        replicas: usize,
    ) -> bool {
        let mut in_domain: BTreeMap<&str, usize> = BTreeMap::new();
        let stores: Vec<&StoreNode> = stores.collect();
        for store in &stores {
            *in_domain.entry(self.domain(store)).or_default() += 1;
        }
        let max = self.max_in_one_domain.map_or(usize::MAX, usize::from);
        in_domain.values().map(|count| (*count).min(max)).sum::<usize>() >= replicas
    }
}

fn max_in_one_domain(lost_domains: u16, lost_replicas: u16) -> u16 {
    (lost_replicas / lost_domains.max(1)).max(1)
}

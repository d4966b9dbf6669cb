//! Where a request may be served: in the home regions of its route and of its tenant.
use std::collections::BTreeSet;

/// Regions whose upstreams may serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomeRegions {
    /// All regions.
    Any,
    /// These regions; where there are none, no upstream may.
    Only(BTreeSet<String>),
}

impl HomeRegions {
    /// The regions of a route and of a tenant; an empty list binds to none. Both bind where both have regions.
    #[must_use]
    pub fn new(route: &[String], tenant: &[String]) -> HomeRegions {
        match (route, tenant) {
            ([], []) => HomeRegions::Any,
            (homes, []) | ([], homes) => HomeRegions::Only(homes.iter().cloned().collect()),
            (route, tenant) => {
                let common = route.iter().filter(|region| tenant.contains(region));
                HomeRegions::Only(common.cloned().collect())
            }
        }
    }

    /// Whether upstreams of this region may serve the request.
    #[must_use]
    pub fn allow(&self, region: &str) -> bool {
        match self {
            HomeRegions::Any => true,
            HomeRegions::Only(regions) => regions.contains(region),
        }
    }

    /// The regions that the request is bound to; none where any may serve it.
    pub fn restricted_to(&self) -> impl ExactSizeIterator<Item = &str> {
        static NONE: BTreeSet<String> = BTreeSet::new();
        let regions = match self {
            HomeRegions::Any => &NONE,
            HomeRegions::Only(regions) => regions,
        };
        regions.iter().map(String::as_str)
    }
}

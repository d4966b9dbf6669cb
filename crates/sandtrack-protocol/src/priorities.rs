//! The priority that upstreams are told of a request: the tenant's comes first, then the route's.
use crate::document::Document;
use crate::json_fields::number;
use simd_json::OwnedValue;

/// Priority of a route or tenant that names none.
pub const DEFAULT_PRIORITY: u32 = 5;
/// Upstreams know priorities from 0, the most urgent, to this.
const MAX_PRIORITY: usize = 9;

/// The priorities that occur in a configuration, each list ascending and without repetition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Priorities {
    tenants: Vec<u32>,
    routes: Vec<u32>,
}

impl Priorities {
    /// Those of a document.
    pub fn read(document: &Document) -> Priorities {
        let distinct = |list: &str| {
            let items = document.list(list).unwrap_or_default();
            let mut values: Vec<u32> = items.iter().map(|item| priority(&item.value)).collect();
            values.sort_unstable();
            values.dedup();
            values
        };
        Priorities {
            tenants: distinct("tenants"),
            routes: distinct("routes"),
        }
    }

    /// What upstreams are told of a request, from 0 to 9. Without tenants it is the route's priority; with tenants it is the
    /// rank of the pair among all pairs, scaled down where there are more than ten. A request of no tenant ranks last.
    #[must_use]
    pub fn of_request(&self, tenant: Option<u32>, route: u32) -> u32 {
        if self.tenants.is_empty() {
            return route.min(MAX_PRIORITY as u32);
        }
        let pairs = self.tenants.len() * self.routes.len();
        let last_tenant = self.tenants.len() - 1;
        let tenant = tenant.map_or(last_tenant, |tenant| rank(&self.tenants, tenant));
        let pair = tenant * self.routes.len() + rank(&self.routes, route);
        let most = pairs.saturating_sub(1);
        match most > MAX_PRIORITY {
            true => (pair * MAX_PRIORITY / most) as u32,
            false => pair as u32,
        }
    }
}

fn rank(ascending: &[u32], priority: u32) -> usize {
    ascending.partition_point(|known| *known < priority)
}

/// The priority of a route or tenant, 0 for the most urgent.
pub fn priority(item: &OwnedValue) -> u32 {
    number(item, "priority").map_or(DEFAULT_PRIORITY, |priority| priority as u32)
}

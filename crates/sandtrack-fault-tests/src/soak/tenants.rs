//! The tenants of the soak, and which key a client sends. A request's id decides, so that its judge knows without being told.
use super::records::Route;
use serde_json::{json, Value};

/// Tenants with their keys.
const TENANTS: [(&str, &str); 3] = [
    ("harbour", "key-of-harbour-7f3a"),
    ("market", "key-of-market-91bd"),
    ("station", "key-of-station-e440"),
];
/// A key that no configuration has.
const UNKNOWN_KEY: &str = "key-of-nobody-5c1e";
/// One request in so many is sent with a key that no configuration has.
const UNKNOWN_KEY_EVERY: usize = 16;

/// Two tenants of the operators alone, between which a key moves.
pub const PAIR: [&str; 2] = ["pair-one", "pair-two"];
/// The key that moves between them.
const PAIR_KEY: &str = "key-of-the-pair-03c8";

/// One of the two tenants of a pair, with the key or without any.
pub fn of_pair(which: usize, has_key: bool) -> Value {
    let keys: &[&str] = if has_key { &[PAIR_KEY] } else { &[] };
    json!({"name": PAIR[which], "api_keys": keys, "priority": 1, "home_regions": []})
}

/// Which of the two has the key in a configuration; the first where none has.
pub fn holder_of_pair(document: &Value) -> usize {
    let tenants = document["tenants"].as_array().cloned().unwrap_or_default();
    let has_key = |tenant: &Value| tenant["api_keys"][0] == PAIR_KEY;
    let second = tenants.iter().find(|tenant| tenant["name"] == PAIR[1]);
    usize::from(second.is_some_and(has_key))
}

/// The tenants as a configuration has them.
pub fn document() -> Value {
    let tenant =
        |(name, key)| json!({"name": name, "api_keys": [key], "priority": 1, "home_regions": []});
    json!(TENANTS.map(tenant))
}

/// Whether a route needs no key.
pub fn is_public(route: Route) -> bool {
    route == Route::Read
}

/// The key that the request with this id is sent with, and the tenant that has it. What is sent to see which configuration is
/// in force (without a `route`) carries a known key.
pub fn credentials(id: &str, route: Option<Route>) -> (&'static str, Option<&'static str>) {
    let sum = id.bytes().fold(0_usize, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    if route.is_some() && sum.is_multiple_of(UNKNOWN_KEY_EVERY) {
        return (UNKNOWN_KEY, None);
    }
    let (name, key) = TENANTS[sum % TENANTS.len()];
    (key, Some(name))
}

/// Whether a request may run: its key is known, or it needs none.
pub fn may_run(id: &str, route: Option<Route>) -> bool {
    let (_, tenant) = credentials(id, route);
    tenant.is_some() || route.is_some_and(is_public)
}

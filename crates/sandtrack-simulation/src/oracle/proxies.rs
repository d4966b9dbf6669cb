//! Rules about the configurations of proxies.
use super::Oracle;
use crate::plan::Millis;

impl Oracle {
    /// CONFIG: within one incarnation a proxy never goes back to an older version, and it has only committed ones.
    pub fn proxy_serves(&mut self, incarnation: u64, version: u64) {
        let before = self.proxies.insert(incarnation, version).unwrap_or(0);
        self.check(before <= version, "a_proxy_never_goes_back", || {
            format!("incarnation {incarnation} went from {before} to {version}")
        });
        let known = version == 0 || self.applied.values().any(|(known, _)| *known == version);
        self.check(known, "only_what_is_committed_is_served", || {
            format!("version {version}")
        });
    }

    /// CONFIG: a connected proxy applies an acknowledged version in time.
    pub fn connected_proxy_version(
        &mut self,
        proxy: &str,
        version: u64,
        at_least: u64,
        bound_ms: Millis,
    ) {
        self.check(version >= at_least, "a_proxy_in_touch_applies_a_version_in_time", || {
            format!("{proxy} has {version}, and {at_least} was acknowledged {bound_ms:.0} ms before")
        });
    }

    /// CONFIG: a connected proxy applies an acknowledged evacuation in time.
    pub fn connected_proxy_evacuations(
        &mut self,
        proxy: &str,
        zone: &str,
        has: bool,
        wanted: bool,
    ) {
        self.check(has == wanted, "a_proxy_in_touch_evacuates_in_time", || {
            format!("{proxy}: {zone} is {has}, acknowledged as {wanted}")
        });
    }

    /// No proxy gets its first configuration from a control node that was isolated for more than `bound_ms`.
    pub fn first_configuration(&mut self, proxy: &str, isolated_ms: Millis, bound_ms: Millis) {
        self.check(
            isolated_ms <= bound_ms,
            "a_detached_node_gives_no_first_configuration",
            || {
                format!(
                    "{proxy} got its first configuration from a node alone for {isolated_ms:.0} ms"
                )
            },
        );
    }
}

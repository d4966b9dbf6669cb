//! Effects and ticks of proxies, and the checks of their configuration.
use super::event_loop::Event;
use super::timing::{
    CONFIGURATION_APPLY_LIMIT_MS, CONNECTED_AFTER_MS, MAX_ISOLATION_MS, OBSERVE_INTERVAL_MS,
};
use super::Simulation;
use crate::machine::machine_of;
use crate::network::{Item, Port, Process};
use crate::plan::Millis;
use crate::simulated_proxy::{ProxyEffect, SimulatedProxy};

impl Simulation {
    pub(super) fn proxy_changed(&mut self, machine: usize, before: u64) {
        let Some(proxy) = self.machines[machine].proxy.as_ref() else {
            return;
        };
        let (version, incarnation) = (proxy.version(), proxy.incarnation);
        if version == before {
            return;
        }
        let giver = proxy.control_node().and_then(machine_of);
        self.record(|| format!("proxy {machine}: version {version}"));
        self.oracle.proxy_serves(incarnation, version);
        if let Some(giver) = giver.filter(|_| before == 0) {
            let isolated_ms = self.machines[giver]
                .isolated_since
                .map_or(0.0, |since| self.now - since);
            self.oracle.first_configuration(
                &format!("proxy {machine}"),
                isolated_ms,
                MAX_ISOLATION_MS,
            );
        }
    }

    pub(super) fn perform_proxy_effects(&mut self, machine: usize, effects: Vec<ProxyEffect>) {
        let generation = self.machines[machine].proxy_generation;
        for wish in effects {
            match wish {
                ProxyEffect::Dial { number, address } => {
                    let Some(to) = machine_of(&address) else {
                        continue;
                    };
                    let dialer = (machine, Process::Proxy, generation, number);
                    let connection = self.network.dial(dialer, to, Port::Session);
                    self.machines[machine]
                        .proxy_connections
                        .insert(number, (connection, 0));
                    self.dial(connection, machine, to);
                }
                ProxyEffect::Send { number, bytes } => {
                    let known = self.machines[machine]
                        .proxy_connections
                        .get(&number)
                        .copied();
                    if let Some((connection, side)) = known {
                        self.network
                            .send(self.now, connection, side, Item::Frame(bytes));
                    }
                }
                ProxyEffect::Close { number } => {
                    let known = self.machines[machine].proxy_connections.remove(&number);
                    if let Some((connection, side)) = known {
                        self.network.close(self.now, connection, side, false);
                    }
                }
            }
        }
        self.schedule_arrivals();
    }

    pub(super) fn proxy_tick(&mut self, machine: usize, generation: u64) {
        let now = self.clock(machine);
        let mine = &mut self.machines[machine];
        if mine.proxy_generation != generation || mine.frozen {
            return;
        }
        let Some(proxy) = mine.proxy.as_mut() else {
            return;
        };
        let mut effects = Vec::new();
        proxy.tick(now, &mut effects);
        self.perform_proxy_effects(machine, effects);
        self.schedule(
            OBSERVE_INTERVAL_MS,
            Event::ProxyTick {
                machine,
                generation,
            },
        );
    }

    /// The proxies that have run long enough to be connected to a control node.
    pub(super) fn connected_proxies(&self) -> Vec<usize> {
        let in_touch = |machine: &usize| {
            let mine = &self.machines[*machine];
            mine.proxy.is_some()
                && !mine.frozen
                && !mine.removed
                && self.now - mine.running_since > CONNECTED_AFTER_MS
        };
        (0..self.machines.len()).filter(in_touch).collect()
    }

    pub(super) fn check_proxy_versions(&mut self, version: u64, bound_ms: Millis) {
        for machine in self.connected_proxies() {
            let has = self.machines[machine]
                .proxy
                .as_ref()
                .map_or(0, SimulatedProxy::version);
            self.oracle.connected_proxy_version(
                &format!("proxy {machine}"),
                has,
                version,
                bound_ms,
            );
        }
    }

    pub(super) fn check_proxy_evacuations(&mut self, zone: &str, begun: bool) {
        for machine in self.connected_proxies() {
            let proxy = self.machines[machine].proxy.as_ref();
            let has = proxy.is_some_and(|proxy| proxy.balancer.evacuated_zones.contains(zone));
            self.oracle
                .connected_proxy_evacuations(&format!("proxy {machine}"), zone, has, begun);
        }
    }

    /// Checks that proxies have a version that was acknowledged at `since`, unless there was a fault.
    pub(super) fn check_applied(&mut self, version: u64, since: Millis) {
        if self.last_fault_at < since - CONNECTED_AFTER_MS {
            self.check_proxy_versions(version, CONFIGURATION_APPLY_LIMIT_MS);
        }
    }

    /// Checks that proxies have an evacuation that was acknowledged at `since`, unless there was a fault or a later
    /// operation on the zone.
    pub(super) fn check_evacuated(&mut self, zone: &str, begun: bool, number: u64, since: Millis) {
        let settled = self
            .oracle
            .settled_evacuations()
            .any(|one| one == (zone, begun, number));
        if settled && self.last_fault_at < since - CONNECTED_AFTER_MS {
            self.check_proxy_evacuations(zone, begun);
        }
    }
}

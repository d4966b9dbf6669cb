//! What proxies ask of the network, and what is looked for at them.
use super::event_loop::Event;
use super::watch::LOOK_MS;
use super::{World, IN_TOUCH_MS};
use crate::front::{Front, Wish};
use crate::machine::machine_of;
use crate::network::{Item, Port, Process};
use crate::plan::Millis;

/// A definite answer may rest on contact that is so old, in ms: silence is noticed, and the call waits, for as long.
pub(super) const ALONE_MOST_MS: Millis = 1200.0;

impl World {
    pub(super) fn proxy_changed(&mut self, machine: usize, before: u64) {
        let Some(proxy) = self.machines[machine].proxy.as_ref() else {
            return;
        };
        let (version, incarnation) = (proxy.version(), proxy.incarnation);
        if version == before {
            return;
        }
        let giver = proxy.control_node().and_then(machine_of);
        self.say(|| format!("proxy {machine}: version {version}"));
        self.checks.proxy_serves(incarnation, version);
        if let Some(giver) = giver.filter(|_| before == 0) {
            let alone_ms = self.machines[giver]
                .alone_since
                .map_or(0.0, |since| self.now - since);
            self.checks
                .first_configuration(&format!("proxy {machine}"), alone_ms, ALONE_MOST_MS);
        }
    }

    pub(super) fn wishes(&mut self, machine: usize, wishes: Vec<Wish>) {
        let life = self.machines[machine].proxy_life;
        for wish in wishes {
            match wish {
                Wish::Dial { number, address } => {
                    let Some(to) = machine_of(&address) else {
                        continue;
                    };
                    let dialer = (machine, Process::Proxy, life, number);
                    let connection = self.network.dial(dialer, to, Port::Session);
                    self.machines[machine]
                        .proxy_connections
                        .insert(number, (connection, 0));
                    self.dial(connection, machine, to);
                }
                Wish::Send { number, bytes } => {
                    let known = self.machines[machine]
                        .proxy_connections
                        .get(&number)
                        .copied();
                    if let Some((connection, side)) = known {
                        self.network
                            .send(self.now, connection, side, Item::Frame(bytes));
                    }
                }
                Wish::Close { number } => {
                    let known = self.machines[machine].proxy_connections.remove(&number);
                    if let Some((connection, side)) = known {
                        self.network.close(self.now, connection, side, false);
                    }
                }
            }
        }
        self.plan_arrivals();
    }

    pub(super) fn proxy_tick(&mut self, machine: usize, life: u64) {
        let now = self.clock(machine);
        let mine = &mut self.machines[machine];
        if mine.proxy_life != life || mine.frozen {
            return;
        }
        let Some(proxy) = mine.proxy.as_mut() else {
            return;
        };
        let mut wishes = Vec::new();
        proxy.tick(now, &mut wishes);
        self.wishes(machine, wishes);
        self.later(LOOK_MS, Event::ProxyTick { machine, life });
    }

    /// The proxies that have run for long enough to be in touch.
    pub(super) fn proxies_in_touch(&self) -> Vec<usize> {
        let in_touch = |machine: &usize| {
            let mine = &self.machines[*machine];
            mine.proxy.is_some()
                && !mine.frozen
                && !mine.removed
                && self.now - mine.runs_since > IN_TOUCH_MS
        };
        (0..self.machines.len()).filter(in_touch).collect()
    }

    pub(super) fn proxies_have(&mut self, version: u64, bound_ms: Millis) {
        for machine in self.proxies_in_touch() {
            let has = self.machines[machine]
                .proxy
                .as_ref()
                .map_or(0, Front::version);
            self.checks
                .proxy_in_touch(&format!("proxy {machine}"), has, version, bound_ms);
        }
    }

    pub(super) fn proxies_evacuated(&mut self, zone: &str, begun: bool) {
        for machine in self.proxies_in_touch() {
            let proxy = self.machines[machine].proxy.as_ref();
            let has = proxy.is_some_and(|proxy| proxy.balancer.evacuated_zones.contains(zone));
            self.checks
                .proxy_in_touch_evacuates(&format!("proxy {machine}"), zone, has, begun);
        }
    }
}

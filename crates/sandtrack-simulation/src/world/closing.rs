//! Closing faults: armed, they wait for an acknowledgement or a change that is sent, and strike all machines at one moment.
use super::event_loop::Event;
use super::World;
use crate::plan::{Acknowledged, Blow, Kind, Millis, Moment, BACK_MOST_MS};
use rand::Rng;

/// The shortest time until a machine is back, in ms.
const BACK_LEAST_MS: Millis = 50.0;

impl World {
    /// A control node sends an acknowledgement.
    pub(super) fn acknowledgement_leaves(&mut self, what: Acknowledged) {
        self.strike_armed(|moment| match moment {
            Moment::Acknowledged { of, after_ms } if of == what => Some(after_ms),
            _ => None,
        });
    }

    /// An operator sends a change.
    pub(super) fn change_leaves(&mut self) {
        self.strike_armed(|moment| match moment {
            Moment::Sent { after_ms } => Some(after_ms),
            Moment::Acknowledged { .. } => None,
        });
    }

    /// Plans the blows of those whose moment it is: in how many ms.
    fn strike_armed(&mut self, when: impl Fn(Moment) -> Option<Millis>) {
        let due = |(fault, moment): (&usize, &Moment)| Some((*fault, when(*moment)?));
        let due: Vec<(usize, Millis)> = self.armed.iter().filter_map(due).collect();
        for (fault, after_ms) in due {
            self.armed.remove(&fault);
            self.later(after_ms, Event::Strike { fault });
        }
    }

    pub(super) fn strike_all(&mut self, fault: usize) {
        let Kind::Closing { blow, .. } = self.plan.faults[fault].kind else {
            return;
        };
        self.say(|| format!("fault {fault} strikes: {blow:?}"));
        self.troubled = self.now;
        self.blows += 1;
        let machines = self.present();
        match blow {
            Blow::Kill => machines.iter().for_each(|machine| self.killed(*machine)),
            Blow::Power => machines
                .iter()
                .for_each(|machine| self.without_power(*machine, false)),
            Blow::Disk { target, all } => {
                let losers: Vec<usize> = self.core_machine(target).into_iter().collect();
                self.lose_disks(&machines, &losers, all);
            }
            Blow::ZoneDisks { zone, all } => {
                let losers = self.zone(zone);
                self.lose_disks(&machines, &losers, all);
            }
        }
    }

    fn present(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|machine| !self.machines[*machine].removed)
            .collect()
    }

    fn lose_disks(&mut self, machines: &[usize], losers: &[usize], all: bool) {
        for machine in machines {
            let loses = losers.contains(machine);
            if loses || all {
                self.without_power(*machine, loses);
            }
        }
    }

    fn without_power(&mut self, machine: usize, loses_disk: bool) {
        self.power_off(machine);
        if loses_disk {
            self.machines[machine].disk.wipe();
        }
        let after = self.random.gen_range(BACK_LEAST_MS..BACK_MOST_MS);
        self.later(after, Event::PowerOn { machine });
    }

    fn killed(&mut self, machine: usize) {
        self.kill(machine);
        let after = self.random.gen_range(BACK_LEAST_MS..BACK_MOST_MS);
        self.restart(machine, after);
    }
}

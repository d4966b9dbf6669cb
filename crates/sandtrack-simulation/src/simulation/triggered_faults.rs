//! Triggered faults: armed, they wait for an acknowledgement or a change, and strike all machines at the same time.
use super::event_loop::Event;
use super::Simulation;
use crate::plan::{ClusterFault, FaultKind, Millis, RequestKind, Trigger, MAX_DOWNTIME_MS};
use rand::Rng;

/// The shortest time until a machine is back, in ms. The longest is [`MAX_DOWNTIME_MS`].
const MIN_DOWNTIME_MS: Millis = 50.0;

impl Simulation {
    /// Notes that a control node sends an acknowledgement.
    pub(super) fn on_acknowledgement(&mut self, what: RequestKind) {
        self.schedule_triggered(|trigger| match trigger {
            Trigger::Acknowledgement { of, after_ms } if of == what => Some(after_ms),
            _ => None,
        });
    }

    /// Notes that an operator sends a change.
    pub(super) fn on_change_sent(&mut self) {
        self.schedule_triggered(|trigger| match trigger {
            Trigger::ChangeSent { after_ms } => Some(after_ms),
            Trigger::Acknowledgement { .. } => None,
        });
    }

    /// Schedules the armed faults that `delay` gives a delay for, in ms.
    fn schedule_triggered(&mut self, when: impl Fn(Trigger) -> Option<Millis>) {
        let due = |(fault, trigger): (&usize, &Trigger)| Some((*fault, when(*trigger)?));
        let due: Vec<(usize, Millis)> = self.armed_faults.iter().filter_map(due).collect();
        for (fault, after_ms) in due {
            self.armed_faults.remove(&fault);
            self.schedule(after_ms, Event::InjectTriggered { fault });
        }
    }

    pub(super) fn inject_triggered(&mut self, fault: usize) {
        let FaultKind::Triggered {
            fault: cluster_fault,
            ..
        } = self.plan.faults[fault].kind
        else {
            return;
        };
        self.record(|| format!("fault {fault} strikes: {cluster_fault:?}"));
        self.last_fault_at = self.now;
        self.triggered_faults += 1;
        let machines = self.present();
        match cluster_fault {
            ClusterFault::Kill => machines
                .iter()
                .for_each(|machine| self.kill_and_restart(*machine)),
            ClusterFault::PowerLoss => machines
                .iter()
                .for_each(|machine| self.power_cycle(*machine, false)),
            ClusterFault::DiskLoss { target, all } => {
                let losers: Vec<usize> = self.resolve_target(target).into_iter().collect();
                self.lose_disks(&machines, &losers, all);
            }
            ClusterFault::ZoneDiskLoss { zone, all } => {
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
                self.power_cycle(*machine, loses);
            }
        }
    }

    fn power_cycle(&mut self, machine: usize, loses_disk: bool) {
        self.power_off(machine);
        if loses_disk {
            self.machines[machine].disk.wipe();
        }
        let after = self.random.gen_range(MIN_DOWNTIME_MS..MAX_DOWNTIME_MS);
        self.schedule(after, Event::PowerOn { machine });
    }

    fn kill_and_restart(&mut self, machine: usize) {
        self.kill(machine);
        let after = self.random.gen_range(MIN_DOWNTIME_MS..MAX_DOWNTIME_MS);
        self.restart(machine, after);
    }
}

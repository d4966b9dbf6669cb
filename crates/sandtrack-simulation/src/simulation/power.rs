//! Machines as a whole: power, kills, restarts, removal, and the state of their disks.
use super::event_loop::Event;
use super::Simulation;
use crate::disk::DiskMode;

impl Simulation {
    pub(super) fn power_off(&mut self, machine: usize) {
        self.network.set_powered_off(self.now, machine, true);
        self.machines[machine].frozen = false;
        self.kill_control(machine, true);
        self.kill_proxy(machine, true);
        let disk = self.machines[machine].disk.clone();
        disk.lose_power(&mut self.random);
        self.set_clock(machine);
    }

    pub(super) fn power_on(&mut self, machine: usize) {
        self.network.set_powered_off(self.now, machine, false);
        self.schedule_arrivals();
        self.restart(machine, 50.0);
    }

    pub(super) fn restart(&mut self, machine: usize, after: f64) {
        if self.machines[machine].runs_control() {
            self.schedule(after, Event::StartControl { machine });
        }
        self.schedule(after, Event::StartProxy { machine });
    }

    pub(super) fn kill(&mut self, machine: usize) {
        self.machines[machine].frozen = false;
        self.kill_control(machine, false);
        self.kill_proxy(machine, false);
    }

    pub(super) fn set_mode(&mut self, machine: usize, disk_mode: DiskMode) {
        let before = std::mem::replace(&mut self.machines[machine].disk_mode, disk_mode);
        self.machines[machine]
            .disk
            .set_full(disk_mode == DiskMode::Full);
        if before == DiskMode::Stalled && disk_mode != DiskMode::Stalled {
            self.schedule_disk(machine);
        }
    }

    pub(super) fn remove(&mut self, machine: usize) {
        self.power_off(machine);
        self.machines[machine].removed = true;
    }
}

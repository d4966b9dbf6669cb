//! Begin and end of the plan's faults.
use super::event_loop::Event;
use super::Simulation;
use crate::disk::DiskMode;
use crate::machine::{settings, Role};
use crate::plan::{DiskFault, FaultKind, Impact, PartitionDirection, ZoneRecovery};
use rand::Rng;
use sandtrack_control::node::Input;

/// The factor by which a slow disk takes longer.
const SLOW_DISK_FACTOR: f64 = 30.0;
const SLOW_LINK_MBPS: f64 = 10.0;
/// The factor by which the disk of a slow node takes longer.
const SLOW_NODE_DISK_FACTOR: f64 = 26.0;
/// The duration of a step of a slow node, in ms: ten times that of a step on a small share of a CPU.
const SLOW_NODE_STEP_MS: f64 = 5.0;

impl Simulation {
    pub(super) fn begin_fault(&mut self, fault: usize) {
        let kind = self.plan.faults[fault].kind;
        self.last_fault_at = self.now;
        self.active_faults.insert(fault);
        let impacts = self.inject(fault, kind);
        self.record(|| format!("fault {fault} begins: {kind:?} on {impacts:?}"));
        self.impacts.insert(fault, impacts);
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        let kind = self.plan.faults[fault].kind;
        self.last_fault_at = self.now;
        self.active_faults.remove(&fault);
        self.armed_faults.remove(&fault);
        let Some(impacts) = self.impacts.remove(&fault) else {
            return;
        };
        self.record(|| format!("fault {fault} ends: {kind:?}"));
        self.undo(kind, impacts);
    }

    fn partition(&mut self, paths: Vec<(usize, usize)>) -> Impact {
        self.network.partition(&paths);
        Impact::Paths(paths)
    }

    fn inject(&mut self, fault: usize, kind: FaultKind) -> Impact {
        if let Some(target) = kind.target() {
            return match self.resolve_target(target) {
                Some(machine) => self.inject_on_control_machine(kind, machine),
                None => Impact::None,
            };
        }
        match kind {
            FaultKind::ProxyPartition(number) | FaultKind::ProxyKill(number) => {
                match self.proxy_machine(number) {
                    Some(machine) => self.inject_on_proxy_machine(kind, machine),
                    None => Impact::None,
                }
            }
            FaultKind::ZonePartition(zone) => {
                let paths = self.paths(&self.zone(zone), PartitionDirection::BothWays);
                self.partition(paths)
            }
            FaultKind::ZonePowerLoss(zone) => {
                let machines = self.zone(zone);
                machines.iter().for_each(|machine| self.power_off(*machine));
                Impact::Machines(machines)
            }
            FaultKind::ZoneLoss { zone, recovery } => self.lose_zone(zone, recovery),
            FaultKind::KillAll => {
                let machines = self.running_control_machines();
                machines.iter().for_each(|machine| self.kill(*machine));
                Impact::Machines(machines)
            }
            FaultKind::PowerLossAll => {
                let machines = self.running_control_machines();
                machines.iter().for_each(|machine| self.power_off(*machine));
                Impact::Machines(machines)
            }
            _ => self.inject_elsewhere(fault, kind),
        }
    }

    /// Strikes a machine that has only a proxy.
    fn inject_on_proxy_machine(&mut self, kind: FaultKind, machine: usize) -> Impact {
        if let FaultKind::ProxyKill(_) = kind {
            self.kill_proxy(machine, false);
            return Impact::Machines(vec![machine]);
        }
        let runs_control = |machine: usize| self.machines[machine].runs_control();
        let mut paths = self.paths(&[machine], PartitionDirection::BothWays);
        paths.retain(|(from, to)| runs_control(*from) || runs_control(*to));
        self.partition(paths)
    }

    /// Faults that strike no machine, or strike later.
    fn inject_elsewhere(&mut self, fault: usize, kind: FaultKind) -> Impact {
        match kind {
            FaultKind::PlatformOutage => self.platform_outages += 1,
            FaultKind::ResponsesLost => self.response_loss_faults += 1,
            FaultKind::Triggered { trigger, .. } => {
                self.armed_faults.insert(fault, trigger);
            }
            _ => {}
        }
        Impact::None
    }

    fn lose_zone(&mut self, zone: usize, recovery: ZoneRecovery) -> Impact {
        let machines = self.zone(zone);
        for machine in &machines {
            self.power_off(*machine);
            if recovery != ZoneRecovery::IntactDisks {
                self.machines[*machine].disk.wipe();
            }
        }
        if recovery != ZoneRecovery::NewMachines {
            return Impact::Machines(machines);
        }
        let mut others = Vec::new();
        for machine in machines {
            self.machines[machine].removed = true;
            let role = self.machines[machine].role;
            others.push(self.add_machine(zone, role, false));
        }
        Impact::AllJoining(others)
    }

    fn slow_down(&mut self, machine: usize) {
        self.machines[machine].step_delay.step_ms = SLOW_NODE_STEP_MS;
        self.set_mode(machine, DiskMode::Slow(SLOW_NODE_DISK_FACTOR));
        self.network.set_link(machine, SLOW_LINK_MBPS);
    }

    /// The control node rereads its settings file, with another seed list.
    fn reload(&mut self, machine: usize) {
        let seeds = self.seeds(machine);
        let zone = self.machines[machine].zone;
        let settings = settings(machine, zone, true, false, &seeds);
        self.input(machine, Input::Reload(Box::new(settings)));
    }

    fn inject_on_control_machine(&mut self, kind: FaultKind, machine: usize) -> Impact {
        match kind {
            FaultKind::Kill(_) => self.kill(machine),
            FaultKind::PowerLoss(_) => self.power_off(machine),
            FaultKind::Freeze(_) => self.machines[machine].frozen = true,
            FaultKind::Terminate(_) => self.input(machine, Input::Terminate),
            FaultKind::Wipe { all, .. } => {
                self.power_off(machine);
                self.machines[machine].disk.wipe();
                let others = if all {
                    self.running_control_machines()
                } else {
                    Vec::new()
                };
                for other in &others {
                    self.power_off(*other);
                    self.network.set_powered_off(self.now, *other, false);
                    let after = self.random.gen_range(50.0..1000.0);
                    self.restart(*other, after);
                }
            }
            FaultKind::Disk { fault, .. } => {
                let disk_mode = match fault {
                    DiskFault::Slow => DiskMode::Slow(SLOW_DISK_FACTOR),
                    DiskFault::Stalled => DiskMode::Stalled,
                    DiskFault::Full => DiskMode::Full,
                };
                self.set_mode(machine, disk_mode);
            }
            FaultKind::ControlPartition { direction, .. } => {
                let paths = self.between_control_machines(self.paths(&[machine], direction));
                return self.partition(paths);
            }
            FaultKind::ConnectionResets(_) => self.reset(machine),
            FaultKind::SlowLinks(_) => self.network.set_link(machine, SLOW_LINK_MBPS),
            FaultKind::SlowNode(_) => self.slow_down(machine),
            FaultKind::Reload(_) => self.reload(machine),
            FaultKind::Replace { planned, .. } => {
                let zone = self.machines[machine].zone;
                let joins = self.add_machine(zone, Role::ControlAndProxy, false);
                if planned {
                    // The new machine joins first; the old one shuts down when the fault ends.
                    self.restart(joins, 0.0);
                    return Impact::Machines(vec![machine]);
                }
                self.remove(machine);
                return Impact::Joining(joins);
            }
            _ => {}
        }
        Impact::Machines(vec![machine])
    }

    fn reset(&mut self, machine: usize) {
        use crate::network::{Item, Process};
        for (connection, side) in self.network.connections_of(machine, Process::Control) {
            if self.random.gen() {
                let Some(known) = self.network.connections.get(&connection) else {
                    continue;
                };
                let ends = known.ends.clone();
                for end in [side, 1 - side] {
                    let one = ends[end].clone();
                    let event = Event::Deliver {
                        machine: one.machine,
                        process: one.process,
                        generation: one.generation,
                        connection,
                        side: end,
                        item: Item::Fin,
                    };
                    self.schedule(0.0, event);
                }
            }
        }
    }
}

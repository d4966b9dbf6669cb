//! Begin and end of the plan's faults.
use super::event_loop::Event;
use super::timing::RESTART_DELAY_MS;
use super::Simulation;
use crate::disk::DiskMode;
use crate::machine::{settings, StepDelay};
use crate::plan::{DiskFault, FaultKind, Impact, PartitionDirection, Target, ZoneRecovery};
use rand::Rng;
use sandtrack_control::node::Input;

/// The factor by which a slow disk takes longer.
const SLOW_DISK_FACTOR: f64 = 30.0;
const SLOW_LINK_MBPS: f64 = 10.0;
/// The factor by which the disk of a slow node takes longer.
const SLOW_NODE_DISK_FACTOR: f64 = 26.0;
/// The duration of a step of a slow node, in ms: ten times that of a step on a small share of a CPU.
const SLOW_NODE_STEP_MS: f64 = 5.0;
/// A machine that is removed by plan loses power after this long (`grace_s`), in ms.
const SHUTDOWN_GRACE_MS: f64 = 8000.0;

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

    /// The machine that a target stands for now; the first running one if it stands for none.
    pub(super) fn resolve_target(&mut self, target: Target) -> Option<usize> {
        let running = self.running_control_machines();
        let chain = match target {
            Target::Head | Target::Tail => self
                .newest_view()
                .map(|(_, chain)| chain)
                .unwrap_or_default(),
            _ => Vec::new(),
        };
        let found = match target {
            Target::Head => chain.first().copied(),
            Target::Tail => chain.last().copied(),
            Target::LastAcknowledger => self.last_acknowledged,
            Target::Index(number) => running.get(number % running.len().max(1)).copied(),
        };
        found
            .filter(|machine| running.contains(machine))
            .or(running.first().copied())
    }

    pub(super) fn zone(&self, zone: usize) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|machine| {
                self.machines[*machine].zone == zone && !self.machines[*machine].removed
            })
            .collect()
    }

    /// A machine without a control node, by its index modulo their number.
    fn proxy_machine(&self, number: usize) -> Option<usize> {
        let others: Vec<usize> = (0..self.machines.len())
            .filter(|machine| {
                !self.machines[*machine].runs_control && !self.machines[*machine].removed
            })
            .collect();
        others.get(number % others.len().max(1)).copied()
    }

    fn paths(&self, from: &[usize], cut: PartitionDirection) -> Vec<(usize, usize)> {
        let others = (0..self.machines.len()).filter(|other| !from.contains(other));
        let pairs = others.flat_map(|other| from.iter().map(move |one| (*one, other)));
        pairs
            .flat_map(|(one, other)| match cut {
                PartitionDirection::BothWays => vec![(one, other), (other, one)],
                PartitionDirection::Outward => vec![(one, other)],
                PartitionDirection::Inward => vec![(other, one)],
            })
            .collect()
    }

    fn between_control_machines(&self, paths: Vec<(usize, usize)>) -> Vec<(usize, usize)> {
        let is_core = |machine: usize| self.machines[machine].runs_control;
        paths
            .into_iter()
            .filter(|(from, to)| is_core(*from) && is_core(*to))
            .collect()
    }

    fn partition(&mut self, paths: Vec<(usize, usize)>) -> Impact {
        self.network.partition(&paths);
        Impact::Paths(paths)
    }

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
        if self.machines[machine].runs_control {
            self.schedule(after, Event::StartControl { machine });
        }
        self.schedule(after, Event::StartProxy { machine });
    }

    pub(super) fn kill(&mut self, machine: usize) {
        self.machines[machine].frozen = false;
        self.kill_control(machine, false);
        self.kill_proxy(machine, false);
    }

    fn set_mode(&mut self, machine: usize, disk_mode: DiskMode) {
        let before = std::mem::replace(&mut self.machines[machine].disk_mode, disk_mode);
        self.machines[machine]
            .disk
            .set_full(disk_mode == DiskMode::Full);
        if before == DiskMode::Stalled && disk_mode != DiskMode::Stalled {
            self.schedule_disk(machine);
        }
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
        let is_core = |machine: usize| self.machines[machine].runs_control;
        let mut paths = self.paths(&[machine], PartitionDirection::BothWays);
        paths.retain(|(from, to)| is_core(*from) || is_core(*to));
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
            let core = self.machines[machine].runs_control;
            others.push(self.add_machine(zone, core, false));
        }
        Impact::AllJoining(others)
    }

    fn slow_down(&mut self, machine: usize) {
        self.machines[machine].step_delay.step_ms = SLOW_NODE_STEP_MS;
        self.set_mode(machine, DiskMode::Slow(SLOW_NODE_DISK_FACTOR));
        self.network.set_link(machine, SLOW_LINK_MBPS);
    }

    fn speed_up(&mut self, machine: usize) {
        self.machines[machine].step_delay = StepDelay::default();
        self.set_mode(machine, DiskMode::Healthy);
        let mbps = self.plan.link_mbps;
        self.network.set_link(machine, mbps);
        if !self.machines[machine].frozen {
            self.handle_deferred_events(machine);
        }
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
                let joins = self.add_machine(zone, true, false);
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

    fn remove(&mut self, machine: usize) {
        self.power_off(machine);
        self.machines[machine].removed = true;
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

    fn undo(&mut self, kind: FaultKind, impacts: Impact) {
        match (kind, impacts) {
            (_, Impact::Paths(paths)) => {
                self.network.heal(self.now, &paths);
                self.schedule_arrivals();
            }
            (_, Impact::Joining(machine)) => self.restart(machine, 0.0),
            (_, Impact::AllJoining(machines)) => {
                machines
                    .into_iter()
                    .for_each(|machine| self.restart(machine, 0.0));
            }
            (FaultKind::Replace { planned: true, .. }, Impact::Machines(machines)) => {
                for machine in machines {
                    self.leave(machine);
                }
            }
            (FaultKind::PlatformOutage, _) => self.platform_outages -= 1,
            (FaultKind::ResponsesLost, _) => self.response_loss_faults -= 1,
            (FaultKind::Triggered { .. }, _) => {}
            (kind, Impact::Machines(machines)) => {
                machines
                    .into_iter()
                    .for_each(|machine| self.recover(kind, machine));
            }
            (_, Impact::None) => {}
        }
    }

    /// SIGTERM; the machine is removed once the process has exited or its grace period is over.
    fn leave(&mut self, machine: usize) {
        if !self.machines[machine].is_running() {
            return self.remove(machine);
        }
        self.input(machine, Input::Terminate);
        self.schedule(SHUTDOWN_GRACE_MS, Event::Remove { machine });
    }

    pub(super) fn remove_after_grace(&mut self, machine: usize) {
        if !self.machines[machine].removed {
            self.remove(machine);
        }
    }

    fn recover(&mut self, kind: FaultKind, machine: usize) {
        match kind {
            FaultKind::PowerLoss(_)
            | FaultKind::Wipe { .. }
            | FaultKind::ZonePowerLoss(_)
            | FaultKind::ZoneLoss { .. }
            | FaultKind::PowerLossAll => self.power_on(machine),
            FaultKind::Kill(_) | FaultKind::KillAll | FaultKind::ProxyKill(_) => {
                self.restart(machine, 0.0)
            }
            FaultKind::Freeze(_) => self.thaw(machine),
            FaultKind::Disk { .. } => self.set_mode(machine, DiskMode::Healthy),
            FaultKind::SlowLinks(_) => {
                let mbps = self.plan.link_mbps;
                self.network.set_link(machine, mbps);
            }
            FaultKind::SlowNode(_) => self.speed_up(machine),
            FaultKind::Terminate(_) => self.restart(machine, RESTART_DELAY_MS),
            _ => {}
        }
    }
}

//! Faults of a plan, begun and ended in a world.
use super::event_loop::Event;
use super::{World, RESTART_MS};
use crate::disk::Mode;
use crate::machine::{settings, Steps};
use crate::plan::{Cut, DiskTrouble, Kind, Struck, Target, ZoneBack};
use rand::Rng;
use sandtrack_control::node::Input;

/// A disk in trouble takes so many times as long.
const SLOWER: f64 = 30.0;
const SLOW_LINK_MBPS: f64 = 10.0;
/// The disk of a slow node takes so many times as long.
const SLOW_NODE_DISK: f64 = 26.0;
/// A step of a slow node, in ms: ten times what one takes on a small share of a core.
const SLOW_NODE_STEP_MS: f64 = 5.0;
/// A machine that is removed by plan is without power after this (`grace_s`), in ms.
const GRACE_MS: f64 = 8000.0;

impl World {
    pub(super) fn fault_begins(&mut self, fault: usize) {
        let kind = self.plan.faults[fault].kind;
        self.troubled = self.now;
        self.active_faults.insert(fault);
        let struck = self.strike(fault, kind);
        self.say(|| format!("fault {fault} begins: {kind:?} on {struck:?}"));
        self.struck.insert(fault, struck);
    }

    pub(super) fn fault_ends(&mut self, fault: usize) {
        let kind = self.plan.faults[fault].kind;
        self.troubled = self.now;
        self.active_faults.remove(&fault);
        self.armed.remove(&fault);
        let Some(struck) = self.struck.remove(&fault) else {
            return;
        };
        self.say(|| format!("fault {fault} ends: {kind:?}"));
        self.undo(kind, struck);
    }

    /// The machine of the core that is meant.
    pub(super) fn core_machine(&mut self, target: Target) -> Option<usize> {
        let running = self.running_core();
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
            Target::Acknowledged => self.last_acknowledged,
            Target::Number(number) => running.get(number % running.len().max(1)).copied(),
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

    /// A machine without a control node.
    fn other_machine(&self, number: usize) -> Option<usize> {
        let others: Vec<usize> = (0..self.machines.len())
            .filter(|machine| !self.machines[*machine].core && !self.machines[*machine].removed)
            .collect();
        others.get(number % others.len().max(1)).copied()
    }

    fn ways(&self, from: &[usize], cut: Cut) -> Vec<(usize, usize)> {
        let others = (0..self.machines.len()).filter(|other| !from.contains(other));
        let pairs = others.flat_map(|other| from.iter().map(move |one| (*one, other)));
        pairs
            .flat_map(|(one, other)| match cut {
                Cut::BothWays => vec![(one, other), (other, one)],
                Cut::Outward => vec![(one, other)],
                Cut::Inward => vec![(other, one)],
            })
            .collect()
    }

    fn only_core(&self, ways: Vec<(usize, usize)>) -> Vec<(usize, usize)> {
        let is_core = |machine: usize| self.machines[machine].core;
        ways.into_iter()
            .filter(|(from, to)| is_core(*from) && is_core(*to))
            .collect()
    }

    fn cut(&mut self, ways: Vec<(usize, usize)>) -> Struck {
        self.network.cut(&ways);
        Struck::Ways(ways)
    }

    pub(super) fn power_off(&mut self, machine: usize) {
        self.network.set_dark(self.now, machine, true);
        self.machines[machine].frozen = false;
        self.kill_control(machine, true);
        self.kill_proxy(machine, true);
        let disk = self.machines[machine].disk.clone();
        disk.lose_power(&mut self.random);
        self.set_clock(machine);
    }

    pub(super) fn power_on(&mut self, machine: usize) {
        self.network.set_dark(self.now, machine, false);
        self.plan_arrivals();
        self.restart(machine, 50.0);
    }

    pub(super) fn restart(&mut self, machine: usize, after: f64) {
        if self.machines[machine].core {
            self.later(after, Event::StartControl { machine });
        }
        self.later(after, Event::StartProxy { machine });
    }

    pub(super) fn kill(&mut self, machine: usize) {
        self.machines[machine].frozen = false;
        self.kill_control(machine, false);
        self.kill_proxy(machine, false);
    }

    fn set_mode(&mut self, machine: usize, mode: Mode) {
        let before = std::mem::replace(&mut self.machines[machine].mode, mode);
        self.machines[machine].disk.set_full(mode == Mode::Full);
        if before == Mode::Stalled && mode != Mode::Stalled {
            self.plan_disk(machine);
        }
    }

    fn strike(&mut self, fault: usize, kind: Kind) -> Struck {
        if let Some(target) = kind.target() {
            return match self.core_machine(target) {
                Some(machine) => self.strike_core(kind, machine),
                None => Struck::Nothing,
            };
        }
        match kind {
            Kind::FrontCut(number) | Kind::FrontKill(number) => match self.other_machine(number) {
                Some(machine) => self.strike_front(kind, machine),
                None => Struck::Nothing,
            },
            Kind::ZoneCut(zone) => {
                let ways = self.ways(&self.zone(zone), Cut::BothWays);
                self.cut(ways)
            }
            Kind::ZonePower(zone) => {
                let machines = self.zone(zone);
                machines.iter().for_each(|machine| self.power_off(*machine));
                Struck::Machines(machines)
            }
            Kind::ZoneLoss { zone, back } => self.lose_zone(zone, back),
            Kind::HerdKill => {
                let machines = self.running_core();
                machines.iter().for_each(|machine| self.kill(*machine));
                Struck::Machines(machines)
            }
            Kind::HerdPower => {
                let machines = self.running_core();
                machines.iter().for_each(|machine| self.power_off(*machine));
                Struck::Machines(machines)
            }
            _ => self.strike_around(fault, kind),
        }
    }

    /// A machine without a control node.
    fn strike_front(&mut self, kind: Kind, machine: usize) -> Struck {
        if let Kind::FrontKill(_) = kind {
            self.kill_proxy(machine, false);
            return Struck::Machines(vec![machine]);
        }
        let is_core = |machine: usize| self.machines[machine].core;
        let mut ways = self.ways(&[machine], Cut::BothWays);
        ways.retain(|(from, to)| is_core(*from) || is_core(*to));
        self.cut(ways)
    }

    /// What strikes no machine, or not yet.
    fn strike_around(&mut self, fault: usize, kind: Kind) -> Struck {
        match kind {
            Kind::PlatformDown => self.platform_down += 1,
            Kind::AnswersLost => self.answers_lost += 1,
            Kind::Closing { moment, .. } => {
                self.armed.insert(fault, moment);
            }
            _ => {}
        }
        Struck::Nothing
    }

    fn lose_zone(&mut self, zone: usize, back: ZoneBack) -> Struck {
        let machines = self.zone(zone);
        for machine in &machines {
            self.power_off(*machine);
            if back != ZoneBack::WithDisks {
                self.machines[*machine].disk.wipe();
            }
        }
        if back != ZoneBack::OtherMachines {
            return Struck::Machines(machines);
        }
        let mut others = Vec::new();
        for machine in machines {
            self.machines[machine].removed = true;
            let core = self.machines[machine].core;
            others.push(self.add_machine(zone, core, false));
        }
        Struck::AllJoin(others)
    }

    fn slow_down(&mut self, machine: usize) {
        self.machines[machine].steps.each_ms = SLOW_NODE_STEP_MS;
        self.set_mode(machine, Mode::Slow(SLOW_NODE_DISK));
        self.network.set_link(machine, SLOW_LINK_MBPS);
    }

    fn speed_up(&mut self, machine: usize) {
        self.machines[machine].steps = Steps::default();
        self.set_mode(machine, Mode::Well);
        let mbps = self.plan.link_mbps;
        self.network.set_link(machine, mbps);
        if !self.machines[machine].frozen {
            self.take_what_waits(machine);
        }
    }

    /// The settings file was written anew.
    fn reload(&mut self, machine: usize) {
        let seeds = self.seeds(machine);
        let zone = self.machines[machine].zone;
        let settings = settings(machine, zone, true, false, &seeds);
        self.input(machine, Input::Reload(Box::new(settings)));
    }

    fn strike_core(&mut self, kind: Kind, machine: usize) -> Struck {
        match kind {
            Kind::Kill(_) => self.kill(machine),
            Kind::Power(_) => self.power_off(machine),
            Kind::Freeze(_) => self.machines[machine].frozen = true,
            Kind::Terminate(_) => self.input(machine, Input::Terminate),
            Kind::Wipe { all, .. } => {
                self.power_off(machine);
                self.machines[machine].disk.wipe();
                let others = if all { self.running_core() } else { Vec::new() };
                for other in &others {
                    self.power_off(*other);
                    self.network.set_dark(self.now, *other, false);
                    let after = self.random.gen_range(50.0..1000.0);
                    self.restart(*other, after);
                }
            }
            Kind::Disk { trouble, .. } => {
                let mode = match trouble {
                    DiskTrouble::Slow => Mode::Slow(SLOWER),
                    DiskTrouble::Stalled => Mode::Stalled,
                    DiskTrouble::Full => Mode::Full,
                };
                self.set_mode(machine, mode);
            }
            Kind::CoreCut { cut, .. } => {
                let ways = self.only_core(self.ways(&[machine], cut));
                return self.cut(ways);
            }
            Kind::Reset(_) => self.reset(machine),
            Kind::SlowLinks(_) => self.network.set_link(machine, SLOW_LINK_MBPS),
            Kind::SlowNode(_) => self.slow_down(machine),
            Kind::Reload(_) => self.reload(machine),
            Kind::Replace { planned, .. } => {
                let zone = self.machines[machine].zone;
                let joins = self.add_machine(zone, true, false);
                if planned {
                    // The new one first; the old one leaves when the fault ends.
                    self.restart(joins, 0.0);
                    return Struck::Machines(vec![machine]);
                }
                self.remove(machine);
                return Struck::Joins(joins);
            }
            _ => {}
        }
        Struck::Machines(vec![machine])
    }

    fn remove(&mut self, machine: usize) {
        self.power_off(machine);
        self.machines[machine].removed = true;
    }

    fn reset(&mut self, machine: usize) {
        use crate::network::{Item, Process};
        for (connection, side) in self.network.of(machine, Process::Control) {
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
                        life: one.life,
                        connection,
                        side: end,
                        item: Item::End,
                    };
                    self.later(0.0, event);
                }
            }
        }
    }

    fn undo(&mut self, kind: Kind, struck: Struck) {
        match (kind, struck) {
            (_, Struck::Ways(ways)) => {
                self.network.join(self.now, &ways);
                self.plan_arrivals();
            }
            (_, Struck::Joins(machine)) => self.restart(machine, 0.0),
            (_, Struck::AllJoin(machines)) => {
                machines
                    .into_iter()
                    .for_each(|machine| self.restart(machine, 0.0));
            }
            (Kind::Replace { planned: true, .. }, Struck::Machines(machines)) => {
                for machine in machines {
                    self.leave(machine);
                }
            }
            (Kind::PlatformDown, _) => self.platform_down -= 1,
            (Kind::AnswersLost, _) => self.answers_lost -= 1,
            (Kind::Closing { .. }, _) => {}
            (kind, Struck::Machines(machines)) => {
                machines
                    .into_iter()
                    .for_each(|machine| self.back(kind, machine));
            }
            (_, Struck::Nothing) => {}
        }
    }

    /// SIGTERM, and gone for good once it has ended or its grace is over.
    fn leave(&mut self, machine: usize) {
        if !self.machines[machine].is_running() {
            return self.remove(machine);
        }
        self.input(machine, Input::Terminate);
        self.later(GRACE_MS, Event::Remove { machine });
    }

    pub(super) fn remove_left(&mut self, machine: usize) {
        if !self.machines[machine].removed {
            self.remove(machine);
        }
    }

    fn back(&mut self, kind: Kind, machine: usize) {
        match kind {
            Kind::Power(_)
            | Kind::Wipe { .. }
            | Kind::ZonePower(_)
            | Kind::ZoneLoss { .. }
            | Kind::HerdPower => self.power_on(machine),
            Kind::Kill(_) | Kind::HerdKill | Kind::FrontKill(_) => self.restart(machine, 0.0),
            Kind::Freeze(_) => self.thaw(machine),
            Kind::Disk { .. } => self.set_mode(machine, Mode::Well),
            Kind::SlowLinks(_) => {
                let mbps = self.plan.link_mbps;
                self.network.set_link(machine, mbps);
            }
            Kind::SlowNode(_) => self.speed_up(machine),
            Kind::Terminate(_) => self.restart(machine, RESTART_MS),
            _ => {}
        }
    }
}

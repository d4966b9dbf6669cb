//! Start and end of processes, and the seed lists that they start with.
use super::event_loop::Event;
use super::timing::{CLIENT_LATENCY_MS, OPEN_RETRY_MS};
use super::Simulation;
use crate::disk::DiskMode;
use crate::event_log;
use crate::machine::{settings, ControlProcess, WAL_NAME};
use crate::network::Process;
use crate::simulated_proxy::SimulatedProxy;
use rand::Rng;
use sandtrack_control::node::{ControlNode, Start};
use sandtrack_wal::Wal;
use std::collections::{BTreeMap, VecDeque};

/// The number of addresses in a seed list.
const SEED_COUNT: usize = 3;
/// An index that no machine has: its address never answers.
const UNUSED_MACHINE: usize = 230;

impl Simulation {
    pub(super) fn running_control_machines(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|machine| {
                self.machines[*machine].runs_control() && self.machines[*machine].is_running()
            })
            .collect()
    }

    pub(super) fn control_machines(&self) -> Vec<usize> {
        let there = |machine: &usize| {
            self.machines[*machine].runs_control() && !self.machines[*machine].removed
        };
        (0..self.machines.len()).filter(there).collect()
    }

    /// The seed list in a machine's settings when its process starts or reloads them.
    pub(super) fn seeds(&mut self, machine: usize) -> Vec<usize> {
        if self.now < 1000.0 {
            return (0..SEED_COUNT).collect();
        }
        let membership_list = self
            .membership_list
            .front()
            .map(|(_, machines)| machines.clone());
        let membership_list = membership_list.unwrap_or_else(|| self.control_machines());
        if self.plan.stale_seeds {
            return self.stale_seeds(machine, &membership_list);
        }
        membership_list.into_iter().take(SEED_COUNT).collect()
    }

    /// One other machine that serves, at a random place among machines that are gone or never existed.
    fn stale_seeds(&mut self, machine: usize, membership_list: &[usize]) -> Vec<usize> {
        let core = self.control_machines();
        let serves = |seed: &usize| *seed != machine && core.contains(seed);
        let serving: Vec<usize> = membership_list.iter().copied().filter(serves).collect();
        let mut seeds: Vec<usize> = (1..SEED_COUNT).map(|_| self.any_seed()).collect();
        if !serving.is_empty() {
            let at = self.random.gen_range(0..=seeds.len());
            seeds.insert(at, serving[self.random.gen_range(0..serving.len())]);
        }
        seeds
    }

    /// The index of a machine that has or had a control node, or an unused one.
    fn any_seed(&mut self) -> usize {
        if self.random.gen_bool(0.3) {
            return UNUSED_MACHINE;
        }
        let known: Vec<usize> = (0..self.machines.len())
            .filter(|known| self.machines[*known].runs_control())
            .collect();
        known[self.random.gen_range(0..known.len())]
    }

    pub(super) fn start_control(&mut self, machine: usize) {
        let mine = &mut self.machines[machine];
        if mine.removed || mine.control.is_some() || self.network.is_powered_off(machine) {
            return;
        }
        if mine.frozen || mine.disk_mode == DiskMode::Stalled {
            return self.schedule(OPEN_RETRY_MS, Event::StartControl { machine });
        }
        let Ok((wal, recovered, _)) = Wal::open_in(mine.disk.clone(), WAL_NAME) else {
            return self.schedule(OPEN_RETRY_MS, Event::StartControl { machine });
        };
        mine.control_generation += 1;
        mine.running_since = self.now;
        let (zone, first_start) = (mine.zone, std::mem::replace(&mut mine.first_start, false));
        let settings = settings(machine, zone, true, first_start, &self.seeds(machine));
        self.incarnations += 1;
        let start = Start {
            incarnation: self.incarnations,
            recovered,
            disk: true,
        };
        event_log::set_machine(machine);
        let (node, effects) = ControlNode::new(settings, start, self.clock(machine));
        self.record(|| format!("machine {machine}: control starts"));
        self.machines[machine].control = Some(ControlProcess {
            node,
            wal,
            disk_queue: VecDeque::new(),
            links: BTreeMap::new(),
            sessions: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_tick_at: f64::INFINITY,
            last_numbers: (0, 0),
        });
        self.perform(machine, effects);
        self.after_input(machine);
    }

    pub(super) fn start_proxy(&mut self, machine: usize) {
        let mine = &self.machines[machine];
        if mine.removed || mine.proxy.is_some() || self.network.is_powered_off(machine) {
            return;
        }
        let (zone, core) = (mine.zone, mine.runs_control());
        let settings = settings(machine, zone, core, false, &self.seeds(machine));
        self.incarnations += 1;
        let proxy = SimulatedProxy::new(settings, self.incarnations, self.clock(machine));
        let mine = &mut self.machines[machine];
        mine.proxy = Some(proxy);
        mine.proxy_generation += 1;
        mine.running_since = self.now;
        let generation = mine.proxy_generation;
        self.schedule(
            0.0,
            Event::ProxyTick {
                machine,
                generation,
            },
        );
    }

    /// Ends the process at once. With `powered_off` its peers get no notice.
    pub(super) fn kill_control(&mut self, machine: usize, powered_off: bool) {
        let Some(mut control) = self.machines[machine].control.take() else {
            return;
        };
        self.machines[machine].control_generation += 1;
        if let Some(order) = control.disk_queue.pop_front() {
            // The request under way is carried out up to a random point.
            let mine = &self.machines[machine];
            mine.disk.fail_after(Some(self.random.gen_range(0..8)));
            let _ = if order.replaces_log {
                control.wal.rewrite(&order.records)
            } else {
                control.wal.append(&order.records)
            };
            mine.disk.fail_after(None);
        }
        self.drop_connections(machine, Process::Control, powered_off);
        if !powered_off {
            for call in control.calls.into_values() {
                self.schedule(CLIENT_LATENCY_MS, Event::CallFailed { call });
            }
        }
        self.forget_inbox(machine, Process::Control);
    }

    pub(super) fn kill_proxy(&mut self, machine: usize, powered_off: bool) {
        if self.machines[machine].proxy.take().is_some() {
            self.machines[machine].proxy_generation += 1;
            self.machines[machine].proxy_connections.clear();
            self.drop_connections(machine, Process::Proxy, powered_off);
            self.forget_inbox(machine, Process::Proxy);
        }
    }

    pub(super) fn forget_inbox(&mut self, machine: usize, dead: Process) {
        if let Some(inbox) = self.deferred_events.get_mut(&machine) {
            inbox.retain(|event| match event {
                Event::Deliver { process, .. } => *process != dead,
                Event::Accept { .. } | Event::OperatorCall { .. } => dead != Process::Control,
                _ => true,
            });
        }
    }

    pub(super) fn drop_connections(&mut self, machine: usize, process: Process, powered_off: bool) {
        for (connection, side) in self.network.connections_of(machine, process) {
            self.network.close(self.now, connection, side, powered_off);
        }
        self.schedule_arrivals();
    }
}

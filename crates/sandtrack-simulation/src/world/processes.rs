//! Processes that start and end, and the machines of the core.
use super::event_loop::Event;
use super::operator_calls::CLIENT_MS;
use super::World;
use crate::disk::Mode;
use crate::front::Front;
use crate::log_lines;
use crate::machine::{settings, Control, WAL_NAME};
use crate::network::Process;
use crate::plan::Millis;
use rand::Rng;
use sandtrack_control::node::{ControlNode, Start};
use sandtrack_wal::Wal;
use std::collections::{BTreeMap, VecDeque};

/// A disk that refuses to open the WAL is tried again after this, in ms.
const OPEN_AGAIN_MS: Millis = 300.0;
/// Addresses in a seed list.
const SEEDS: usize = 3;
/// No machine has this number: nobody answers at its address.
const NOBODY: usize = 230;

impl World {
    pub(super) fn running_core(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|machine| self.machines[*machine].core && self.machines[*machine].is_running())
            .collect()
    }

    pub(super) fn core(&self) -> Vec<usize> {
        let there =
            |machine: &usize| self.machines[*machine].core && !self.machines[*machine].removed;
        (0..self.machines.len()).filter(there).collect()
    }

    /// The seeds in a machine's settings, as it starts or reads them again.
    pub(super) fn seeds(&mut self, machine: usize) -> Vec<usize> {
        if self.now < 1000.0 {
            return (0..SEEDS).collect();
        }
        let listed = self.listed.front().map(|(_, machines)| machines.clone());
        let listed = listed.unwrap_or_else(|| self.core());
        if self.plan.stale_seeds {
            return self.stale_seeds(machine, &listed);
        }
        listed.into_iter().take(SEEDS).collect()
    }

    /// One that serves and is another machine, and any others: gone, or never started.
    fn stale_seeds(&mut self, machine: usize, listed: &[usize]) -> Vec<usize> {
        let core = self.core();
        let serves = |seed: &usize| *seed != machine && core.contains(seed);
        let serving: Vec<usize> = listed.iter().copied().filter(serves).collect();
        let mut seeds: Vec<usize> = (1..SEEDS).map(|_| self.any_seed()).collect();
        if !serving.is_empty() {
            let at = self.random.gen_range(0..=seeds.len());
            seeds.insert(at, serving[self.random.gen_range(0..serving.len())]);
        }
        seeds
    }

    /// A machine that has a control node or had one, or an address where there is none.
    fn any_seed(&mut self) -> usize {
        if self.random.gen_bool(0.3) {
            return NOBODY;
        }
        let known: Vec<usize> = (0..self.machines.len())
            .filter(|known| self.machines[*known].core)
            .collect();
        known[self.random.gen_range(0..known.len())]
    }

    pub(super) fn start_control(&mut self, machine: usize) {
        let mine = &mut self.machines[machine];
        if mine.removed || mine.control.is_some() || self.network.is_dark(machine) {
            return;
        }
        if mine.frozen || mine.mode == Mode::Stalled {
            return self.later(OPEN_AGAIN_MS, Event::StartControl { machine });
        }
        let Ok((wal, recovered, _)) = Wal::open_in(mine.disk.clone(), WAL_NAME) else {
            return self.later(OPEN_AGAIN_MS, Event::StartControl { machine });
        };
        mine.control_life += 1;
        mine.runs_since = self.now;
        let (zone, first_start) = (mine.zone, std::mem::replace(&mut mine.first, false));
        let settings = settings(machine, zone, true, first_start, &self.seeds(machine));
        self.incarnations += 1;
        let start = Start {
            incarnation: self.incarnations,
            recovered,
            disk: true,
        };
        log_lines::set_machine(machine);
        let (node, effects) = ControlNode::new(settings, start, self.clock(machine));
        self.say(|| format!("machine {machine}: control starts"));
        self.machines[machine].control = Some(Control {
            node,
            wal,
            orders: VecDeque::new(),
            links: BTreeMap::new(),
            sessions: BTreeMap::new(),
            calls: BTreeMap::new(),
            tick_at: f64::INFINITY,
            seen: (0, 0),
        });
        self.perform(machine, effects);
        self.after_input(machine);
    }

    pub(super) fn start_proxy(&mut self, machine: usize) {
        let mine = &self.machines[machine];
        if mine.removed || mine.proxy.is_some() || self.network.is_dark(machine) {
            return;
        }
        let (zone, core) = (mine.zone, mine.core);
        let settings = settings(machine, zone, core, false, &self.seeds(machine));
        self.incarnations += 1;
        let front = Front::new(settings, self.incarnations, self.clock(machine));
        let mine = &mut self.machines[machine];
        mine.proxy = Some(front);
        mine.proxy_life += 1;
        mine.runs_since = self.now;
        let life = mine.proxy_life;
        self.later(0.0, Event::ProxyTick { machine, life });
    }

    /// A process ends at once. With `dark` nobody is told.
    pub(super) fn kill_control(&mut self, machine: usize, dark: bool) {
        let Some(mut control) = self.machines[machine].control.take() else {
            return;
        };
        self.machines[machine].control_life += 1;
        if let Some(order) = control.orders.pop_front() {
            // What the disk was doing is done up to some point.
            let mine = &self.machines[machine];
            mine.disk.stop_after(Some(self.random.gen_range(0..8)));
            let _ = if order.rewrites {
                control.wal.rewrite(&order.records)
            } else {
                control.wal.append(&order.records)
            };
            mine.disk.stop_after(None);
        }
        self.drop_connections(machine, Process::Control, dark);
        if !dark {
            for call in control.calls.into_values() {
                self.later(CLIENT_MS, Event::CallFailed { call });
            }
        }
        self.forget_inbox(machine, Process::Control);
    }

    pub(super) fn kill_proxy(&mut self, machine: usize, dark: bool) {
        if self.machines[machine].proxy.take().is_some() {
            self.machines[machine].proxy_life += 1;
            self.machines[machine].proxy_connections.clear();
            self.drop_connections(machine, Process::Proxy, dark);
            self.forget_inbox(machine, Process::Proxy);
        }
    }

    pub(super) fn forget_inbox(&mut self, machine: usize, dead: Process) {
        if let Some(inbox) = self.inboxes.get_mut(&machine) {
            inbox.retain(|event| match event {
                Event::Deliver { process, .. } => *process != dead,
                Event::Accept { .. } | Event::OperatorCall { .. } => dead != Process::Control,
                _ => true,
            });
        }
    }

    pub(super) fn drop_connections(&mut self, machine: usize, process: Process, dark: bool) {
        for (connection, side) in self.network.of(machine, process) {
            self.network.close(self.now, connection, side, dark);
        }
        self.plan_arrivals();
    }
}

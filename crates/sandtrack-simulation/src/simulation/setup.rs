//! The initial state: the machines, and the events of the plan's faults.
use super::event_loop::Event;
use super::Simulation;
use crate::machine::{Machine, Role};
use crate::network::Network;
use crate::operators::Operators;
use crate::oracle::Oracle;
use crate::plan::{Millis, Plan, ZONES};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The highest initial reading of a steady clock, in ms.
const MAX_CLOCK_OFFSET_MS: Millis = 1e7;

impl Simulation {
    /// The initial state of a plan: all machines are about to start.
    pub fn new(plan: Plan) -> Simulation {
        let mut simulation = Simulation {
            now: 0.0,
            random: Pcg64Mcg::seed_from_u64(plan.seed ^ 0x776f_726c_6473),
            machines: Vec::new(),
            network: Network::default(),
            operators: Operators::new(
                plan.seed,
                plan.filler_routes,
                plan.max_pause_ms,
                plan.busy_operators,
            ),
            oracle: Oracle::default(),
            events: BTreeMap::new(),
            event_sequence: 0,
            deferred_events: BTreeMap::new(),
            membership_list: VecDeque::new(),
            platform_outages: 0,
            response_loss_faults: 0,
            last_acknowledged: None,
            last_fault_at: 0.0,
            active_faults: BTreeSet::new(),
            status: None,
            frames: 0,
            incarnations: plan.seed << 20,
            impacts: BTreeMap::new(),
            armed_faults: BTreeMap::new(),
            triggered_faults: 0,
            last_settled_evacuations: BTreeMap::new(),
            last_acknowledged_version: 0,
            direct_call: None,
            deferred_disk_inputs: BTreeMap::new(),
            plan,
        };
        for number in 0..simulation.plan.control_machines + simulation.plan.proxy_machines {
            let role = if number < simulation.plan.control_machines {
                Role::ControlAndProxy
            } else {
                Role::ProxyOnly
            };
            let machine = simulation.add_machine(number % ZONES, role, true);
            let after = simulation.random.gen_range(0.0..300.0);
            if role == Role::ControlAndProxy {
                simulation.schedule(after, Event::StartControl { machine });
            }
            simulation.schedule(after, Event::StartProxy { machine });
        }
        for fault in 0..simulation.plan.faults.len() {
            let at = simulation.plan.faults[fault].at_ms;
            simulation.schedule(at, Event::FaultBegins(fault));
            let ends = simulation.plan.faults[fault].ends_at_ms();
            simulation.schedule(ends, Event::FaultEnds(fault));
        }
        simulation.schedule(0.0, Event::Observe);
        simulation
    }

    pub(super) fn add_machine(&mut self, zone: usize, role: Role, first_start: bool) -> usize {
        let number = self.machines.len();
        self.machines.push(Machine::new(zone, role, first_start));
        let far = self.plan.remote_zone && zone == 1;
        self.network
            .add_machine(number, zone, far, self.plan.link_mbps);
        self.set_clock(number);
        number
    }

    /// Draws the reading from which a machine's steady clock goes on, if the plan has separate clocks.
    pub(super) fn set_clock(&mut self, machine: usize) {
        if self.plan.own_clocks {
            self.machines[machine].clock_offset_ms =
                self.random.gen_range(0.0..MAX_CLOCK_OFFSET_MS);
        }
    }
}

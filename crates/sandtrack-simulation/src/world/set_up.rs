//! A world as it begins: its machines, and the events that its plan holds.
use super::event_loop::Event;
use super::World;
use crate::judge::Checks;
use crate::machine::Machine;
use crate::network::Network;
use crate::operators::Operators;
use crate::plan::{Millis, Plan, ZONES};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A machine has run for up to this long before the world begins, or shows so much after a loss of power, in ms.
const CLOCK_MOST_MS: Millis = 1e7;

impl World {
    pub fn new(plan: Plan) -> World {
        let mut world = World {
            now: 0.0,
            random: Pcg64Mcg::seed_from_u64(plan.seed ^ 0x776f_726c_6473),
            machines: Vec::new(),
            network: Network::default(),
            operators: Operators::new(plan.seed, plan.ballast, plan.pace_ms, plan.busy_operators),
            checks: Checks::default(),
            events: BTreeMap::new(),
            order: 0,
            inboxes: BTreeMap::new(),
            listed: VecDeque::new(),
            platform_down: 0,
            answers_lost: 0,
            last_acknowledged: None,
            troubled: 0.0,
            active_faults: BTreeSet::new(),
            status: None,
            frames: 0,
            incarnations: plan.seed << 20,
            struck: BTreeMap::new(),
            armed: BTreeMap::new(),
            blows: 0,
            settled_seen: BTreeMap::new(),
            acknowledged_seen: 0,
            direct: None,
            disk_waits: BTreeMap::new(),
            plan,
        };
        for number in 0..world.plan.core + world.plan.others {
            let core = number < world.plan.core;
            let machine = world.add_machine(number % ZONES, core, true);
            let after = world.random.gen_range(0.0..300.0);
            if core {
                world.later(after, Event::StartControl { machine });
            }
            world.later(after, Event::StartProxy { machine });
        }
        for fault in 0..world.plan.faults.len() {
            let at = world.plan.faults[fault].at;
            world.later(at, Event::FaultBegins(fault));
            let ends = world.plan.faults[fault].ends();
            world.later(ends, Event::FaultEnds(fault));
        }
        world.later(0.0, Event::Look);
        world
    }

    pub(super) fn add_machine(&mut self, zone: usize, core: bool, first: bool) -> usize {
        let number = self.machines.len();
        self.machines.push(Machine::new(zone, core, first));
        let far = self.plan.far_zone && zone == 1;
        self.network
            .add_machine(number, zone, far, self.plan.link_mbps);
        self.set_clock(number);
        number
    }

    /// The steady clock of a machine begins somewhere, where each has its own.
    pub(super) fn set_clock(&mut self, machine: usize) {
        if self.plan.own_clocks {
            self.machines[machine].clock_ahead = self.random.gen_range(0.0..CLOCK_MOST_MS);
        }
    }
}

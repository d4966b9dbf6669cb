//! A world as it begins: its machines, and the events that its plan holds.
use super::event_loop::Event;
use super::World;
use crate::judge::Checks;
use crate::machine::Machine;
use crate::network::Network;
use crate::operators::Operators;
use crate::plan::{Plan, ZONES};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

impl World {
    pub fn new(plan: Plan) -> World {
        let mut world = World {
            now: 0.0,
            random: Pcg64Mcg::seed_from_u64(plan.seed ^ 0x776f_726c_6473),
            machines: Vec::new(),
            network: Network::default(),
            operators: Operators::new(plan.seed, plan.ballast, plan.pace_ms),
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
        self.network.add_machine(number, zone, far, self.plan.link_mbps);
        number
    }
}

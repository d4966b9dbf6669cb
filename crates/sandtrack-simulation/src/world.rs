//! One world: machines, network, operators, platform and faults on a clock that is only counted. What the processes ask for
//! is carried out here as the programs do it.
//!
//! [`set_up`] begins it, [`event_loop`] plays it, [`faults`] breaks it, [`calm`] ends it; the other parts play what their
//! names say.
mod calm;
mod closing;
mod connections;
mod control_effects;
mod event_loop;
mod faults;
mod operator_calls;
mod processes;
mod proxies;
mod set_up;
mod watch;

use crate::judge::{Broken, Checks};
use crate::log_lines;
use crate::machine::Machine;
use crate::network::Network;
use crate::operators::Operators;
use crate::plan::{Millis, Moment, Plan, Struck};
use event_loop::Event;
use rand_pcg::Pcg64Mcg;
use sandtrack_control::node::Input;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A process starts again after this, in ms.
const RESTART_MS: Millis = 300.0;
/// Bounds of the rules, in ms: `in_touch_ms`, `configuration_apply_ms`, `evacuation_ms`.
const IN_TOUCH_MS: Millis = 5000.0;
const CONFIGURATION_APPLY_MS: Millis = 3000.0;
const EVACUATION_MS: Millis = 5000.0;

/// What a world came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// The first breach of each rule.
    pub broken: Vec<Broken>,
    /// Calls with a clear answer, changes acknowledged, the last epoch, frames delivered.
    pub calls: u64,
    pub changes: u64,
    pub views: u64,
    pub frames: u64,
    /// Closing faults that found their moment.
    pub blows: u64,
}

pub struct World {
    now: Millis,
    plan: Plan,
    random: Pcg64Mcg,
    machines: Vec<Machine>,
    network: Network,
    operators: Operators,
    checks: Checks,
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    /// What waits at frozen machines.
    inboxes: BTreeMap<usize, VecDeque<Event>>,
    /// The machines that operators know, as they were at a time.
    listed: VecDeque<(Millis, Vec<usize>)>,
    platform_down: u32,
    answers_lost: u32,
    last_acknowledged: Option<usize>,
    /// When there was trouble last.
    troubled: Millis,
    active_faults: BTreeSet<usize>,
    /// The answer of a status call that is taken at once.
    status: Option<String>,
    frames: u64,
    incarnations: u64,
    /// What a fault struck, to be undone at its end.
    struck: BTreeMap<usize, Struck>,
    /// Closing faults that wait for their moment, and how many have struck.
    armed: BTreeMap<usize, Moment>,
    blows: u64,
    settled_seen: BTreeMap<String, (bool, u64)>,
    acknowledged_seen: u64,
    /// A call of the calm at the end, and its answer.
    direct: Option<(u64, Option<(u16, String)>)>,
    /// What the disks of frozen machines have done meanwhile, with the life that it is for.
    disk_waits: BTreeMap<usize, Vec<(u64, Input)>>,
}

impl World {
    /// Plays it to its end: the faults, a calm, and what has to hold after it.
    pub fn play(&mut self) -> Outcome {
        self.run(self.plan.span_ms);
        self.calm();
        Outcome {
            broken: self.checks.broken.clone(),
            calls: self.operators.answered,
            changes: self.operators.changes_acknowledged,
            views: self.newest_view().map_or(0, |(epoch, _)| epoch),
            frames: self.frames,
            blows: self.blows,
        }
    }

    /// What the steady clock of a machine shows.
    fn clock(&self, machine: usize) -> Millis {
        self.now + self.machines[machine].clock_ahead
    }

    fn say(&self, what: impl FnOnce() -> String) {
        log_lines::say(what);
    }
}

//! A simulated cluster: machines, network, operators, platform and faults on a simulated clock. The effects that the
//! processes ask for are carried out here as the real programs do it.
//!
//! `setup` builds it, `event_loop` runs it, `faults` injects faults, `steady_state` checks it after the last fault, and
//! `timing` holds the durations and limits that several of these modules share.
mod connections;
mod control_effects;
mod deferral;
mod event_loop;
mod fault_recovery;
mod fault_targets;
mod faults;
mod observer;
mod operator_calls;
mod power;
mod processes;
mod proxies;
mod setup;
mod steady_state;
mod timing;
mod triggered_faults;

use crate::event_log;
use crate::machine::Machine;
use crate::network::Network;
use crate::operators::Operators;
use crate::oracle::{Oracle, Violation};
use crate::plan::{Impact, Millis, Plan, Trigger};
use event_loop::Event;
use rand_pcg::Pcg64Mcg;
use sandtrack_control::node::Input;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The result of one simulation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// The first violation of each rule.
    pub violations: Vec<Violation>,
    /// Calls with a definite response.
    pub calls: u64,
    /// Changes that were acknowledged.
    pub changes: u64,
    /// The epoch of the newest view.
    pub views: u64,
    /// Frames that were delivered.
    pub frames: u64,
    /// Triggered faults whose trigger fired.
    pub triggered_faults: u64,
}

/// The state of one simulation.
pub struct Simulation {
    now: Millis,
    plan: Plan,
    random: Pcg64Mcg,
    machines: Vec<Machine>,
    network: Network,
    operators: Operators,
    oracle: Oracle,
    /// Scheduled events by their time in µs and their sequence number.
    events: BTreeMap<(u64, u64), Event>,
    /// The sequence number of the event that was scheduled last.
    event_sequence: u64,
    /// Events that wait at frozen or busy machines.
    deferred_events: BTreeMap<usize, VecDeque<Event>>,
    /// Snapshots of the operators' list of machines, each with its time.
    membership_list: VecDeque<(Millis, Vec<usize>)>,
    /// Active faults that make the platform's API fail.
    platform_outages: u32,
    /// Active faults that lose responses to operators.
    response_loss_faults: u32,
    /// The machine whose control node acknowledged a request last.
    last_acknowledged: Option<usize>,
    /// The last time at which a fault was active or a machine was down.
    last_fault_at: Millis,
    active_faults: BTreeSet<usize>,
    /// The response to a status call that the simulation itself made.
    status: Option<String>,
    /// Frames that were delivered.
    frames: u64,
    /// The incarnation that was given to a process last.
    incarnations: u64,
    /// What each active fault struck, to be undone at its end.
    impacts: BTreeMap<usize, Impact>,
    /// Triggered faults that wait for their trigger.
    armed_faults: BTreeMap<usize, Trigger>,
    /// Triggered faults whose trigger fired.
    triggered_faults: u64,
    /// The settled evacuations for which checks of proxies were scheduled last: state and number.
    last_settled_evacuations: BTreeMap<String, (bool, u64)>,
    /// The acknowledged version for which a check of proxies was scheduled last.
    last_acknowledged_version: u64,
    /// A call made in the steady state at the end, and its response.
    direct_call: Option<(u64, Option<(u16, String)>)>,
    /// Completions of the disks of frozen machines, each with the process generation that it belongs to.
    deferred_disk_inputs: BTreeMap<usize, Vec<(u64, Input)>>,
}

impl Simulation {
    /// Runs the plan to its end, then checks the steady state after the last fault.
    pub fn run(&mut self) -> Outcome {
        self.run_for(self.plan.fault_window_ms);
        self.check_steady_state();
        Outcome {
            violations: self.oracle.violations.clone(),
            calls: self.operators.definite_responses,
            changes: self.operators.changes_acknowledged,
            views: self.newest_view().map_or(0, |(epoch, _)| epoch),
            frames: self.frames,
            triggered_faults: self.triggered_faults,
        }
    }

    /// The reading of a machine's steady clock.
    fn clock(&self, machine: usize) -> Millis {
        self.now + self.machines[machine].clock_offset_ms
    }

    fn record(&self, what: impl FnOnce() -> String) {
        event_log::record(what);
    }
}

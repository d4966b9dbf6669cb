//! The periodic observer: timed-out connections, operators' calls, active faults, isolated machines and the newest view.
use super::event_loop::Event;
use super::timing::{CLIENT_LATENCY_MS, CONNECTED_AFTER_MS, OBSERVE_INTERVAL_MS};
use super::Simulation;
use crate::documents;
use crate::machine::machine_of;
use crate::network::Item;
use crate::operators::{OutgoingCall, ACKNOWLEDGE_LIMIT_MS};
use crate::plan::{Millis, RequestKind};
use sandtrack_control::node::Input;
use sandtrack_control::operator_api::call_age::Arrival as CallArrival;

/// The delay of the operators' list of machines, in ms.
const MEMBERSHIP_LIST_LAG_MS: Millis = 3000.0;
/// Operators start at this time, in ms.
const OPERATORS_START_MS: Millis = 500.0;
/// The cluster counts as stable after this long without a fault, in ms.
const STABLE_AFTER_MS: Millis = CONNECTED_AFTER_MS;

impl Simulation {
    pub(super) fn observe(&mut self) {
        self.close_timed_out_connections();
        self.update_isolation();
        let machines = self.listed_machines();
        if self.now > OPERATORS_START_MS {
            for outgoing in self.operators.tick(self.now, &machines, &mut self.oracle) {
                self.send_call(outgoing);
            }
        }
        self.check_pending_operations();
        self.schedule(OBSERVE_INTERVAL_MS, Event::Observe);
    }

    fn close_timed_out_connections(&mut self) {
        for (connection, side) in self.network.time_out(self.now) {
            let Some(known) = self.network.connections.get(&connection) else {
                continue;
            };
            let end = known.ends[side].clone();
            self.network.close(self.now, connection, side, false);
            if end.local_id.is_some() {
                let (machine, process, generation, item) =
                    (end.machine, end.process, end.generation, Item::Fin);
                self.schedule(
                    0.0,
                    Event::Deliver {
                        machine,
                        process,
                        generation,
                        connection,
                        side,
                        item,
                    },
                );
            }
        }
        self.schedule_arrivals();
    }

    /// The operators' delayed list of machines. It names machines that are down: it knows nothing of faults.
    fn listed_machines(&mut self) -> Vec<usize> {
        let core = self.control_machines();
        self.membership_list.push_back((self.now, core));
        while self
            .membership_list
            .front()
            .is_some_and(|(at, _)| self.now - at > MEMBERSHIP_LIST_LAG_MS)
            && self.membership_list.len() > 1
        {
            self.membership_list.pop_front();
        }
        self.membership_list
            .front()
            .map(|(_, machines)| machines.clone())
            .unwrap_or_default()
    }

    fn send_call(&mut self, outgoing: OutgoingCall) {
        let OutgoingCall {
            call,
            machine,
            message,
            description,
        } = outgoing;
        self.record(|| format!("operators: call {call} to machine {machine}, {description}"));
        if self.operators.requested_by(call) == Some(RequestKind::Change) {
            self.on_change_sent();
        }
        let bytes = message.body.len() as f64 / (self.plan.link_mbps * 125.0);
        self.schedule(
            CLIENT_LATENCY_MS + bytes,
            Event::OperatorCall {
                machine,
                call,
                message,
                queued_at: None,
            },
        );
    }

    /// Checks that operations are answered in time, counted from when the cluster became stable.
    fn check_pending_operations(&mut self) {
        let stable = self.last_fault_at + STABLE_AFTER_MS;
        for (order, began) in self.operators.pending() {
            let waits_ms = self.now - began.max(stable);
            self.oracle
                .response_time_when_stable(order, waits_ms, ACKNOWLEDGE_LIMIT_MS);
        }
    }

    /// Records whether a fault is active, and since when machines have been isolated.
    pub(super) fn update_isolation(&mut self) {
        let core = self.control_machines();
        let runs = |machine: &usize| {
            self.machines[*machine].is_running() && !self.network.is_powered_off(*machine)
        };
        if !self.active_faults.is_empty() || !core.iter().all(runs) {
            self.last_fault_at = self.now;
        }
        for machine in core.iter().copied() {
            let is_isolated = self.is_isolated(machine, &core);
            let since = &mut self.machines[machine].isolated_since;
            *since = if is_isolated {
                since.or(Some(self.now))
            } else {
                None
            };
        }
    }

    /// Whether a machine certainly reaches no majority of the voters: it reaches at most half of the control nodes, all in
    /// its own zone. Half of the control nodes across zones may hold a majority of the voters, which are fewer.
    fn is_isolated(&self, machine: usize, core: &[usize]) -> bool {
        let reaches = |other: &&usize| {
            **other == machine
                || self.network.is_reachable(machine, **other)
                    && self.network.is_reachable(**other, machine)
        };
        let reached: Vec<usize> = core.iter().filter(reaches).copied().collect();
        let zone = self.machines[machine].zone;
        2 * reached.len() <= core.len()
            && reached
                .iter()
                .all(|other| self.machines[*other].zone == zone)
    }

    /// The epoch and the chain of the newest view that a running machine knows.
    pub(super) fn newest_view(&mut self) -> Option<(u64, Vec<usize>)> {
        let mut newest: Option<(u64, Vec<usize>)> = None;
        for machine in self.running_control_machines() {
            let now = self.clock(machine);
            self.status = None;
            let number = match self.machines[machine].control.as_mut() {
                Some(control) => control.node.call_begun(CallArrival::at(now)),
                None => continue,
            };
            let message = documents::request("GET", "/v1/status", 0, "");
            self.input(
                machine,
                Input::Call {
                    call: number,
                    message,
                },
            );
            let view = self.status.take().and_then(|body| view_of(&body));
            if let Some(view) =
                view.filter(|view| newest.as_ref().is_none_or(|known| known.0 < view.0))
            {
                newest = Some(view);
            }
        }
        newest
    }
}

/// The epoch and the chain in the response to a status call.
fn view_of(body: &str) -> Option<(u64, Vec<usize>)> {
    let value: serde_json::Value = serde_json::from_str(body).ok()?;
    let view = value.get("view")?;
    let chain = view.get("chain")?.as_array()?;
    let chain = chain
        .iter()
        .filter_map(|address| machine_of(address.as_str()?))
        .collect();
    Some((view.get("epoch")?.as_u64()?, chain))
}

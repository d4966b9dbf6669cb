//! What is looked at now and then: connections that are given up, operators, trouble, and the newest view.
use super::event_loop::Event;
use super::operator_calls::CLIENT_MS;
use super::{World, IN_TOUCH_MS};
use crate::documents;
use crate::machine::machine_of;
use crate::network::Item;
use crate::operators::{Outgoing, ACKNOWLEDGE_MS};
use crate::plan::{Acknowledged, Millis};
use sandtrack_control::node::Input;
use sandtrack_control::operator_api::call_age::Arrival as CallArrival;

pub(super) const LOOK_MS: Millis = 50.0;
/// The operators' list of machines lags by this, in ms.
const LIST_LAG_MS: Millis = 3000.0;
/// Operators begin after this, in ms.
const OPERATORS_BEGIN_MS: Millis = 500.0;
/// Without trouble for so long, the core is stable, in ms.
const STABLE_MS: Millis = IN_TOUCH_MS;

impl World {
    pub(super) fn look(&mut self) {
        self.give_up_connections();
        self.watch();
        let machines = self.machines_listed();
        if self.now > OPERATORS_BEGIN_MS {
            for outgoing in self.operators.tick(self.now, &machines, &mut self.checks) {
                self.call_leaves(outgoing);
            }
        }
        self.orders_are_answered_in_time();
        self.later(LOOK_MS, Event::Look);
    }

    fn give_up_connections(&mut self) {
        for (connection, side) in self.network.give_up(self.now) {
            let Some(known) = self.network.connections.get(&connection) else {
                continue;
            };
            let end = known.ends[side].clone();
            self.network.close(self.now, connection, side, false);
            if end.number.is_some() {
                let (machine, process, life, item) =
                    (end.machine, end.process, end.life, Item::End);
                self.later(
                    0.0,
                    Event::Deliver {
                        machine,
                        process,
                        life,
                        connection,
                        side,
                        item,
                    },
                );
            }
        }
        self.plan_arrivals();
    }

    /// The operators' list, which lags. Also those that are down for a while: it knows nothing of that.
    fn machines_listed(&mut self) -> Vec<usize> {
        let core = self.core();
        self.listed.push_back((self.now, core));
        while self
            .listed
            .front()
            .is_some_and(|(at, _)| self.now - at > LIST_LAG_MS)
            && self.listed.len() > 1
        {
            self.listed.pop_front();
        }
        self.listed
            .front()
            .map(|(_, machines)| machines.clone())
            .unwrap_or_default()
    }

    fn call_leaves(&mut self, outgoing: Outgoing) {
        let Outgoing {
            call,
            machine,
            message,
            about,
        } = outgoing;
        self.say(|| format!("operators: call {call} to machine {machine}, {about}"));
        if self.operators.asked_by(call) == Some(Acknowledged::Change) {
            self.change_leaves();
        }
        let bytes = message.body.len() as f64 / (self.plan.link_mbps * 125.0);
        self.later(
            CLIENT_MS + bytes,
            Event::OperatorCall {
                machine,
                call,
                message,
                came: None,
            },
        );
    }

    /// An order is acknowledged within its time, from when the core was stable.
    fn orders_are_answered_in_time(&mut self) {
        let stable = self.troubled + STABLE_MS;
        for (order, began) in self.operators.open() {
            let waits_ms = self.now - began.max(stable);
            self.checks
                .answered_when_stable(order, waits_ms, ACKNOWLEDGE_MS);
        }
    }

    /// Takes note of trouble, and of machines that have no way to a majority.
    pub(super) fn watch(&mut self) {
        let core = self.core();
        let runs = |machine: &usize| {
            self.machines[*machine].is_running() && !self.network.is_dark(*machine)
        };
        if !self.active_faults.is_empty() || !core.iter().all(runs) {
            self.troubled = self.now;
        }
        for machine in core.iter().copied() {
            let is_alone = self.is_alone(machine, &core);
            let since = &mut self.machines[machine].alone_since;
            *since = if is_alone {
                since.or(Some(self.now))
            } else {
                None
            };
        }
    }

    /// Whether it surely has no way to a majority of the voters: it reaches half of the core at most, and no other zone. A
    /// half of the core that spans zones may hold a majority of the voters, which are fewer.
    fn is_alone(&self, machine: usize, core: &[usize]) -> bool {
        let reaches = |other: &&usize| {
            **other == machine
                || self.network.is_open(machine, **other) && self.network.is_open(**other, machine)
        };
        let reached: Vec<usize> = core.iter().filter(reaches).copied().collect();
        let zone = self.machines[machine].zone;
        2 * reached.len() <= core.len()
            && reached
                .iter()
                .all(|other| self.machines[*other].zone == zone)
    }

    /// Epoch and chain of the newest view that a running machine knows.
    pub(super) fn newest_view(&mut self) -> Option<(u64, Vec<usize>)> {
        let mut newest: Option<(u64, Vec<usize>)> = None;
        for machine in self.running_core() {
            let now = self.clock(machine);
            self.status = None;
            let number = match self.machines[machine].control.as_mut() {
                Some(control) => control.node.call_begun(CallArrival::at(now)),
                None => continue,
            };
            let message = documents::call("GET", "/v1/status", 0, "");
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

/// Epoch and chain in the answer of a status call.
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

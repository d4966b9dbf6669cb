//! Operators' calls on their way to control nodes, and the answers back.
use super::event_loop::Event;
use super::proxies::ALONE_MOST_MS;
use super::{World, CONFIGURATION_APPLY_MS, EVACUATION_MS};
use crate::machine::ip;
use crate::plan::{Acknowledged, Millis};
use rand::Rng;
use sandtrack_control::node::Input;
use sandtrack_control::operator_api::call_age::Arrival as CallArrival;
use sandtrack_control::operator_api::Reply;
use sandtrack_sidecar_core::message::Message;
use std::collections::BTreeMap;

/// One way between an operator and a machine, in ms.
pub(super) const CLIENT_MS: Millis = 3.0;

impl World {
    pub(super) fn operator_call(
        &mut self,
        machine: usize,
        call: u64,
        message: Message,
        came: Millis,
    ) {
        if self.network.is_dark(machine) {
            return;
        }
        let arrival = CallArrival {
            queued_since: came + self.machines[machine].clock_ahead,
            accepted: self.clock(machine),
        };
        let Some(control) = self.machines[machine].control.as_mut() else {
            return self.later(CLIENT_MS, Event::CallFailed { call });
        };
        let number = control.node.call_begun(arrival);
        control.calls.insert(number, call);
        self.input(
            machine,
            Input::Call {
                call: number,
                message,
            },
        );
    }

    pub(super) fn reply(&mut self, machine: usize, number: u64, reply: Reply) {
        let Reply {
            status,
            body,
            location,
            ..
        } = reply;
        let Some(control) = self.machines[machine].control.as_mut() else {
            return;
        };
        let Some(call) = control.calls.remove(&number) else {
            self.status = Some(body);
            return;
        };
        let alone_ms = self.machines[machine]
            .alone_since
            .map_or(0.0, |since| self.now - since);
        self.checks
            .definite_answer(machine, status, alone_ms, ALONE_MOST_MS);
        let is_zone_order = matches!(
            self.operators.asked_by(call),
            Some(Acknowledged::Evacuation)
        );
        let own = format!("http://{}:", ip(machine));
        let names_another = location.is_some_and(|location| !location.starts_with(&own));
        self.checks
            .redirect(machine, status, is_zone_order, names_another);
        if status == 200 {
            self.last_acknowledged = Some(machine);
            if let Some(what) = self.operators.asked_by(call) {
                self.acknowledgement_leaves(what);
            }
        }
        if self.answers_lost > 0 && self.random.gen_bool(0.7) {
            return;
        }
        self.later(CLIENT_MS, Event::Answer { call, status, body });
    }

    pub(super) fn answer(&mut self, call: u64, status: u16, body: &str) {
        if let Some((direct, answer)) = &mut self.direct {
            if *direct == call {
                *answer = Some((status, body.to_owned()));
                return;
            }
        }
        self.say(|| {
            let text: String = body.chars().take(80).collect();
            format!("operators: call {call} answered {status} {text}")
        });
        self.operators
            .answer(self.now, call, status, body, &mut self.checks);
        self.plan_applied();
    }

    pub(super) fn direct_answer(&self) -> Option<(u16, String)> {
        self.direct.as_ref().and_then(|(_, answer)| answer.clone())
    }

    /// What was acknowledged just now is looked for at the proxies when their time is over.
    pub(super) fn plan_applied(&mut self) {
        let version = self.checks.newest_acknowledged();
        if version > std::mem::replace(&mut self.acknowledged_seen, version) {
            let event = Event::Applied {
                version,
                since: self.now,
            };
            self.later(CONFIGURATION_APPLY_MS, event);
        }
        let settled = self.checks.settled_evacuations();
        let settled: BTreeMap<String, (bool, u64)> = settled
            .map(|(zone, begun, number)| (zone.to_owned(), (begun, number)))
            .collect();
        for (zone, (begun, number)) in &settled {
            if self.settled_seen.get(zone) != Some(&(*begun, *number)) {
                let (begun, number) = (*begun, *number);
                let event = Event::Evacuated {
                    zone: zone.clone(),
                    begun,
                    number,
                    since: self.now,
                };
                self.later(EVACUATION_MS, event);
            }
        }
        self.settled_seen = settled;
    }
}

//! Calls of operators: delivery to control nodes, and the responses.
use super::event_loop::Event;
use super::timing::{
    CLIENT_LATENCY_MS, CONFIGURATION_APPLY_LIMIT_MS, EVACUATION_LIMIT_MS, MAX_ISOLATION_MS,
};
use super::Simulation;
use crate::machine::ip;
use crate::plan::{Millis, RequestKind};
use rand::Rng;
use sandtrack_control::node::Input;
use sandtrack_control::operator_api::call_age::Arrival as CallArrival;
use sandtrack_control::operator_api::Reply;
use sandtrack_sidecar_core::message::Message;
use std::collections::BTreeMap;

impl Simulation {
    pub(super) fn operator_call(
        &mut self,
        machine: usize,
        call: u64,
        message: Message,
        queued_at: Millis,
    ) {
        if self.network.is_powered_off(machine) {
            return;
        }
        let arrival = CallArrival {
            queued_since: queued_at + self.machines[machine].clock_offset_ms,
            accepted: self.clock(machine),
        };
        let Some(control) = self.machines[machine].control.as_mut() else {
            return self.schedule(CLIENT_LATENCY_MS, Event::CallFailed { call });
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
        let isolated_ms = self.machines[machine]
            .isolated_since
            .map_or(0.0, |since| self.now - since);
        self.oracle
            .definite_response(machine, status, isolated_ms, MAX_ISOLATION_MS);
        let is_zone_operation = matches!(
            self.operators.requested_by(call),
            Some(RequestKind::Evacuation)
        );
        let own = format!("http://{}:", ip(machine));
        let names_another = location.is_some_and(|location| !location.starts_with(&own));
        self.oracle
            .redirect(machine, status, is_zone_operation, names_another);
        if status == 200 {
            self.last_acknowledged = Some(machine);
            if let Some(what) = self.operators.requested_by(call) {
                self.on_acknowledgement(what);
            }
        }
        if self.response_loss_faults > 0 && self.random.gen_bool(0.7) {
            return;
        }
        self.schedule(CLIENT_LATENCY_MS, Event::Response { call, status, body });
    }

    pub(super) fn handle_response(&mut self, call: u64, status: u16, body: &str) {
        if let Some((direct_call, answer)) = &mut self.direct_call {
            if *direct_call == call {
                *answer = Some((status, body.to_owned()));
                return;
            }
        }
        self.record(|| {
            let text: String = body.chars().take(80).collect();
            format!("operators: call {call} answered {status} {text}")
        });
        self.operators
            .handle_response(self.now, call, status, body, &mut self.oracle);
        self.schedule_propagation_checks();
    }

    pub(super) fn direct_response(&self) -> Option<(u16, String)> {
        self.direct_call
            .as_ref()
            .and_then(|(_, answer)| answer.clone())
    }

    /// Schedules the check that proxies have applied what was acknowledged last.
    pub(super) fn schedule_propagation_checks(&mut self) {
        let version = self.oracle.newest_acknowledged();
        if version > std::mem::replace(&mut self.last_acknowledged_version, version) {
            let event = Event::Applied {
                version,
                since: self.now,
            };
            self.schedule(CONFIGURATION_APPLY_LIMIT_MS, event);
        }
        let settled = self.oracle.settled_evacuations();
        let settled: BTreeMap<String, (bool, u64)> = settled
            .map(|(zone, begun, number)| (zone.to_owned(), (begun, number)))
            .collect();
        for (zone, (begun, number)) in &settled {
            if self.last_settled_evacuations.get(zone) != Some(&(*begun, *number)) {
                let (begun, number) = (*begun, *number);
                let event = Event::Evacuated {
                    zone: zone.clone(),
                    begun,
                    number,
                    since: self.now,
                };
                self.schedule(EVACUATION_LIMIT_MS, event);
            }
        }
        self.last_settled_evacuations = settled;
    }
}

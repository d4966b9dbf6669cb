//! The checks after the last fault: once the cluster is in a steady state, it answers in time and has lost nothing.
use super::event_loop::Event;
use super::timing::{
    CLIENT_LATENCY_MS, CONFIGURATION_APPLY_LIMIT_MS, CONNECTED_AFTER_MS, EVACUATION_LIMIT_MS,
};
use super::Simulation;
use crate::documents;
use crate::operators::ACKNOWLEDGE_LIMIT_MS;
use sandtrack_sidecar_core::message::Message;

impl Simulation {
    pub(super) fn check_steady_state(&mut self) {
        // Machines of the last faults restart and join.
        self.run_for(CONNECTED_AFTER_MS + 4000.0);
        self.operators.stopped = true;
        let until = self.now + 30_000.0;
        while !self.operators.are_idle() && self.now < until {
            self.run_for(100.0);
        }
        self.oracle.check_versions_rise();
        self.oracle.check_acknowledged_was_applied();
        self.oracle.check_nothing_rejected_applied();
        for machine in self.running_control_machines() {
            self.check_machine_answers(machine);
        }
        self.run_for(EVACUATION_LIMIT_MS);
        self.check_proxy_versions(
            self.oracle.newest_acknowledged(),
            CONFIGURATION_APPLY_LIMIT_MS,
        );
        let settled: Vec<(String, bool)> = self
            .oracle
            .settled_evacuations()
            .map(|(zone, begun, _)| (zone.to_owned(), begun))
            .collect();
        for (zone, begun) in settled {
            self.check_proxy_evacuations(&zone, begun);
        }
        self.oracle.check_versions_rise();
        self.oracle.check_acknowledged_was_applied();
        self.oracle.check_nothing_rejected_applied();
    }

    /// A read and a change through one machine, each retried there, are acknowledged in time.
    pub(super) fn check_machine_answers(&mut self, machine: usize) {
        let read = || documents::request("GET", "/v1/configuration/read", 0, "");
        let answer = self.call_until_definite(machine, &read());
        let status = answer.as_ref().map(|(status, _)| *status);
        let rule = format!("read at machine {machine}");
        self.oracle
            .acknowledged_in_steady_state(&rule, status, ACKNOWLEDGE_LIMIT_MS);
        let Some((_, body)) = answer else { return };
        let Some(document) = documents::parse_configuration(&body) else {
            return;
        };
        self.oracle.read_back(document.version, &body);
        self.operators.set_known_configuration(document);
        let (order, based_on, message) = self.operators.final_change(&mut self.oracle);
        let status = self
            .call_until_definite(machine, &message)
            .map(|(status, _)| status);
        self.oracle.acknowledged_in_steady_state(
            &format!("change at machine {machine}"),
            status,
            ACKNOWLEDGE_LIMIT_MS,
        );
        if status == Some(200) {
            self.oracle.acknowledged(order, based_on);
        }
    }

    /// Calls one machine until the response is definite, for at most the time that an acknowledgement may take.
    pub(super) fn call_until_definite(
        &mut self,
        machine: usize,
        message: &Message,
    ) -> Option<(u16, String)> {
        let until = self.now + ACKNOWLEDGE_LIMIT_MS;
        let mut call = u64::MAX / 2;
        while self.now < until {
            call += 1;
            self.schedule(
                CLIENT_LATENCY_MS,
                Event::OperatorCall {
                    machine,
                    call,
                    message: message.clone(),
                    queued_at: None,
                },
            );
            let silence = (self.now + 1000.0).min(until);
            self.direct_call = Some((call, None));
            while self.now < silence && self.direct_response().is_none() {
                self.run_for(5.0);
            }
            match self.direct_response() {
                Some((status, body)) if status < 500 => return Some((status, body)),
                _ => self.run_for(100.0),
            }
        }
        None
    }
}

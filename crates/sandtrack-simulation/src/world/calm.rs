//! The calm at the end of a world, and what has to hold after it.
use super::event_loop::Event;
use super::operator_calls::CLIENT_MS;
use super::{World, CONFIGURATION_APPLY_MS, EVACUATION_MS, IN_TOUCH_MS};
use crate::documents;
use crate::operators::ACKNOWLEDGE_MS;
use sandtrack_sidecar_core::message::Message;

impl World {
    pub(super) fn calm(&mut self) {
        // Restarts and joiners of the last faults.
        self.run(IN_TOUCH_MS + 4000.0);
        self.operators.stopped = true;
        let until = self.now + 30_000.0;
        while !self.operators.are_idle() && self.now < until {
            self.run(100.0);
        }
        self.checks.versions_rise();
        self.checks.acknowledged_was_in_force();
        self.checks.nothing_refused_in_force();
        for machine in self.running_core() {
            self.answers_in_calm(machine);
        }
        self.run(EVACUATION_MS);
        self.proxies_have(self.checks.newest_acknowledged(), CONFIGURATION_APPLY_MS);
        let settled: Vec<(String, bool)> = self
            .checks
            .settled_evacuations()
            .map(|(zone, begun, _)| (zone.to_owned(), begun))
            .collect();
        for (zone, begun) in settled {
            self.proxies_evacuated(&zone, begun);
        }
        self.checks.versions_rise();
        self.checks.acknowledged_was_in_force();
        self.checks.nothing_refused_in_force();
    }

    /// A read and a change through one machine, repeated there, within the time of an acknowledgement.
    pub(super) fn answers_in_calm(&mut self, machine: usize) {
        let read = || documents::call("GET", "/v1/configuration/read", 0, "");
        let answer = self.ask_until(machine, &read());
        let status = answer.as_ref().map(|(status, _)| *status);
        let rule = format!("read at machine {machine}");
        self.checks
            .acknowledged_in_calm(&rule, status, ACKNOWLEDGE_MS);
        let Some((_, body)) = answer else { return };
        let Some(document) = documents::whole_in_force(&body) else {
            return;
        };
        self.checks.read_back(document.version, &body);
        self.operators.believe(document);
        let (order, based_on, message) = self.operators.last_change(&mut self.checks);
        let status = self.ask_until(machine, &message).map(|(status, _)| status);
        self.checks.acknowledged_in_calm(
            &format!("change at machine {machine}"),
            status,
            ACKNOWLEDGE_MS,
        );
        if status == Some(200) {
            self.checks.acknowledged(order, based_on);
        }
    }

    /// Calls one machine until the answer is clear, for as long as an acknowledgement may take.
    pub(super) fn ask_until(&mut self, machine: usize, message: &Message) -> Option<(u16, String)> {
        let until = self.now + ACKNOWLEDGE_MS;
        let mut call = u64::MAX / 2;
        while self.now < until {
            call += 1;
            self.later(
                CLIENT_MS,
                Event::OperatorCall {
                    machine,
                    call,
                    message: message.clone(),
                    came: None,
                },
            );
            let silence = (self.now + 1000.0).min(until);
            self.direct = Some((call, None));
            while self.now < silence && self.direct_answer().is_none() {
                self.run(5.0);
            }
            match self.direct_answer() {
                Some((status, body)) if status < 500 => return Some((status, body)),
                _ => self.run(100.0),
            }
        }
        None
    }
}

//! What operators do with responses.
use super::operation::{Operation, OperationKind};
use super::{zone_name, Operator, Operators, TEMPORARY_REDIRECT};
use crate::documents;
use crate::oracle::Oracle;
use crate::plan::Millis;
use rand::Rng;
use sandtrack_protocol::document::Document;

impl Operators {
    /// A connection broke before the response.
    pub fn connection_failed(&mut self, call: u64) {
        for operation in &mut self.operations {
            operation.call = operation.call.filter(|(known, _)| *known != call);
        }
    }

    /// Handles a response; one that is late or not definite changes nothing.
    pub fn handle_response(
        &mut self,
        now: Millis,
        call: u64,
        status: u16,
        body: &str,
        oracle: &mut Oracle,
    ) {
        let waits = |operator: &Operator| {
            operator.operation.filter(|operation| {
                self.operations[*operation]
                    .call
                    .is_some_and(|(known, _)| known == call)
            })
        };
        let found = self
            .operators
            .iter()
            .enumerate()
            .find_map(|(at, one)| Some((at, waits(one)?)));
        let Some((operator, number)) = found else {
            return;
        };
        self.operations[number].call = None;
        if status == TEMPORARY_REDIRECT {
            // The call is retried elsewhere without backoff.
            self.operations[number].retry_at = now;
            return;
        }
        if status >= 500 || status == 408 || status == 429 {
            return;
        }
        self.definite_responses += 1;
        let operation = self.operations[number].clone();
        let must_read = match operation.kind {
            OperationKind::Change { .. } => {
                self.handle_change_response(operator, number, status, oracle)
            }
            OperationKind::Evacuate { zone, begin } => {
                if status == 200 {
                    oracle.evacuation_acknowledged(&zone_name(zone), begin);
                }
                false
            }
            OperationKind::Read { at_least } => {
                self.handle_read_response(status, body, at_least, oracle)
            }
        };
        self.finish(now, operator, must_read);
    }

    /// Whether the operator must read before its next change.
    fn handle_change_response(
        &mut self,
        operator: usize,
        number: usize,
        status: u16,
        oracle: &mut Oracle,
    ) -> bool {
        let Operation {
            kind: OperationKind::Change {
                based_on, document, ..
            },
            resubmits,
            ..
        } = self.operations[number].clone()
        else {
            return false;
        };
        if let Some(first) = resubmits {
            oracle.resubmission_answered(first, status);
            return false;
        }
        if status != 200 {
            oracle.rejected(number, status);
            return true;
        }
        oracle.acknowledged(number, based_on);
        self.changes_acknowledged += 1;
        if let Some(document) =
            document.filter(|document| document.version > self.known_configuration.version)
        {
            self.known_configuration = document;
        }
        if self.random.gen_bool(0.1) {
            self.operators[operator].resubmission = Some(number);
        }
        false
    }

    /// Checks what was read; never requires another read.
    fn handle_read_response(
        &mut self,
        status: u16,
        body: &str,
        at_least: u64,
        oracle: &mut Oracle,
    ) -> bool {
        let document = match status {
            200 => documents::parse_configuration(body).unwrap_or_default(),
            _ => Document::default(),
        };
        oracle.read_is_fresh(document.version, at_least);
        if status == 200 {
            oracle.read_is_what_was_sent(document.version, body);
        }
        if document.version > self.known_configuration.version {
            self.known_configuration = document;
        }
        false
    }
}

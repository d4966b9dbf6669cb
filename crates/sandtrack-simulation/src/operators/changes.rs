//! The changes of the configuration that operators submit.
use super::operation::OperationKind;
use super::Operators;
use crate::documents;
use crate::oracle::Oracle;
use crate::plan::Millis;
use rand::Rng;
use sandtrack_protocol::document::Document;
use sandtrack_sidecar_core::message::Message;

impl Operators {
    /// A change of the newest known configuration; or the resubmission of an acknowledged one is begun, and `None` returned.
    pub(super) fn begin_change(&mut self, now: Millis, operator: usize) -> Option<OperationKind> {
        if let Some(before) = self.operators[operator].resubmission {
            if self.pending_changes() > 0 {
                return None;
            }
            self.operators[operator].resubmission = None;
            let operation = self.add(now, self.operations[before].kind.clone(), Some(before));
            self.operators[operator].operation = Some(operation);
            return None;
        }
        // While another operator resubmits a change, nothing else may change.
        let repeating = self.operators.iter().any(|other| {
            other.resubmission.is_some()
                || other
                    .operation
                    .is_some_and(|operation| self.operations[operation].resubmits.is_some())
        });
        if repeating || operator == 1 && self.known_configuration.version == 0 {
            return None;
        }
        let other = self.operators[1 - operator]
            .operation
            .map(|operation| self.operations[operation].kind.clone());
        let races = matches!(&other, Some(OperationKind::Change { based_on, .. }) if *based_on == self.known_configuration.version);
        let other_version = match &other {
            Some(OperationKind::Change {
                document: Some(document),
                ..
            }) => Some(document.version),
            _ => None,
        };
        // Half of the changes that race pick the version of their rival.
        let same = races && self.random.gen();
        self.next_version =
            self.next_version.max(self.known_configuration.version) + self.random.gen_range(1..4);
        let version = other_version.filter(|_| same).unwrap_or(self.next_version);
        // Rivals differ: the same content would be the same change, submitted twice.
        let body_of = |kind: &OperationKind| match kind {
            OperationKind::Change { body, .. } => Some(body.clone()),
            _ => None,
        };
        let others = other.as_ref().and_then(body_of);
        let mut kind = self.change(version);
        while others.is_some() && body_of(&kind) == others {
            kind = self.change(version);
        }
        Some(kind)
    }

    pub(super) fn change(&mut self, version: u64) -> OperationKind {
        let based_on = self.known_configuration.version;
        if based_on > 0 && self.random.gen_bool(0.3) {
            let body = documents::update(&mut self.random, version);
            let document = documents::apply_update(&self.known_configuration, &body);
            return OperationKind::Change {
                based_on,
                document,
                replaces: false,
                body,
            };
        }
        let valid = !self.random.gen_bool(0.08);
        let mut body = documents::configuration(
            &mut self.random,
            version,
            self.filler_routes,
            valid || based_on == 0,
        );
        if !valid && based_on > 0 && self.random.gen() {
            body.truncate(body.len() / 2);
        }
        let document = documents::parse_configuration(&body);
        OperationKind::Change {
            based_on,
            document,
            replaces: true,
            body,
        }
    }

    /// Submits a change in the steady state at the end: the operation, the version that it is based on, and the request.
    pub fn final_change(&mut self, oracle: &mut Oracle) -> (usize, u64, Message) {
        self.next_version = self.next_version.max(self.known_configuration.version) + 1;
        let based_on = self.known_configuration.version;
        let body = documents::configuration(
            &mut self.random,
            self.next_version,
            self.filler_routes,
            true,
        );
        let document = documents::parse_configuration(&body);
        let number = self.add(0.0, OperationKind::Read { at_least: 0 }, None);
        oracle.configuration_submitted(
            number,
            self.next_version,
            document.as_ref().map(Document::to_json),
        );
        (
            number,
            based_on,
            documents::request("POST", "/v1/configuration/replace", based_on, &body),
        )
    }
}

//! Brings a later version of the state machine's rules into force, once all control nodes support it.
use super::{ControlNode, Effect};
use crate::operator_api::requests::CALL_TIMEOUT_MS;
use crate::state_machine::RulesVersion;
use crate::Millis;
use sandtrack_replication as replication;

/// The number under which the replica is given commands that no caller waits for; operators' calls count from 1.
const UNANSWERED_CALL: u64 = 0;

impl ControlNode {
    /// As the head of the chain: proposes the latest version of the rules where the configuration needs it and each control
    /// node that is known supports it, until it is in force.
    pub(super) fn propose_rules(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let is_due = now >= self.next_rules_proposal;
        if !is_due || !self.replica.machine().needs_later_rules() || !self.may_propose_rules(now) {
            return;
        }
        self.next_rules_proposal = now + CALL_TIMEOUT_MS;
        log::info!(
            "{} is proposed: all control nodes support it",
            RulesVersion::LATEST
        );
        let proposal = replication::Input::Submit {
            call: UNANSWERED_CALL,
            command: borsh::to_vec(&RulesVersion::LATEST.agreement()).unwrap_or_default(),
        };
        self.step_replica(now, proposal, out);
    }

    fn may_propose_rules(&self, now: Millis) -> bool {
        let is_head = self.replica.view().chain.first() == Some(self.replica.member());
        is_head && self.has_quorum(now) && self.peers.all_support(RulesVersion::LATEST)
    }

    /// Ends the links with control nodes that do not support the rules in force.
    pub(super) fn enforce_rules(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let rules = self.replica.machine().rules();
        let mut actions = Vec::new();
        let lost = self.peers.require_rules(now, rules, &mut actions);
        out.extend(actions.into_iter().map(Effect::Link));
        for lost in lost {
            self.peer_link_event(now, Some(lost), out);
        }
    }
}

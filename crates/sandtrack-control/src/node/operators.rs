//! Operators' calls in a control node: what one of them needs next is carried out here.
use super::{ControlNode, Effect};
use crate::knowledge::Knowledge;
use crate::operator_calls::{OperatorCalls, Step};
use crate::Millis;
use sandtrack_replication as replication;

impl ControlNode {
    /// Looks at the operators' calls with what is known here, and carries out what one of them needs next.
    pub(super) fn advance_calls(
        &mut self, now: Millis, out: &mut Vec<Effect>,
        next: impl FnOnce(&mut OperatorCalls, &Knowledge<'_>) -> Option<Step>,
    ) {
        let known = Knowledge {
            settings: &self.settings,
            control_state: self.replica.machine(),
            peers: &self.peers,
            membership: &self.membership,
            upstreams: &self.upstreams,
            leaving: self.leaving_since.is_some(),
        };
        if let Some(step) = next(&mut self.calls, &known) {
            self.carry_out_step(now, step, out);
        }
    }

    /// Carries out the next step of one call.
    pub(super) fn carry_out_step(&mut self, now: Millis, step: Step, out: &mut Vec<Effect>) {
        match step {
            Step::Reply { call, reply } => out.push(Effect::Reply { call, reply }),
            Step::Status { call } => out.push(Effect::Reply { call, reply: self.status(now) }),
            Step::Submit { call, command } => {
                let command = borsh::to_vec(&command).unwrap_or_default();
                self.step_replica(now, replication::Input::Submit { call, command }, out);
            }
            Step::Read { call, question } => {
                let question = borsh::to_vec(&question).unwrap_or_default();
                self.step_replica(now, replication::Input::Read { call, question }, out);
            }
        }
    }
}

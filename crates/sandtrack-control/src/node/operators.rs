//! Operators' calls in a control node: what one of them needs next is carried out here.
use super::attachment::VOTER_PRESENT_MS;
use super::{ControlNode, Effect};
use crate::control::Reply;
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

    /// Answers a call, and tells the log of it. A refusal is told with what this control node knew: without that nobody can
    /// say afterwards why an order was not taken.
    fn reply(&mut self, now: Millis, call: u64, reply: Reply, out: &mut Vec<Effect>) {
        match self.call_log.answered(now, call, &reply) {
            Some(told) if reply.code.is_some() => log::info!("{}; {}", told.line, self.standing(now)),
            Some(told) if told.is_notable => log::info!("{}", told.line),
            Some(told) => log::debug!("{}", told.line),
            None => {}
        }
        out.push(Effect::Reply { call, reply });
    }

    /// What an answer to an operator rests on here.
    fn standing(&self, now: Millis) -> String {
        let view = self.replica.view();
        let head = view.chain.first().map_or("none", |member| member.address.as_str());
        let heard = |address: &str| match address == self.peers.me.address {
            true => "itself",
            false if self.peers.is_heard(now, address, VOTER_PRESENT_MS) => "heard",
            false => "silent",
        };
        let is_confirmed = self.may_feed_proxies(now);
        format!(
            "view {}, head {head} ({}), chain of {}, attached {}, confirmed {is_confirmed}, number {}, awake for {:.0} ms",
            view.epoch,
            heard(head),
            view.chain.len(),
            self.is_attached(now),
            self.replica.applied_number(),
            now - self.calls.awake_since(),
        )
    }

    /// Carries out the next step of one call.
    pub(super) fn carry_out_step(&mut self, now: Millis, step: Step, out: &mut Vec<Effect>) {
        match step {
            Step::Reply { call, reply } => self.reply(now, call, reply, out),
            Step::Status { call } => {
                let status = self.status(now);
                self.reply(now, call, status, out);
            }
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

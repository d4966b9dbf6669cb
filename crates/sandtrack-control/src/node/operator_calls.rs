//! Operators' calls in a control node: carries out the next step of each.
use super::quorum::VOTER_SEEN_MS;
use super::{ControlNode, Effect};
use crate::node::call_context::NodeCallContext;
use crate::operator_api::pending_calls::{PendingCalls, Step};
use crate::operator_api::Reply;
use crate::peers::Hello;
use crate::Millis;
use sandtrack_protocol::codes;
use sandtrack_protocol::settings::Settings;
use sandtrack_replication as replication;

/// Callers are redirected only to a peer that was seen within this time, in ms: three heartbeat intervals, so that a peer
/// that was paused just now is not chosen.
const REDIRECT_TARGET_SEEN_MS: Millis = 450.0;

impl ControlNode {
    /// Runs a step of the pending calls with this node's context, and carries out its result.
    pub(super) fn advance_calls(
        &mut self,
        now: Millis,
        out: &mut Vec<Effect>,
        next: impl FnOnce(&mut PendingCalls, &NodeCallContext<'_>) -> Option<Step>,
    ) {
        let known = NodeCallContext {
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

    /// Answers a call and logs it. A refusal is logged with what this control node knew, so that it can be explained
    /// afterwards.
    fn reply(&mut self, now: Millis, call: u64, reply: Reply, out: &mut Vec<Effect>) {
        let reply = self.redirect_if_unacknowledged(now, call, reply);
        match self.call_log.record_response(now, call, &reply) {
            Some(logged) if reply.code.is_some() => {
                log::info!("{}; {}", logged.text, self.node_summary(now));
            }
            Some(logged) if logged.is_notable => log::info!("{}", logged.text),
            Some(logged) => log::debug!("{}", logged.text),
            None => {}
        }
        out.push(Effect::Reply { call, reply });
    }

    /// Redirects an evacuation order that was not acknowledged while the chain is repaired. Otherwise its caller would back
    /// off and might then spend a second on the node that failed; and, unlike a configuration, such an order is repeated
    /// for a few seconds only. Only with a quorum: the other nodes of a minority could not acknowledge it either.
    fn redirect_if_unacknowledged(&self, now: Millis, call: u64, reply: Reply) -> Reply {
        let is_open = matches!(reply.code, Some(codes::UNSURE | codes::NOT_NOW));
        let target = self
            .call_log
            .bodyless_post_target(now, call)
            .filter(|_| is_open && self.has_quorum(now));
        match target.and_then(|target| {
            self.redirect_target(now)
                .map(|address| format!("http://{address}{target}"))
        }) {
            Some(location) => reply.redirected_to(location),
            None => reply,
        }
    }

    /// Where another control node takes calls that was seen lately and is not shutting down: the first of the chain, else any.
    fn redirect_target(&self, now: Millis) -> Option<String> {
        let chain = &self.replica.view().chain;
        let rank = |address: &str| chain.iter().position(|member| member.address == address);
        let staying = self.peers.all().filter(|(address, stays, _)| {
            *stays && self.peers.is_seen(now, address, REDIRECT_TARGET_SEEN_MS)
        });
        let (_, _, hello) =
            staying.min_by_key(|(address, _, _)| rank(address).unwrap_or(usize::MAX))?;
        hello.map(control_address)
    }

    /// What a response to an operator is based on, for the log.
    fn node_summary(&self, now: Millis) -> String {
        let view = self.replica.view();
        let head = view
            .chain
            .first()
            .map_or("none", |member| member.address.as_str());
        let heard = |address: &str| match address == self.peers.me.address {
            true => "itself",
            false if self.peers.is_seen(now, address, VOTER_SEEN_MS) => "heard",
            false => "silent",
        };
        let is_confirmed = self.may_push_configuration(now);
        format!(
            "view {}, head {head} ({}), chain of {}, attached {}, confirmed {is_confirmed}, number {}, awake for {:.0} ms",
            view.epoch,
            heard(head),
            view.chain.len(),
            self.has_quorum(now),
            self.replica.applied_number(),
            now - self.calls.running_since(),
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
            Step::Read { call, query } => {
                let query = borsh::to_vec(&query).unwrap_or_default();
                self.step_replica(now, replication::Input::Read { call, query }, out);
            }
        }
    }
}

/// Where a control node takes calls, `IP:PORT`: at the address by which others know it.
fn control_address(hello: &Hello) -> String {
    let port = hello.control.rsplit_once(':').map_or("", |(_, port)| port);
    format!("{}:{port}", Settings::ip_of(&hello.address))
}

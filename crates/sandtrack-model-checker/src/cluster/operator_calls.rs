//! The operators: which operations they may send, and the responses.
use std::sync::Arc;

use super::call_id::{call_id, operation_index};
use super::event::ArrivalTime;
use super::{Cluster, Event, Queued};
use crate::action::Action;
use crate::machine::{CallOutcome, Machine, Operation};

/// A call whose response its operator waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PendingCall {
    call: u64,
    ticks: u8,
}

impl<M: Machine> Cluster<M> {
    pub(super) fn send_actions(&self, actions: &mut Vec<Action>) {
        if self.budget.sends == 0 {
            return;
        }
        for operation in (self.setup.prepared_operations..self.setup.script.len())
            .filter(|operation| self.may_send(*operation))
        {
            let there = self.nodes.iter().filter(|node| node.replica.is_some());
            actions.extend(there.map(|node| Action::Send {
                operation,
                node: node.index,
            }));
        }
    }

    /// Operations are sent in the order of the script, each at most twice. An evacuation is retried until the next one is sent:
    /// that is once it was acknowledged, or, where calls time out, once its last call got a response or timed out.
    fn may_send(&self, operation: usize) -> bool {
        let script = &self.setup.script;
        if self.sent[operation] > 1 || operation > 0 && self.sent[operation - 1] == 0 {
            return false;
        }
        let is_evacuation = |other: &usize| matches!(script[*other], Operation::Evacuate { .. });
        if !is_evacuation(&operation) {
            return true;
        }
        if self.pending_call.is_some() {
            return false;
        }
        let before_acknowledged = (0..operation)
            .filter(is_evacuation)
            .all(|other| self.history.acknowledged.contains(&other));
        let may_follow = before_acknowledged || self.setup.call_timeout_ticks.is_some();
        let no_later = (operation + 1..script.len())
            .filter(is_evacuation)
            .all(|other| self.sent[other] == 0);
        may_follow && no_later
    }

    pub(super) fn send(&mut self, operation: usize, node: usize) {
        let call = call_id(operation, self.sent[operation]);
        self.sent[operation] += 1;
        self.history_mut().call_began(call, node);
        let is_evacuation = matches!(self.setup.script[operation], Operation::Evacuate { .. });
        if is_evacuation && self.setup.call_timeout_ticks.is_some() {
            self.pending_call = Some(PendingCall { call, ticks: 0 });
        }
        let clock = self.nodes[node].clock;
        let arrival = match self.nodes[node].frozen {
            true => ArrivalTime::Queued { since: clock },
            false => ArrivalTime::Accepted {
                queued_since: clock,
                at: clock,
            },
        };
        self.queue.push(Queued::new(Event::Call {
            node,
            call,
            arrival,
        }));
    }

    /// A tick has passed; the operator gives a call up after `call_timeout_ticks`, and gets no response any more.
    pub(super) fn time_out_call(&mut self) {
        let (Some(call_timeout_ticks), Some(pending_call)) =
            (self.setup.call_timeout_ticks, &mut self.pending_call)
        else {
            return;
        };
        pending_call.ticks += 1;
        if pending_call.ticks >= call_timeout_ticks {
            let call = pending_call.call;
            self.pending_call = None;
            self.history_mut().call_ended(call);
        }
    }

    /// A machine that was resumed accepts the calls in its sockets.
    pub(super) fn accept_queued_calls(&mut self, index: usize) {
        let clock = self.nodes[index].clock;
        for event in self.queue.iter_mut().chain(&mut self.delayed) {
            if let Some(accepted) = event.after_wake(index, clock) {
                *event = accepted;
            }
        }
    }

    pub(super) fn read_call(&mut self, index: usize, call: u64, arrival: ArrivalTime) {
        if !self.nodes[index].is_awake() {
            return;
        }
        let operation = self.setup.script[operation_index(call)];
        let outputs = self.change(index, |node| {
            node.call(call, operation, arrival.read(node.clock))
        });
        self.carry_out(index, outputs);
    }

    /// Responds to a caller; `None` if the response is not definite.
    pub(super) fn respond(&mut self, index: usize, call: u64, outcome: Option<CallOutcome>) {
        if self
            .pending_call
            .is_some_and(|pending_call| pending_call.call == call)
        {
            self.pending_call = None;
        }
        match outcome {
            Some(outcome) => {
                let (script, node) = (&self.setup.script, &self.nodes[index]);
                Arc::make_mut(&mut self.history).answered(
                    call,
                    operation_index(call),
                    script,
                    outcome,
                    node,
                );
            }
            None => self.history_mut().call_ended(call),
        }
    }

    pub(super) fn issued(&self) -> u32 {
        let sent = self
            .sent
            .iter()
            .enumerate()
            .filter(|(_, times)| **times > 0);
        sent.map(|(operation, _)| 1 << operation).sum()
    }
}

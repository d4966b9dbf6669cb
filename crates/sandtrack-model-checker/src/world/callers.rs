//! The operators: which orders they may send, and what they are told.
use std::sync::Arc;

use super::event::ArrivalTime;
use super::{Event, Queued, World};
use crate::action::Action;
use crate::machine::{Machine, Order, Told};

/// Tries of one order that are told apart.
const TRIES: u64 = 16;

/// Place in the script of a call's order.
pub(super) fn order_of(call: u64) -> usize {
    (call / TRIES) as usize
}

/// A call that its operator waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Waiting {
    call: u64,
    ticks: u8,
}

impl<M: Machine> World<M> {
    pub(super) fn sends(&self, actions: &mut Vec<Action>) {
        if self.budget.sends == 0 {
            return;
        }
        for order in
            (self.setup.prepared..self.setup.script.len()).filter(|order| self.may_send(*order))
        {
            let there = self.nodes.iter().filter(|node| node.replica.is_some());
            actions.extend(there.map(|node| Action::Send {
                order,
                node: node.index,
            }));
        }
    }

    /// Orders are sent in the order of the script and each repeated once. An evacuation is repeated until the next one is
    /// ordered, which is once it was acknowledged; where operators have patience, once its last call was answered or given
    /// up.
    fn may_send(&self, order: usize) -> bool {
        let script = &self.setup.script;
        if self.sent[order] > 1 || order > 0 && self.sent[order - 1] == 0 {
            return false;
        }
        let is_evacuation = |other: &usize| matches!(script[*other], Order::Evacuate { .. });
        if !is_evacuation(&order) {
            return true;
        }
        if self.waiting.is_some() {
            return false;
        }
        let before_acknowledged = (0..order)
            .filter(is_evacuation)
            .all(|other| self.history.acknowledged.contains(&other));
        let may_follow = before_acknowledged || self.setup.patience.is_some();
        let no_later = (order + 1..script.len())
            .filter(is_evacuation)
            .all(|other| self.sent[other] == 0);
        may_follow && no_later
    }

    pub(super) fn send(&mut self, order: usize, node: usize) {
        let call = order as u64 * TRIES + u64::from(self.sent[order]);
        self.sent[order] += 1;
        self.history_mut().call_began(call, node);
        let is_evacuation = matches!(self.setup.script[order], Order::Evacuate { .. });
        if is_evacuation && self.setup.patience.is_some() {
            self.waiting = Some(Waiting { call, ticks: 0 });
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

    /// A tick has passed; the operator goes elsewhere once its patience is over, and hears no answer any more.
    pub(super) fn give_up(&mut self) {
        let (Some(patience), Some(waiting)) = (self.setup.patience, &mut self.waiting) else {
            return;
        };
        waiting.ticks += 1;
        if waiting.ticks >= patience {
            let call = waiting.call;
            self.waiting = None;
            self.history_mut().call_ended(call);
        }
    }

    /// A machine that woke accepts what waits in its socket.
    pub(super) fn accept_waiting(&mut self, index: usize) {
        let clock = self.nodes[index].clock;
        for event in self.queue.iter_mut().chain(&mut self.held) {
            if let Some(accepted) = event.after_wake(index, clock) {
                *event = accepted;
            }
        }
    }

    pub(super) fn read_call(&mut self, index: usize, call: u64, arrival: ArrivalTime) {
        if !self.nodes[index].is_awake() {
            return;
        }
        let order = self.setup.script[order_of(call)];
        let outputs = self.change(index, |node| {
            node.call(call, order, arrival.read(node.clock))
        });
        self.carry_out(index, outputs);
    }

    /// A caller is answered; `None`: not definitely.
    pub(super) fn told(&mut self, index: usize, call: u64, told: Option<Told>) {
        if self.waiting.is_some_and(|waiting| waiting.call == call) {
            self.waiting = None;
        }
        match told {
            Some(told) => {
                let (script, node) = (&self.setup.script, &self.nodes[index]);
                Arc::make_mut(&mut self.history).answered(call, order_of(call), script, told, node);
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
        sent.map(|(order, _)| 1 << order).sum()
    }
}

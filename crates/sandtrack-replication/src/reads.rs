//! Reads travel down the chain like writes, but without a disk write, and the tail answers them.
//!
//! Each member forwards a read only in the epoch of its own disk. A chain that was replaced can't bring one to its tail,
//! because its head is in a later epoch, so no process answers from a stale state.
use crate::message::{Body, CallId};
use crate::{Address, Effect, Member, Replica, StateMachine};

impl<M: StateMachine> Replica<M> {
    /// At the head, or at a process that forwards to it.
    pub(crate) fn handle_read(
        &mut self,
        sender: &Member,
        call: CallId,
        query: Vec<u8>,
        hops: u8,
        effects: &mut Vec<Effect>,
    ) {
        if self.is_head() {
            self.forward_read(call, query, sender.address.clone(), effects);
        } else if let Some(head) = self.forward_target(hops) {
            self.send(
                &head,
                Body::Read {
                    call,
                    query,
                    hops: hops - 1,
                },
                effects,
            );
        }
    }

    pub(crate) fn handle_forward_read(
        &mut self,
        sender: &Member,
        call: CallId,
        query: Vec<u8>,
        reply_to: Address,
        effects: &mut Vec<Effect>,
    ) {
        if self.is_in_sync() && self.durable.view.predecessor(&self.me) == Some(sender) {
            self.forward_read(call, query, reply_to, effects);
        }
    }

    fn forward_read(
        &mut self,
        call: CallId,
        query: Vec<u8>,
        reply_to: Address,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(successor) = self.durable.view.successor(&self.me).cloned() {
            let body = Body::ForwardRead {
                call,
                query,
                reply_to,
            };
            self.send(&successor.address, body, effects);
            return;
        }
        // What is on the tail's disk may have been acknowledged in an earlier epoch; in a chain that is too
        // short it can't be known, so nothing is answered.
        if self.applied.position == self.durable.last_position() {
            let answer = self.applied.machine.query(&query);
            self.send(&reply_to, Body::ReadOutcome { call, answer }, effects);
        }
    }

    /// At the origin of the call, or at a process that forwarded it.
    pub(crate) fn handle_read_outcome(
        &mut self,
        call: CallId,
        answer: Vec<u8>,
        effects: &mut Vec<Effect>,
    ) {
        if call.origin == self.me.address {
            self.complete_call(&call, answer, effects);
        } else {
            let origin = call.origin.clone();
            self.send(&origin, Body::ReadOutcome { call, answer }, effects);
        }
    }
}

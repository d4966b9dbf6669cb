//! Reads pass down the chain like writes, without a sync, and the tail answers. Each member passes one on
//! only in the epoch of its own disk, so a chain that was left behind, whose new head is in a later epoch,
//! can't bring one to its tail: no process answers from an old state by its own belief.
use crate::message::{Body, CallId};
use crate::{Address, Effect, Member, Replica, StateMachine};

impl<M: StateMachine> Replica<M> {
    /// At the head, or on the way to it.
    pub(crate) fn take_read(
        &mut self,
        sender: &Member,
        call: CallId,
        question: Vec<u8>,
        hops: u8,
        effects: &mut Vec<Effect>,
    ) {
        if self.is_head() {
            self.pass_read(call, question, sender.address.clone(), effects);
        } else if let Some(head) = self.onward(hops) {
            self.send(
                &head,
                Body::Read {
                    call,
                    question,
                    hops: hops - 1,
                },
                effects,
            );
        }
    }

    pub(crate) fn take_read_pass(
        &mut self,
        sender: &Member,
        call: CallId,
        question: Vec<u8>,
        reply_to: Address,
        effects: &mut Vec<Effect>,
    ) {
        if self.in_line() && self.image.view.predecessor(&self.me) == Some(sender) {
            self.pass_read(call, question, reply_to, effects);
        }
    }

    fn pass_read(
        &mut self,
        call: CallId,
        question: Vec<u8>,
        reply_to: Address,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(successor) = self.image.view.successor(&self.me).cloned() {
            let body = Body::ReadPass {
                call,
                question,
                reply_to,
            };
            self.send(&successor.address, body, effects);
            return;
        }
        // What is on the tail's disk may have been acknowledged in an earlier epoch; in a chain that is too
        // short it can't be known, so nothing is answered.
        if self.applied.at == self.image.end() {
            let answer = self.applied.machine.query(&question);
            self.send(&reply_to, Body::ReadOutcome { call, answer }, effects);
        }
    }

    /// At the caller's process, or on the way to it.
    pub(crate) fn take_read_outcome(
        &mut self,
        call: CallId,
        answer: Vec<u8>,
        effects: &mut Vec<Effect>,
    ) {
        if call.origin == self.me.address {
            self.finish(&call, answer, effects);
        } else {
            let origin = call.origin.clone();
            self.send(&origin, Body::ReadOutcome { call, answer }, effects);
        }
    }
}

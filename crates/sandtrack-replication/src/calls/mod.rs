//! Callers' commands and queries, from any process to the head and back.
//!
//! A call keeps its id across retries, so that a command that is already in the log, or committed, is not applied twice.
mod head;
mod origin;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use borsh::BorshSerialize;

use crate::chain::SLOWEST_LINK_BYTES_PER_MS;
use crate::message::{Body, CallId};
use crate::{Address, CallError, Effect, Member, Replica, StateMachine};

/// The head drops a command that it could not write within this time; the caller's process retries.
const QUEUE_TIMEOUT_MS: f64 = 1000.0;
/// The head forgets who waits for an outcome after this time.
const WAITER_TIMEOUT_MS: f64 = 10_000.0;
/// Links that a command passes one after the other before it is answered: to the head, and down a chain of three.
const HOPS_PER_CALL: f64 = 3.0;

#[derive(Clone, Debug, BorshSerialize)]
enum Request {
    Submit(Vec<u8>),
    Read(Vec<u8>),
}

/// A call of this process, not answered yet.
#[derive(Clone, Debug, BorshSerialize)]
struct Pending {
    call: u64,
    kind: Request,
    started_at: f64,
    last_attempt: f64,
    attempts: u32,
    /// The heads that it was given to, or sent towards.
    offered_to_heads: BTreeSet<Member>,
    /// Those whose disk was too full for the command. Their processes refuse it for good.
    full_heads: BTreeSet<Member>,
    /// It was sent to another process to forward, which may know of other heads.
    relayed: bool,
}

/// A command at the head, not in a write yet.
#[derive(Clone, Debug, BorshSerialize)]
struct Queued {
    call: CallId,
    command: Vec<u8>,
    since: f64,
}

impl Pending {
    /// Expected transmission time, in milliseconds, before it counts as lost: a long one travels in fragments, which are
    /// retransmitted on their own.
    fn transmission_time_ms(&self) -> f64 {
        let (Request::Submit(bytes) | Request::Read(bytes)) = &self.kind;
        HOPS_PER_CALL * bytes.len() as f64 / SLOWEST_LINK_BYTES_PER_MS
    }

    /// Why there was no answer.
    fn failure(&self) -> CallError {
        match &self.kind {
            _ if self.offered_to_heads.is_empty() => CallError::NoMajority,
            Request::Submit(_) if self.offered_to_heads == self.full_heads && !self.relayed => {
                CallError::Full
            }
            _ => CallError::TimedOut,
        }
    }
}

#[derive(Clone, Debug, Default, BorshSerialize)]
pub(crate) struct Calls {
    next: u64,
    pending: BTreeMap<u64, Pending>,
    queue: VecDeque<Queued>,
    /// At the head: to whom the outcome has to be sent.
    waiters: BTreeMap<CallId, (BTreeSet<Address>, f64)>,
    /// At the head: commands that were rejected, so that a delayed duplicate is not applied.
    rejected: VecDeque<CallId>,
}

impl<M: StateMachine> Replica<M> {
    /// The head, if a call of another process may be forwarded to it.
    pub(crate) fn forward_target(&self, hops: u8) -> Option<Address> {
        let head = self.latest_view.chain.first()?.address.clone();
        (hops > 0 && head != self.me.address).then_some(head)
    }

    /// At the origin of the call, or at a process that forwarded it.
    pub(crate) fn handle_outcome(
        &mut self,
        call: &CallId,
        outcome: Vec<u8>,
        effects: &mut Vec<Effect>,
    ) {
        self.reply(
            call,
            &Body::Outcome {
                call: call.clone(),
                outcome: outcome.clone(),
            },
            effects,
        );
        if call.origin == self.me.address {
            self.complete_call(call, outcome, effects);
        }
    }

    pub(crate) fn handle_disk_full(
        &mut self,
        call: &CallId,
        head: Member,
        effects: &mut Vec<Effect>,
    ) {
        self.reply(
            call,
            &Body::DiskFull {
                call: call.clone(),
                head: head.clone(),
            },
            effects,
        );
        if call.origin == self.me.address && call.start == self.start {
            if let Some(pending) = self.calls.pending.get_mut(&call.number) {
                pending.full_heads.insert(head);
            }
        }
    }

    /// The process at this address started again: it does not know what the one before refused, and may have room.
    pub(crate) fn forget_refusals_of(&mut self, address: &Address) {
        for pending in self.calls.pending.values_mut() {
            pending.full_heads.retain(|head| head.address != *address);
        }
    }

    /// To all other processes that gave the call to this one.
    fn reply(&mut self, call: &CallId, body: &Body, effects: &mut Vec<Effect>) {
        let Some((mut waiters, _)) = self.calls.waiters.remove(call) else {
            return;
        };
        waiters.remove(&self.me.address);
        for address in waiters {
            self.send(&address, body.clone(), effects);
        }
    }
}

impl Calls {
    fn add_waiter(&mut self, call: CallId, address: &Address, now: f64) {
        let (waiters, since) = self.waiters.entry(call).or_default();
        waiters.insert(address.clone());
        *since = now;
    }
}

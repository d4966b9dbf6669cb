//! Callers' submits and reads: from any process to the head and back. A call keeps its name at each try, so
//! that a command that is already in the log, or committed, is not run again.
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use borsh::BorshSerialize;

use crate::chain::SLOWEST_LINK_BYTES_PER_MS;
use crate::durable_state::WalRecord;
use crate::message::{Body, CallId, Entry, LogPosition};
use crate::{Address, CallError, Effect, Member, Replica, StateMachine};

/// The head drops what it could not write within this many milliseconds; the caller's process asks again.
const QUEUE_TIMEOUT_MS: f64 = 1000.0;
/// Who waits at the head is forgotten after as many milliseconds.
const WAITER_TIMEOUT_MS: f64 = 10_000.0;
/// Links that a command passes, one after the other, before it is answered: to the head, and down a chain of three.
const HOPS_PER_CALL: f64 = 3.0;
/// Commands and bytes in one write.
const MAX_COMMANDS_PER_WRITE: usize = 64;
const MAX_WRITE_BYTES: usize = 1 << 20;

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
    /// Those whose disk was too full for it. They refuse it for good.
    full: BTreeSet<Member>,
    /// It was given to another process to pass on, which may know of other heads.
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
    /// Milliseconds that it may be on its way before it counts as lost: one that is long travels in pieces, which are
    /// repeated by themselves.
    fn transmission_time_ms(&self) -> f64 {
        let (Request::Submit(bytes) | Request::Read(bytes)) = &self.kind;
        HOPS_PER_CALL * bytes.len() as f64 / SLOWEST_LINK_BYTES_PER_MS
    }

    /// Why there was no answer.
    fn refusal(&self) -> CallError {
        match &self.kind {
            _ if self.offered_to_heads.is_empty() => CallError::NoMajority,
            Request::Submit(_) if self.offered_to_heads == self.full && !self.relayed => {
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
    /// At the head: whom to tell the outcome.
    waiting: BTreeMap<CallId, (BTreeSet<Address>, f64)>,
    /// At the head: commands that were refused, so that a copy that comes late is not run.
    refused: VecDeque<CallId>,
}

impl<M: StateMachine> Replica<M> {
    pub(crate) fn submit(&mut self, call: u64, command: Vec<u8>, effects: &mut Vec<Effect>) {
        self.start_call(call, Request::Submit(command), effects);
    }

    pub(crate) fn read(&mut self, call: u64, query: Vec<u8>, effects: &mut Vec<Effect>) {
        self.start_call(call, Request::Read(query), effects);
    }

    fn start_call(&mut self, call: u64, kind: Request, effects: &mut Vec<Effect>) {
        let (started_at, last_attempt) = (self.now, f64::NEG_INFINITY);
        self.calls.next += 1;
        let number = self.calls.next;
        let (offered_to_heads, full) = (BTreeSet::new(), BTreeSet::new());
        let pending = Pending {
            call,
            kind,
            started_at,
            last_attempt,
            attempts: 0,
            offered_to_heads,
            full,
            relayed: false,
        };
        self.calls.pending.insert(number, pending);
        self.send_to_head(number, effects);
    }

    /// Hands all pending calls to the head anew: the head, or what it can do, has changed.
    pub(crate) fn reroute_pending_calls(&mut self, effects: &mut Vec<Effect>) {
        let numbers: Vec<u64> = self.calls.pending.keys().copied().collect();
        for number in numbers {
            self.send_to_head(number, effects);
        }
    }

    fn send_to_head(&mut self, number: u64, effects: &mut Vec<Effect>) {
        let Some(to) = self.next_hop(number) else {
            return;
        };
        let call = CallId {
            origin: self.me.address.clone(),
            start: self.start,
            number,
        };
        let head = self.latest_view.chain.first().cloned();
        let patience = self.settings.timings.call_timeout;
        let Some(pending) = self.calls.pending.get_mut(&number) else {
            return;
        };
        if self.now - pending.started_at > patience {
            // Its caller does not wait any more; this process may not have run for a while.
            return;
        }
        pending.last_attempt = self.now;
        pending.attempts += 1;
        let body = match &pending.kind {
            Request::Submit(command) => Body::Submit {
                call,
                command: command.clone(),
                hops: 1,
            },
            Request::Read(query) => Body::Read {
                call,
                query: query.clone(),
                hops: 1,
            },
        };
        if to != self.me.address {
            pending.relayed |= head.as_ref().is_none_or(|head| head.address != to);
            pending.offered_to_heads.extend(head);
        }
        self.send(&to, body, effects);
    }

    /// The head; at every other try a member of the chain that is heard, in case the way to the head is cut.
    fn next_hop(&self, number: u64) -> Option<Address> {
        let attempts = self.calls.pending.get(&number)?.attempts as usize;
        let head = self.latest_view.chain.first()?.address.clone();
        if attempts.is_multiple_of(2) || head == self.me.address {
            return Some(head);
        }
        let near = self
            .peers
            .heard_within(self.now, self.settings.timings.failure_timeout);
        let chain = self.latest_view.chain.iter().map(|member| &member.address);
        let others: Vec<&Address> = chain
            .filter(|address| **address != head && near.contains(address))
            .collect();
        Some(
            others
                .get(attempts / 2 % others.len().max(1))
                .map_or(head, |other| (*other).clone()),
        )
    }

    /// The head, when a call that is not for this process may be passed on to it.
    pub(crate) fn forward_target(&self, hops: u8) -> Option<Address> {
        let head = self.latest_view.chain.first()?.address.clone();
        (hops > 0 && head != self.me.address).then_some(head)
    }

    pub(crate) fn handle_submit(
        &mut self,
        sender: &Member,
        call: CallId,
        command: Vec<u8>,
        hops: u8,
        effects: &mut Vec<Effect>,
    ) {
        let heads = self.durable.view.epoch == self.latest_view.epoch
            && self.durable.view.is_head(&self.me);
        if !heads {
            if let Some(head) = self.forward_target(hops) {
                self.calls
                    .add_waiter(call.clone(), &sender.address, self.now);
                self.send(
                    &head,
                    Body::Submit {
                        call,
                        command,
                        hops: hops - 1,
                    },
                    effects,
                );
            }
            return;
        }
        if self.calls.refused.contains(&call) {
            let head = self.me.clone();
            self.send(&sender.address, Body::DiskFull { call, head }, effects);
            return;
        }
        self.calls
            .add_waiter(call.clone(), &sender.address, self.now);
        if self.applied.outcome(&call).is_some() {
            self.answer_committed_calls(effects);
            return;
        }
        let in_log = self.durable.entries.iter().any(|entry| entry.call == call);
        let queued = self
            .calls
            .queue
            .iter_mut()
            .find(|queued| queued.call == call);
        match queued {
            Some(queued) => queued.since = self.now,
            None if in_log || self.disk.is_writing(&call) => {}
            None => self.calls.queue.push_back(Queued {
                call,
                command,
                since: self.now,
            }),
        }
    }

    /// As the head: the next commands, each a new entry. None in a chain that could not commit them.
    pub(crate) fn append_submitted(
        &mut self,
        records: &mut Vec<WalRecord>,
        calls: &mut Vec<CallId>,
    ) {
        let epoch = self.durable.view.epoch;
        let able = self.durable.view.may_commit(
            self.settings.tolerated_machine_losses,
            self.settings.tolerated_zone_losses,
        );
        if !self.is_head() || !able {
            return;
        }
        let committed = self.committed_in_log();
        let mut position = LogPosition {
            number: self.durable.last_position().number,
            epoch,
        };
        let mut bytes = 0;
        while calls.len() < MAX_COMMANDS_PER_WRITE && bytes < MAX_WRITE_BYTES {
            let Some(Queued {
                call,
                command,
                since,
            }) = self.calls.queue.pop_front()
            else {
                return;
            };
            if self.now - since > QUEUE_TIMEOUT_MS {
                continue;
            }
            if call.origin == self.me.address && call.start == self.start {
                // A call of this process that was answered in the meantime is not run.
                let Some(pending) = self.calls.pending.get_mut(&call.number) else {
                    continue;
                };
                pending.offered_to_heads.insert(self.me.clone());
            }
            position.number += 1;
            bytes += command.len();
            calls.push(call.clone());
            records.push(WalRecord::Entry {
                entry: Entry {
                    position,
                    call,
                    command,
                },
                committed,
            });
        }
    }

    /// As the head: tells all that wait for what has just been committed.
    pub(crate) fn answer_committed_calls(&mut self, effects: &mut Vec<Effect>) {
        if !self.is_head() {
            return;
        }
        // Answered once all of the present chain are known to have it.
        let mut notified = Vec::new();
        for call in self.calls.waiting.keys() {
            if let Some(found) = self.applied.outcome(call) {
                if found.number <= self.chain.confirmed {
                    notified.push((call.clone(), found.outcome.clone()));
                }
            }
        }
        for (call, outcome) in notified {
            self.handle_outcome(call, outcome, effects);
        }
    }

    /// At the caller's process, or at one that passed the call on.
    pub(crate) fn handle_outcome(
        &mut self,
        call: CallId,
        outcome: Vec<u8>,
        effects: &mut Vec<Effect>,
    ) {
        self.reply(
            &call,
            Body::Outcome {
                call: call.clone(),
                outcome: outcome.clone(),
            },
            effects,
        );
        if call.origin == self.me.address {
            self.complete_call(&call, outcome, effects);
        }
    }

    pub(crate) fn handle_disk_full(
        &mut self,
        call: CallId,
        head: Member,
        effects: &mut Vec<Effect>,
    ) {
        self.reply(
            &call,
            Body::DiskFull {
                call: call.clone(),
                head: head.clone(),
            },
            effects,
        );
        if call.origin == self.me.address && call.start == self.start {
            if let Some(pending) = self.calls.pending.get_mut(&call.number) {
                pending.full.insert(head);
            }
        }
    }

    /// As the head: the command could not be written.
    pub(crate) fn reject_disk_full(&mut self, call: CallId, effects: &mut Vec<Effect>) {
        if self.calls.refused.len() == MAX_COMMANDS_PER_WRITE * 16 {
            self.calls.refused.pop_front();
        }
        self.calls.refused.push_back(call.clone());
        self.handle_disk_full(call, self.me.clone(), effects);
    }

    /// To all other processes that gave the call to this one.
    fn reply(&mut self, call: &CallId, body: Body, effects: &mut Vec<Effect>) {
        let Some((mut waiting, _)) = self.calls.waiting.remove(call) else {
            return;
        };
        waiting.remove(&self.me.address);
        for address in waiting {
            self.send(&address, body.clone(), effects);
        }
    }

    pub(crate) fn complete_call(
        &mut self,
        call: &CallId,
        result: Vec<u8>,
        effects: &mut Vec<Effect>,
    ) {
        if call.start != self.start {
            return;
        }
        if let Some(pending) = self.calls.pending.remove(&call.number) {
            effects.push(Effect::Answer {
                call: pending.call,
                result: Ok(result),
            });
        }
    }

    /// Tries again what was not answered, and refuses what waited for too long.
    pub(crate) fn retry_pending_calls(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        let timings = self.settings.timings.clone();
        self.calls
            .waiting
            .retain(|_, (_, since)| now - *since <= WAITER_TIMEOUT_MS);
        self.calls
            .queue
            .retain(|queued| now - queued.since <= QUEUE_TIMEOUT_MS);
        let numbers: Vec<u64> = self.calls.pending.keys().copied().collect();
        for number in numbers {
            let Some(pending) = self.calls.pending.get(&number) else {
                continue;
            };
            if now - pending.started_at > timings.call_timeout {
                effects.push(Effect::Answer {
                    call: pending.call,
                    result: Err(pending.refusal()),
                });
                self.calls.pending.remove(&number);
                continue;
            }
            let call = CallId {
                origin: self.me.address.clone(),
                start: self.start,
                number,
            };
            let stuck = self.fragments.is_stalled(&call, now);
            let transmission_time_ms = if stuck {
                0.0
            } else {
                pending.transmission_time_ms()
            };
            if now - pending.last_attempt >= timings.retry_interval + transmission_time_ms {
                self.send_to_head(number, effects);
            }
        }
    }
}

impl Calls {
    fn add_waiter(&mut self, call: CallId, address: &Address, now: f64) {
        let (waiting, since) = self.waiting.entry(call).or_default();
        waiting.insert(address.clone());
        *since = now;
    }
}

//! The process that a caller is connected to: sends its calls towards the head and retries them.
use std::collections::BTreeSet;

use super::{Pending, Request, QUEUE_TIMEOUT_MS, WAITER_TIMEOUT_MS};
use crate::message::{Body, CallId};
use crate::view::Address;
use crate::{Effect, Replica, StateMachine};

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
        let (offered_to_heads, full_heads) = (BTreeSet::new(), BTreeSet::new());
        let pending = Pending {
            call,
            kind,
            started_at,
            last_attempt,
            attempts: 0,
            offered_to_heads,
            full_heads,
            relayed: false,
        };
        self.calls.pending.insert(number, pending);
        self.send_to_head(number, effects);
    }

    /// Sends all pending calls again: the head, or what it can do, has changed.
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
        let call_timeout = self.settings.timings.call_timeout;
        let Some(pending) = self.calls.pending.get_mut(&number) else {
            return;
        };
        if self.now - pending.started_at > call_timeout {
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

    /// The head; at every other attempt a member of the chain that is heard, in case the link to the head is down.
    fn next_hop(&self, number: u64) -> Option<Address> {
        let attempts = self.calls.pending.get(&number)?.attempts as usize;
        let head = self.latest_view.chain.first()?.address.clone();
        if attempts.is_multiple_of(2) || head == self.me.address {
            return Some(head);
        }
        let live_peers = self
            .peers
            .heard_within(self.now, self.settings.timings.failure_timeout);
        let chain = self.latest_view.chain.iter().map(|member| &member.address);
        let others: Vec<&Address> = chain
            .filter(|address| **address != head && live_peers.contains(address))
            .collect();
        Some(
            others
                .get(attempts / 2 % others.len().max(1))
                .map_or(head, |other| (*other).clone()),
        )
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

    /// Retries unanswered calls, and fails those that have waited for too long.
    pub(crate) fn retry_pending_calls(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        let timings = self.settings.timings.clone();
        self.calls
            .waiters
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
                    result: Err(pending.failure()),
                });
                self.calls.pending.remove(&number);
                continue;
            }
            let call = CallId {
                origin: self.me.address.clone(),
                start: self.start,
                number,
            };
            let is_stalled = self.fragments.is_stalled(&call, now);
            let transmission_time_ms = if is_stalled {
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

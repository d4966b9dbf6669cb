//! Callers' submits and reads: from any process to the head and back. A call keeps its name at each try, so
//! that a command that is already in the log, or committed, is not run again.
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use borsh::BorshSerialize;

use crate::chain::SLOWEST_LINK;
use crate::image::Record;
use crate::message::{Body, CallId, Entry, Position};
use crate::{Address, Effect, Member, Refusal, Replica, StateMachine};

/// The head drops what it could not write within this many milliseconds; the caller's process asks again.
const FRESH: f64 = 1000.0;
/// Who waits at the head is forgotten after as many milliseconds.
const WAITING: f64 = 10_000.0;
/// Links that a command passes, one after the other, before it is answered: to the head, and down a chain of three.
const LINKS: f64 = 3.0;
/// Commands and bytes in one write.
const BATCH: usize = 64;
const BATCH_BYTES: usize = 1 << 20;

#[derive(Clone, Debug, BorshSerialize)]
enum Kind {
    Submit(Vec<u8>),
    Read(Vec<u8>),
}

/// A call of this process, not answered yet.
#[derive(Clone, Debug, BorshSerialize)]
struct Pending {
    call: u64,
    kind: Kind,
    began: f64,
    tried: f64,
    tries: u32,
    /// The heads that it was given to, or sent towards.
    handed: BTreeSet<Member>,
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
    fn on_its_way(&self) -> f64 {
        let (Kind::Submit(bytes) | Kind::Read(bytes)) = &self.kind;
        LINKS * bytes.len() as f64 / SLOWEST_LINK
    }

    /// Why there was no answer.
    fn refusal(&self) -> Refusal {
        match &self.kind {
            _ if self.handed.is_empty() => Refusal::NoMajority,
            Kind::Submit(_) if self.handed == self.full && !self.relayed => Refusal::Full,
            _ => Refusal::TimedOut,
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
        self.begin_call(call, Kind::Submit(command), effects);
    }

    pub(crate) fn read(&mut self, call: u64, question: Vec<u8>, effects: &mut Vec<Effect>) {
        self.begin_call(call, Kind::Read(question), effects);
    }

    fn begin_call(&mut self, call: u64, kind: Kind, effects: &mut Vec<Effect>) {
        let (began, tried) = (self.now, f64::NEG_INFINITY);
        self.calls.next += 1;
        let number = self.calls.next;
        let (handed, full) = (BTreeSet::new(), BTreeSet::new());
        let pending = Pending {
            call,
            kind,
            began,
            tried,
            tries: 0,
            handed,
            full,
            relayed: false,
        };
        self.calls.pending.insert(number, pending);
        self.route(number, effects);
    }

    /// Hands all pending calls to the head anew: the head, or what it can do, has changed.
    pub(crate) fn route_all(&mut self, effects: &mut Vec<Effect>) {
        let numbers: Vec<u64> = self.calls.pending.keys().copied().collect();
        for number in numbers {
            self.route(number, effects);
        }
    }

    fn route(&mut self, number: u64, effects: &mut Vec<Effect>) {
        let Some(to) = self.towards_head(number) else {
            return;
        };
        let call = CallId {
            origin: self.me.address.clone(),
            start: self.start,
            number,
        };
        let head = self.latest.chain.first().cloned();
        let patience = self.settings.timings.call;
        let Some(pending) = self.calls.pending.get_mut(&number) else {
            return;
        };
        if self.now - pending.began > patience {
            // Its caller does not wait any more; this process may not have run for a while.
            return;
        }
        pending.tried = self.now;
        pending.tries += 1;
        let body = match &pending.kind {
            Kind::Submit(command) => Body::Submit {
                call,
                command: command.clone(),
                hops: 1,
            },
            Kind::Read(question) => Body::Read {
                call,
                question: question.clone(),
                hops: 1,
            },
        };
        if to != self.me.address {
            pending.relayed |= head.as_ref().is_none_or(|head| head.address != to);
            pending.handed.extend(head);
        }
        self.send(&to, body, effects);
    }

    /// The head; at every other try a member of the chain that is heard, in case the way to the head is cut.
    fn towards_head(&self, number: u64) -> Option<Address> {
        let tries = self.calls.pending.get(&number)?.tries as usize;
        let head = self.latest.chain.first()?.address.clone();
        if tries.is_multiple_of(2) || head == self.me.address {
            return Some(head);
        }
        let near = self
            .peers
            .heard_within(self.now, self.settings.timings.silence);
        let chain = self.latest.chain.iter().map(|member| &member.address);
        let others: Vec<&Address> = chain
            .filter(|address| **address != head && near.contains(address))
            .collect();
        Some(
            others
                .get(tries / 2 % others.len().max(1))
                .map_or(head, |other| (*other).clone()),
        )
    }

    /// The head, when a call that is not for this process may be passed on to it.
    pub(crate) fn onward(&self, hops: u8) -> Option<Address> {
        let head = self.latest.chain.first()?.address.clone();
        (hops > 0 && head != self.me.address).then_some(head)
    }

    pub(crate) fn take_submit(
        &mut self,
        sender: &Member,
        call: CallId,
        command: Vec<u8>,
        hops: u8,
        effects: &mut Vec<Effect>,
    ) {
        let heads = self.image.view.epoch == self.latest.epoch && self.image.view.is_head(&self.me);
        if !heads {
            if let Some(head) = self.onward(hops) {
                self.calls.wait(call.clone(), &sender.address, self.now);
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
        self.calls.wait(call.clone(), &sender.address, self.now);
        if self.applied.outcome(&call).is_some() {
            self.answer_committed(effects);
            return;
        }
        let in_log = self.image.entries.iter().any(|entry| entry.call == call);
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
    pub(crate) fn gather_submits(&mut self, records: &mut Vec<Record>, calls: &mut Vec<CallId>) {
        let epoch = self.image.view.epoch;
        let able = self
            .image
            .view
            .may_commit(self.settings.machines_borne, self.settings.zones_borne);
        if !self.is_head() || !able {
            return;
        }
        let committed = self.committed_in_log();
        let mut at = Position {
            number: self.image.end().number,
            epoch,
        };
        let mut bytes = 0;
        while calls.len() < BATCH && bytes < BATCH_BYTES {
            let Some(Queued {
                call,
                command,
                since,
            }) = self.calls.queue.pop_front()
            else {
                return;
            };
            if self.now - since > FRESH {
                continue;
            }
            if call.origin == self.me.address && call.start == self.start {
                // A call of this process that was answered in the meantime is not run.
                let Some(pending) = self.calls.pending.get_mut(&call.number) else {
                    continue;
                };
                pending.handed.insert(self.me.clone());
            }
            at.number += 1;
            bytes += command.len();
            calls.push(call.clone());
            records.push(Record::Entry {
                entry: Entry { at, call, command },
                committed,
            });
        }
    }

    /// As the head: tells all that wait for what has just been committed.
    pub(crate) fn answer_committed(&mut self, effects: &mut Vec<Effect>) {
        if !self.is_head() {
            return;
        }
        // Answered once all of the present chain are known to have it.
        let mut told = Vec::new();
        for call in self.calls.waiting.keys() {
            if let Some(found) = self.applied.outcome(call) {
                if found.number <= self.chain.confirmed {
                    told.push((call.clone(), found.outcome.clone()));
                }
            }
        }
        for (call, outcome) in told {
            self.take_outcome(call, outcome, effects);
        }
    }

    /// At the caller's process, or at one that passed the call on.
    pub(crate) fn take_outcome(
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
            self.finish(&call, outcome, effects);
        }
    }

    pub(crate) fn take_disk_full(&mut self, call: CallId, head: Member, effects: &mut Vec<Effect>) {
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
    pub(crate) fn refuse_as_full(&mut self, call: CallId, effects: &mut Vec<Effect>) {
        if self.calls.refused.len() == BATCH * 16 {
            self.calls.refused.pop_front();
        }
        self.calls.refused.push_back(call.clone());
        self.take_disk_full(call, self.me.clone(), effects);
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

    pub(crate) fn finish(&mut self, call: &CallId, result: Vec<u8>, effects: &mut Vec<Effect>) {
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
    pub(crate) fn calls_tick(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        let timings = self.settings.timings.clone();
        self.calls
            .waiting
            .retain(|_, (_, since)| now - *since <= WAITING);
        self.calls
            .queue
            .retain(|queued| now - queued.since <= FRESH);
        let numbers: Vec<u64> = self.calls.pending.keys().copied().collect();
        for number in numbers {
            let Some(pending) = self.calls.pending.get(&number) else {
                continue;
            };
            if now - pending.began > timings.call {
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
            let stuck = self.fragments.is_stuck(&call, now);
            let on_its_way = if stuck { 0.0 } else { pending.on_its_way() };
            if now - pending.tried >= timings.repeat + on_its_way {
                self.route(number, effects);
            }
        }
    }
}

impl Calls {
    fn wait(&mut self, call: CallId, address: &Address, now: f64) {
        let (waiting, since) = self.waiting.entry(call).or_default();
        waiting.insert(address.clone());
        *since = now;
    }
}

//! The head: queues commands, appends them to the log and answers once they are committed.

use super::{Queued, QUEUE_TIMEOUT_MS};
use crate::durable_state::WalRecord;
use crate::message::{Body, CallId, Entry, LogPosition};
use crate::view::Member;
use crate::{Effect, Replica, StateMachine};

/// Commands and bytes in one write.
const MAX_COMMANDS_PER_WRITE: usize = 64;

const MAX_WRITE_BYTES: usize = 1 << 20;

impl<M: StateMachine> Replica<M> {
    pub(crate) fn handle_submit(
        &mut self,
        sender: &Member,
        call: CallId,
        command: Vec<u8>,
        hops: u8,
        effects: &mut Vec<Effect>,
    ) {
        let is_head_of_view = self.durable.view.epoch == self.latest_view.epoch
            && self.durable.view.is_head(&self.me);
        if !is_head_of_view {
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
        if self.calls.rejected.contains(&call) {
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
        let can_commit = self.durable.view.may_commit(
            self.settings.tolerated_machine_losses,
            self.settings.tolerated_zone_losses,
        );
        if !self.is_head() || !can_commit {
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

    /// As the head: answers all calls whose command has just been committed.
    pub(crate) fn answer_committed_calls(&mut self, effects: &mut Vec<Effect>) {
        if !self.is_head() {
            return;
        }
        // Answered once all of the present chain are known to have it.
        let mut answers = Vec::new();
        for call in self.calls.waiters.keys() {
            if let Some(found) = self.applied.outcome(call) {
                if found.number <= self.chain.confirmed {
                    answers.push((call.clone(), found.outcome.clone()));
                }
            }
        }
        for (call, outcome) in answers {
            self.handle_outcome(&call, outcome, effects);
        }
    }

    /// As the head: the command could not be written.
    pub(crate) fn reject_disk_full(&mut self, call: &CallId, effects: &mut Vec<Effect>) {
        if self.calls.rejected.len() == MAX_COMMANDS_PER_WRITE * 16 {
            self.calls.rejected.pop_front();
        }
        self.calls.rejected.push_back(call.clone());
        self.handle_disk_full(call, self.me.clone(), effects);
    }
}

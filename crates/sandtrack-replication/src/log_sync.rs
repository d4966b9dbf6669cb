//! At the start of a view each member synchronises its log with its predecessor's. The head's log is authoritative: what
//! others have beyond it was never committed. Nothing commits before all are in sync, since the tail acknowledges
//! nothing before.
//!
//! A member that lacks more than its predecessor's log holds first fetches the committed state (`snapshot_transfer`); its
//! log then begins with that state. Entries come in batches of bounded size. Each is on the disk before the next is
//! requested, and only with the last one is the member in sync.
use borsh::BorshSerialize;

use crate::durable_state::WalRecord;
use crate::message::{Body, LogPosition, SyncBatch};
use crate::{Effect, Member, Replica, StateMachine};

/// Milliseconds between two requests to be synchronised.
const SYNC_RETRY_INTERVAL_MS: f64 = 100.0;
/// Milliseconds between two sync requests.
pub(crate) const MAX_BATCH_BYTES: usize = 64 * 1024;
/// After this time without progress, a member that is not in sync asks the others to continue without it.
const SYNC_STALL_TIMEOUT_MS: f64 = 3000.0;
/// How long such a member stays out of the chain, so that it does not hold up the chain again and again.
const READMISSION_DELAY_MS: f64 = 10_000.0;

#[derive(Clone, Debug, BorshSerialize)]
pub(crate) struct LogSync {
    requested_at: f64,
    /// When the sync last progressed, or could not because the predecessor itself was not in sync.
    last_progress: f64,
    /// What the predecessor sent, until it is written.
    received: Option<SyncBatch>,
    /// When this member last asked the others to continue without it.
    gave_up_at: f64,
}

impl Default for LogSync {
    fn default() -> Self {
        let never = f64::NEG_INFINITY;
        Self {
            requested_at: never,
            last_progress: f64::INFINITY,
            received: None,
            gave_up_at: never,
        }
    }
}

impl LogSync {
    /// At the start of a view.
    pub(crate) fn reset(&mut self) {
        *self = Self {
            gave_up_at: self.gave_up_at,
            ..Self::default()
        };
    }
}

impl<M: StateMachine> Replica<M> {
    fn needs_log_sync(&self) -> bool {
        self.is_in_chain() && self.durable.in_sync_epoch != self.durable.view.epoch
    }

    pub(crate) fn request_log_sync(&mut self, effects: &mut Vec<Effect>) {
        if !self.needs_log_sync() {
            return;
        }
        self.update_sync_progress();
        let requested_recently = self.snapshot_transfers.is_fetching()
            || self.now - self.log_sync.requested_at < SYNC_RETRY_INTERVAL_MS;
        // Entries in transit, or being written, are not requested again.
        let busy = |predecessor: &&Member| {
            requested_recently
                || self.disk.is_writing_log()
                || self.fragments.is_receiving(&predecessor.address)
        };
        if let Some(predecessor) = self
            .durable
            .view
            .predecessor(&self.me)
            .filter(|predecessor| !busy(predecessor))
            .cloned()
        {
            self.log_sync.requested_at = self.now;
            let body = Body::SyncRequest {
                epoch_ends: self.durable.epoch_ends(),
                applied: self.applied.position,
            };
            self.send(&predecessor.address, body, effects);
        }
    }

    /// As `request_log_sync`, without waiting for the retry interval.
    pub(crate) fn request_log_sync_now(&mut self, effects: &mut Vec<Effect>) {
        self.log_sync.requested_at = f64::NEG_INFINITY;
        self.request_log_sync(effects);
    }

    /// A received chunk of a snapshot, or fragment of entries, is progress; while the predecessor itself is not in sync, none is
    /// possible.
    fn update_sync_progress(&mut self) {
        let epoch = self.durable.view.epoch;
        let predecessor = self.durable.view.predecessor(&self.me);
        let is_in_sync = predecessor
            .and_then(|member| self.peers.all.get(&member.address))
            .is_some_and(|peer| {
                self.now - peer.last_heard <= self.settings.timings.failure_timeout
                    && peer
                        .status
                        .as_ref()
                        .is_some_and(|status| status.in_sync_epoch == epoch)
            });
        if !is_in_sync || self.log_sync.last_progress > self.now {
            self.log_sync.last_progress = self.now;
        }
        let fragment = predecessor.and_then(|member| self.fragments.last_progress(&member.address));
        let transfers = [self.snapshot_transfers.last_progress(), fragment]
            .into_iter()
            .flatten();
        self.log_sync.last_progress = transfers.fold(self.log_sync.last_progress, f64::max);
        if self.now - self.log_sync.last_progress > SYNC_STALL_TIMEOUT_MS {
            self.log_sync.gave_up_at = self.now;
        }
    }

    /// The sync makes no progress, or was given up recently: the chain continues without this member, which catches up as
    /// an observer meanwhile.
    pub(crate) fn is_sync_stalled(&self) -> bool {
        !self.is_in_sync() && self.now - self.log_sync.gave_up_at < READMISSION_DELAY_MS
    }

    /// The predecessor has reported that it is in sync, so it answers requests from now on; it ignored earlier ones.
    pub(crate) fn on_predecessor_in_sync(&mut self, sender: &Member, effects: &mut Vec<Effect>) {
        if self.needs_log_sync() && self.durable.view.predecessor(&self.me) == Some(sender) {
            self.request_log_sync_now(effects);
        }
    }

    pub(crate) fn handle_sync_request(
        &mut self,
        sender: &Member,
        epoch_ends: &[LogPosition],
        applied: LogPosition,
        effects: &mut Vec<Effect>,
    ) {
        if !self.is_in_sync() || self.durable.view.successor(&self.me) != Some(sender) {
            return;
        }
        let shared = self.last_common_position(epoch_ends);
        // What was applied is committed, so this log holds it, or begins after it.
        let Some(after) = shared.or_else(|| self.log_contains(applied).then_some(applied)) else {
            return self.offer_snapshot(&sender.address, effects);
        };
        let end = self.durable.last_position().number;
        let entries = self.durable.batch(after.number, end, MAX_BATCH_BYTES);
        let more = entries
            .last()
            .is_some_and(|entry| entry.position.number < end);
        let body = Body::SyncBatch(SyncBatch {
            after,
            after_applied_state: shared.is_none(),
            entries,
            more,
        });
        self.send(&sender.address, body, effects);
    }

    /// The last position that this log shares with one of which the ends of epochs are known: of one epoch
    /// there is only one sequence of entries, so the shorter of the two runs is shared.
    fn last_common_position(&self, epoch_ends: &[LogPosition]) -> Option<LogPosition> {
        let shared = epoch_ends.iter().rev().find_map(|theirs| {
            let mine = self
                .durable
                .epoch_ends()
                .into_iter()
                .rev()
                .find(|mine| mine.epoch == theirs.epoch)?;
            let number = mine.number.min(theirs.number);
            let at = LogPosition {
                number,
                epoch: theirs.epoch,
            };
            self.log_contains(at).then_some(at)
        });
        shared.filter(|at| at.number >= epoch_ends.first().map_or(0, |first| first.number))
    }

    pub(crate) fn handle_sync_batch(&mut self, sender: &Member, batch: SyncBatch) {
        if self.needs_log_sync() && self.durable.view.predecessor(&self.me) == Some(sender) {
            self.log_sync.received = Some(batch);
        }
    }

    /// Appends the records that bring this log closer to being in sync; true if they replace the whole WAL.
    pub(crate) fn append_log_sync(&mut self, records: &mut Vec<WalRecord>) -> bool {
        let received = self.log_sync.received.take();
        if !self.needs_log_sync() {
            return false;
        }
        if self.durable.view.is_head(&self.me) {
            // A head is chosen among the complete members, so its log is authoritative as it is.
            if self.durable.is_complete(&self.me) {
                records.push(WalRecord::InSync {
                    epoch: self.durable.view.epoch,
                });
            }
            return false;
        }
        match received {
            Some(batch) if batch.after_applied_state => self.append_replacement_log(batch, records),
            Some(batch) => {
                self.append_sync_batch(batch, records);
                false
            }
            None => false,
        }
    }

    /// A batch that follows a position of this log.
    fn append_sync_batch(&self, batch: SyncBatch, records: &mut Vec<WalRecord>) {
        let last = batch
            .entries
            .last()
            .map_or(batch.after, |entry| entry.position);
        // The log moved since it was asked for, or this is a batch that came again.
        if !self.log_contains(batch.after) || (batch.more && self.log_contains(last)) {
            return;
        }
        let committed = self.durable.committed;
        records.push(WalRecord::Truncate {
            after: batch.after.number,
        });
        records.extend(
            batch
                .entries
                .into_iter()
                .map(|entry| WalRecord::Entry { entry, committed }),
        );
        if !batch.more {
            records.push(WalRecord::InSync {
                epoch: self.durable.view.epoch,
            });
        }
    }

    /// A log that begins with this process's applied state, in place of the former one. Until it is complete it may lack
    /// what the former one held: the member is complete in no epoch.
    fn append_replacement_log(&self, batch: SyncBatch, records: &mut Vec<WalRecord>) -> bool {
        if batch.after != self.applied.position {
            return false; // it learned more since it asked
        }
        let in_sync_epoch = if batch.more {
            0
        } else {
            self.durable.view.epoch
        };
        // What else is wanted in this write is part of the content.
        let rewritten_records =
            self.rewritten_records(self.applied.snapshot(), batch.entries, in_sync_epoch);
        let wanted = std::mem::replace(records, rewritten_records);
        records.extend(wanted);
        true
    }

    /// After a batch was written that was not the last one.
    pub(crate) fn on_log_extended(&mut self, effects: &mut Vec<Effect>) {
        self.log_sync.last_progress = self.now;
        self.request_log_sync_now(effects);
    }

    /// After the log was synchronised on the disk.
    pub(crate) fn on_in_sync(&mut self, effects: &mut Vec<Effect>) {
        if !self.is_in_sync() {
            return;
        }
        self.chain.initial_end = self.durable.last_position().number;
        self.ack(effects);
        if let Some(successor) = self.durable.view.successor(&self.me).cloned() {
            self.send_status(&successor.address, effects);
        }
        self.reroute_pending_calls(effects);
    }
}

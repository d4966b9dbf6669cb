//! Snapshot transfer, for a process that lacks more than its source's log holds.
//!
//! The receiver fetches a snapshot in chunks, with few of them in flight, so that heartbeats are not delayed even on a
//! slow link. Received chunks stay valid as long as the same snapshot (position, length, digest) is offered, so a broken
//! link costs no more than the chunks in flight. The sender keeps at most one snapshot for all receivers, and drops it
//! once none of them fetches it any more.
mod transfer_state;

use std::collections::BTreeMap;

use borsh::BorshSerialize;

use crate::message::{Body, LogPosition, Snapshot, SnapshotId};
use transfer_state::{identify, Incoming, Outgoing, CHUNK_BYTES};

use crate::{Address, Effect, Member, Replica, StateMachine};

/// Bytes of the longest snapshot that is fetched.
const MAX_SNAPSHOT_BYTES: u64 = 64 << 20;
/// After this time missing chunks are requested again.
const CHUNK_RETRY_TIMEOUT_MS: f64 = 500.0;
/// Milliseconds after which another snapshot is fetched in place of one of which nothing came.
const SOURCE_TIMEOUT_MS: f64 = 1000.0;
/// Milliseconds after which a receiver that asked for nothing more is forgotten.
const IDLE_TRANSFER_TIMEOUT_MS: f64 = 10_000.0;

/// What is being sent and fetched.
#[derive(Clone, Debug, Default, BorshSerialize)]
pub(crate) struct SnapshotTransfers {
    outgoing: Option<Outgoing>,
    incoming: Option<Incoming>,
    rejected: u64,
}

impl SnapshotTransfers {
    /// Whether some process fetches a snapshot from here, and will want the log after it.
    pub(crate) fn is_sending(&self) -> bool {
        self.outgoing.is_some()
    }

    pub(crate) fn is_fetching(&self) -> bool {
        self.incoming.is_some()
    }

    /// When a chunk was last received, in milliseconds; `None` while nothing is fetched.
    pub(crate) fn last_progress(&self) -> Option<f64> {
        self.incoming
            .as_ref()
            .map(|incoming| incoming.last_progress)
    }
}

impl<M: StateMachine> Replica<M> {
    /// Snapshots that did not match their digest, or could not be read, since the start of the process (code E503).
    pub fn snapshots_rejected(&self) -> u64 {
        self.snapshot_transfers.rejected
    }

    /// Bytes of the snapshots that are kept for transfers.
    pub fn snapshot_transfer_bytes(&self) -> usize {
        let outgoing = self
            .snapshot_transfers
            .outgoing
            .as_ref()
            .map_or(0, |outgoing| outgoing.state.len());
        outgoing
            + self
                .snapshot_transfers
                .incoming
                .as_ref()
                .map_or(0, |incoming| incoming.state.len())
    }

    /// Offers a snapshot to a process that lacks more than the log holds: the one that is already being sent, if the log
    /// still continues from it.
    pub(crate) fn offer_snapshot(&mut self, to: &Address, effects: &mut Vec<Effect>) {
        let follows = |at: LogPosition| at == self.applied.position || self.log_contains(at);
        if !self
            .snapshot_transfers
            .outgoing
            .as_ref()
            .is_some_and(|outgoing| follows(outgoing.id.position))
        {
            let Snapshot { position, state } = self.applied.snapshot();
            let id = identify(position, &state);
            self.snapshot_transfers.outgoing = Some(Outgoing {
                id,
                state,
                receivers: BTreeMap::new(),
            });
        }
        if let Some(outgoing) = &mut self.snapshot_transfers.outgoing {
            outgoing.receivers.insert(to.clone(), self.now);
            let id = outgoing.id;
            self.send(to, Body::SnapshotOffer(id), effects);
        }
    }

    pub(crate) fn handle_snapshot_offer(
        &mut self,
        sender: &Member,
        id: SnapshotId,
        effects: &mut Vec<Effect>,
    ) {
        if id.position.number <= self.applied.position.number || id.length > MAX_SNAPSHOT_BYTES {
            return;
        }
        let now = self.now;
        match &mut self.snapshot_transfers.incoming {
            Some(incoming) if incoming.id == id => {
                if now - incoming.last_progress > SOURCE_TIMEOUT_MS {
                    incoming.from = sender.address.clone();
                }
            }
            // The sender of the one that is being fetched has it no more, or is not there.
            Some(incoming)
                if incoming.from != sender.address
                    && now - incoming.last_progress <= SOURCE_TIMEOUT_MS => {}
            incoming => *incoming = Some(Incoming::new(id, sender.address.clone(), now)),
        }
        self.request_chunks(effects);
    }

    /// Requests the chunks that may be in flight.
    fn request_chunks(&mut self, effects: &mut Vec<Effect>) {
        let Some(incoming) = &mut self.snapshot_transfers.incoming else {
            return;
        };
        let (id, from) = (incoming.id, incoming.from.clone());
        for offset in incoming.next_offsets() {
            self.send(&from, Body::SnapshotFetch { id, offset }, effects);
        }
    }

    pub(crate) fn handle_snapshot_fetch(
        &mut self,
        sender: &Member,
        id: SnapshotId,
        offset: u64,
        effects: &mut Vec<Effect>,
    ) {
        let now = self.now;
        let Some(outgoing) = self
            .snapshot_transfers
            .outgoing
            .as_mut()
            .filter(|outgoing| outgoing.id == id)
        else {
            return; // it is offered another one when it tells what it lacks
        };
        if offset >= id.length {
            outgoing.receivers.remove(&sender.address);
            if outgoing.receivers.is_empty() {
                self.snapshot_transfers.outgoing = None;
            }
            return;
        }
        outgoing.receivers.insert(sender.address.clone(), now);
        let start = offset as usize;
        let bytes = outgoing.state[start..(start + CHUNK_BYTES).min(outgoing.state.len())].to_vec();
        self.send(
            &sender.address,
            Body::SnapshotChunk { id, offset, bytes },
            effects,
        );
    }

    pub(crate) fn handle_snapshot_chunk(
        &mut self,
        sender: &Member,
        id: SnapshotId,
        offset: u64,
        bytes: Vec<u8>,
        effects: &mut Vec<Effect>,
    ) {
        let now = self.now;
        let Some(incoming) = self
            .snapshot_transfers
            .incoming
            .as_mut()
            .filter(|incoming| incoming.id == id)
        else {
            return;
        };
        incoming.add_chunk(offset, bytes);
        (incoming.last_activity, incoming.last_progress) = (now, now);
        if !incoming.is_complete() {
            return self.request_chunks(effects);
        }
        let snapshot = self
            .snapshot_transfers
            .incoming
            .take()
            .and_then(Incoming::verified_snapshot);
        let is_restored = snapshot.is_some_and(|snapshot| self.restore(&snapshot, effects));
        if is_restored {
            // All are notified before the sender learns that the transfer is complete: they keep the log after the snapshot.
            let mut notified = self.latest_view.addresses();
            notified.push(sender.address.clone());
            notified.dedup();
            notified
                .into_iter()
                .for_each(|address| self.send_status(&address, effects));
        }
        self.send(
            &sender.address,
            Body::SnapshotFetch {
                id,
                offset: id.length,
            },
            effects,
        );
        if is_restored {
            self.request_log_sync_now(effects);
        } else {
            self.snapshot_transfers.rejected += 1;
        }
    }

    /// Takes the committed state of a snapshot; false when it can't be read.
    fn restore(&mut self, snapshot: &Snapshot, effects: &mut Vec<Effect>) -> bool {
        if snapshot.position.number <= self.applied.position.number {
            return true;
        }
        let restored = self.applied.restore(snapshot);
        if restored {
            effects.push(Effect::Restored {
                number: snapshot.position.number,
            });
        }
        restored
    }

    /// Requests missing chunks again, and drops transfers that have ended.
    pub(crate) fn retry_snapshot_transfers(&mut self, effects: &mut Vec<Effect>) {
        let (now, applied) = (self.now, self.applied.position.number);
        self.snapshot_transfers.incoming.take_if(|incoming| {
            incoming.id.position.number <= applied
                || now - incoming.last_progress > IDLE_TRANSFER_TIMEOUT_MS
        });
        if let Some(incoming) = &mut self.snapshot_transfers.incoming {
            if now - incoming.last_activity > CHUNK_RETRY_TIMEOUT_MS {
                incoming.last_activity = now;
                incoming.requested = incoming.received();
                self.request_chunks(effects);
            }
        }
        self.snapshot_transfers.outgoing.take_if(|outgoing| {
            outgoing
                .receivers
                .retain(|_, requested_at| now - *requested_at <= IDLE_TRANSFER_TIMEOUT_MS);
            outgoing.receivers.is_empty()
        });
    }
}

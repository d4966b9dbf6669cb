//! A snapshot that is being sent, and one that is being fetched.
use std::collections::BTreeMap;

use borsh::BorshSerialize;

use crate::message::{LogPosition, Snapshot, SnapshotId};
use crate::view::Address;

/// Bytes of a chunk: 13 ms on a link of 10 Mbit/s.
pub(super) const CHUNK_BYTES: usize = 16 * 1024;

/// Bytes that may be asked for and not received.
pub(super) const MAX_REQUESTED_BYTES: u64 = 4 * CHUNK_BYTES as u64;

/// A snapshot that is being sent.
#[derive(Clone, Debug, BorshSerialize)]
pub(super) struct Outgoing {
    pub(super) id: SnapshotId,
    pub(super) state: Vec<u8>,
    /// The receivers, and when each was last offered the snapshot or requested a chunk.
    pub(super) receivers: BTreeMap<Address, f64>,
}

/// A snapshot that is being fetched.
#[derive(Clone, Debug, BorshSerialize)]
pub(super) struct Incoming {
    pub(super) id: SnapshotId,
    pub(super) from: Address,
    /// The state up to the first missing chunk.
    pub(super) state: Vec<u8>,
    /// Pieces that came before one in front of them.
    pub(super) out_of_order: BTreeMap<u64, Vec<u8>>,
    /// Up to which byte chunks were requested.
    pub(super) requested: u64,
    /// When a chunk was last received, or requested again.
    pub(super) last_activity: f64,
    /// When a chunk was last received.
    pub(super) last_progress: f64,
}

impl Incoming {
    pub(super) fn new(id: SnapshotId, from: Address, now: f64) -> Self {
        Self {
            id,
            from,
            state: Vec::new(),
            out_of_order: BTreeMap::new(),
            requested: 0,
            last_activity: now,
            last_progress: now,
        }
    }

    pub(super) fn received(&self) -> u64 {
        self.state.len() as u64
    }

    /// The offsets to ask for now.
    pub(super) fn next_offsets(&mut self) -> Vec<u64> {
        let mut offsets = Vec::new();
        while self.requested < self.id.length.min(self.received() + MAX_REQUESTED_BYTES) {
            offsets.push(self.requested);
            self.requested += CHUNK_BYTES as u64;
        }
        offsets
    }

    pub(super) fn add_chunk(&mut self, offset: u64, bytes: Vec<u8>) {
        if offset >= self.received() && offset < self.received() + MAX_REQUESTED_BYTES {
            self.out_of_order.insert(offset, bytes);
        }
        while let Some(bytes) = self.out_of_order.remove(&self.received()) {
            self.state.extend(bytes);
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        self.received() >= self.id.length
    }

    /// The snapshot, when it is the one that was offered.
    pub(super) fn verified_snapshot(self) -> Option<Snapshot> {
        (self.id == identify(self.id.position, &self.state)).then_some(Snapshot {
            position: self.id.position,
            state: self.state,
        })
    }
}

pub(super) fn identify(position: LogPosition, state: &[u8]) -> SnapshotId {
    SnapshotId {
        position,
        length: state.len() as u64,
        digest: crc32fast::hash(state),
    }
}

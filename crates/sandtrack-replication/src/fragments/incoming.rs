//! A long message that is being received.
use std::collections::BTreeMap;

use borsh::BorshSerialize;

use super::outgoing::MAX_WINDOW_BYTES;

/// What comes from one sender.
#[derive(Clone, Debug, Default, BorshSerialize)]
pub(super) struct Incoming {
    /// The last message that was received completely; they are numbered from 1.
    pub(super) finished: u64,
    /// The message that is being received; its bytes up to the first missing fragment.
    pub(super) id: u64,
    pub(super) bytes: Vec<u8>,
    /// Pieces that came before one in front of them.
    pub(super) out_of_order: BTreeMap<u64, Vec<u8>>,
    /// When a fragment was last received.
    pub(super) last_progress: f64,
}

impl Incoming {
    pub(super) fn begin(&mut self, id: u64) {
        *self = Self {
            finished: self.finished,
            id,
            ..Self::default()
        };
    }

    pub(super) fn received(&self) -> u64 {
        self.bytes.len() as u64
    }

    pub(super) fn is_in_progress(&self) -> bool {
        self.id > self.finished
    }

    pub(super) fn add_fragment(&mut self, offset: u64, bytes: Vec<u8>) {
        if offset >= self.received()
            && offset < self.received() + MAX_WINDOW_BYTES
            && !bytes.is_empty()
        {
            self.out_of_order.insert(offset, bytes);
        }
        while let Some(bytes) = self.out_of_order.remove(&self.received()) {
            self.bytes.extend(bytes);
        }
    }
}

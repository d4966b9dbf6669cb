//! Long messages to another replica, sent in fragments with few of them unacknowledged, so that heartbeats and other short
//! messages are not delayed behind them on a slow link.
//!
//! One long message at a time is in flight to a receiver. It is retransmitted from the last acknowledged byte, so a broken
//! link costs no more than the fragments in flight. Snapshots are transferred differently (`snapshot_transfer`): they are
//! requested, and shared by all receivers.
mod incoming;
mod key;
mod outgoing;
mod transport;

use std::collections::{BTreeMap, VecDeque};

use borsh::BorshSerialize;

use crate::message::CallId;
use incoming::Incoming;
use key::MessageKey;
use outgoing::{Outgoing, SendWindow};

use crate::Address;

/// After this time without an acknowledgement fragments are retransmitted.
const RETRANSMIT_TIMEOUT_MS: f64 = 400.0;

/// The long messages that are being sent and received.
#[derive(Clone, Debug, Default, BorshSerialize)]
pub(crate) struct Fragments {
    last_id: u64,
    outgoing: BTreeMap<Address, VecDeque<Outgoing>>,
    windows: BTreeMap<Address, SendWindow>,
    incoming: BTreeMap<Address, Incoming>,
}

impl Fragments {
    /// Another process has this address now: what was in flight is meaningless to it.
    pub(crate) fn remove(&mut self, address: &Address) {
        self.outgoing.remove(address);
        self.windows.remove(address);
        self.incoming.remove(address);
    }

    /// Drops messages of earlier epochs, which the receiver would ignore.
    pub(crate) fn drop_earlier_epochs(&mut self, epoch: u64) {
        for queue in self.outgoing.values_mut() {
            queue.retain(|outgoing| outgoing.epoch == epoch || !outgoing.key.is_epoch_bound());
        }
        self.outgoing.retain(|_, queue| !queue.is_empty());
    }

    /// Whether a long call waits for a receiver that has acknowledged nothing for a while.
    pub(crate) fn is_stalled(&self, call: &CallId, now: f64) -> bool {
        let contains_call = |queue: &VecDeque<Outgoing>| {
            queue
                .iter()
                .any(|outgoing| matches!(&outgoing.key, MessageKey::Submit(it) | MessageKey::Other(it) if it == call))
        };
        let is_queue_stalled = |queue: &VecDeque<Outgoing>| {
            queue
                .front()
                .is_some_and(|outgoing| now - outgoing.last_progress > RETRANSMIT_TIMEOUT_MS)
        };
        self.outgoing
            .values()
            .any(|queue| is_queue_stalled(queue) && contains_call(queue))
    }

    /// Whether a long message is being received from a process.
    pub(crate) fn is_receiving(&self, from: &Address) -> bool {
        self.incoming
            .get(from)
            .is_some_and(Incoming::is_in_progress)
    }

    /// When a fragment of a process was last received, in milliseconds.
    pub(crate) fn last_progress(&self, from: &Address) -> Option<f64> {
        self.incoming
            .get(from)
            .map(|incoming| incoming.last_progress)
    }

    /// Bytes buffered for long messages.
    fn bytes(&self) -> usize {
        let outgoing = self
            .outgoing
            .values()
            .flatten()
            .map(|outgoing| outgoing.bytes.len());
        let incoming = self.incoming.values().map(|incoming| incoming.bytes.len());
        outgoing.chain(incoming).sum()
    }
}

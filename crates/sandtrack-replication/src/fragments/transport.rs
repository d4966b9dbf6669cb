//! Sending, acknowledging and retransmitting fragments.
use std::collections::VecDeque;

use super::{Outgoing, SendWindow, RETRANSMIT_TIMEOUT_MS};
use crate::message::Body;
use crate::view::{Address, Member};
use crate::{Effect, Message, Replica, StateMachine};

/// Bytes of the longest accepted message, as in the control plane's frames.
const MAX_MESSAGE_BYTES: u64 = 64 << 20;

/// Bytes that may wait for one receiver when another long message is added.
const MAX_QUEUED_BYTES: usize = 16 << 20;

/// After this time without an acknowledgement, or without a fragment, a message is dropped.
const ABANDON_TIMEOUT_MS: f64 = 3000.0;

impl<M: StateMachine> Replica<M> {
    /// Bytes buffered for long messages that are being sent or received.
    pub fn fragment_bytes(&self) -> usize {
        self.fragments.bytes()
    }

    /// Sends a message, in fragments if it is long.
    pub(crate) fn send_message(
        &mut self,
        to: &Address,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let Some(key) = message.body.fragmentation_key() else {
            effects.push(Effect::Send {
                to: to.clone(),
                message,
            });
            return;
        };
        let queue = self.fragments.outgoing.entry(to.clone()).or_default();
        let queued_bytes: usize = queue.iter().map(|outgoing| outgoing.bytes.len()).sum();
        let is_queued_already = queue.iter().any(|outgoing| outgoing.key == key);
        if is_queued_already || queued_bytes > MAX_QUEUED_BYTES {
            return; // whoever wants it sends it again
        }
        self.fragments.last_id += 1;
        queue.push_back(Outgoing {
            id: self.fragments.last_id,
            epoch: message.epoch,
            key,
            // Writing into memory can't fail.
            bytes: borsh::to_vec(&message).unwrap_or_default(),
            sent: 0,
            acknowledged: 0,
            send_times: VecDeque::new(),
            last_activity: self.now,
            last_progress: self.now,
        });
        self.send_fragments(to, effects);
    }

    /// Sends fragments of the first queued message, as many as may be in flight.
    fn send_fragments(&mut self, to: &Address, effects: &mut Vec<Effect>) {
        let Some(outgoing) = self
            .fragments
            .outgoing
            .get_mut(to)
            .and_then(VecDeque::front_mut)
        else {
            return;
        };
        let window = self
            .fragments
            .windows
            .entry(to.clone())
            .or_insert_with(SendWindow::new)
            .window;
        let (id, length) = (outgoing.id, outgoing.bytes.len() as u64);
        for (offset, bytes) in outgoing.next_fragments(self.now, window) {
            self.send(
                to,
                Body::Fragment {
                    id,
                    length,
                    offset,
                    bytes,
                },
                effects,
            );
        }
    }

    pub(crate) fn handle_fragment(
        &mut self,
        sender: &Member,
        id: u64,
        length: u64,
        offset: u64,
        bytes: Vec<u8>,
        effects: &mut Vec<Effect>,
    ) {
        if length > MAX_MESSAGE_BYTES {
            return;
        }
        let incoming = self
            .fragments
            .incoming
            .entry(sender.address.clone())
            .or_default();
        if id > incoming.finished {
            if id > incoming.id {
                incoming.begin(id);
            }
            if id < incoming.id {
                return; // the sender gave it up
            }
            incoming.add_fragment(offset, bytes);
            incoming.last_progress = self.now;
        }
        let received = if id > incoming.finished {
            incoming.received()
        } else {
            length
        };
        let mut complete = None;
        if id > incoming.finished && received >= length {
            incoming.finished = id;
            complete = Some(std::mem::take(&mut incoming.bytes));
        }
        self.send(&sender.address, Body::FragmentAck { id, received }, effects);
        let message = complete.and_then(|bytes| borsh::from_slice::<Message>(&bytes).ok());
        // A message of this kind within another is none of ours.
        if let Some(message) = message.filter(|message| message.body.fragmentation_key().is_some())
        {
            self.step(sender, message, effects);
        }
    }

    pub(crate) fn handle_fragment_ack(
        &mut self,
        sender: &Member,
        id: u64,
        received: u64,
        effects: &mut Vec<Effect>,
    ) {
        let now = self.now;
        let Some(queue) = self.fragments.outgoing.get_mut(&sender.address) else {
            return;
        };
        let Some(outgoing) = queue.front_mut().filter(|outgoing| outgoing.id == id) else {
            return;
        };
        if received > outgoing.acknowledged {
            let rtt_ms = outgoing.on_acknowledged(now, received);
            let send_window = self
                .fragments
                .windows
                .entry(sender.address.clone())
                .or_insert_with(SendWindow::new);
            rtt_ms
                .into_iter()
                .for_each(|rtt_ms| send_window.acknowledged(rtt_ms));
        }
        if outgoing.acknowledged >= outgoing.bytes.len() as u64 {
            queue.pop_front();
            if let Some(next) = queue.front_mut() {
                (next.last_activity, next.last_progress) = (now, now);
            }
        }
        self.send_fragments(&sender.address, effects);
    }

    /// Sends again what was not acknowledged, and gives up what gets nowhere.
    pub(crate) fn retransmit_fragments(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        let is_progressing = |queue: &VecDeque<Outgoing>| {
            queue
                .front()
                .is_some_and(|outgoing| now - outgoing.last_progress <= ABANDON_TIMEOUT_MS)
        };
        self.fragments
            .outgoing
            .retain(|_, queue| is_progressing(queue));
        for incoming in self.fragments.incoming.values_mut() {
            if incoming.is_in_progress() && now - incoming.last_progress > ABANDON_TIMEOUT_MS {
                incoming.begin(incoming.finished);
            }
        }
        let mut stalled = Vec::new();
        for (address, queue) in &mut self.fragments.outgoing {
            if let Some(outgoing) = queue
                .front_mut()
                .filter(|outgoing| now - outgoing.last_activity > RETRANSMIT_TIMEOUT_MS)
            {
                outgoing.rewind_to_acknowledged(now);
                stalled.push(address.clone());
            }
        }
        for address in stalled {
            self.send_fragments(&address, effects);
        }
    }
}

//! Long messages on their way to another replica: they travel in pieces, few of them unacknowledged, so that heartbeats
//! and what else is short pass between them on a slow link. One long message at a time is on its way to a receiver; it
//! is repeated from the last acknowledged byte, so a break of the link costs no more than the pieces that were under
//! way. Snapshots have their own way (`transfer`): they are asked for, and shared by all receivers.
use std::collections::{BTreeMap, VecDeque};

use borsh::BorshSerialize;

use crate::log_sync::MAX_BATCH_BYTES;
use crate::message::{Body, CallId, Entry, LogPosition, SyncBatch};
use crate::{Address, Effect, Member, Message, Replica, StateMachine};

/// Bytes of entries, or of a command, up to which a message travels whole.
const MAX_UNFRAGMENTED_BYTES: usize = MAX_BATCH_BYTES;
/// Bytes of a piece: 13 ms on a link of 10 Mbit/s.
const FRAGMENT_BYTES: usize = 16 * 1024;
/// Bytes that may be sent and not acknowledged, at the least and at the most.
const MIN_WINDOW_BYTES: u64 = 4 * FRAGMENT_BYTES as u64;
const MAX_WINDOW_BYTES: u64 = 16 * MIN_WINDOW_BYTES;
/// Milliseconds that a piece may take longer than the fastest one before fewer are sent: how long others wait behind them.
const MAX_QUEUEING_DELAY_MS: f64 = 60.0;
/// Bytes of the longest message that is taken, as in the control plane's frames.
const MAX_MESSAGE_BYTES: u64 = 64 << 20;
/// Bytes that may wait for one receiver when another long message is added.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// Milliseconds without an acknowledgement after which pieces are sent again.
const RETRANSMIT_TIMEOUT_MS: f64 = 400.0;
/// Milliseconds without an acknowledgement, or without a piece, after which a message is given up.
const ABANDON_TIMEOUT_MS: f64 = 3000.0;

/// What a long message is about: one that is under way is not added again.
#[derive(Clone, Debug, PartialEq, BorshSerialize)]
enum MessageKey {
    /// Entries of the log, first to last. They belong to one epoch.
    Forward {
        first: LogPosition,
        last: LogPosition,
    },
    /// As above, for a member that is synchronised.
    SyncBatch {
        first: LogPosition,
        last: LogPosition,
    },
    /// Committed entries for an observer.
    CommittedEntries {
        first: LogPosition,
        last: LogPosition,
    },
    Submit(CallId),
    /// An answer, or a question.
    Other(CallId),
}

impl MessageKey {
    fn is_epoch_bound(&self) -> bool {
        matches!(self, Self::Forward { .. } | Self::SyncBatch { .. })
    }
}

/// How much may be under way to a receiver: as much as its round trip takes without a queue on the way.
#[derive(Clone, Debug, BorshSerialize)]
struct SendWindow {
    window: u64,
    /// The shortest time between a piece and its acknowledgement, in milliseconds.
    fastest: f64,
}

impl SendWindow {
    fn new() -> Self {
        Self {
            window: MIN_WINDOW_BYTES,
            fastest: f64::INFINITY,
        }
    }

    /// A piece was acknowledged so many milliseconds after it was sent.
    fn acknowledged(&mut self, took: f64) {
        self.fastest = self.fastest.min(took);
        let is_queued = took > self.fastest + MAX_QUEUEING_DELAY_MS;
        let next = if is_queued {
            self.window - FRAGMENT_BYTES as u64
        } else {
            self.window + FRAGMENT_BYTES as u64
        };
        self.window = next.clamp(MIN_WINDOW_BYTES, MAX_WINDOW_BYTES);
    }
}

/// A message that is being sent.
#[derive(Clone, Debug, BorshSerialize)]
struct Outgoing {
    id: u64,
    epoch: u64,
    topic: MessageKey,
    bytes: Vec<u8>,
    /// Up to which byte it was sent, and acknowledged.
    sent: u64,
    acknowledged: u64,
    /// Up to which byte it was sent when; what was sent anew is not there.
    times: VecDeque<(u64, f64)>,
    /// When it was last acknowledged, or sent anew.
    moved: f64,
    /// When an acknowledgement last brought it forward.
    progress: f64,
}

impl Outgoing {
    /// The pieces to send now, with their offsets.
    fn next_fragments(&mut self, now: f64, window: u64) -> Vec<(u64, Vec<u8>)> {
        let length = self.bytes.len() as u64;
        let mut fragments_to_send = Vec::new();
        while self.sent < length.min(self.acknowledged + window) {
            let start = self.sent as usize;
            let end = (start + FRAGMENT_BYTES).min(self.bytes.len());
            fragments_to_send.push((self.sent, self.bytes[start..end].to_vec()));
            self.sent = end as u64;
            self.times.push_back((self.sent, now));
        }
        fragments_to_send
    }

    /// Takes note of an acknowledgement that brings it forward; how long the last piece took that it covers.
    fn on_acknowledged(&mut self, now: f64, received: u64) -> Option<f64> {
        self.acknowledged = received;
        self.sent = self.sent.max(received);
        (self.moved, self.progress) = (now, now);
        let mut took = None;
        while let Some((_, sent)) = self.pop_send_time(received) {
            took = Some(now - sent);
        }
        took
    }

    fn pop_send_time(&mut self, received: u64) -> Option<(u64, f64)> {
        self.times.front().filter(|(end, _)| *end <= received)?;
        self.times.pop_front()
    }

    /// What is not acknowledged is sent once more.
    fn rewind_to_acknowledged(&mut self, now: f64) {
        self.sent = self.acknowledged;
        self.moved = now;
        self.times.clear();
    }
}

/// What comes from one sender.
#[derive(Clone, Debug, Default, BorshSerialize)]
struct Incoming {
    /// The last message that came whole; they are numbered from 1.
    finished: u64,
    /// The message that is coming; its bytes up to the first piece that lacks.
    id: u64,
    bytes: Vec<u8>,
    /// Pieces that came before one in front of them.
    out_of_order: BTreeMap<u64, Vec<u8>>,
    /// When a piece last came.
    progress: f64,
}

impl Incoming {
    fn begin(&mut self, id: u64) {
        *self = Self {
            finished: self.finished,
            id,
            ..Self::default()
        };
    }

    fn received(&self) -> u64 {
        self.bytes.len() as u64
    }

    fn is_under_way(&self) -> bool {
        self.id > self.finished
    }

    fn take(&mut self, offset: u64, bytes: Vec<u8>) {
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

/// The long messages that are being sent and received.
#[derive(Clone, Debug, Default, BorshSerialize)]
pub(crate) struct Fragments {
    last_id: u64,
    outgoing: BTreeMap<Address, VecDeque<Outgoing>>,
    windows: BTreeMap<Address, SendWindow>,
    incoming: BTreeMap<Address, Incoming>,
}

impl Fragments {
    /// Another process is there under this address: nothing that was under way has a meaning to it.
    pub(crate) fn remove(&mut self, address: &Address) {
        self.outgoing.remove(address);
        self.windows.remove(address);
        self.incoming.remove(address);
    }

    /// Drops what would be refused, as it belongs to an earlier epoch.
    pub(crate) fn drop_earlier_epochs(&mut self, epoch: u64) {
        for queue in self.outgoing.values_mut() {
            queue.retain(|outgoing| outgoing.epoch == epoch || !outgoing.topic.is_epoch_bound());
        }
        self.outgoing.retain(|_, queue| !queue.is_empty());
    }

    /// Whether a long call waits for a receiver that has acknowledged nothing for a while.
    pub(crate) fn is_stalled(&self, call: &CallId, now: f64) -> bool {
        let log_contains = |queue: &VecDeque<Outgoing>| {
            queue
                .iter()
                .any(|outgoing| matches!(&outgoing.topic, MessageKey::Submit(it) | MessageKey::Other(it) if it == call))
        };
        let is_queue_stalled = |queue: &VecDeque<Outgoing>| {
            queue
                .front()
                .is_some_and(|outgoing| now - outgoing.progress > RETRANSMIT_TIMEOUT_MS)
        };
        self.outgoing
            .values()
            .any(|queue| is_queue_stalled(queue) && log_contains(queue))
    }

    /// Whether a long message of a process is on its way here.
    pub(crate) fn is_receiving(&self, from: &Address) -> bool {
        self.incoming.get(from).is_some_and(Incoming::is_under_way)
    }

    /// When a piece last came from a process, in milliseconds.
    pub(crate) fn progress(&self, from: &Address) -> Option<f64> {
        self.incoming.get(from).map(|incoming| incoming.progress)
    }

    /// Bytes that are kept for long messages under way.
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

impl Body {
    /// What a message is about that is too long to travel whole; None for all others.
    fn fragmentation_key(&self) -> Option<MessageKey> {
        let span = |entries: &[Entry]| Some((entries.first()?.position, entries.last()?.position));
        let is_long = |entries: &[Entry]| {
            entries.iter().map(Entry::size).sum::<usize>() > MAX_UNFRAGMENTED_BYTES
        };
        match self {
            Self::Forward { entries } if is_long(entries) => {
                span(entries).map(|(first, last)| MessageKey::Forward { first, last })
            }
            Self::SyncBatch(SyncBatch { entries, .. }) if is_long(entries) => {
                span(entries).map(|(first, last)| MessageKey::SyncBatch { first, last })
            }
            Self::CommittedEntries { entries, .. } if is_long(entries) => {
                span(entries).map(|(first, last)| MessageKey::CommittedEntries { first, last })
            }
            Self::Submit { call, command, .. } if command.len() > MAX_UNFRAGMENTED_BYTES => {
                Some(MessageKey::Submit(call.clone()))
            }
            Self::Read {
                call, query: bytes, ..
            }
            | Self::ForwardRead {
                call, query: bytes, ..
            }
            | Self::ReadOutcome {
                call,
                answer: bytes,
            }
            | Self::Outcome {
                call,
                outcome: bytes,
            } if bytes.len() > MAX_UNFRAGMENTED_BYTES => Some(MessageKey::Other(call.clone())),
            _ => None,
        }
    }
}

impl<M: StateMachine> Replica<M> {
    /// Bytes of long messages under way, to and from here.
    pub fn fragment_bytes(&self) -> usize {
        self.fragments.bytes()
    }

    /// Sends a message, in pieces when it is long.
    pub(crate) fn send_message(
        &mut self,
        to: &Address,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let Some(topic) = message.body.fragmentation_key() else {
            effects.push(Effect::Send {
                to: to.clone(),
                message,
            });
            return;
        };
        let queue = self.fragments.outgoing.entry(to.clone()).or_default();
        let waiting: usize = queue.iter().map(|outgoing| outgoing.bytes.len()).sum();
        let is_there = queue.iter().any(|outgoing| outgoing.topic == topic);
        if is_there || waiting > MAX_QUEUED_BYTES {
            return; // whoever wants it sends it again
        }
        self.fragments.last_id += 1;
        queue.push_back(Outgoing {
            id: self.fragments.last_id,
            epoch: message.epoch,
            topic,
            // Writing into memory can't fail.
            bytes: borsh::to_vec(&message).unwrap_or_default(),
            sent: 0,
            acknowledged: 0,
            times: VecDeque::new(),
            moved: self.now,
            progress: self.now,
        });
        self.send_fragments(to, effects);
    }

    /// Sends what may be under way of the first message that waits for a receiver.
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
            incoming.take(offset, bytes);
            incoming.progress = self.now;
        }
        let received = if id > incoming.finished {
            incoming.received()
        } else {
            length
        };
        let mut whole = None;
        if id > incoming.finished && received >= length {
            incoming.finished = id;
            whole = Some(std::mem::take(&mut incoming.bytes));
        }
        self.send(&sender.address, Body::FragmentAck { id, received }, effects);
        let message = whole.and_then(|bytes| borsh::from_slice::<Message>(&bytes).ok());
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
            let took = outgoing.on_acknowledged(now, received);
            let pace = self
                .fragments
                .windows
                .entry(sender.address.clone())
                .or_insert_with(SendWindow::new);
            took.into_iter().for_each(|took| pace.acknowledged(took));
        }
        if outgoing.acknowledged >= outgoing.bytes.len() as u64 {
            queue.pop_front();
            if let Some(next) = queue.front_mut() {
                (next.moved, next.progress) = (now, now);
            }
        }
        self.send_fragments(&sender.address, effects);
    }

    /// Sends again what was not acknowledged, and gives up what gets nowhere.
    pub(crate) fn retransmit_fragments(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now;
        let is_moving = |queue: &VecDeque<Outgoing>| {
            queue
                .front()
                .is_some_and(|outgoing| now - outgoing.progress <= ABANDON_TIMEOUT_MS)
        };
        self.fragments.outgoing.retain(|_, queue| is_moving(queue));
        for incoming in self.fragments.incoming.values_mut() {
            if incoming.is_under_way() && now - incoming.progress > ABANDON_TIMEOUT_MS {
                incoming.begin(incoming.finished);
            }
        }
        let mut late = Vec::new();
        for (address, queue) in &mut self.fragments.outgoing {
            if let Some(outgoing) = queue
                .front_mut()
                .filter(|outgoing| now - outgoing.moved > RETRANSMIT_TIMEOUT_MS)
            {
                outgoing.rewind_to_acknowledged(now);
                late.push(address.clone());
            }
        }
        for address in late {
            self.send_fragments(&address, effects);
        }
    }
}

//! A long message that is being sent, and how much of it may be in flight.
use std::collections::VecDeque;

use borsh::BorshSerialize;

use super::MessageKey;

/// Bytes of a fragment: 13 ms on a link of 10 Mbit/s.
pub(super) const FRAGMENT_BYTES: usize = 16 * 1024;

/// Bytes that may be sent and not acknowledged, at the least and at the most.
pub(super) const MIN_WINDOW_BYTES: u64 = 4 * FRAGMENT_BYTES as u64;

pub(super) const MAX_WINDOW_BYTES: u64 = 16 * MIN_WINDOW_BYTES;

/// The window shrinks when a fragment takes this many milliseconds longer than the fastest: the queueing delay of others.
pub(super) const MAX_QUEUEING_DELAY_MS: f64 = 60.0;

/// How much may be in flight to a receiver: about a bandwidth-delay product, so that no queue builds up.
#[derive(Clone, Debug, BorshSerialize)]
pub(super) struct SendWindow {
    pub(super) window: u64,
    /// The shortest time between a fragment and its acknowledgement, in milliseconds.
    pub(super) min_rtt_ms: f64,
}

impl SendWindow {
    pub(super) fn new() -> Self {
        Self {
            window: MIN_WINDOW_BYTES,
            min_rtt_ms: f64::INFINITY,
        }
    }

    /// A fragment was acknowledged this many milliseconds after it was sent.
    pub(super) fn acknowledged(&mut self, rtt_ms: f64) {
        self.min_rtt_ms = self.min_rtt_ms.min(rtt_ms);
        let is_queued = rtt_ms > self.min_rtt_ms + MAX_QUEUEING_DELAY_MS;
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
pub(super) struct Outgoing {
    pub(super) id: u64,
    pub(super) epoch: u64,
    pub(super) key: MessageKey,
    pub(super) bytes: Vec<u8>,
    /// Up to which byte it was sent, and acknowledged.
    pub(super) sent: u64,
    pub(super) acknowledged: u64,
    /// When each byte offset was sent; retransmissions are not included.
    pub(super) send_times: VecDeque<(u64, f64)>,
    /// When it was last acknowledged, or retransmitted.
    pub(super) last_activity: f64,
    /// When an acknowledgement last brought it forward.
    pub(super) last_progress: f64,
}

impl Outgoing {
    /// The fragments to send now, with their offsets.
    pub(super) fn next_fragments(&mut self, now: f64, window: u64) -> Vec<(u64, Vec<u8>)> {
        let length = self.bytes.len() as u64;
        let mut fragments_to_send = Vec::new();
        while self.sent < length.min(self.acknowledged + window) {
            let start = self.sent as usize;
            let end = (start + FRAGMENT_BYTES).min(self.bytes.len());
            fragments_to_send.push((self.sent, self.bytes[start..end].to_vec()));
            self.sent = end as u64;
            self.send_times.push_back((self.sent, now));
        }
        fragments_to_send
    }

    /// Records an acknowledgement; returns the round trip time of the last fragment that it covers.
    pub(super) fn on_acknowledged(&mut self, now: f64, received: u64) -> Option<f64> {
        self.acknowledged = received;
        self.sent = self.sent.max(received);
        (self.last_activity, self.last_progress) = (now, now);
        let mut rtt_ms = None;
        while let Some((_, sent)) = self.pop_send_time(received) {
            rtt_ms = Some(now - sent);
        }
        rtt_ms
    }

    pub(super) fn pop_send_time(&mut self, received: u64) -> Option<(u64, f64)> {
        self.send_times
            .front()
            .filter(|(end, _)| *end <= received)?;
        self.send_times.pop_front()
    }

    /// What is not acknowledged is sent once more.
    pub(super) fn rewind_to_acknowledged(&mut self, now: f64) {
        self.sent = self.acknowledged;
        self.last_activity = now;
        self.send_times.clear();
    }
}

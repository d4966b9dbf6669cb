//! Events in flight: messages, writes and calls.
use std::sync::Arc;

use sandtrack_control::operator_api::call_age::Arrival;
use sandtrack_replication::Message;

use super::call_id::operation_index;
use crate::hashing::{hash_of, hash_of_bytes};
use crate::node::address;

/// An event in flight.
#[derive(Clone, PartialEq)]
pub enum Event {
    /// A message of one replica to another.
    Message {
        /// The index of the sender.
        from: usize,
        /// The index of the receiver.
        to: usize,
        /// The message.
        message: Message,
    },
    /// The disk confirms a write.
    Written {
        /// The index of the machine.
        node: usize,
        /// The identifier of the write.
        ticket: u64,
    },
    /// A call in a machine's socket.
    Call {
        /// The index of the machine.
        node: usize,
        /// The identifier of the call.
        call: u64,
        /// When it arrived, and was accepted.
        arrival: ArrivalTime,
    },
}

/// When a call arrived, on the clock of the machine that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ArrivalTime {
    /// A machine that runs accepts a connection at its arrival, one that is resumed all that are queued.
    Accepted { queued_since: f64, at: f64 },
    /// The machine is frozen; `since` is when it ran last.
    Queued { since: f64 },
}

impl ArrivalTime {
    /// The arrival, for a machine that reads the call at `now`.
    pub fn read(self, now: f64) -> Arrival {
        match self {
            Self::Accepted { queued_since, at } => Arrival {
                queued_since,
                accepted: at,
            },
            Self::Queued { since } => Arrival {
                queued_since: since,
                accepted: now,
            },
        }
    }

    /// The time after the machine was resumed at `now`.
    fn accepted(self, now: f64) -> Self {
        match self {
            Self::Queued { since } => Self::Accepted {
                queued_since: since,
                at: now,
            },
            accepted => accepted,
        }
    }

    fn bits(self) -> (u64, Option<u64>) {
        match self {
            Self::Accepted { queued_since, at } => (queued_since.to_bits(), Some(at.to_bits())),
            Self::Queued { since } => (since.to_bits(), None),
        }
    }
}

/// An event with its hash.
#[derive(Clone)]
pub struct Queued {
    /// The event.
    pub event: Event,
    pub(super) hash: u64,
}

impl Queued {
    pub(super) fn new(event: Event) -> Arc<Self> {
        let hash = match &event {
            Event::Message { from, to, message } => hash_of(&(0, from, to, hash_of_bytes(message))),
            Event::Written { node, ticket } => hash_of(&(1, node, ticket)),
            Event::Call {
                node,
                call,
                arrival,
            } => hash_of(&(2, node, call, arrival.bits())),
        };
        Arc::new(Self { event, hash })
    }

    /// The event after its machine was resumed at `now`; `None` if that changes nothing.
    pub(super) fn after_wake(&self, index: usize, now: f64) -> Option<Arc<Self>> {
        match self.event {
            Event::Call {
                node,
                call,
                arrival,
            } if node == index => Some(Self::new(Event::Call {
                node,
                call,
                arrival: arrival.accepted(now),
            })),
            _ => None,
        }
    }

    /// The index of the machine at which it happens.
    pub(super) fn node(&self) -> usize {
        match self.event {
            Event::Message { to, .. } => to,
            Event::Written { node, .. } | Event::Call { node, .. } => node,
        }
    }

    /// A description in one line, for a replay.
    pub fn describe(&self) -> String {
        match &self.event {
            Event::Message { from, to, message } => {
                format!("{} -> {}: {message}", address(*from), address(*to))
            }
            Event::Written { node, .. } => format!("disk of {} is done", address(*node)),
            Event::Call { node, call, .. } => {
                format!("call {} at {}", operation_index(*call), address(*node))
            }
        }
    }

    pub(super) fn is_status(&self) -> bool {
        matches!(&self.event, Event::Message { message, .. } if message.is_status())
    }

    pub(super) fn is_write(&self) -> bool {
        matches!(self.event, Event::Written { .. })
    }
}
